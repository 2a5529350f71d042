//! A zone that is partitioned from the others, while its clients and the store still reach it.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{PermissionRecord, StoreTime};
use support::{Daemon, PAYMENTS, presence, server};

/// How long the platform's load balancer may take to notice that a daemon is not ready.
const LOAD_BALANCER_MS: u64 = 2_000;

/// Returns a daemon in zone b that has lost the servers of the other zones, among them the primary.
/// The daemons of zones a and c report that they reach the primary, or that they don't.
fn cut_off(is_reached_elsewhere: bool) -> Daemon {
    let mut daemon = Daemon::ready_in("b");
    for zone in ["a", "c"] {
        let leader = vec![server("s-a")];
        let none = Vec::new();
        let (reached, unreachable) = match is_reached_elsewhere {
            true => (leader, none),
            false => (none, leader),
        };
        daemon.store.add_permission(PermissionRecord {
            until: StoreTime(Duration::from_secs(500)),
            reached,
            unreachable,
            ..presence(&format!("other-{zone}"), zone)
        });
    }
    daemon.advance(2_100);
    for lost in ["s-a", "s-c"] {
        daemon.group.get_mut(&server(lost)).is_isolated = true;
    }
    daemon
}

/// Guards against a zone whose clients are refused for as long as it is cut off, because its
/// daemons, which have their permissions, report that they are ready.
#[rstest]
fn zone_without_most_leaders_is_not_ready() {
    let mut daemon = cut_off(true);
    daemon.advance(2_000);
    assert!(daemon.state.snapshot().permission_left > Duration::ZERO);
    assert!(!daemon.state.is_ready());
}

/// Guards against all zones sending their clients to each other when a primary is lost to everybody.
#[rstest]
fn zone_is_ready_while_nobody_reaches_the_primary() {
    let mut daemon = cut_off(false);
    for _ in 0..30 {
        daemon.advance(100);
        assert!(daemon.state.is_ready(), "{} ms", daemon.millis);
    }
}

/// Guards against clients that stay on their open sessions in a zone that can only refuse them.
#[rstest]
fn idle_session_is_closed_once_the_load_balancer_leaves_the_zone_out() {
    let mut daemon = cut_off(true);
    let session = daemon.open(PAYMENTS);
    while daemon.state.is_ready() {
        daemon.advance(10);
    }
    daemon.advance(LOAD_BALANCER_MS);
    assert_eq!(daemon.closed, [], "reconnects to this zone");
    daemon.advance(LOAD_BALANCER_MS);
    assert_eq!(daemon.closed, [session]);
}

/// Guards against a zone that stays out of use after its partition has ended.
#[rstest]
fn zone_is_ready_again_within_a_second_of_reaching_the_leaders() {
    let mut daemon = cut_off(true);
    daemon.advance(4_000);
    for back in ["s-a", "s-c"] {
        daemon.group.get_mut(&server(back)).is_isolated = false;
    }
    daemon.advance(1_000);
    assert!(daemon.state.is_ready());
}

/// Guards against a cut zone whose coordinator goes on giving grants: its daemons have their
/// permissions and no news of the other zones, and refuse their clients until the partition ends.
#[rstest]
fn zone_without_leaders_and_store_is_not_ready() {
    let mut daemon = cut_off(true);
    daemon.store_answers = false;
    daemon.advance(1_600);
    assert!(!daemon.state.is_ready());
}

/// Guards against zones that send all clients into the zone that is cut off, while the store is away
/// and can't tell that the others reach each other.
#[rstest]
fn zone_that_hears_another_one_is_ready_without_the_store() {
    let mut daemon = cut_off(true);
    daemon.group.get_mut(&server("s-c")).is_isolated = false;
    daemon.store_answers = false;
    for _ in 0..15 {
        daemon.advance(100);
        assert!(daemon.state.is_ready(), "{} ms", daemon.millis);
    }
}

/// Guards against a daemon of a cut zone that goes on forwarding sessions to a home without leaders: it
/// would not learn that its zone is cut off.
#[rstest]
fn forwarded_session_is_refused_in_a_zone_that_is_cut_off() {
    let mut daemon = cut_off(true);
    daemon.advance(2_000);
    let session = daemon.open_forwarded(PAYMENTS);
    assert_eq!(daemon.closed, [session]);
}
