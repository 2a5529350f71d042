//! Tests of the choice of the server to which a home sends reads and writes.

mod home_fake;

use std::time::Duration;

use home_fake::{Fake, committed, failed, ok, open, record};
use rstest::rstest;
use sapphireslip_core::*;

/// Returns a replica in another zone that can serve a read.
fn candidate(server: &str) -> Candidate {
    Candidate {
        server: ServerId::try_from(server).unwrap(),
        is_primary: false,
        is_in_own_zone: false,
        is_excluded: false,
        visibility: Visibility::Visible,
        staleness: Some(Duration::from_millis(10)),
        is_reachable: true,
        is_free: true,
        in_flight: 0,
        is_status_pending: false,
    }
}

/// Returns a primary `p` that can serve a read.
fn primary() -> Candidate {
    Candidate {
        is_primary: true,
        ..candidate("p")
    }
}

#[rstest]
#[case::replica_first(|_: &mut Candidate| (), "replica r")]
#[case::stale_replica(|c: &mut Candidate| c.staleness = Some(Duration::from_secs(1)), "primary p")]
#[case::unknown_age(|c: &mut Candidate| c.staleness = None, "primary p")]
#[case::behind_replica(|c: &mut Candidate| c.visibility = Visibility::Behind, "primary p")]
#[case::excluded_replica(|c: &mut Candidate| c.is_excluded = true, "primary p")]
#[case::busy_replica(|c: &mut Candidate| c.is_free = false, "primary p")]
fn route_replica(#[case] change: fn(&mut Candidate), #[case] expected: &str) {
    let mut replica = candidate("r");
    change(&mut replica);
    let route = match route_read(&[primary(), replica], Duration::from_millis(500)) {
        ReadRoute::Replica(server) => format!("replica {server}"),
        ReadRoute::Primary(server) => format!("primary {server}"),
        other => format!("{other:?}"),
    };
    assert_eq!(route, expected);
}

#[test]
fn route_own_zone_before_load() {
    let near = Candidate {
        is_in_own_zone: true,
        in_flight: 3,
        ..candidate("near")
    };
    let route = route_read(&[candidate("far"), near.clone()], Duration::from_secs(1));
    assert_eq!(route, ReadRoute::Replica(near.server));
}

#[test]
fn route_zero_staleness_primary_only() {
    let route = route_read(&[primary(), candidate("r")], Duration::ZERO);
    assert_eq!(route, ReadRoute::Primary(primary().server));
}

#[test]
fn route_lost_branch() {
    let lost = Candidate {
        visibility: Visibility::LostBranch,
        ..primary()
    };
    let route = route_read(&[lost], Duration::from_secs(1));
    assert_eq!(route, ReadRoute::LostBranch);
}

#[test]
fn read_goes_to_replica() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    assert_ne!(fake.only_sent().server, "s-a");
    fake.reply_only(b"rows", ok());
    assert!(fake.is_done(read));
    assert_eq!(fake.answers[&read].payload, b"rows");
    assert_eq!(fake.end(read).unwrap().seen, Some(record(1, 10)));
}

#[test]
fn read_token_ahead_of_replicas_goes_to_primary() {
    let mut fake = Fake::new();
    fake.hold("s-a", 11);
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(record(1, 11));
    fake.submit(request);
    assert_eq!(
        fake.only_sent().server,
        "s-a",
        "the replicas have reported that they are behind"
    );
}

#[test]
fn read_token_ahead_waits_for_a_status() {
    let mut fake = Fake::new();
    fake.hold("s-a", 11);
    fake.silent = vec!["s-b", "s-c"];
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(record(1, 11));
    fake.submit(request);
    fake.run_ms(4);
    assert!(fake.sent.is_empty(), "the read waits for a replica first");
    fake.run_ms(2);
    assert_eq!(fake.only_sent().server, "s-a");
}

#[test]
fn read_replica_that_caught_up_unseen() {
    let mut fake = Fake::new();
    for server in home_fake::SERVERS {
        fake.hold(server, 11);
    }
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(record(1, 11));
    fake.submit(request);
    assert_ne!(fake.only_sent().server, "s-a");
}

/// A replica that restarts may at first show less than it did before: its log is durable, but what
/// its reads see is rebuilt from an earlier state. A status from before the restart must not send it
/// a read of a session that has seen more.
#[test]
fn read_avoids_restarted_replica_until_its_next_status() {
    let mut fake = Fake::new();
    fake.hold("s-a", 11);
    fake.hold("s-b", 11);
    let read_own_write = |fake: &mut Fake| {
        let mut request = fake.request(StatementKind::Read);
        request.freshness = Freshness::AtLeast(record(1, 11));
        fake.submit(request);
        fake.run_ms(6);
        let server = fake.only_sent().server;
        fake.reply_only(b"rows", ok());
        server
    };
    assert_eq!(read_own_write(&mut fake), "s-b", "it has shown the record");
    fake.up.insert("s-b".to_owned(), false);
    fake.lose_idle("s-b");
    assert_eq!(read_own_write(&mut fake), "s-a", "no status since the loss");
    fake.up.insert("s-b".to_owned(), true);
    fake.statuses.get_mut("s-b").unwrap().applied = Position(10);
    fake.run_ms(1000);
    assert_eq!(
        read_own_write(&mut fake),
        "s-a",
        "it shows less than before"
    );
    fake.hold("s-b", 11);
    fake.run_ms(1000);
    assert_eq!(read_own_write(&mut fake), "s-b", "it has caught up");
}

