//! Runs the statements of one session and keeps the state of its transaction.

use std::sync::Arc;
use std::time::Duration;

use rusqlite::types::Value;
use sapphireslip_core::TermPosition;
use tokio::sync::{OwnedMutexGuard, Semaphore};
use tokio::time::{sleep, timeout};

use crate::backend_log::{Log, Statement};
use crate::backend_query::{Description, ResultSet, describe, run};
use crate::backend_server::{Server, lock};
use crate::backend_session::IDLE_SETTING;
use crate::backend_sql::{SqlError, StatementKind, Translated, classify, set_local, sleep_seconds};

/// The setting that limits the time of a statement in milliseconds. The stand-in applies it only to
/// the wait for the write lock.
const STATEMENT_SETTING: &str = "statement_timeout";

/// The state of a session's transaction block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Block {
    /// The session is not in a block.
    Idle,
    /// A block is open.
    Open,
    /// A statement of the block has failed; only its end is accepted.
    Failed,
}

/// The open write transaction of a session; dropping it rolls the transaction back.
#[derive(Debug)]
struct WriteTransaction {
    /// The server that runs the transaction.
    server: Arc<Server>,
    /// The log's epoch when the transaction began; a later epoch means that it was rolled back.
    epoch: u64,
    /// The writing statements so far, in order.
    statements: Vec<Statement>,
    /// The server's write lock.
    _guard: OwnedMutexGuard<()>,
}

impl Drop for WriteTransaction {
    fn drop(&mut self) {
        let log = lock(&self.server.log);
        if log.epoch == self.epoch {
            log.rollback();
        }
    }
}

/// The limits that `SET LOCAL` has set until the end of the block.
#[derive(Clone, Copy, Debug, Default)]
struct LocalLimits {
    /// How long the block may be idle.
    idle: Option<Duration>,
    /// How long a statement may wait for the write lock.
    statement: Option<Duration>,
}

/// The transaction state of a session.
#[derive(Debug)]
pub(crate) struct Transaction {
    /// The server that the session is connected to.
    server: Arc<Server>,
    /// The server's permits for executing statements, of the run in which the session began.
    slots: Arc<Semaphore>,
    /// The state of the transaction block.
    pub(crate) block: Block,
    /// Whether the last block was opened as read-only.
    is_read_only: bool,
    /// The open write transaction; `None` until the first write of a transaction.
    write: Option<WriteTransaction>,
    /// The limits that the open block has set for itself.
    limits: LocalLimits,
    /// The record committed last; `None` once its position has been reported to the client.
    pub(crate) committed: Option<TermPosition>,
}

impl Transaction {
    /// Creates the state of a new session at a server.
    pub(crate) fn new(server: Arc<Server>) -> Self {
        let slots = Arc::clone(&lock(&server.run).slots);
        Self {
            server,
            slots,
            block: Block::Idle,
            is_read_only: false,
            write: None,
            limits: LocalLimits::default(),
            committed: None,
        }
    }

