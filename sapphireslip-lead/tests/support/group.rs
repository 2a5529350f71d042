use sapphireslip_core::{ServerId, ServiceName, Text, TransactionStatus};
use sapphireslip_lead::{
    ErrorCode, Failure, Position, Reply, ReplyEnd, Role, ServerRecord, ServerRequest, ServerStatus,
    Term, TermPosition,
};

use super::{server, service, zone};

/// A fake backend server with its log.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// The server's name.
    pub id: ServerId,
    /// Whether the server is the primary or a replica.
    pub role: Role,
    /// The term of the server's role.
    pub term: Term,
    /// The identifiers of the committed statements, with the terms that wrote them.
    pub log: Vec<(Term, Text)>,
    /// Whether the server is listed as about to leave.
    pub is_draining: bool,
    /// Whether the store has no row of the server.
    pub is_unlisted: bool,
    /// Whether the server is too busy for any statement.
    pub is_busy: bool,
    /// Whether the server accepts no connection and answers no request.
    pub is_isolated: bool,
    /// When the server was born, by the list.
    pub born: u64,
    /// The count of its reports to the store that differ.
    pub sequence: u64,
    /// The service that the server belongs to.
    service: ServiceName,
    /// The server's availability zone.
    zone: &'static str,
}

/// What a server did with a request that it ran; carries the identifier of the statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerAction {
    /// The server committed a write or a transaction.
    Wrote(Text),
    /// The server ran a statement that committed nothing.
    Read(Text),
}

/// The fake servers, which belong to one service unless [`FakeGroup::add_service`] adds others.
#[derive(Clone, Debug)]
pub struct FakeGroup {
    /// The servers in the order in which they are listed.
    pub servers: Vec<FakeServer>,
}

impl FakeGroup {
    /// Returns a group with a primary in zone a and replicas in zones b and c.
    pub fn new() -> Self {
        let of = |(name, zone, role): (&str, &'static str, Role)| FakeServer {
            id: server(name),
            role,
            term: Term(1),
            log: vec![(Term(1), "first".into())],
            is_draining: false,
            is_unlisted: false,
            is_busy: false,
            is_isolated: false,
            born: 1,
            sequence: 1,
            service: service(),
            zone,
        };
        let servers = [
            ("s-a", "a", Role::Primary),
            ("s-b", "b", Role::Replica),
            ("s-c", "c", Role::Replica),
        ];
        Self {
            servers: servers.into_iter().map(of).collect(),
        }
    }

    /// Returns a server; panics if there is none with the name.
    pub fn get(&self, id: &ServerId) -> &FakeServer {
        self.servers
            .iter()
            .find(|s| s.id == *id)
            .expect("the server exists")
    }

    /// Returns a server for changes; panics if there is none with the name.
    pub fn get_mut(&mut self, id: &ServerId) -> &mut FakeServer {
        self.servers
            .iter_mut()
            .find(|s| s.id == *id)
            .expect("the server exists")
    }

    /// Returns the list of servers as the store has it.
    pub fn records(&self) -> Vec<ServerRecord> {
        let record = |(n, server): (usize, &FakeServer)| ServerRecord {
            id: server.id.clone(),
            service: server.service.clone(),
            address: format!("10.0.{}.{}:5000", n / 200, n % 200 + 1)
                .parse()
                .expect("a valid address"),
            zone: zone(server.zone),
            slots: 2,
            is_draining: server.is_draining,
            role: server.role,
            born: server.born,
            sequence: server.sequence,
        };
        let servers = self.servers.iter().enumerate();
        let listed = servers.filter(|(_, server)| !server.is_unlisted);
        listed.map(record).collect()
    }

    /// Adds a service with one server, its primary.
    pub fn add_service(&mut self, name: &ServiceName) {
        self.servers.push(FakeServer {
            id: server(&format!("{name}-a")),
            role: Role::Primary,
            term: Term(1),
            log: Vec::new(),
            is_draining: false,
            is_unlisted: false,
            is_busy: false,
            is_isolated: false,
            born: 1,
            sequence: 1,
            service: name.clone(),
            zone: "a",
        });
    }

    /// Returns the server with the highest term.
    pub fn newest(&self) -> &FakeServer {
        // A replica has the term of the primary that it follows.
        let newest = |server: &&FakeServer| (server.term, server.role == Role::Primary);
        let newest = self.servers.iter().max_by_key(newest);
        newest.expect("the server exists")
    }

    /// Copies the log of the reachable primary with the highest term to all other reachable
    /// servers, which become its replicas.
    pub fn replicate(&mut self) {
        self.replicate_to(|_| true);
    }

