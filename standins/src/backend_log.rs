//! One server's log, its databases and its place in the group.

use std::sync::Arc;

use rusqlite::Connection;
use rusqlite::types::Value;
use sapphireslip_core::{Position, ServerRole, ServerStatus, TERM_STARTS_MAX, Term, TermPosition};
use tokio::time::Instant;

use crate::backend_sql::SqlError;

/// One statement with its parameters, as it is replicated.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    /// The text in SQLite's dialect.
    pub(crate) sql: String,
    /// The parameters.
    pub(crate) parameters: Vec<Value>,
}

/// One committed transaction.
#[derive(Debug)]
pub(crate) struct Record {
    /// The term of the primary that wrote it.
    pub(crate) term: Term,
    /// The transaction; empty for the start of a term.
    pub(crate) statements: Vec<Statement>,
    /// When it was committed.
    pub(crate) committed: Instant,
}

/// The primary that a server follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Following {
    /// The primary's term.
    pub(crate) term: Term,
    /// The primary's place in the group.
    pub(crate) primary: usize,
}

/// One server's log, databases and place.
#[derive(Debug)]
pub(crate) struct Log {
    /// Records, the one of position 1 first.
    pub(crate) records: Vec<Arc<Record>>,
    /// The first record of each term.
    starts: Vec<TermPosition>,
    /// When each of the records was held here, counted from `applied`.
    pub(crate) received_at: Vec<Instant>,
    /// The position that reads see.
    pub(crate) applied: usize,
    /// The highest term that it was fenced at.
    pub(crate) fenced: Term,
    /// The term that it leads.
    pub(crate) primary_term: Option<Term>,
    /// The primary that it follows.
    pub(crate) following: Option<Following>,
    /// The database of the write transaction, at the end of the log.
    pub(crate) working: Connection,
    /// The database of reads, at `applied`.
    pub(crate) reads: Connection,
    /// Goes up when open write transactions have become void.
    pub(crate) epoch: u64,
}

fn open() -> Connection {
    Connection::open_in_memory().expect("SQLite opens a database in memory")
}

fn apply(database: &Connection, record: &Record) {
    let run = |sql: &str| database.execute_batch(sql);
    run("BEGIN").expect("no transaction is open");
    for Statement { sql, parameters } in &record.statements {
        run_all(database, sql, parameters).expect("a committed statement runs again");
    }
    run("COMMIT").expect("a committed transaction commits again");
}

fn run_all(database: &Connection, sql: &str, parameters: &[Value]) -> rusqlite::Result<()> {
    let mut statement = database.prepare_cached(sql)?;
    let mut rows = statement.query(rusqlite::params_from_iter(parameters))?;
    while rows.next()?.is_some() {}
    Ok(())
}

impl Log {
    /// Returns a log that has only the start of term 1.
    pub(crate) fn new(is_primary: bool) -> Self {
        let start = Record {
            term: Term(1),
            statements: Vec::new(),
            committed: Instant::now(),
        };
        Self {
            records: vec![Arc::new(start)],
            starts: vec![TermPosition {
                term: Term(1),
                position: Position(1),
            }],
            received_at: Vec::new(),
            applied: 1,
            fenced: Term(1),
            primary_term: is_primary.then_some(Term(1)),
            following: (!is_primary).then_some(Following {
                term: Term(1),
                primary: 0,
            }),
            working: open(),
            reads: open(),
            epoch: 0,
        }
    }

    /// Returns the last record's name.
    pub(crate) fn held(&self) -> TermPosition {
        TermPosition {
            term: self.records.last().map_or(Term(0), |record| record.term),
            position: Position(self.records.len() as u64),
        }
    }

    /// Returns whether a record is in the log.
    pub(crate) fn holds(&self, record: TermPosition) -> bool {
        let index = usize::try_from(record.position.0).unwrap_or(usize::MAX);
        let found = index.checked_sub(1).and_then(|i| self.records.get(i));
        found.is_some_and(|found| found.term == record.term)
    }

