//! A simulated backend server with a durable log and fence and asynchronous replication.

use sapphireslip_core::{
    GroupFailure, GroupRequest, Position, ServerId, ServerRole, ServerStatus, TERM_STARTS_MAX,
    Term, TermPosition,
};

/// Whether a server responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Answers requests.
    Up,
    /// Does not respond until it is up again, and then handles the requests that arrived in the
    /// meantime.
    Frozen,
    /// Refuses connections; the log and the fence are kept.
    Killed,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub struct FakeServer {
    /// The server's identifier.
    pub id: ServerId,
    /// Whether the server responds.
    pub health: Health,
    /// The highest term at which the server was fenced.
    pub fenced: Term,
    /// The role that the server reports.
    pub role: ServerRole,
    /// The term of each record; the first record has position 1.
    pub log: Vec<Term>,
    /// The primary that the server replicates from, if any.
    pub following: Option<ServerId>,
}

impl FakeServer {
    pub fn new(id: ServerId) -> Self {
        Self {
            id,
            health: Health::Up,
            fenced: Term(0),
            role: ServerRole::Replica,
            log: Vec::new(),
            following: None,
        }
    }

    /// Returns the last record in the log.
    pub fn held(&self) -> TermPosition {
        TermPosition {
            term: self.log.last().copied().unwrap_or_default(),
            position: Position(self.log.len() as u64),
        }
    }

    /// Returns whether the log contains a record.
    pub fn contains(&self, record: TermPosition) -> bool {
        let index = usize::try_from(record.position.0).unwrap_or(usize::MAX);
        index
            .checked_sub(1)
            .is_none_or(|index| self.log.get(index) == Some(&record.term))
    }

    /// Returns the term that the server leads, if it accepts writes.
    pub fn leads(&self) -> Option<Term> {
        let leads = self.role == ServerRole::Primary && self.held().term == self.fenced;
        leads.then_some(self.fenced)
    }

    /// Returns the status that the server reports.
    pub fn status(&self) -> ServerStatus {
        let mut starts = Vec::new();
        let mut last = Term(0);
        for (index, term) in self.log.iter().enumerate() {
            if *term > last {
                last = *term;
                starts.push(TermPosition {
                    term: *term,
                    position: Position(index as u64 + 1),
                });
            }
        }
        starts.drain(..starts.len().saturating_sub(TERM_STARTS_MAX));
        ServerStatus {
            role: self.role,
            fenced: self.fenced,
            held: self.held(),
            applied: self.held().position,
            term_starts: starts,
        }
    }

    /// Appends a record if the server leads the term.
    pub fn write(&mut self, term: Term) -> Option<TermPosition> {
        (self.leads() == Some(term)).then(|| {
            self.log.push(term);
            self.held()
        })
    }

    /// Handles a group request.
    pub fn handle(&mut self, request: &GroupRequest) -> Result<ServerStatus, GroupFailure> {
        let granted = match request {
            GroupRequest::Status { .. } => true,
            GroupRequest::Fence { term } => self.fence(*term),
            GroupRequest::Promote { term } => self.promote(*term),
            GroupRequest::Follow { term, primary } => self.follow(*term, primary),
        };
        if granted {
            Ok(self.status())
        } else {
            Err(GroupFailure::Refused(self.status()))
        }
    }

    /// Raises the fence; returns false if the term is not above it.
    fn fence(&mut self, term: Term) -> bool {
        let granted = term > self.fenced;
        if granted {
            self.fenced = term;
            self.following = None;
        }
        granted
    }

    /// Becomes primary and writes the term's first record; returns false if it may not.
    fn promote(&mut self, term: Term) -> bool {
        let granted = self.fenced == term && self.leads() != Some(term);
        if granted {
            self.role = ServerRole::Primary;
            self.following = None;
            self.log.push(term);
        }
        granted
    }

    /// Starts to replicate from the primary of a term; returns false if it may not.
    fn follow(&mut self, term: Term, primary: &ServerId) -> bool {
        let granted = self.fenced <= term && self.leads() != Some(term);
        if granted {
            self.fenced = term;
            self.role = ServerRole::Replica;
            self.following = Some(primary.clone());
        }
        granted
    }

    /// Copies at most one record from the primary, after discarding the records that the primary
    /// lacks.
    pub fn replicate(&mut self, primary: &Self) {
        if primary.leads() != Some(self.fenced) {
            return;
        }
        let common = self.log.iter().zip(&primary.log);
        let common = common.take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        self.log.extend(primary.log.get(common));
    }
}
