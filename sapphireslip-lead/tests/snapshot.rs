//! The values of the state that metrics show.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::{Event, RecordKind};
use support::{Daemon, catalog, server};

#[rstest]
fn snapshot_reports_the_age_of_the_configuration() {
    let mut daemon = Daemon::new("a");
    daemon.advance(100);
    assert_eq!(daemon.state.snapshot().configuration_age, Duration::ZERO);
    daemon.event(Event::Catalog(catalog(1)));
    daemon.advance(400);
    daemon.event(Event::Catalog(catalog(1)));
    let age = daemon.state.snapshot().configuration_age;
    assert_eq!(age, Duration::from_millis(400), "applied only once");
}

#[rstest]
fn draining_primary_without_replacement_is_counted_and_logged_once() {
    let mut daemon = Daemon::ready();
    daemon.group.servers.truncate(1);
    daemon.advance(8_000);
    daemon.records.clear();
    assert_eq!(daemon.state.snapshot().leaving_leaders, 0);
    daemon.group.get_mut(&server("s-a")).is_draining = true;
    daemon.advance(4_000);
    assert_eq!(daemon.state.snapshot().leaving_leaders, 1);
    let logged = daemon.records.iter().filter(|record| {
        record.kind == RecordKind::Promotion && record.detail.contains("no other server")
    });
    assert_eq!(logged.count(), 1);
}
