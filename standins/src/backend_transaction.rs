//! One session's statements and transaction on a server.

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

/// The setting that bounds a statement, its wait for other writers included.
const STATEMENT_SETTING: &str = "statement_timeout";

/// Whether a session is in a transaction block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Block {
    Idle,
    Open,
    Failed,
}

/// The open write transaction of a session; dropping it rolls back.
#[derive(Debug)]
struct WriteTransaction {
    server: Arc<Server>,
    epoch: u64,
    statements: Vec<Statement>,
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

/// What `SET LOCAL` bounds until the end of the block.
#[derive(Clone, Copy, Debug, Default)]
struct LocalLimits {
    idle: Option<Duration>,
    statement: Option<Duration>,
}

/// A session's transaction state.
#[derive(Debug)]
pub(crate) struct Transaction {
    server: Arc<Server>,
    slots: Arc<Semaphore>,
    /// Whether a block is open.
    pub(crate) block: Block,
    is_read_only: bool,
    write: Option<WriteTransaction>,
    limits: LocalLimits,
    /// The record committed since the last look.
    pub(crate) committed: Option<TermPosition>,
}

impl Transaction {
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

    /// Runs one statement; an error fails the open block.
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

    /// Gives up on what is open after an error.
    pub(crate) fn fail(&mut self) {
        self.write = None;
        if self.block == Block::Open {
            self.block = Block::Failed;
        }
    }

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

    fn begin(&mut self, is_read_only: bool) {
        self.block = Block::Open;
        self.is_read_only = is_read_only;
    }

    fn end_block(&mut self) {
        self.block = Block::Idle;
        self.limits = LocalLimits::default();
    }

    fn set(&mut self, sql: &str) {
        match set_local(sql) {
            Some((IDLE_SETTING, limit)) => self.limits.idle = Some(limit),
            Some((STATEMENT_SETTING, limit)) => self.limits.statement = Some(limit),
            _ => {}
        }
    }

    /// Returns how long the open block may wait for its caller, if the block itself says so.
    pub(crate) fn idle_limit(&self) -> Option<Duration> {
        self.limits.idle
    }

    /// Begins to write, once no other session does.
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

    /// Commits what is open outside a block.
    pub(crate) fn end_implicit(&mut self) -> Result<(), SqlError> {
        match self.block {
            Block::Idle => self.commit(),
            Block::Open | Block::Failed => Ok(()),
        }
    }

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

    async fn acquire_slot(&self) -> Result<tokio::sync::OwnedSemaphorePermit, SqlError> {
        let slots = Arc::clone(&self.slots);
        let slot = slots.acquire_owned().await;
        slot.map_err(|_closed| SqlError::new("57P01", "the server is stopping"))
    }

    async fn spend_service_time(&self) -> Result<tokio::sync::OwnedSemaphorePermit, SqlError> {
        let slot = self.acquire_slot().await?;
        let time = self.server.limits.service_time + lock(&self.server.faults).extra_service_time;
        if !time.is_zero() {
            sleep(time).await;
        }
        self.server.wait_until(|faults| !faults.is_frozen).await;
        Ok(slot)
    }

    async fn sleep(&self, sql: &str) -> Result<ResultSet, SqlError> {
        let _slot = self.acquire_slot().await?;
        let seconds = sleep_seconds(sql).clamp(0.0, 3600.0);
        sleep(std::time::Duration::from_secs_f64(seconds)).await;
        Ok(ResultSet {
            rows: vec![vec![Value::Text(String::new())]],
            changes: 0,
        })
    }

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

    /// Returns what a statement takes and gives.
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

fn check_epoch(log: &Log, write: &WriteTransaction) -> Result<(), SqlError> {
    match log.epoch == write.epoch {
        true => Ok(()),
        false => Err(SqlError::new(
            "57P04",
            format!("the transaction ended when term {} began", log.fenced.0),
        )),
    }
}

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
