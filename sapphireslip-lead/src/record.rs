//! Records: the lines of the decision log.

use std::time::Duration;

use sapphireslip_core::{ServerId, ServiceName, SessionId, Text, data, key};

data! {
    /// One log line: a decision about a request, or a change in what the daemon knows.
    pub struct Record {
        /// The kind of the decision or change.
        pub kind: RecordKind,
        /// The client's identifier of the request, if the line is about one.
        pub request: Option<Text>,
        /// The client's session, if the line is about one.
        pub session: Option<SessionId>,
        /// The service, if the line is about one.
        pub service: Option<ServiceName>,
        /// The backend server, if the line is about one.
        pub server: Option<ServerId>,
        /// For an answer, the time from the statement's arrival to its answer.
        pub elapsed: Option<Duration>,
        /// The cause and the outcome, in words.
        pub detail: Text,
    }
}

key! {
    /// The kinds of log lines.
    pub enum RecordKind {
        /// A statement was sent to a server.
        RequestSent,
        /// A statement was answered.
        RequestAnswered,
        /// A statement is retried at another server, or at the same one.
        RequestRetried,
        /// A statement was refused without having run.
        RequestRefused,
        /// A statement ended without it being known whether it ran.
        RequestUnknown,
        /// Another server was named to lead a service, or the named server leads.
        LeaderChanged,
        /// The permission to rely on the known leaders began or ended.
        PermissionChanged,
        /// Another daemon asked this one for a grant.
        Grant,
        /// This daemon became the coordinator, ceased to be it or gives the role up, or a write of
        /// the coordinator's row got no answer.
        CoordinatorChanged,
        /// This daemon rolled a transaction back.
        TransactionAborted,
        /// A handover took a step or ended, or the platform answered a request to promote.
        Promotion,
        /// A version of the configuration was applied.
        CatalogTaken,
        /// An account or a key of the configuration was left out.
        AccountIgnored,
        /// A row of the store can't be read and was left out.
        RowIgnored,
        /// The limit of an account was reached at this daemon, or is no longer.
        AccountLimited,
        /// A backend server's row in the list appeared, changed or is missing.
        ServerListed,
        /// A backend server became unreachable, or answers again.
        ServerReachable,
        /// The store stopped answering, or answers again.
        StoreReachable,
        /// The store came back from an older copy, and what became of the leaders.
        StoreEraChanged,
        /// This daemon learns the configuration from a reader, or no longer.
        ReaderChanged,
        /// A connection to a server was closed because of a fault, or could not be opened.
        ConnectionClosed,
        /// An idle connection to a server was closed to make room for another account.
        ConnectionReplaced,
        /// A session was closed for its client to reconnect, so that another daemon serves it.
        SessionMoved,
        /// No session is forwarded to another daemon for a while.
        DaemonAvoided,
        /// There is no place for new sessions of most services, so that the daemon is not ready, or
        /// there is again.
        PlacesChanged,
        /// The graceful stop began, or is complete so that the process exits.
        Drain,
    }
}

impl Record {
    /// Returns a line of the given kind and detail, without any other field.
    ///
    /// ```
    /// use sapphireslip_lead::{Record, RecordKind};
    /// let record = Record::new(RecordKind::Drain, "grace 6 s".into());
    /// assert_eq!(&*record.detail, "grace 6 s");
    /// ```
    #[must_use]
    pub const fn new(kind: RecordKind, detail: Text) -> Self {
        Self {
            kind,
            request: None,
            session: None,
            service: None,
            server: None,
            elapsed: None,
            detail,
        }
    }

    /// Returns the line with the service set.
    pub(crate) fn service(mut self, service: &ServiceName) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Returns the line with the backend server set.
    pub(crate) fn server(mut self, server: &ServerId) -> Self {
        self.server = Some(server.clone());
        self
    }

    /// Returns the line with the elapsed time set.
    pub(crate) const fn elapsed(mut self, elapsed: Duration) -> Self {
        self.elapsed = Some(elapsed);
        self
    }

    /// Returns the line with the session and the request set.
    pub(crate) fn request(mut self, session: SessionId, id: &Text) -> Self {
        self.session = Some(session);
        self.request = Some(Text::clone(id));
        self
    }
}

impl RecordKind {
    /// All kinds.
    pub const ALL: [Self; 26] = [
        Self::RequestSent,
        Self::RequestAnswered,
        Self::RequestRetried,
        Self::RequestRefused,
        Self::RequestUnknown,
        Self::SessionMoved,
        Self::TransactionAborted,
        Self::ConnectionClosed,
        Self::ConnectionReplaced,
        Self::ServerListed,
        Self::ServerReachable,
        Self::LeaderChanged,
        Self::PermissionChanged,
        Self::Grant,
        Self::CoordinatorChanged,
        Self::Promotion,
        Self::CatalogTaken,
        Self::AccountIgnored,
        Self::RowIgnored,
        Self::AccountLimited,
        Self::StoreReachable,
        Self::StoreEraChanged,
        Self::ReaderChanged,
        Self::DaemonAvoided,
        Self::PlacesChanged,
        Self::Drain,
    ];

    /// Returns whether lines of this kind are about single statements or sessions, thus frequent.
    ///
    /// ```
    /// use sapphireslip_lead::RecordKind;
    /// assert!(RecordKind::RequestSent.is_about_statement());
    /// assert!(!RecordKind::StoreReachable.is_about_statement());
    /// ```
    #[must_use]
    pub const fn is_about_statement(self) -> bool {
        matches!(
            self,
            Self::RequestSent
                | Self::RequestAnswered
                | Self::RequestRetried
                | Self::RequestRefused
                | Self::RequestUnknown
                | Self::SessionMoved
                | Self::ConnectionReplaced
        )
    }

    /// Returns the name of the kind as it is written to the log.
    ///
    /// ```
    /// assert_eq!(sapphireslip_lead::RecordKind::Drain.name(), "drain");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestSent => "request_sent",
            Self::RequestAnswered => "request_answered",
            Self::RequestRetried => "request_retried",
            Self::RequestRefused => "request_refused",
            Self::RequestUnknown => "request_unknown",
            Self::LeaderChanged => "lead_changed",
            Self::PermissionChanged => "permit_changed",
            Self::Grant => "grant",
            Self::CoordinatorChanged => "duty_changed",
            Self::TransactionAborted => "transaction_aborted",
            Self::Promotion => "promotion",
            Self::CatalogTaken => "catalog_taken",
            Self::AccountIgnored => "account_ignored",
            Self::RowIgnored => "row_ignored",
            Self::AccountLimited => "account_limited",
            Self::ServerListed => "server_listed",
            Self::ServerReachable => "server_reachable",
            Self::StoreReachable => "store_reachable",
            Self::StoreEraChanged => "store_era_changed",
            Self::ReaderChanged => "reader_changed",
            Self::ConnectionClosed => "connection_closed",
            Self::ConnectionReplaced => "connection_replaced",
            Self::SessionMoved => "session_moved",
            Self::DaemonAvoided => "daemon_avoided",
            Self::PlacesChanged => "places_changed",
            Self::Drain => "drain",
        }
    }
}
