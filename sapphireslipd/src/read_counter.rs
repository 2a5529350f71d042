//! Which part the server played that answered a read.

use std::collections::BTreeMap;

use sapphireslip_core::{Homes, RequestId, ServerRole, StatementKind, TimelineEntry, TimelineKind};

/// The reads that are at a server, each with the part that the server of its last send plays.
///
/// Bounded by the requests at work at the homes: each ends with an answer or a refusal.
#[derive(Debug, Default)]
pub(crate) struct ReadCounter {
    sent: BTreeMap<RequestId, ServerRole>,
}

impl ReadCounter {
    /// Follows an entry of the time line; returns the server's part once a read is answered.
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

/// Returns the part of the server that a read was sent to; none if it is no read.
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