    /// Copies the log of the reachable primary with the highest term to all reachable replicas. A replaced
    /// primary goes on: it notices its replacement late.
    pub fn replicate_to_replicas(&mut self) {
        self.replicate_to(|server| server.role == Role::Replica);
    }

    /// Copies the log of the reachable primary with the highest term to the reachable servers that
    /// `receives` names, which become its replicas.
    fn replicate_to(&mut self, receives: impl Fn(&FakeServer) -> bool) {
        let primary = self
            .servers
            .iter()
            .filter(|server| server.role == Role::Primary && !server.is_isolated)
            .max_by_key(|server| server.term)
            .cloned();
        let Some(primary) = primary else {
            return;
        };
        for server in &mut self.servers {
            if !server.is_isolated && server.id != primary.id && receives(server) {
                server.log.clone_from(&primary.log);
                server.term = primary.term;
                server.role = Role::Replica;
            }
        }
    }

    /// Makes a server the primary of the next term, unless it is the present primary and reachable. A
    /// primary that has been superseded is promoted like a replica.
    pub fn promote(&mut self, id: &ServerId) {
        let next = self.servers.iter().map(|s| s.term.0).max().unwrap_or(0) + 1;
        let server = self.get_mut(id);
        let is_present = server.role == Role::Primary && server.term.0 + 1 == next;
        if !is_present || server.is_isolated {
            server.role = Role::Primary;
            server.term = Term(next);
        }
    }
}

impl FakeServer {
    /// Starts again under the same name: the server has lost its log and knows of no term.
    pub fn start_again(&mut self) {
        (self.role, self.term) = (Role::Replica, Term(0));
        self.log.clear();
        self.born += 1;
    }

    /// Returns the last position of the server's log.
    pub fn position(&self) -> TermPosition {
        TermPosition {
            term: self.term,
            position: Position(self.log.len() as u64),
        }
    }

    /// Answers a request and returns the answer, the status if that was requested, and what was
    /// run.
    ///
    /// `transaction` is the transaction status of the connection, which the request may change.
    pub fn answer(
        &mut self,
        request: &ServerRequest,
        transaction: &mut TransactionStatus,
    ) -> (Reply, Option<ServerStatus>, Option<ServerAction>) {
        let mut action = None;
        let failure = match request {
            ServerRequest::Forward { id, floor, text } => {
                self.run(id, *floor, text, *transaction, &mut action)
            }
            ServerRequest::Execute { id, floor, .. } => {
                self.run(id, *floor, "READ", *transaction, &mut action)
            }
            ServerRequest::Begin { reads_only, floor } => {
                let failure = self.refusal(*floor, !reads_only);
                if failure.is_none() {
                    *transaction = TransactionStatus::Open;
                }
                failure
            }
            ServerRequest::Rollback => {
                *transaction = TransactionStatus::Idle;
                None
            }
            _ => None,
        };
        if matches!(request, ServerRequest::Forward { text, .. } if &**text == "COMMIT") {
            *transaction = TransactionStatus::Idle;
        }
        let status = (*request == ServerRequest::Status).then(|| ServerStatus {
            role: self.role,
            term: self.term,
            received: self.position(),
        });
        let end = match failure {
            Some(code) => ReplyEnd::Failed(Failure::new(code, "")),
            None => ReplyEnd::Complete {
                signature: Some("signature".into()),
            },
        };
        let reply = Reply {
            rows: Vec::new(),
            end,
            transaction: *transaction,
            position: Some(self.position()),
        };
        (reply, status, action)
    }

    /// Returns the error code if the log is shorter than the floor, or a replica would have to
    /// write.
    fn refusal(&self, floor: Option<TermPosition>, writes: bool) -> Option<ErrorCode> {
        if floor.is_some_and(|floor| self.position() < floor) {
            return Some(ErrorCode::Lagging);
        }
        (writes && self.role != Role::Primary).then_some(ErrorCode::ReadOnly)
    }

    /// Runs a statement, and records in `action` what was done; returns the error code of a
    /// refusal.
    fn run(
        &mut self,
        id: &Text,
        floor: Option<TermPosition>,
        text: &str,
        transaction: TransactionStatus,
        action: &mut Option<ServerAction>,
    ) -> Option<ErrorCode> {
        if self.is_busy {
            return Some(ErrorCode::Busy);
        }
        let writes = text.starts_with("WRITE") || text == "COMMIT";
        if let Some(code) = self.refusal(floor, writes) {
            return Some(code);
        }
        let commits = match transaction {
            TransactionStatus::Idle => text.starts_with("WRITE"),
            _ => text == "COMMIT",
        };
        if commits {
            self.log.push((self.term, Text::clone(id)));
            *action = Some(ServerAction::Wrote(Text::clone(id)));
        } else {
            *action = Some(ServerAction::Read(Text::clone(id)));
        }
        None
    }
}
