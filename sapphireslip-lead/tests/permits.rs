//! When a daemon asks for a permission, and what its row says.

mod support;

use rstest::rstest;
use sapphireslip_lead::{Event, StoreTime};
use support::{Daemon, PAYMENTS, catalog};

#[rstest]
fn daemon_without_work_permits_itself_nothing() {
    let mut daemon = Daemon::new("a");
    // Without a configuration it is the home of nothing.
    daemon.advance(3_000);
    let table = daemon.store.permits(daemon.millis);
    let (record, _) = &table.permits[0];
    assert!(record.until <= table.now, "{:?}", record.until);
    assert!(table.now < record.alive);
}

#[rstest]
fn first_session_brings_a_permission() {
    let mut daemon = Daemon::new("a");
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(100);
    let session = daemon.open(PAYMENTS);
    daemon.advance(2_000);
    assert_eq!(daemon.run(session, "1", "WRITE x 1").failure(), None);
    let table = daemon.store.permits(daemon.millis);
    assert!(table.permits[0].0.until > table.now);
}

/// The row of a daemon that goes idle counts as an acknowledgement, so that it must not rely on an
/// earlier row any more.
#[rstest]
fn permission_ends_with_the_row_that_gives_it_up() {
    let mut daemon = Daemon::new("a");
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(2_000);
    assert!(daemon.state.snapshot().permission_left > std::time::Duration::ZERO);
    let mut without = catalog(2);
    without.services.clear();
    without.routes.clear();
    daemon.event(Event::Catalog(without));
    let is_given_up = |daemon: &Daemon| {
        let table = daemon.store.permits(daemon.millis);
        table.permits[0].0.until <= StoreTime(table.now.0)
    };
    for _ in 0..1_000 {
        daemon.advance(10);
        if is_given_up(&daemon) {
            break;
        }
    }
    if is_given_up(&daemon) {
        assert_eq!(
            daemon.state.snapshot().permission_left,
            std::time::Duration::ZERO
        );
    } else {
        // Alone, it holds the duty and goes on needing the permission.
        assert!(daemon.state.needs_leads());
    }
}
