//! Tests that, in whatever order documents arrive, none returns to an older generation and no owner
//! of a database is displaced.

mod fleet_support;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet_support::{Fleet, document, vm};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sapphireslip_core::{
    AcceptedDocument, ChangeCount, Event, PeerMessage, PlatformEvent, ServiceName, VmId,
};

/// Returns the documents that the platform accepted, one for each change from 1 to 7.
fn history() -> Vec<AcceptedDocument> {
    vec![
        document("stock", 1, 1, &["stock"]),
        document("orders", 1, 2, &["orders"]),
        document("stock", 2, 3, &["stock", "returns"]),
        document("stock", 3, 4, &["stock"]),
        document("orders", 2, 5, &["orders"]),
        document("billing", 1, 6, &["ledger"]),
        document("stock", 4, 7, &["stock"]),
    ]
}

/// Returns the documents that the platform held at a change count, by service.
fn held_at(changes: u64) -> BTreeMap<ServiceName, AcceptedDocument> {
    let accepted = history().into_iter().filter(|d| d.change.0 <= changes);
    accepted
        .map(|document| (document.service.clone(), document))
        .collect()
}

/// Returns the answer of a peer with change count `until` to a request for the documents accepted
/// after `since`.
fn documents(since: u64, until: u64) -> PeerMessage {
    let held = held_at(until).into_values();
    PeerMessage::Documents {
        since: ChangeCount(since),
        documents: held.filter(|document| document.change.0 > since).collect(),
        changes: ChangeCount(until),
    }
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    /// A peer sends the documents accepted after `since`, up to `until`.
    Peer { since: u64, until: u64 },
    /// The platform sends the documents accepted after `since`, up to `until`.
    Platform { since: u64, until: u64 },
    /// The daemon restarts without any documents.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..=7_u64, 0..=7_u64).prop_map(|(since, until)| Step::Peer { since, until }),
        2 => (0..=7_u64, 0..=7_u64).prop_map(|(since, until)| Step::Platform { since, until }),
        1 => Just(Step::Restart),
    ]
}

/// Checks a daemon's configuration after each step, using its public interface only.
#[derive(Default)]
struct Checker {
    /// The generation of each service that was last seen in force.
    generations: BTreeMap<ServiceName, u64>,
    /// The change count that was last seen.
    changes: u64,
}

impl Checker {
    /// Asserts that no generation and no change count fell, and that all documents up to the change
    /// count are in force.
    fn check(&mut self, fleet: &Fleet, at: &VmId) {
        let configuration = &fleet.state(at).configuration;
        let mut seen = BTreeMap::new();
        for document in configuration.documents() {
            seen.insert(document.service.clone(), document.generation.0);
        }
        for (service, generation) in &self.generations {
            assert!(seen.get(service) >= Some(generation), "{service} went back");
        }
        let changes = configuration.changes().0;
        assert!(changes >= self.changes, "the change count went back");
        for (service, document) in held_at(changes) {
            let least = document.generation.0;
            assert!(
                seen.get(&service) >= Some(&least),
                "{service} is missing at change count {changes}"
            );
        }
        self.generations = seen;
        self.changes = changes;
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn configuration_never_goes_back(steps in prop::collection::vec(step(), 1..30)) {
        let at = vm("a-1");
        let mut fleet = Fleet::start(std::slice::from_ref(&at));
        fleet.platform.is_down = true;
        fleet.run_for(Duration::from_millis(10));
        let mut checker = Checker::default();
        for (index, step) in (1..).zip(steps) {
            match step {
                Step::Peer { since, until } => {
                    let message = documents(since, until);
                    fleet.hand_in(&at, Event::Peer { from: vm("a-2"), message });
                }
                Step::Platform { since, until } => {
                    let since = since.min(fleet.state(&at).configuration.changes().0);
                    let held = held_at(until).into_values();
                    let newer = held.filter(|document| document.change.0 > since).collect();
                    fleet.hand_in(&at, Event::Platform(PlatformEvent::Documents(Some(newer))));
                }
                Step::Restart => {
                    fleet.add(&at, index + 1, &[]);
                    checker = Checker::default();
                }
            }
            checker.check(&fleet, &at);
        }
    }

    #[test]
    fn configuration_owner_is_the_first(order in Just((0..5_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let accepted = [
            document("stock", 1, 1, &["stock"]),
            document("rival", 1, 2, &["stock", "own"]),
            document("rival", 2, 3, &["stock", "own", "more"]),
            document("other", 1, 4, &["stock"]),
            document("other", 2, 5, &["other"]),
        ];
        let at = vm("a-1");
        let mut fleet = Fleet::start(std::slice::from_ref(&at));
        for index in order {
            let message = PeerMessage::Documents {
                since: ChangeCount(0),
                documents: vec![accepted[index].clone()],
                changes: ChangeCount(0),
            };
            fleet.hand_in(&at, Event::Peer { from: vm("a-2"), message });
        }
        let configuration = &fleet.state(&at).configuration;
        let owner = |name: &str| {
            let database = name.try_into().unwrap();
            configuration.document_of(&database).map(|d| d.service.as_str().to_owned())
        };
        prop_assert_eq!(owner("stock"), Some("stock".to_owned()));
        prop_assert_eq!(owner("own"), Some("rival".to_owned()));
        prop_assert_eq!(owner("more"), Some("rival".to_owned()));
        prop_assert_eq!(owner("other"), Some("other".to_owned()));
        let claims = configuration.documents().flat_map(|d| &d.databases);
        prop_assert_eq!(claims.filter(|spec| spec.name.as_str() == "stock").count(), 1);
    }
}

#[test]
fn configuration_owner_keeps_its_database_through_changes() {
    let at = vm("a-1");
    let mut fleet = Fleet::start(std::slice::from_ref(&at));
    let accepted = [
        document("stock", 1, 1, &["stock"]),
        document("rival", 1, 2, &["stock"]),
        document("stock", 2, 3, &["stock"]),
    ];
    for document in accepted {
        let documents = Some(vec![document]);
        fleet.hand_in(&at, Event::Platform(PlatformEvent::Documents(documents)));
    }
    let configuration = &fleet.state(&at).configuration;
    let database = "stock".try_into().unwrap();
    let owner = configuration.document_of(&database).unwrap();
    assert_eq!((owner.service.as_str(), owner.generation.0), ("stock", 2));
}
