//! One backend server: its listener, its faults and the tasks that follow a primary.

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

/// What is wrong with a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Nothing is done or answered.
    pub(crate) is_frozen: bool,
    /// Added to each statement's time.
    pub(crate) extra_service_time: Duration,
    /// Peers from which no records come.
    pub(crate) cut_servers: BTreeSet<usize>,
    /// No caller's bytes pass.
    pub(crate) cut_callers: bool,
    /// No bytes pass of callers from these availability zones.
    pub(crate) cut_zones: BTreeSet<String>,
    /// Connections with a number up to this one have gone silent for good.
    pub(crate) silent_below: u64,
    /// The next commit's answer is lost.
    pub(crate) lose_next_answer: bool,
    /// The next large answer breaks off in its middle.
    pub(crate) break_next_large_answer: bool,
    /// The time until a record of the primary is held here.
    pub(crate) transfer_delay: Duration,
    /// The time until reads see a record that is held.
    pub(crate) lag: Duration,
}

/// What is the same for all servers of a group.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    pub(crate) connections: usize,
    pub(crate) connect_delay: Duration,
    pub(crate) slots: usize,
    pub(crate) service_time: Duration,
    pub(crate) password: Option<String>,
}

/// One run of a server, from its start to its kill.
#[derive(Debug)]
pub(crate) struct Run {
    /// Ends all tasks of the run.
    pub(crate) stop: CancellationToken,
    /// Bounds ordinary connections.
    pub(crate) connections: Arc<Semaphore>,
    /// Bounds statements that execute at once.
    pub(crate) slots: Arc<Semaphore>,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) index: usize,
    pub(crate) address: SocketAddr,
    pub(crate) limits: Limits,
    pub(crate) log: Mutex<Log>,
    pub(crate) faults: Mutex<Faults>,
    /// Held by the session whose write transaction is open.
    pub(crate) write_lock: Mutex<Arc<tokio::sync::Mutex<()>>>,
    /// Goes up whenever the log or the faults have changed.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) run: Mutex<Run>,
    pub(crate) next_connection: std::sync::atomic::AtomicU64,
    /// Statements taken on ordinary connections.
    pub(crate) statements: std::sync::atomic::AtomicU64,
}

/// Locks, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Limits {
    pub(crate) fn new_run(&self) -> Run {
        Run {
            stop: CancellationToken::new(),
            connections: Arc::new(Semaphore::new(self.connections)),
            slots: Arc::new(Semaphore::new(self.slots)),
        }
    }
}

impl Server {
    /// Tells all waiting tasks to look again.
    pub(crate) fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Changes the faults.
    pub(crate) fn set_fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
        self.notify();
    }

    /// Voids the gate of write transactions, whose holder may never come back.
    pub(crate) fn replace_write_lock(&self) {
        *lock(&self.write_lock) = Arc::default();
        self.notify();
    }

    /// Waits until the faults allow it.
    pub(crate) async fn wait_until(&self, allowed: impl Fn(&Faults) -> bool) {
        let mut changed = self.changed.subscribe();
        while !allowed(&lock(&self.faults)) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Starts the tasks of a run.
    pub(crate) fn start(self: &Arc<Self>, listener: TcpListener, group: &Arc<[Arc<Self>]>) {
        let stop = lock(&self.run).stop.clone();
        let accept = accept(Arc::clone(self), listener, Arc::clone(group), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept));
        let replicate = replicate(Arc::clone(self), Arc::clone(group));
        tokio::spawn(stop.clone().run_until_cancelled_owned(replicate));
        tokio::spawn(stop.run_until_cancelled_owned(apply_records(Arc::clone(self))));
    }

    /// Drops connections and stops listening; the log stays.
    pub(crate) fn kill(&self) {
        lock(&self.run).stop.cancel();
        lock(&self.log).void_transactions();
        self.replace_write_lock();
    }

    /// Comes back with the log.
    pub(crate) async fn restart(self: &Arc<Self>, group: &Arc<[Arc<Self>]>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        *lock(&self.run) = self.limits.new_run();
        self.start(listener, group);
        self.notify();
        Ok(())
    }

    fn is_running(&self) -> bool {
        !lock(&self.run).stop.is_cancelled()
    }
}

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

/// The records that a server lacks, and how much of its own log the primary shares.
struct Missing {
    shared: usize,
    records: Vec<Arc<Record>>,
}

impl Server {
    /// Returns what a follower lacks, if this server leads the term and can be reached.
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
        // The same term at the same position means the same log up to there.
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

    /// Takes what is due from the primary; returns when the next record is due.
    pub(crate) fn pull_records(&self, group: &[Arc<Self>]) -> Option<Instant> {
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

    /// Makes reads see what is due; returns when the next record is due.
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

async fn wait(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Follows the primary for as long as the server runs.
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

/// Applies what is held for as long as the server runs.
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
