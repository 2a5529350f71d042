//! The drain ends when nothing is left to do, and at its bound at the latest.

mod fleet_support;

use std::time::Duration;

use fleet_support::{Fleet, vm, zone_of};
use sapphireslip_core::{
    Cx, DRAIN_NOTICE, Drain, Effect, Incarnation, Instant, Local, Now, Random, TimelineKind,
};

const SECOND: Duration = Duration::from_secs(1);

/// Drains an idle daemon twice, the second time with a longer bound, which must have no effect.
/// Returns the time of the drain and the daemon's effects with their times.
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

/// Returns the times of the wanted effects.
fn times(log: &[(Duration, Effect)], wanted: impl Fn(&Effect) -> bool) -> Vec<Duration> {
    let found = log.iter().filter(|(_, effect)| wanted(effect));
    found.map(|(time, _)| *time).collect()
}

/// Returns whether an effect records an event in the timeline.
fn is_kind(effect: &Effect, kind: TimelineKind) -> bool {
    matches!(effect, Effect::Record(entry) if entry.kind == kind)
}

/// An idle daemon exits as soon as the time for the notice to its peers is over.
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

/// A bound shorter than the time for the notice ends the drain early.
#[test]
fn drain_bound_is_shorter_than_the_notice() {
    let (start, log) = drained(Duration::from_millis(100));
    assert_eq!(
        times(&log, |e| *e == Effect::Exit),
        [start + Duration::from_millis(100)]
    );
}

/// Begins a drain with a bound of five seconds unless one is running, hands in a tick and returns
/// the effects.
fn tick(drain: &mut Drain, time: Duration, is_idle: bool) -> Vec<Effect> {
    let local = Local {
        vm: vm("a-1"),
        zone: zone_of(&vm("a-1")),
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let mut effects = Vec::new();
    let mut cx = Cx {
        now: Now {
            instant: Instant { since_start: time },
            unix: time,
        },
        local: &local,
        random: &mut Random::new(1),
        next_call: &mut sapphireslip_core::CallId(0),
        effects: &mut effects,
        outgoing: &mut Vec::new(),
    };
    if !drain.is_draining() {
        drain.begin(&mut cx, SECOND * 5);
    }
    drain.on_tick(&mut cx, is_idle);
    effects
}

/// A daemon with work left exits at the bound, not before, and only once.
#[test]
fn drain_busy_leaves_at_the_bound() {
    let mut drain = Drain::default();
    let effects = tick(&mut drain, SECOND, false);
    let wakes: Vec<_> = effects
        .iter()
        .filter(|e| matches!(e, Effect::WakeAt(_)))
        .collect();
    assert_eq!(wakes.len(), 2);
    assert!(tick(&mut drain, SECOND * 6 - DRAIN_NOTICE / 100, false).is_empty());
    assert_eq!(
        tick(&mut drain, SECOND * 6, false).last(),
        Some(&Effect::Exit)
    );
    assert!(tick(&mut drain, SECOND * 7, true).is_empty());
}
