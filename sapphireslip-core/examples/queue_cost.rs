//! Measures the reducer's time for one event against the length of a home's queue.
//!
//! Prints a line for each length: the mean time for the answer to a statement (which sends the next
//! one), for a request that joins the queue, and for a tick.

#[path = "../tests/home_fake/mod.rs"]
mod home_fake;

use std::time::{Duration, Instant};

use home_fake::{Fake, ok};
use sapphireslip_core::{QUEUE_MAX, StatementKind};

/// Events of each kind that are timed.
const EVENTS: u32 = 200;

/// The lengths of the queue.
const LENGTHS: [usize; 4] = [1, 64, 512, 3_500];

fn main() {
    println!("queued  kind   answer_us  arrival_us  tick_us");
    for kind in [StatementKind::Write, StatementKind::Read] {
        for length in LENGTHS {
            measure(kind, length);
        }
    }
}

fn measure(kind: StatementKind, length: usize) {
    let share = u32::try_from(QUEUE_MAX).unwrap_or(u32::MAX);
    let mut fake = Fake::with(share, "1s");
    let home = |fake: &Fake| {
        fake.state
            .homes
            .homes()
            .next()
            .map_or(0, |home| home.queued())
    };
    while home(&fake) < length {
        fake.submit_kind(kind);
    }
    let mut answer = Duration::ZERO;
    let mut arrival = Duration::ZERO;
    for _ in 0..EVENTS {
        let sent = fake.sent[0].clone();
        answer += timed(|| fake.reply(&sent, b"rows", Some(ok())));
        arrival += timed(|| {
            fake.submit_kind(kind);
        });
    }
    let tick = timed(|| (0..EVENTS).for_each(|_| fake.event(sapphireslip_core::Event::Tick)));
    let micros = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(EVENTS);
    println!(
        "{:>6}  {kind:?}  {:>9.1}  {:>10.1}  {:>7.1}",
        home(&fake),
        micros(answer),
        micros(arrival),
        micros(tick)
    );
}

fn timed(run: impl FnOnce()) -> Duration {
    let started = Instant::now();
    run();
    started.elapsed()
}
