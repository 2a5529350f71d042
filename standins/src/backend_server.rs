//! One backend server: its listener, its fault switches and the tasks that replicate from a
//! primary.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use sapphireslip_core::ServerId;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::backend_log::{Following, Log, Record};
use crate::backend_session;

/// The faults and delays that are switched on at a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Whether the server neither works nor answers.
    pub(crate) is_frozen: bool,
    /// The time by which each statement takes longer than the service time.
    pub(crate) extra_service_time: Duration,
    /// The indices of the servers with which this one exchanges no records.
    pub(crate) cut_servers: BTreeSet<usize>,
    /// Whether the data of all clients is held back.
    pub(crate) cut_clients: bool,
    /// The availability zones whose clients' data is held back.
    pub(crate) cut_zones: BTreeSet<String>,
    /// Connections with a number below this one are permanently silent.
    pub(crate) silent_below: u64,
    /// Whether the connection is closed instead of answering the next commit.
    pub(crate) lose_next_answer: bool,
    /// Whether the connection is closed halfway through the next large answer.
    pub(crate) break_next_large_answer: bool,
    /// The time from the primary's commit of a record until this server receives it.
    pub(crate) transfer_delay: Duration,
    /// The time from this server's receipt of a record until its reads see it.
    pub(crate) lag: Duration,
}

/// The limits and settings that all servers of a group share.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// The most ordinary connections that one server accepts at once.
    pub(crate) connections: usize,
    /// The delay before a new connection is accepted.
    pub(crate) connect_delay: Duration,
    /// The most statements that one server executes at once.
    pub(crate) slots: usize,
    /// The least execution time of each statement.
    pub(crate) service_time: Duration,
    /// The password that all users must give; `None` if the servers ask for none.
    pub(crate) password: Option<String>,
}

/// A run of a server, from its start until it is killed.
#[derive(Debug)]
pub(crate) struct Run {
    /// Cancels all tasks of the run.
    pub(crate) stop: CancellationToken,
    /// Has a permit for each further ordinary connection.
    pub(crate) connections: Arc<Semaphore>,
    /// Has a permit for each further statement that may execute at the same time.
    pub(crate) slots: Arc<Semaphore>,
}

/// A backend server of a group, running or killed.
#[derive(Debug)]
pub(crate) struct Server {
    /// The identifier by which group requests name the server.
    pub(crate) id: ServerId,
    /// The server's index in the group.
    pub(crate) index: usize,
    /// The listen address.
    pub(crate) address: SocketAddr,
    /// The limits and settings of the group.
    pub(crate) limits: Limits,
    /// The log and the databases, which outlive a run.
    pub(crate) log: Mutex<Log>,
    /// Held while records are pulled from the primary. The replication task and each request to
    /// follow a primary pull records; a pull that compared the logs before another one ended would
    /// drop records that the server has already reported.
    pub(crate) pulling: Mutex<()>,
    /// The faults that are switched on at present.
    pub(crate) faults: Mutex<Faults>,
    /// The lock that the session with the open write transaction holds.
    pub(crate) write_lock: Mutex<Arc<tokio::sync::Mutex<()>>>,
    /// The number of changes of the log, the faults and the write lock; tasks that wait for one
    /// subscribe to it.
    pub(crate) changed: watch::Sender<u64>,
    /// The current run, or the last one of a killed server.
    pub(crate) run: Mutex<Run>,
    /// The number that the next connection gets; it starts at 1.
    pub(crate) next_connection: std::sync::atomic::AtomicU64,
    /// The number of statements received on ordinary connections since the group started.
    pub(crate) statements: std::sync::atomic::AtomicU64,
}

/// Locks a mutex, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Limits {
    /// Creates a run that has no connections yet.
    pub(crate) fn new_run(&self) -> Run {
        Run {
            stop: CancellationToken::new(),
            connections: Arc::new(Semaphore::new(self.connections)),
            slots: Arc::new(Semaphore::new(self.slots)),
        }
    }
}

impl Server {
    /// Wakes all tasks that wait for a change of this server.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Changes the faults and wakes the tasks that wait for a change.
    pub(crate) fn set_fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
        self.notify();
    }

    /// Replaces the write lock, because its holder may never release it.
    pub(crate) fn replace_write_lock(&self) {
        *lock(&self.write_lock) = Arc::default();
        self.notify();
    }

    /// Waits until the faults satisfy a condition.
    pub(crate) async fn wait_until(&self, allowed: impl Fn(&Faults) -> bool) {
        let mut changed = self.changed.subscribe();
        while !allowed(&lock(&self.faults)) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Starts the tasks of the current run.
    pub(crate) fn start(self: &Arc<Self>, listener: TcpListener, group: &Arc<[Arc<Self>]>) {
        let stop = lock(&self.run).stop.clone();
        let accept = accept(Arc::clone(self), listener, Arc::clone(group), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept));
        let replicate = replicate(Arc::clone(self), Arc::clone(group));
        tokio::spawn(stop.clone().run_until_cancelled_owned(replicate));
        tokio::spawn(stop.run_until_cancelled_owned(apply_records(Arc::clone(self))));
    }

    /// Ends the run: closes the connections and the listener. The log is kept.
    pub(crate) fn kill(&self) {
        lock(&self.run).stop.cancel();
        lock(&self.log).void_transactions();
        self.replace_write_lock();
    }

    /// Starts a new run with the log of the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub(crate) async fn restart(self: &Arc<Self>, group: &Arc<[Arc<Self>]>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        *lock(&self.run) = self.limits.new_run();
        self.start(listener, group);
        self.notify();
        Ok(())
    }

    /// Returns whether the server has been started and not killed since.
    fn is_running(&self) -> bool {
        !lock(&self.run).stop.is_cancelled()
    }
}

