//! The graceful stop: it ends when nothing is left, and at its bound at the latest.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, vm};
use sapphireslip_core::{DRAIN_NOTICE, Effect, TimelineKind};

const SECOND: Duration = Duration::from_secs(1);

fn drained(bound: Duration) -> (Duration, Vec<(Duration, Effect)>) {
    let at = vm("a-1");
    let mut fleet = Fleet::start(&[at.clone(), vm("a-2")]);
    fleet.run_for(SECOND * 3);
    fleet.log.clear();
    let start = fleet.now;
    fleet.drain(&at, bound);
    fleet.drain(&at, bound * 2);
    fleet.run_for(SECOND * 20);
    let own = fleet.log.into_iter().filter(|(_, vm, _)| *vm == at);
    (start, own.map(|(time, _, effect)| (time, effect)).collect())
}

fn times(log: &[(Duration, Effect)], wanted: impl Fn(&Effect) -> bool) -> Vec<Duration> {
    let found = log.iter().filter(|(_, effect)| wanted(effect));
    found.map(|(time, _)| *time).collect()
}

fn is_kind(effect: &Effect, kind: TimelineKind) -> bool {
    matches!(effect, Effect::Record(entry) if entry.kind == kind)
}

#[test]
fn drain_idle_leaves_after_the_notice() {
    let (start, log) = drained(SECOND * 10);
    assert_eq!(times(&log, |e| *e == Effect::Ready(false)), [start]);
    assert_eq!(
        times(&log, |e| is_kind(e, TimelineKind::DrainStarted)),
        [start]
    );
    let end = start + DRAIN_NOTICE;
    assert_eq!(
        times(&log, |e| is_kind(e, TimelineKind::DrainFinished)),
        [end]
    );
    assert_eq!(times(&log, |e| *e == Effect::Exit), [end]);
    assert!(times(&log, |e| *e == Effect::Ready(true)).is_empty());
}

#[test]
fn drain_bound_is_shorter_than_the_notice() {
    let (start, log) = drained(Duration::from_millis(100));
    assert_eq!(
        times(&log, |e| *e == Effect::Exit),
        [start + Duration::from_millis(100)]
    );
}
