//! Tests of a home's connection pools, connection share, queue share and concurrency limit.

mod home_fake;

use std::time::Duration;

use home_fake::{Fake, ok};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use sapphireslip_core::*;

/// Returns the instant `ms` milliseconds after the start.
fn at_ms(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// Returns a database with a connection limit and zones, without servers.
fn spec(connections: u32, zones: &[&str]) -> DatabaseSpec {
    DatabaseSpec {
        name: DatabaseName::try_from("stock").unwrap(),
        servers: Vec::new(),
        zones: zones
            .iter()
            .map(|z| ZoneName::try_from(*z).unwrap())
            .collect(),
        connections,
        max_staleness: Duration::ZERO,
        deadline: Duration::from_secs(5),
    }
}

#[rstest]
#[case::even(30, &["a", "b", "c"])]
#[case::left_over(16, &["a", "b", "c"])]
#[case::more_zones(40, &["a", "b", "c", "d", "e", "f", "g"])]
fn share_sum_is_limit(#[case] connections: u32, #[case] zones: &[&str]) {
    let spec = spec(connections, zones);
    let sum: u32 = spec.zones.iter().map(|z| connection_share(&spec, z)).sum();
    assert_eq!(sum, connections);
}

#[test]
fn share_is_at_least_one() {
    let spec = spec(2, &["a", "b", "c"]);
    assert_eq!(connection_share(&spec, &spec.zones[2]), 1);
}

#[test]
fn pool_backs_off_with_growing_waits() {
    let mut pool = Pool::new(5);
    let mut random = Random::new(1);
    let mut waits = Vec::new();
    let mut now = at_ms(0);
    for n in 0..6 {
        pool.on_opening(ConnectionId(n));
        pool.on_open_failed(ConnectionId(n), now, &mut random);
        let retry_at = pool.retry_at().unwrap();
        assert_eq!(pool.connections_to_open(now, 5), 0);
        waits.push(retry_at.since(now));
        now = retry_at;
        assert!(pool.connections_to_open(now, 5) > 0);
    }
    assert!(waits[5] > waits[0] * 4, "{waits:?}");
}

#[test]
fn pool_closes_extra_idle_connections() {
    let mut pool = Pool::new(3);
    for n in 0..3 {
        pool.on_opening(ConnectionId(n));
        assert!(pool.on_opened(ConnectionId(n), at_ms(0)));
    }
    let end = at_ms(0) + IDLE_CONNECTION_LIFETIME;
    assert_eq!(pool.next_expiry(), Some(end));
    assert_eq!(pool.expire(end).len(), 2);
    assert_eq!(pool.next_expiry(), None);
}

/// Over random operations, the pool stays within its share and gives no connection out twice.
#[test]
fn pool_random_operations() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let operations = prop::collection::vec((0..5_u8, any::<usize>()), 0..200);
    let result = TestRunner::new_with_rng(config, rng).run(&operations, |operations| {
        let mut pool = Pool::new(4);
        let mut random = Random::new(3);
        let (mut opening, mut taken) = (Vec::new(), Vec::new());
        for (n, (operation, pick)) in operations.into_iter().enumerate() {
            let now = at_ms(n as u64 * 100);
            match operation {
                0 if pool.connections_to_open(now, pick % 9) > 0 => {
                    pool.on_opening(ConnectionId(n as u64));
                    opening.push(ConnectionId(n as u64));
                }
                1 if !opening.is_empty() => {
                    assert!(pool.on_opened(opening.swap_remove(pick % opening.len()), now));
                }
                2 if !opening.is_empty() => {
                    let failed = opening.swap_remove(pick % opening.len());
                    pool.on_open_failed(failed, now, &mut random);
                }
                3 => {
                    if let Some(connection) = pool.take() {
                        assert!(!taken.contains(&connection));
                        taken.push(connection);
                    }
                }
                4 if !taken.is_empty() => {
                    assert!(pool.give_back(taken.swap_remove(pick % taken.len()), now));
                }
                _ => {}
            }
            assert!(pool.open() <= 4);
            assert_eq!(pool.in_flight() as usize, taken.len());
        }
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

#[test]
fn limit_falls_on_latency_and_recovers() {
    let mut limit = ConcurrencyLimit::new(20);
    for _ in 0..10 {
        limit.on_answer(Duration::from_millis(2), 20);
    }
    assert_eq!(limit.current(), 20);
    for _ in 0..10 {
        limit.on_answer(Duration::from_millis(200), 20);
    }
    let fallen = limit.current();
    assert!(fallen < 10, "{fallen}");
    for _ in 0..400 {
        limit.on_answer(Duration::from_millis(2), 20);
    }
    assert_eq!(limit.current(), 20);
}

#[test]
fn queue_share_of_one_service_leaves_room_for_another() {
    let service = |name| ServiceName::try_from(name).unwrap();
    let id = |number| RequestId {
        entry: VmId::try_from("vm-1").unwrap(),
        incarnation: Incarnation(1),
        number: RequestNumber(number),
    };
    let mut queue = Queue::default();
    assert!((0..3).all(|n| queue.push(id(n), &service("loud"), 3)));
    assert!(!queue.push(id(3), &service("loud"), 3));
    assert!(queue.push(id(4), &service("quiet"), 3));
    assert!(queue.remove(&id(1)));
    assert!(queue.push(id(5), &service("loud"), 3));
}

#[test]
fn home_stays_within_its_share() {
    let mut fake = Fake::with(100, "0s");
    for _ in 0..20 {
        fake.submit_kind(StatementKind::Write);
    }
    let at_primary = fake.open.values().filter(|s| *s == "s-a").count();
    assert_eq!(at_primary, 3, "the share of 9 connections over 3 zones");
}

#[test]
fn home_full_server_is_no_failure() {
    let mut fake = Fake::new();
    fake.connect
        .insert("s-a".to_owned(), Err(ConnectFailure::TooMany));
    for _ in 0..3 {
        fake.submit_kind(StatementKind::Write);
    }
    fake.run_ms(2000);
    let suspected = TimelineKind::PrimarySuspected;
    assert!(fake.records.iter().all(|record| record.kind != suspected));
}

#[test]
fn home_leaving_server_gets_no_new_work() {
    let mut fake = Fake::new();
    let leaving = ["10.0.1.1", "10.0.2.1"].map(|ip| ip.parse().unwrap());
    fake.event(Event::Platform(PlatformEvent::LeavingServers(
        leaving.to_vec(),
    )));
    fake.run_ms(1);
    assert!(fake.open.values().all(|server| server == "s-a"));
    let read = fake.submit_kind(StatementKind::Read);
    fake.run_ms(6);
    assert_eq!(fake.only_sent().server, "s-a");
    fake.reply_only(b"rows", ok());
    assert!(fake.is_done(read));
}