    fn push(&mut self, record: &Arc<Record>) {
        if self.held().term != record.term {
            self.starts.push(TermPosition {
                term: record.term,
                position: Position(self.records.len() as u64 + 1),
            });
        }
        self.records.push(Arc::clone(record));
        self.received_at.push(Instant::now());
    }

    /// Returns the report of the server's place.
    pub(crate) fn status(&self) -> ServerStatus {
        let skip = self.starts.len().saturating_sub(TERM_STARTS_MAX);
        ServerStatus {
            role: match self.primary_term {
                Some(_) => ServerRole::Primary,
                None => ServerRole::Replica,
            },
            fenced: self.fenced,
            held: self.held(),
            applied: Position(self.applied as u64),
            term_starts: self.starts[skip..].to_vec(),
        }
    }

    /// Refuses a write that this server may not take.
    pub(crate) fn check_write(&self) -> Result<(), SqlError> {
        match (self.primary_term, self.following) {
            (Some(_), _) => Ok(()),
            (None, Some(_)) => Err(SqlError::new(
                "25006",
                "cannot execute the statement in a read-only transaction",
            )),
            (None, None) => Err(SqlError::new(
                "57P04",
                format!("this server was fenced at term {}", self.fenced.0),
            )),
        }
    }

    /// Voids the open write transaction.
    pub(crate) fn void_transactions(&mut self) {
        self.epoch += 1;
        self.rollback();
    }

    /// Rolls the working database back.
    pub(crate) fn rollback(&self) {
        if !self.working.is_autocommit() {
            self.working
                .execute_batch("ROLLBACK")
                .expect("an open transaction rolls back");
        }
    }

    /// Commits the open write transaction.
    pub(crate) fn commit(&mut self, statements: Vec<Statement>) -> Result<TermPosition, SqlError> {
        self.check_write()?;
        self.working.execute_batch("COMMIT")?;
        let term = self.primary_term.unwrap_or(self.fenced);
        self.push(&Arc::new(Record {
            term,
            statements,
            committed: Instant::now(),
        }));
        self.apply_until(self.records.len());
        Ok(self.held())
    }

    /// Makes reads see the log up to a position.
    pub(crate) fn apply_until(&mut self, position: usize) {
        for record in &self.records[self.applied..position] {
            apply(&self.reads, record);
        }
        self.received_at.drain(..position - self.applied);
        self.applied = position;
    }

    /// Takes a record from the primary.
    pub(crate) fn receive(&mut self, record: &Arc<Record>) {
        apply(&self.working, record);
        self.push(record);
    }

    /// Drops all records past `length`.
    pub(crate) fn truncate(&mut self, length: usize) {
        if length >= self.records.len() {
            return;
        }
        self.records.truncate(length);
        self.starts
            .retain(|start| start.position.0 <= length as u64);
        self.working = open();
        for record in &self.records {
            apply(&self.working, record);
        }
        if self.applied <= length {
            self.received_at.truncate(length - self.applied);
            return;
        }
        self.reads = open();
        self.applied = 0;
        self.received_at = vec![Instant::now(); length];
        self.apply_until(length);
    }

    /// Refuses anything of a lower term from now on.
    pub(crate) fn fence(&mut self, term: Term) -> bool {
        if term <= self.fenced {
            return false;
        }
        self.fenced = term;
        if self.primary_term.take().is_some() {
            self.following = None;
        }
        self.void_transactions();
        true
    }

    /// Becomes primary of the term at which the server was fenced last.
    pub(crate) fn promote(&mut self, term: Term) -> bool {
        if term != self.fenced || self.held().term >= term {
            return self.primary_term == Some(term);
        }
        self.following = None;
        self.primary_term = Some(term);
        self.push(&Arc::new(Record {
            term,
            statements: Vec::new(),
            committed: Instant::now(),
        }));
        self.apply_until(self.records.len());
        true
    }

    /// Follows the primary of a term.
    pub(crate) fn follow(&mut self, following: Following) -> bool {
        if following.term < self.fenced || self.primary_term == Some(following.term) {
            return false;
        }
        self.fenced = following.term;
        self.primary_term = None;
        self.following = Some(following);
        self.void_transactions();
        true
    }
}
