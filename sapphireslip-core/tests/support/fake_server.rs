//! A backend server of a log model: durable log and fence, asynchronous replication.

use sapphireslip_core::{
    GroupFailure, GroupRequest, Position, ServerId, ServerRole, ServerStatus, TERM_STARTS_MAX,
    Term, TermPosition,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    Up,
    /// Answers nothing until it is thawed; what came in the meantime is then worked off.
    Frozen,
    /// Refuses connections; log and fence are kept.
    Killed,
}

#[derive(Clone, Debug)]
pub struct FakeServer {
    pub id: ServerId,
    pub health: Health,
    pub fenced: Term,
    pub role: ServerRole,
    /// The term of each record; the first has position 1.
    pub log: Vec<Term>,
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

    pub fn held(&self) -> TermPosition {
        TermPosition {
            term: self.log.last().copied().unwrap_or_default(),
            position: Position(self.log.len() as u64),
        }
    }

    pub fn contains(&self, record: TermPosition) -> bool {
        let index = usize::try_from(record.position.0).unwrap_or(usize::MAX);
        index
            .checked_sub(1)
            .is_none_or(|index| self.log.get(index) == Some(&record.term))
    }

    /// The term that it leads, if it takes writes.
    pub fn leads(&self) -> Option<Term> {
        let leads = self.role == ServerRole::Primary && self.held().term == self.fenced;
        leads.then_some(self.fenced)
    }

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

    pub fn write(&mut self, term: Term) -> Option<TermPosition> {
        (self.leads() == Some(term)).then(|| {
            self.log.push(term);
            self.held()
        })
    }

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

    fn fence(&mut self, term: Term) -> bool {
        let granted = term > self.fenced;
        if granted {
            self.fenced = term;
            self.following = None;
        }
        granted
    }

    fn promote(&mut self, term: Term) -> bool {
        let granted = self.fenced == term && self.leads() != Some(term);
        if granted {
            self.role = ServerRole::Primary;
            self.following = None;
            self.log.push(term);
        }
        granted
    }

    fn follow(&mut self, term: Term, primary: &ServerId) -> bool {
        let granted = self.fenced <= term && self.leads() != Some(term);
        if granted {
            self.fenced = term;
            self.role = ServerRole::Replica;
            self.following = Some(primary.clone());
        }
        granted
    }

    /// Takes at most one record from its primary, after dropping what that one never wrote.
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
