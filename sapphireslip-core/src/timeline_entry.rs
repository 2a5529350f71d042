//! One entry of the time line.

use crate::derives::{data, key};
use crate::{DatabaseName, RequestId, ServerId, SessionId, Term, Text, VmId};

key! {
    /// What happened.
    pub enum TimelineKind {
        /// A session was opened at this entry daemon.
        SessionOpened,
        /// A session ended.
        SessionClosed,
        /// A request came from a caller.
        RequestReceived,
        /// A request was sent to its home.
        RequestForwarded,
        /// A home put a request on a connection of a backend server.
        RequestSent,
        /// A home has the whole answer of the backend server.
        RequestAnswered,
        /// A majority holds what the request wrote.
        RequestAcknowledged,
        /// A request was refused.
        RequestRefused,
        /// An entry daemon gave its caller the end of the answer.
        RequestFinished,
        /// A primary is suspected.
        PrimarySuspected,
        /// A majority was fenced.
        TermFenced,
        /// A primary was promoted.
        PrimaryPromoted,
        /// Writes land again.
        WritesOpened,
        /// A document is in force.
        DocumentInForce,
        /// A document that the platform accepted has faults and is kept out.
        DocumentRefused,
        /// A VM's state changed.
        VmChanged,
        /// A drain began.
        DrainStarted,
        /// A drain ended.
        DrainFinished,
        /// A path was found silent and its connections were closed.
        PathSilent,
    }
}

data! {
    /// An entry; the runner adds the time and the process.
    pub struct TimelineEntry {
        /// What happened.
        pub kind: TimelineKind,
        /// The request, if it is about one.
        pub request: Option<RequestId>,
        /// The session, if it is about one.
        pub session: Option<SessionId>,
        /// The database, if it is about one.
        pub database: Option<DatabaseName>,
        /// The backend server, if it is about one.
        pub server: Option<ServerId>,
        /// The peer VM, if it is about one.
        pub peer: Option<VmId>,
        /// The term, if it is about one.
        pub term: Option<Term>,
        /// More for people, lower case.
        pub detail: Text,
    }
}

impl TimelineEntry {
    /// Returns an entry that says no more than what happened.
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

    /// Adds the request.
    pub(crate) fn request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Adds the session.
    pub(crate) const fn session(mut self, session: SessionId) -> Self {
        self.session = Some(session);
        self
    }

    /// Adds the database.
    pub(crate) fn database(mut self, database: &DatabaseName) -> Self {
        self.database = Some(database.clone());
        self
    }

    /// Adds the backend server.
    pub(crate) fn server(mut self, server: &ServerId) -> Self {
        self.server = Some(server.clone());
        self
    }

    /// Adds the peer.
    pub(crate) fn peer(mut self, peer: &VmId) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// Adds the term.
    pub(crate) const fn term(mut self, term: Term) -> Self {
        self.term = Some(term);
        self
    }

    /// Adds more for people.
    pub(crate) fn detail(mut self, detail: &str) -> Self {
        self.detail = detail.into();
        self
    }
}
