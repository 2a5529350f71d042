//! What the daemons of a simulated fleet learn from the store and from the coordinator.

use std::net::SocketAddr;

use sapphireslip_core::{ServerId, SessionId};
use sapphireslip_lead::{Event, RowVersion, StoreWrite, WriteOutcome};

use super::fleet::member_address;
use super::{Fleet, at, vm};

/// The longest time by which the store carries out a write late, and the shortest, in milliseconds.
const LATE_MILLIS: (u64, u64) = (6_000, 1_000);

impl Fleet {
    /// Has the store carry out a write seconds later; it is not answered.
    pub(super) fn write_later(&mut self, write: &StoreWrite) -> WriteOutcome {
        let (max, min) = LATE_MILLIS;
        let due = self.millis + min + self.random(max - min);
        if !write.is_void_in(self.store.era()) {
            self.late_writes.push((due, write.clone()));
        }
        WriteOutcome::Unknown
    }

    /// Carries out the late writes that are due, if the store is there.
    pub(super) fn carry_out_late_writes(&mut self) {
        if self.store_is_down {
            return;
        }
        let now = self.millis;
        let late = std::mem::take(&mut self.late_writes);
        let (due, later): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late_writes = later;
        for (_, write) in due {
            self.store.write_late(now, &write);
            self.broadcast_leaders();
        }
    }

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
