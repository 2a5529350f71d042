use sapphireslip_core::SessionId;
use sapphireslip_lead::{Event, KeyDigest, ServerRequest};

use super::{Daemon, at};

impl Daemon {
    /// Advances the time in ticks of 10 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.millis += 10;
            self.event(Event::Tick);
        }
    }

    /// Advances the time in few ticks of 200 ms each, for tests of what a daemon does over minutes.
    pub fn advance_coarsely(&mut self, millis: u64) {
        for _ in 0..millis / 200 {
            self.millis += 200;
            self.event(Event::Tick);
        }
    }

    /// Has the daemon read the list of servers as it is now.
    pub fn read_list(&mut self) {
        let (list, sent) = (Some(self.group.records()), at(self.millis));
        self.event(Event::Servers { list, sent });
    }

    /// Opens a session on a database.
    pub fn open(&mut self, database: &str) -> SessionId {
        self.open_as(database, None, None)
    }

    /// Opens a session on a database with a client's key.
    pub fn open_with_key(&mut self, database: &str, key: KeyDigest) -> SessionId {
        self.open_as(database, Some(key), None)
    }

    /// Opens a session on a database that another daemon has forwarded.
    pub fn open_forwarded(&mut self, database: &str) -> SessionId {
        self.open_as(database, None, Some(1))
    }

    /// Returns the statements of clients that were sent, with their servers, and forgets all
    /// requests.
    pub fn statements(&mut self) -> Vec<(String, String)> {
        let sent = std::mem::take(&mut self.sent);
        sent.into_iter()
            .filter_map(|(server, request)| match request {
                ServerRequest::Forward { text, .. } => Some((server.to_string(), text.to_string())),
                ServerRequest::Execute {
                    arguments, number, ..
                } => Some((server.to_string(), format!("EXECUTE {number} {arguments}"))),
                _ => None,
            })
            .collect()
    }
}
