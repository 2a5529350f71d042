//! Load on the queue of one service in front of a fake server with a fixed number of slots.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::{AccountName, Random};
use sapphireslip_lead::{
    CompletionRate, DeadlineAdmission, FairQueue, JobId, QueueLoad, StatementClass,
    WaitingStatement, decide_admission,
};

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

impl Kind {
    /// Returns how long a statement may wait in the queue, in milliseconds.
    pub const fn wait_max(&self) -> u64 {
        self.target * 45 / 100
    }
}

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

/// What became of the statements of one source that came in one phase.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The statements asked for, without those that came back.
    pub asked: usize,
    /// The statements that were answered within their timeout.
    pub in_time: usize,
    /// The statements that were answered later.
    pub late: usize,
    /// The statements that were refused on arrival.
    pub refused: usize,
    /// The retry times of those statements.
    pub retries: Vec<Duration>,
    /// The statements that left the queue after 45% of their target latency.
    pub expired: usize,
    /// The longest wait of a statement that was sent, in milliseconds.
    pub wait_max: u64,
}

impl Outcome {
    /// Returns the statements that were refused, left the queue or were answered late. Those that
    /// are unanswered at the end of the load are not among them.
    pub const fn lost(&self) -> usize {
        self.refused + self.expired + self.late
    }

    /// Returns the share of the statements that were not lost.
    pub fn share(&self) -> f64 {
        1.0 - self.lost() as f64 / self.asked.max(1) as f64
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

/// The length of each phase of a load, in milliseconds.
const PHASE: u64 = 10_000;

/// Serves phases of load with a queue and admission before a server with `slots`, and returns the
/// outcomes of each phase by source.
///
/// `loads` are the multiples of the sources' loads in each phase. Statements leave the queue after
/// 45% of their target latency. Refused clients come back once, after the time that they were told.
pub fn serve(sources: &[Source], slots: usize, loads: &[u64]) -> Vec<Vec<Outcome>> {
    let mut random = Random::new(11);
    let mut queue = FairQueue::default();
    let mut rate = CompletionRate::default();
    let mut outcomes = vec![vec![Outcome::default(); sources.len()]; loads.len()];
    let mut came: Vec<(usize, u64)> = Vec::new();
    let mut returning: BTreeSet<(u64, usize, usize)> = BTreeSet::new();
    let mut slots: Vec<Option<(u64, JobId)>> = vec![None; slots];
    for now in 0..PHASE * loads.len() as u64 {
        let phase = usize::try_from(now / PHASE).expect("a small number");
        let outcomes = &mut outcomes[phase];
        let of = |came: &[(usize, u64)], id: JobId| came[usize::try_from(id.0).expect("small")];
        for slot in &mut slots {
            if let Some((end, id)) = *slot
                && end <= now
            {
                *slot = None;
                let (index, arrived) = of(&came, id);
                let kind = sources[index].kind;
                rate.note_completed(at(now), Duration::from_millis(kind.work));
                let is_late = now - arrived > kind.timeout;
                outcomes[index].late += usize::from(is_late);
                outcomes[index].in_time += usize::from(!is_late);
            }
        }
        let mut arrivals = Vec::new();
        for (index, source) in sources.iter().enumerate() {
            // The chance of an arrival within this millisecond, in millionths.
            let chance = source.load * loads[phase] * 1_000 / source.kind.work;
            if random.below(1_000_000) < chance {
                outcomes[index].asked += 1;
                arrivals.push((index, true));
            }
        }
        while let Some(first) = returning.first().copied()
            && first.0 <= now
        {
            returning.remove(&first);
            arrivals.push((first.1, false));
        }
        for (index, is_first) in arrivals {
            let source = &sources[index];
            let (kind, account) = (source.kind, Some(source.account.clone()));
            let load = QueueLoad {
                ahead: queue.ahead_of(&account, source.weight, kind.priority, true),
                ahead_of_aged: queue.ahead_of_aged(true),
                ages_after: Duration::from_millis(kind.target / 4),
                waiting: queue.len(),
                rate: rate.per_second(at(now)),
                returning: rate.returning(at(now)),
            };
            let work = Duration::from_millis(kind.work);
            let deadline = Duration::from_millis(kind.timeout);
            let wait_max = Duration::from_millis(kind.wait_max());
            match decide_admission(&load, work, deadline, wait_max, random.below(1_000)) {
                DeadlineAdmission::Admit => {
                    queue.push(at(now), waiting(came.len() as u64, source, now));
                    came.push((index, now));
                }
                DeadlineAdmission::Refuse { retry_after } => {
                    rate.note_refused(at(now), work);
                    outcomes[index].refused += 1;
                    outcomes[index].retries.push(retry_after);
                    if is_first {
                        let pause = u64::try_from(retry_after.as_millis()).expect("at most 5 s");
                        returning.insert((now + pause, index, returning.len()));
                    }
                }
            }
        }
        for slot in slots.iter_mut().filter(|slot| slot.is_none()) {
            while let Some(id) = queue.next(at(now)) {
                let (index, arrived) = of(&came, id);
                let kind = sources[index].kind;
                if now - arrived >= kind.wait_max() {
                    queue.remove(id);
                    outcomes[index].expired += 1;
                    continue;
                }
                queue.serve(id);
                outcomes[index].wait_max = outcomes[index].wait_max.max(now - arrived);
                *slot = Some((now + kind.work, id));
                break;
            }
        }
        rate.note_backlog(at(now), !queue.is_empty());
    }
    outcomes
}
