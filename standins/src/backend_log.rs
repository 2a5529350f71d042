//! The log and the SQLite databases of one server, and its role in the group.

use std::sync::Arc;

use rusqlite::Connection;
use rusqlite::types::Value;
use sapphireslip_core::{Position, ServerRole, ServerStatus, TERM_STARTS_MAX, Term, TermPosition};
use tokio::time::Instant;

use crate::backend_sql::SqlError;

/// A statement as it is replicated.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    /// The SQL text in SQLite's dialect.
    pub(crate) sql: String,
    /// The values of the parameters `?1`, `?2` and so on.
    pub(crate) parameters: Vec<Value>,
}

/// An entry of the log: a committed transaction or the start of a term.
#[derive(Debug)]
pub(crate) struct Record {
    /// The term of the primary that wrote the record.
    pub(crate) term: Term,
    /// The writing statements of the transaction; empty for the start of a term.
    pub(crate) statements: Vec<Statement>,
    /// When the primary committed the record.
    pub(crate) committed: Instant,
}

/// The primary that a replica replicates from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Following {
    /// The term in which the primary was promoted.
    pub(crate) term: Term,
    /// The primary's index in the group.
    pub(crate) primary: usize,
}

/// The log of one server with the databases built from it and the server's role.
///
/// The server is the primary if `primary_term` is set, a replica if `following` is set, and
/// otherwise a fenced former primary that takes no writes.
#[derive(Debug)]
pub(crate) struct Log {
    /// The records; the first one has position 1.
    pub(crate) records: Vec<Arc<Record>>,
    /// The term and position of the first record of each term, in order.
    starts: Vec<TermPosition>,
    /// When this server received each record after `applied`, in order.
    pub(crate) received_at: Vec<Instant>,
    /// The position up to which reads see the log.
    pub(crate) applied: usize,
    /// The highest term at which the server was fenced; lower terms are refused.
    pub(crate) fenced: Term,
    /// The term in which this server is primary.
    pub(crate) primary_term: Option<Term>,
    /// The primary that this server replicates from.
    pub(crate) following: Option<Following>,
    /// The database for write transactions, which holds the whole log.
    pub(crate) working: Connection,
    /// The database for reads, which holds the log up to `applied`.
    pub(crate) reads: Connection,
    /// The number of times that open write transactions were discarded.
    pub(crate) epoch: u64,
}

/// Opens an empty database in memory.
fn open_database() -> Connection {
    Connection::open_in_memory().expect("SQLite opens a database in memory")
}

/// Runs a record's statements on a database in one transaction.
///
/// # Panics
///
/// Panics if a statement fails: it succeeded on the primary, so it must succeed here.
fn apply(database: &Connection, record: &Record) {
    let run = |sql: &str| database.execute_batch(sql);
    run("BEGIN").expect("no transaction is open");
    for Statement { sql, parameters } in &record.statements {
        run_all(database, sql, parameters)
            .expect("a statement that was committed once succeeds again");
    }
    run("COMMIT").expect("a transaction that was committed once commits again");
}

/// Runs a statement to its end and discards its rows.
fn run_all(database: &Connection, sql: &str, parameters: &[Value]) -> rusqlite::Result<()> {
    let mut statement = database.prepare_cached(sql)?;
    let mut rows = statement.query(rusqlite::params_from_iter(parameters))?;
    while rows.next()?.is_some() {}
    Ok(())
}

impl Log {
    /// Creates a log that holds only the start of term 1, whose primary is server 0.
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
            working: open_database(),
            reads: open_database(),
            epoch: 0,
        }
    }

    /// Returns the term and position of the last record.
    pub(crate) fn held(&self) -> TermPosition {
        TermPosition {
            term: self.records.last().map_or(Term(0), |record| record.term),
            position: Position(self.records.len() as u64),
        }
    }

    /// Returns whether the log holds the record of this term and position.
    pub(crate) fn holds(&self, record: TermPosition) -> bool {
        let index = usize::try_from(record.position.0).unwrap_or(usize::MAX);
        let found = index.checked_sub(1).and_then(|i| self.records.get(i));
        found.is_some_and(|found| found.term == record.term)
    }

    /// Appends a record that is not applied yet.
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

    /// Returns the server's role, fence and log positions.
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

    /// Checks that this server may accept writes.
    ///
    /// # Errors
    ///
    /// Returns SQLSTATE 25006 on a replica and 57P04 on a fenced former primary.
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

    /// Rolls the open write transaction back and makes its session's next statement fail.
    pub(crate) fn void_transactions(&mut self) {
        self.epoch += 1;
        self.rollback();
    }

    /// Rolls the open transaction of the working database back, if there is one.
    pub(crate) fn rollback(&self) {
        if !self.working.is_autocommit() {
            self.working
                .execute_batch("ROLLBACK")
                .expect("an open transaction rolls back");
        }
    }

    /// Commits the open write transaction as a new record and returns its term and position.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`check_write`](Self::check_write) and of the database's commit.
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

    /// Applies the log up to a position to the database for reads.
    pub(crate) fn apply_until(&mut self, position: usize) {
        for record in &self.records[self.applied..position] {
            apply(&self.reads, record);
        }
        self.received_at.drain(..position - self.applied);
        self.applied = position;
    }

    /// Appends a record received from the primary.
    pub(crate) fn receive(&mut self, record: &Arc<Record>) {
        apply(&self.working, record);
        self.push(record);
    }

    /// Drops all records after position `length` and rebuilds the databases that held them.
    pub(crate) fn truncate(&mut self, length: usize) {
        if length >= self.records.len() {
            return;
        }
        self.records.truncate(length);
        self.starts
            .retain(|start| start.position.0 <= length as u64);
        self.working = open_database();
        for record in &self.records {
            apply(&self.working, record);
        }
        if self.applied <= length {
            self.received_at.truncate(length - self.applied);
            return;
        }
        self.reads = open_database();
        self.applied = 0;
        self.received_at = vec![Instant::now(); length];
        self.apply_until(length);
    }

    /// Fences the server: from now on it refuses lower terms, and it is no longer primary.
    ///
    /// Returns false if the server is already fenced at this term or a higher one.
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

    /// Makes the server primary in the term at which it was last fenced.
    ///
    /// Returns whether the server is primary in this term.
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

    /// Makes the server a replica of the primary of a term.
    ///
    /// Returns false if the server is fenced at a higher term or is itself primary in this one.
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
