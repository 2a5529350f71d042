//! Servers that have started again under their name and lost their log.
//!
//! The list of servers tells it seconds later. Until then such a server accepts connections, and its log is
//! shorter than the one that it reported before.

use sapphireslip_core::{ServerId, ServiceName};

use crate::leader_choice::LAG_MAX_RECORDS;
use crate::state::State;
use crate::{Record, RecordKind, TermPosition};

impl State {
    /// Records the log position with which a server has accepted a connection. `before` is the last
    /// position that it had reported when the opening of the connection began.
    ///
    /// A primary whose log has become shorter has started again. It gets no work before it has reported
    /// its status.
    pub(crate) fn note_opening_position(
        &mut self,
        server: &ServerId,
        before: Option<TermPosition>,
        position: Option<TermPosition>,
    ) {
        let Some(position) = position.filter(|position| Some(*position) < before) else {
            return;
        };
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.position = Some(position);
        known.status = None;
        known.shortened_logs += 1;
        let service = known.record.service.clone();
        if !self.leaders.leads(&service, server) {
            return;
        }
        let before = before.map_or_else(|| "none".to_owned(), |before| before.to_string());
        let detail = format!("the log of the primary went back from {before} to {position}");
        let line = Record::new(RecordKind::LeaderChanged, detail.into());
        self.log(line.service(&service).server(server));
        self.leaders.unconfirm(server, self.now);
    }

    /// Returns what tells one life of a server from the next: when it was born by the list, and how often
    /// its log has been found shorter since.
    pub(crate) fn life_of(&self, server: &ServerId) -> Option<(u64, u64)> {
        let known = self.servers.get(server)?;
        Some((known.record.born, known.shortened_logs))
    }

    /// Returns whether a named leader that does not lead lacks records that a replica has: it has started
    /// again, or was never the one with the longest log.
    ///
    /// One that was never seen to lead may lack a few, which other replicas have received since it was named.
    pub(crate) fn has_lost_records(&self, service: &ServiceName, leader: &ServerId) -> bool {
        let replicas = self.servers.of(service).filter(|(id, server)| {
            *id != leader
                && self.led_term(id).is_none()
                && self.has_reported_since(service, id)
                && !server.is_unreachable(self.now)
        });
        let longest = replicas.filter_map(|(id, _)| self.received(id)).max();
        let own = self.received(leader);
        if self.leaders.is_deposed(service, leader) {
            return own < longest;
        }
        let (Some(own), Some(longest)) = (own, longest) else {
            return false;
        };
        let least = longest.position.0.saturating_sub(LAG_MAX_RECORDS);
        own.term < longest.term || (own.term == longest.term && own.position.0 < least)
    }
}