    /// Runs one statement; if it fails, so does the open block.
    ///
    /// # Errors
    ///
    /// Returns the error to report to the client.
    pub(crate) async fn run_statement(
        &mut self,
        translated: &Translated,
        parameters: &[Value],
    ) -> Result<ResultSet, SqlError> {
        let result = self.dispatch(translated, parameters).await;
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Rolls the open write transaction back after an error and marks the open block as failed.
    pub(crate) fn fail(&mut self) {
        self.write = None;
        if self.block == Block::Open {
            self.block = Block::Failed;
        }
    }

    /// Runs one statement according to its kind.
    async fn dispatch(
        &mut self,
        translated: &Translated,
        parameters: &[Value],
    ) -> Result<ResultSet, SqlError> {
        let kind = classify(&translated.sql);
        if self.block == Block::Failed
            && !matches!(kind, StatementKind::Commit | StatementKind::Rollback)
        {
            let message = "current transaction is aborted, commands ignored until end of block";
            return Err(SqlError::new("25P02", message));
        }
        match kind {
            StatementKind::Begin => self.begin(false),
            StatementKind::BeginReadOnly => self.begin(true),
            StatementKind::Commit => {
                self.end_block();
                self.commit()?;
            }
            StatementKind::Rollback => {
                self.end_block();
                self.write = None;
            }
            StatementKind::Set => self.set(&translated.sql),
            StatementKind::Show => {
                return Ok(ResultSet {
                    rows: vec![vec![Value::Text(String::new())]],
                    changes: 0,
                });
            }
            StatementKind::Sleep => return self.sleep(&translated.sql).await,
            StatementKind::Read => return self.read(&translated.sql, parameters).await,
            StatementKind::Write => return self.write(&translated.sql, parameters).await,
        }
        Ok(ResultSet::default())
    }

    /// Opens a transaction block.
    fn begin(&mut self, is_read_only: bool) {
        self.block = Block::Open;
        self.is_read_only = is_read_only;
    }

    /// Closes the transaction block and drops its settings.
    fn end_block(&mut self) {
        self.block = Block::Idle;
        self.limits = LocalLimits::default();
    }

    /// Applies `SET LOCAL` of the two known limits; ignores other settings.
    fn set(&mut self, sql: &str) {
        match set_local(sql) {
            Some((IDLE_SETTING, limit)) => self.limits.idle = Some(limit),
            Some((STATEMENT_SETTING, limit)) => self.limits.statement = Some(limit),
            _ => {}
        }
    }

    /// Returns the idle limit that the open block has set for itself.
    pub(crate) fn idle_limit(&self) -> Option<Duration> {
        self.limits.idle
    }

    /// Begins a write transaction once no other session has one, within the block's time limit for
    /// statements.
    async fn begin_write_within_limit(&self) -> Result<WriteTransaction, SqlError> {
        let begun = begin_write(&self.server);
        let Some(limit) = self.limits.statement else {
            return begun.await;
        };
        timeout(limit, begun).await.unwrap_or_else(|_elapsed| {
            let message = "canceling statement due to statement timeout";
            Err(SqlError::new("57014", message))
        })
    }

    /// Commits the implicit transaction of statements outside a block.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction can't be committed.
    pub(crate) fn end_implicit(&mut self) -> Result<(), SqlError> {
        match self.block {
            Block::Idle => self.commit(),
            Block::Open | Block::Failed => Ok(()),
        }
    }

    /// Commits the open write transaction, if there is one.
    fn commit(&mut self) -> Result<(), SqlError> {
        let Some(mut write) = self.write.take() else {
            return Ok(());
        };
        let mut log = lock(&self.server.log);
        check_epoch(&log, &write)?;
        let committed = log.commit(std::mem::take(&mut write.statements));
        drop(log);
        drop(write);
        self.committed = Some(committed?);
        self.server.notify();
        Ok(())
    }

    /// Waits until the server may execute one more statement.
    async fn acquire_slot(&self) -> Result<tokio::sync::OwnedSemaphorePermit, SqlError> {
        let slots = Arc::clone(&self.slots);
        let slot = slots.acquire_owned().await;
        slot.map_err(|_closed| SqlError::new("57P01", "the server is stopping"))
    }

    /// Waits for a slot and for the service time of a statement, then until the server is not
    /// frozen.
    async fn spend_service_time(&self) -> Result<tokio::sync::OwnedSemaphorePermit, SqlError> {
        let slot = self.acquire_slot().await?;
        let time = self.server.limits.service_time + lock(&self.server.faults).extra_service_time;
        if !time.is_zero() {
            sleep(time).await;
        }
        self.server.wait_until(|faults| !faults.is_frozen).await;
        Ok(slot)
    }

    /// Runs `pg_sleep`, for at most an hour.
    async fn sleep(&self, sql: &str) -> Result<ResultSet, SqlError> {
        let _slot = self.acquire_slot().await?;
        let seconds = sleep_seconds(sql).clamp(0.0, 3600.0);
        sleep(std::time::Duration::from_secs_f64(seconds)).await;
        Ok(ResultSet {
            rows: vec![vec![Value::Text(String::new())]],
            changes: 0,
        })
    }

    /// Runs a read: in a write transaction on the latest state, otherwise on the applied log.
    async fn read(&self, sql: &str, parameters: &[Value]) -> Result<ResultSet, SqlError> {
        let _slot = self.spend_service_time().await?;
        let log = lock(&self.server.log);
        match &self.write {
            Some(write) => {
                check_epoch(&log, write)?;
                run(&log.working, sql, parameters)
            }
            None => run(&log.reads, sql, parameters),
        }
    }

    /// Runs a write, in a new write transaction if none is open.
    async fn write(&mut self, sql: &str, parameters: &[Value]) -> Result<ResultSet, SqlError> {
        if self.block == Block::Open && self.is_read_only {
            let message = "cannot execute the statement in a read-only transaction";
            return Err(SqlError::new("25006", message));
        }
        if self.write.is_none() {
            self.write = Some(self.begin_write_within_limit().await?);
        }
        let _slot = self.spend_service_time().await?;
        let Some(write) = &mut self.write else {
            return Err(SqlError::new("XX000", "no write transaction is open"));
        };
        let log = lock(&self.server.log);
        check_epoch(&log, write)?;
        let result = run(&log.working, sql, parameters)?;
        write.statements.push(Statement {
            sql: sql.to_owned(),
            parameters: parameters.to_vec(),
        });
        Ok(result)
    }

    /// Describes a statement's parameters and columns.
    ///
    /// # Errors
    ///
    /// Returns an error if the database can't prepare the statement.
    pub(crate) fn describe(
        &self,
        translated: &Translated,
        given: &[u32],
    ) -> Result<Description, SqlError> {
        let log = lock(&self.server.log);
        match classify(&translated.sql) {
            StatementKind::Read | StatementKind::Write => {}
            StatementKind::Sleep | StatementKind::Show => {
                return Ok(Description {
                    parameters: Vec::new(),
                    columns: vec![crate::backend_query::Column {
                        name: "value".to_owned(),
                        oid: crate::backend_values::oid::TEXT,
                    }],
                });
            }
            _ => return Ok(Description::default()),
        }
        match &self.write {
            Some(_) => describe(&log.working, translated, given),
            None => describe(&log.reads, translated, given),
        }
    }
}

/// Checks that a write transaction has not been rolled back by a change of term or a kill.
fn check_epoch(log: &Log, write: &WriteTransaction) -> Result<(), SqlError> {
    match log.epoch == write.epoch {
        true => Ok(()),
        false => Err(SqlError::new(
            "57P04",
            format!(
                "the transaction was rolled back: this server was fenced at term {}",
                log.fenced.0
            ),
        )),
    }
}

/// Begins a write transaction once no other session has one.
///
/// If the write lock is replaced in the meantime, the wait starts again with the new lock.
async fn begin_write(server: &Arc<Server>) -> Result<WriteTransaction, SqlError> {
    loop {
        lock(&server.log).check_write()?;
        let write_lock = Arc::clone(&lock(&server.write_lock));
        let mut changed = server.changed.subscribe();
        let replaced = async {
            while Arc::ptr_eq(&write_lock, &lock(&server.write_lock)) {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let guard = tokio::select! {
            guard = Arc::clone(&write_lock).lock_owned() => guard,
            () = replaced => continue,
        };
        let log = lock(&server.log);
        log.check_write()?;
        if !Arc::ptr_eq(&write_lock, &lock(&server.write_lock)) {
            continue;
        }
        log.working.execute_batch("BEGIN")?;
        return Ok(WriteTransaction {
            server: Arc::clone(server),
            epoch: log.epoch,
            statements: Vec::new(),
            _guard: guard,
        });
    }
}
