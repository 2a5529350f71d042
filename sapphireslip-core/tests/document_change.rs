//! Tests the check of a changed document against the accepted state.

mod fleet_support;

use fleet_support::document;
use rstest::rstest;
use sapphireslip_core::{
    AcceptedState, CurrentDocument, DatabaseOwner, Document, DocumentErrors, Generation,
};

/// Returns a state in which `member` owns the service `stock`, without databases, in a generation,
/// and in which the services `stock` and `billing` own the databases `stock` and `ledger`.
fn accepted(member: &str, generation: u64) -> AcceptedState {
    let owner = |database: &str, service: &str| DatabaseOwner {
        database: database.try_into().unwrap(),
        service: service.try_into().unwrap(),
    };
    AcceptedState {
        current: Some(CurrentDocument {
            member: member.try_into().unwrap(),
            generation: Generation(generation),
            databases: Vec::new(),
        }),
        owners: vec![owner("stock", "stock"), owner("ledger", "billing")],
    }
}

/// Checks a document of the service `stock` with these databases against `state`.
fn check(state: &AcceptedState, generation: u64, databases: &[&str]) -> Result<(), DocumentErrors> {
    let text = document("stock", generation, 0, databases).text;
    state.check(text.as_bytes()).map(|_| ())
}

#[test]
fn document_change_next_generation() {
    assert!(check(&accepted("m", 3), 4, &["stock"]).is_ok());
    assert!(check(&AcceptedState::default(), 1, &["stock"]).is_ok());
}

#[test]
fn document_change_other_generation() {
    for generation in [1, 2, 3, 5] {
        let errors = check(&accepted("m", 3), generation, &["stock"]).unwrap_err();
        let expected = format!(
            "line 3: generation: is {generation}, but 3 is accepted: read the accepted document, \
             change that, and give 4"
        );
        assert_eq!(errors.to_string(), expected);
    }
    assert!(check(&AcceptedState::default(), 2, &["stock"]).is_err());
}

#[test]
fn document_change_owned_by_others() {
    let errors = check(&accepted("other", 3), 4, &["stock", "ledger"]).unwrap_err();
    assert_eq!(
        errors.to_string(),
        "line 2: member: service `stock` belongs to member `other`: give your service another name\n\
         line 19: database.ledger.name: database `ledger` belongs to service `billing`: give your \
         database another name"
    );
}

/// Returns a document of one database with these servers, each given as its name and the last octet
/// of its address.
fn with_servers(generation: u64, servers: &[(&str, u8)]) -> String {
    let head = "service = \"stock\"\nmember = \"m\"\n";
    let mut text = format!(
        "{head}generation = {generation}\n[limits]\nsessions = 10\nqueued = 10\n[stop]\n\
         bound = \"5s\"\n[[database]]\nname = \"stock\"\nconnections = 16\n\
         max_staleness = \"5s\"\ndeadline = \"2s\"\n"
    );
    for (id, octet) in servers {
        text += &format!(
            "[[database.server]]\nid = \"{id}\"\nzone = \"a\"\naddress = \"10.9.0.{octet}:5432\"\n"
        );
    }
    text
}

#[rstest]
#[case::same(&[("a", 1), ("b", 2), ("c", 3)], None)]
#[case::add_one(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)], None)]
#[case::remove_one(&[("a", 1), ("b", 2)], None)]
#[case::replace_one(&[("a", 1), ("b", 2), ("d", 4)], Some(2))]
#[case::move_one(&[("a", 1), ("b", 2), ("c", 4)], Some(2))]
#[case::add_two(&[("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)], Some(2))]
#[case::remove_two(&[("a", 1)], Some(2))]
fn document_change_servers(#[case] servers: &[(&str, u8)], #[case] expected: Option<usize>) {
    let before = with_servers(3, &[("a", 1), ("b", 2), ("c", 3)]);
    let before = Document::try_from(before.as_bytes()).unwrap();
    let mut state = accepted("m", 3);
    state.current.as_mut().unwrap().databases = before.databases;
    let checked = state.check(with_servers(4, servers).as_bytes());
    let faults = checked.err().map(|errors| errors.to_string());
    let expected = expected.map(|count| {
        format!(
            "line 10: database.stock.server: adds and removes {count} servers in all: add or \
             remove one at a time, and go on once the change is in force everywhere"
        )
    });
    assert_eq!(faults, expected);
}