/// Accepts connections until the run ends.
async fn accept(
    server: Arc<Server>,
    listener: TcpListener,
    group: Arc<[Arc<Server>]>,
    stop: CancellationToken,
) {
    while let Ok((socket, _)) = listener.accept().await {
        let session = backend_session::serve(Arc::clone(&server), Arc::clone(&group), socket);
        tokio::spawn(stop.clone().run_until_cancelled_owned(session));
    }
}

/// The difference between a replica's log and the primary's.
struct Missing {
    /// The number of records at the beginning that both logs share.
    shared: usize,
    /// The primary's records after the shared ones.
    records: Vec<Arc<Record>>,
}

impl Server {
    /// Returns the records that a replica lacks; `None` if this server can't be reached or is not
    /// primary in the term that the replica follows.
    fn missing(&self, follower: &Self, following: Following) -> Option<Missing> {
        let faults = lock(&self.faults);
        let cut = faults.is_frozen || faults.cut_servers.contains(&follower.index);
        drop(faults);
        if cut || !self.is_running() {
            return None;
        }
        let held = lock(&follower.log).held();
        let log = lock(&self.log);
        if log.primary_term != Some(following.term) {
            return None;
        }
        // Logs that have the same term at the same position are equal up to that position.
        if log.holds(held) {
            let shared = usize::try_from(held.position.0).unwrap_or(usize::MAX);
            let records = log.records[shared..].to_vec();
            return Some(Missing { shared, records });
        }
        let records = log.records.clone();
        drop(log);
        let own = lock(&follower.log);
        let pairs = own.records.iter().zip(&records);
        let shared = pairs
            .take_while(|(own, record)| own.term == record.term)
            .count();
        Some(Missing {
            shared,
            records: records[shared..].to_vec(),
        })
    }

    /// Receives all records of the primary whose transfer delay has passed, and drops own records
    /// that the primary does not have.
    ///
    /// Returns when the next record is due; `None` if no record is on its way.
    pub(crate) fn pull_records(&self, group: &[Arc<Self>]) -> Option<Instant> {
        let _pulling = lock(&self.pulling);
        let following = lock(&self.log).following?;
        let primary = group.get(following.primary)?;
        let faults = lock(&self.faults).clone();
        if faults.is_frozen || faults.cut_servers.contains(&following.primary) {
            return None;
        }
        let missing = primary.missing(self, following)?;
        let mut log = lock(&self.log);
        if log.following != Some(following) || following.term < log.fenced {
            return None;
        }
        let mut changed = log.records.len() > missing.shared;
        log.truncate(missing.shared);
        let now = Instant::now();
        let mut next = None;
        for record in missing.records {
            let due = record.committed + faults.transfer_delay;
            if due > now {
                next = Some(due);
                break;
            }
            log.receive(&record);
            changed = true;
        }
        drop(log);
        if changed {
            self.notify();
        }
        next
    }

    /// Applies all received records whose lag has passed.
    ///
    /// Returns when the next record is due; `None` if no record waits.
    fn apply_due(&self) -> Option<Instant> {
        let faults = lock(&self.faults).clone();
        if faults.is_frozen {
            return None;
        }
        let mut log = lock(&self.log);
        let now = Instant::now();
        let due = log
            .received_at
            .iter()
            .take_while(|received| **received + faults.lag <= now)
            .count();
        let next = log
            .received_at
            .get(due)
            .map(|received| *received + faults.lag);
        if due > 0 {
            let position = log.applied + due;
            log.apply_until(position);
            drop(log);
            self.notify();
        }
        next
    }
}

/// Waits until a time; forever if there is none.
async fn wait(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Replicates from the primary until the run ends.
async fn replicate(server: Arc<Server>, group: Arc<[Arc<Server>]>) {
    let mut watches: Vec<_> = group
        .iter()
        .map(|server| server.changed.subscribe())
        .collect();
    loop {
        for watch in &mut watches {
            watch.mark_unchanged();
        }
        let due = server.pull_records(&group);
        let following = lock(&server.log).following;
        let mut own = watches[server.index].clone();
        let mut primary =
            watches[following.map_or(server.index, |following| following.primary)].clone();
        tokio::select! {
            () = wait(due) => {}
            _ = own.changed() => {}
            _ = primary.changed() => {}
        }
    }
}

/// Applies received records until the run ends.
async fn apply_records(server: Arc<Server>) {
    let mut changed = server.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let due = server.apply_due();
        tokio::select! {
            () = wait(due) => {}
            _ = changed.changed() => {}
        }
    }
}
