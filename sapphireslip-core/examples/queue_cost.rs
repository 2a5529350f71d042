//! Measures how the time to handle one event depends on the length of a home's queue.
//!
//! Prints a line for each statement kind and length, with the mean time in microseconds for the
//! answer to a statement (after which the next one is sent), for the arrival of a request, and for
//! a tick.

#[path = "../tests/home_fake/mod.rs"]
mod home_fake;

use std::time::{Duration, Instant};

use home_fake::{Fake, ok};
use sapphireslip_core::{QUEUE_MAX, StatementKind};

/// How many events of each kind are timed.
const EVENTS: u32 = 200;

/// The lengths of the queue, in requests.
const LENGTHS: [usize; 4] = [1, 64, 512, 3_500];

fn main() {
    println!("queued  kind   answer_us  arrival_us  tick_us");
    for kind in [StatementKind::Write, StatementKind::Read] {
        for length in LENGTHS {
            measure(kind, length);
        }
    }
}

/// Measures with a queue of `length` requests of one kind, and prints a line.
fn measure(kind: StatementKind, length: usize) {
    let share = u32::try_from(QUEUE_MAX).unwrap_or(u32::MAX);
    let mut fake = Fake::with(share, "1s");
    let queued = |fake: &Fake| {
        fake.state
            .homes
            .homes()
            .next()
            .map_or(0, |home| home.queued())
    };
    while queued(&fake) < length {
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
        queued(&fake),
        micros(answer),
        micros(arrival),
        micros(tick)
    );
}

/// Returns how long `run` takes.
fn timed(run: impl FnOnce()) -> Duration {
    let started = Instant::now();
    run();
    started.elapsed()
}
