//! Finds out whether the primary or a replica answered a read.

use std::collections::BTreeMap;

use sapphireslip_core::{Homes, RequestId, ServerRole, StatementKind, TimelineEntry, TimelineKind};

/// The reads that have been sent to a backend server and not yet answered, each with the role of
/// the server to which it was last sent.
///
/// The unfinished requests of the homes bound its size: each of them ends with an answer or a
/// refusal.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    sent: BTreeMap<RequestId, ServerRole>,
}

impl PendingReads {
    /// Processes a timeline entry; if it says that a read was answered, returns the role of the
    /// server that answered.
    pub(crate) fn on_entry(&mut self, homes: &Homes, entry: &TimelineEntry) -> Option<ServerRole> {
        let id = entry.request.as_ref()?;
        match entry.kind {
            TimelineKind::RequestSent => {
                if let Some(role) = role_of_read_server(homes, id, entry) {
                    self.sent.insert(id.clone(), role);
                }
                None
            }
            TimelineKind::RequestAnswered => self.sent.remove(id),
            TimelineKind::RequestRefused => {
                self.sent.remove(id);
                None
            }
            _ => None,
        }
    }
}

/// Returns the role of the server to which a read was sent; none if the request is no read or its
/// home is not this daemon.
fn role_of_read_server(homes: &Homes, id: &RequestId, entry: &TimelineEntry) -> Option<ServerRole> {
    let mut homes = homes.homes();
    let home = homes.find(|home| Some(home.database()) == entry.database.as_ref())?;
    if home.kind_of(id) != Some(StatementKind::Read) {
        return None;
    }
    let primary = home.group().primary().map(|primary| primary.server);
    Some(match primary.is_some() && primary == entry.server {
        true => ServerRole::Primary,
        false => ServerRole::Replica,
    })
}
