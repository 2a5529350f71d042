//! The values of the state that metrics show.

mod support;

use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::Event;
use support::{Daemon, catalog};

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
