//! The entries of the timeline, the daemon's record of notable events.

use crate::derives::{data, key};
use crate::{DatabaseName, RequestId, ServerId, SessionId, Term, Text, VmId};

key! {
    /// The event that an entry records.
    pub enum TimelineKind {
        /// A client opened a session at this entry daemon.
        SessionOpened,
        /// A session at this entry daemon ended.
        SessionClosed,
        /// An entry daemon received a request from a client.
        RequestReceived,
        /// An entry daemon sent a request to the database's home.
        RequestForwarded,
        /// A home sent a request to a backend server.
        RequestSent,
        /// A home received the complete answer of the backend server.
        RequestAnswered,
        /// A majority of the servers holds what a request wrote.
        RequestAcknowledged,
        /// A request was refused.
        RequestRefused,
        /// An entry daemon sent the end of an answer to the client.
        RequestFinished,
        /// A home suspects that a primary is down.
        PrimarySuspected,
        /// A majority of a group's servers was fenced at a new term.
        TermFenced,
        /// A server was promoted to primary.
        PrimaryPromoted,
        /// A group accepts writes in a new term.
        WritesOpened,
        /// A configuration document took effect.
        DocumentInForce,
        /// A configuration document that the platform accepted is invalid and was not applied.
        DocumentRefused,
        /// The state of a VM changed.
        VmChanged,
        /// The drain of this daemon began.
        DrainStarted,
        /// The drain of this daemon ended.
        DrainFinished,
        /// Connections to a backend server were silent and were closed.
        PathSilent,
    }
}

data! {
    /// An entry of the timeline; the process that runs the reducer adds the time and its own
    /// identity.
    pub struct TimelineEntry {
        /// The event.
        pub kind: TimelineKind,
        /// The request that the event concerns, if any.
        pub request: Option<RequestId>,
        /// The session that the event concerns, if any.
        pub session: Option<SessionId>,
        /// The database that the event concerns, if any.
        pub database: Option<DatabaseName>,
        /// The backend server that the event concerns, if any.
        pub server: Option<ServerId>,
        /// The peer VM that the event concerns, if any.
        pub peer: Option<VmId>,
        /// The term that the event concerns, if any.
        pub term: Option<Term>,
        /// Further details for human readers, starting in lower case.
        pub detail: Text,
    }
}

impl TimelineEntry {
    /// Returns an entry with only the event set.
    pub(crate) fn of(kind: TimelineKind) -> Self {
        Self {
            kind,
            request: None,
            session: None,
            database: None,
            server: None,
            peer: None,
            term: None,
            detail: "".into(),
        }
    }

    /// Sets the request.
    pub(crate) fn request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Sets the session.
    pub(crate) const fn session(mut self, session: SessionId) -> Self {
        self.session = Some(session);
        self
    }

    /// Sets the database.
    pub(crate) fn database(mut self, database: &DatabaseName) -> Self {
        self.database = Some(database.clone());
        self
    }

    /// Sets the backend server.
    pub(crate) fn server(mut self, server: &ServerId) -> Self {
        self.server = Some(server.clone());
        self
    }

    /// Sets the peer VM.
    pub(crate) fn peer(mut self, peer: &VmId) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// Sets the term.
    pub(crate) const fn term(mut self, term: Term) -> Self {
        self.term = Some(term);
        self
    }

    /// Sets the details for human readers.
    pub(crate) fn detail(mut self, detail: &str) -> Self {
        self.detail = detail.into();
        self
    }
}
