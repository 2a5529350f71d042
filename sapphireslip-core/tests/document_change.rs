//! A changed document against what is accepted.

mod fleet_support;

use fleet_support::document;
use sapphireslip_core::{
    AcceptedState, CurrentDocument, DatabaseOwner, DocumentErrors, Generation,
};

fn accepted(member: &str, generation: u64) -> AcceptedState {
    let owner = |database: &str, service: &str| DatabaseOwner {
        database: database.try_into().unwrap(),
        service: service.try_into().unwrap(),
    };
    AcceptedState {
        current: Some(CurrentDocument {
            member: member.try_into().unwrap(),
            generation: Generation(generation),
        }),
        owners: vec![owner("stock", "stock"), owner("ledger", "billing")],
    }
}

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
fn document_change_rivals() {
    let errors = check(&accepted("other", 3), 4, &["stock", "ledger"]).unwrap_err();
    assert_eq!(
        errors.to_string(),
        "line 2: member: service `stock` belongs to member `other`: give your service another name\n\
         line 19: database.ledger.name: database `ledger` belongs to service `billing`: give your \
         database another name"
    );
}
