//! Load on the queue of one service in front of a fake server with a fixed number of slots.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sapphireslip_core::{AccountName, Random};
use sapphireslip_lead::{FairQueue, JobId, StatementClass, WaitingStatement};

use super::at;

/// A kind of request: its priority, its work and target latency in milliseconds, and its timeout.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The priority among waiting statements.
    pub priority: u8,
    /// The work at the server, in milliseconds.
    pub work: u64,
    /// The target latency, in milliseconds.
    pub target: u64,
    /// The timeout, in milliseconds.
    pub timeout: u64,
}

/// Payments: urgent and short.
pub const PAYMENT: Kind = Kind {
    priority: 0,
    work: 7,
    target: 150,
    timeout: 900,
};

/// Reads of own writes.
pub const READ: Kind = Kind {
    priority: 1,
    work: 21,
    target: 300,
    timeout: 900,
};

/// Polls: long and not urgent.
pub const POLL: Kind = Kind {
    priority: 2,
    work: 35,
    target: 800,
    timeout: 2_000,
};

/// One client account's statements of one kind.
#[derive(Clone, Debug)]
pub struct Source {
    /// The account.
    pub account: AccountName,
    /// The account's weight.
    pub weight: u64,
    /// The kind of its statements.
    pub kind: Kind,
    /// The work that it asks for per second, in milliseconds.
    pub load: u64,
}

/// What became of the statements of one source.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// The statements asked for.
    pub asked: usize,
    /// The statements that were sent.
    pub sent: usize,
    /// The longest wait of a statement that was sent, in milliseconds.
    pub wait_max: u64,
}

impl Served {
    /// Returns the share of the statements that were sent.
    pub fn share(&self) -> f64 {
        self.sent as f64 / self.asked.max(1) as f64
    }
}

/// Returns an account's name.
pub fn account(number: usize) -> AccountName {
    AccountName::try_from(format!("account-{number}").as_str()).expect("a valid name")
}

/// Returns a waiting statement that came at `millis`.
pub fn waiting(id: u64, source: &Source, millis: u64) -> WaitingStatement {
    let Kind {
        priority,
        work,
        target,
        timeout,
    } = source.kind;
    WaitingStatement {
        id: JobId(id),
        account: Some(source.account.clone()),
        weight: source.weight,
        class: StatementClass::Leader,
        priority,
        deadline: Some(at(millis + timeout)),
        ages_at: Some(at(millis + target / 4)),
        send_from: at(millis),
        patience_end: at(millis + timeout / 2),
        work: Duration::from_millis(work),
    }
}

/// Serves the sources for 20 s with a queue before a server with `slots`. Statements leave the queue
/// after 45% of their target latency.
pub fn serve(sources: &[Source], slots: usize) -> Vec<Served> {
    let mut random = Random::new(7);
    let mut queue = FairQueue::default();
    let mut served = vec![Served::default(); sources.len()];
    let mut came: BTreeMap<JobId, (usize, u64)> = BTreeMap::new();
    let mut ends: VecDeque<(u64, JobId)> = VecDeque::new();
    let mut busy_until = vec![0; slots];
    let mut last = 0;
    for now in 0..20_000 {
        for (index, source) in sources.iter().enumerate() {
            // The chance of an arrival within this millisecond, in millionths.
            let chance = source.load * 1_000 / source.kind.work;
            if random.below(1_000_000) < chance {
                last += 1;
                queue.push(at(now), waiting(last, source, now));
                came.insert(JobId(last), (index, now));
                ends.push_back((now + source.kind.target * 45 / 100, JobId(last)));
                served[index].asked += 1;
            }
        }
        ends.retain(|(end, id)| {
            if *end <= now {
                queue.remove(*id);
            }
            *end > now
        });
        for slot in &mut busy_until {
            if *slot > now {
                continue;
            }
            let Some(id) = queue.next(at(now)) else {
                break;
            };
            queue.serve(id);
            let (index, arrived) = came[&id];
            *slot = now + sources[index].kind.work;
            served[index].sent += 1;
            served[index].wait_max = served[index].wait_max.max(now - arrived);
        }
    }
    served
}