/// A former primary that returns after a cut may report the new term and a position past the
/// session's record while its log still ends in records of its own, which it has yet to drop.
#[test]
fn read_avoids_former_primary_until_it_drops_its_records() {
    let mut fake = Fake::new();
    fake.promote("s-b", 2);
    fake.hold("s-b", 12);
    let former = fake.statuses.get_mut("s-a").unwrap();
    former.role = ServerRole::Replica;
    former.fenced = Term(2);
    former.held = record(1, 15);
    former.applied = Position(15);
    fake.run_ms(1100);
    let read_own_write = |fake: &mut Fake| {
        let mut request = fake.request(StatementKind::Read);
        request.freshness = Freshness::AtLeast(record(2, 12));
        fake.submit(request);
        fake.run_ms(6);
        let server = fake.only_sent().server;
        fake.reply_only(b"rows", ok());
        server
    };
    assert_eq!(read_own_write(&mut fake), "s-b", "15 is of another branch");
    let former = fake.statuses.get_mut("s-a").unwrap();
    former.held = record(2, 12);
    former.applied = Position(12);
    former.term_starts.push(record(2, 11));
    fake.run_ms(1100);
    assert_eq!(
        read_own_write(&mut fake),
        "s-a",
        "it has dropped its records"
    );
}

#[test]
fn read_token_past_the_end_of_the_log_is_refused() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(record(1, 999));
    let read = fake.submit(request);
    fake.run_ms(600);
    assert!(
        fake.sent.is_empty(),
        "no server holds the token's log position"
    );
    let expected = (RefusalReason::NoFreshServer, Certainty::NotRun);
    assert_eq!(fake.refusal(read), Some(expected));
}

#[test]
fn read_token_of_later_term_is_refused() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::AtLeast(record(2, 11));
    let read = fake.submit(request);
    fake.run_ms(600);
    assert!(fake.sent.is_empty());
    let expected = (RefusalReason::NoFreshServer, Certainty::NotRun);
    assert_eq!(fake.refusal(read), Some(expected));
}

#[test]
fn read_probe_learns_confirmed_record() {
    let mut fake = Fake::new();
    for server in home_fake::SERVERS {
        fake.hold(server, 15);
    }
    let mut request = fake.request(StatementKind::Read);
    request.freshness = Freshness::Probe;
    let read = fake.submit(request);
    fake.reply_only(b"rows", ok());
    assert_eq!(fake.end(read).unwrap().seen, Some(record(1, 15)));
}

#[test]
fn read_refused_by_replica_runs_at_primary() {
    let mut fake = Fake::new();
    let read = fake.submit_kind(StatementKind::Read);
    fake.reply_only(b"error", failed(b"25006"));
    assert_eq!(fake.only_sent().server, "s-a");
    fake.hold("s-b", 11);
    fake.reply_only(b"INSERT 0 1", committed(1, 11));
    fake.run_ms(5);
    assert!(fake.is_done(read));
    assert_eq!(fake.answers[&read].payload, b"INSERT 0 1");
    assert_eq!(fake.end(read).unwrap().seen, Some(record(1, 11)));
}

#[test]
fn write_without_majority_is_refused_at_once() {
    let mut fake = Fake::new();
    fake.up.insert("s-b".to_owned(), false);
    fake.up.insert("s-c".to_owned(), false);
    fake.run_ms(5000);
    let write = fake.submit_kind(StatementKind::Write);
    let expected = (RefusalReason::NoMajority, Certainty::NotRun);
    assert_eq!(fake.refusal(write), Some(expected));
    assert!(fake.sent.is_empty());
}

#[test]
fn read_only_transaction_stays_on_its_replica() {
    let mut fake = Fake::new();
    fake.submit_kind(StatementKind::BeginReadOnly);
    let begin = fake.only_sent();
    assert_ne!(begin.server, "s-a");
    fake.reply_only(b"BEGIN", open());
    let mut request = fake.request(StatementKind::Read);
    request.in_transaction = true;
    fake.submit(request);
    assert_eq!(fake.only_sent().connection, begin.connection);
}

#[test]
fn request_unknown_database() {
    let mut fake = Fake::new();
    let mut request = fake.request(StatementKind::Read);
    request.database = DatabaseName::try_from("other").unwrap();
    let read = fake.submit(request);
    let expected = (RefusalReason::UnknownDatabase, Certainty::NotRun);
    assert_eq!(fake.refusal(read), Some(expected));
}
