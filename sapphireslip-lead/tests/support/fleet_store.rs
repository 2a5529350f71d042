//! What the daemons of a simulated fleet learn from the store and from the coordinator.

use std::net::SocketAddr;

use sapphireslip_core::{ServerId, SessionId};
use sapphireslip_lead::{Event, RowVersion};

use super::fleet::member_address;
use super::{Fleet, at, vm};

impl Fleet {
    /// Has the store come back from the copy that was made `age` milliseconds before.
    pub fn return_store(&mut self, age: u64) {
        self.store_is_down = false;
        self.store.return_from_copy(self.millis, age);
        self.broadcast_leaders();
    }

    /// Sends the table of leaders to every daemon that reaches the store.
    pub(super) fn broadcast_leaders(&mut self) {
        for n in 0..self.daemons.len() {
            if self.reaches_store(n) {
                let leaders = self.store.leaders_at(self.millis);
                self.schedule(n, 40, Event::Leaders(leaders));
            }
        }
    }

    /// Passes a daemon's request for a grant on to the coordinator at `address`.
    pub(super) fn ask_grant(
        &mut self,
        n: usize,
        address: SocketAddr,
        generation: RowVersion,
        servers: Vec<ServerId>,
    ) {
        let coordinator = (0..self.daemons.len())
            .find(|other| member_address(*other) == address)
            .expect("a daemon");
        let session = SessionId(1_000_000 + self.history.statements * 10 + n as u64);
        let question = (n, generation, at(self.millis));
        self.grant_requests.insert(session, question);
        let vm = vm(&format!("vm-{n}"));
        let event = Event::GrantAsked {
            session,
            vm,
            generation,
            servers,
        };
        self.schedule(coordinator, 30, event);
    }
}
