//! Tests how an entry daemon ends requests: with whole answers, after the loss of homes and past
//! deadlines.

mod entry_fake;

use std::time::Duration;

use entry_fake::{DEADLINE, Fake, done, record, refused};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use sapphireslip_core::{
    Certainty, Incarnation, Refusal, RefusalReason, SENDS_MAX, TransactionStatus,
};

const KEY: &str = "1000.payment";
const INSERT: &str = "INSERT INTO payment VALUES (1)";
const IDLE: TransactionStatus = TransactionStatus::Idle;
const OPEN: TransactionStatus = TransactionStatus::Open;
const FAILED: TransactionStatus = TransactionStatus::Failed;

fn with_open_session() -> Fake {
    let mut fake = Fake::new();
    fake.open(1);
    fake
}

#[test]
fn answer_in_parts_is_passed_on_whole() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.answer(&home, &request, 0, "one ", None);
    fake.answer(&home, &request, 1, "two ", None);
    assert!(fake.take_finished(1).is_none());
    let mut end = done(IDLE);
    end.seen = Some(record(1, 12));
    fake.answer(&home, &request, 2, "three", Some(end));
    assert_eq!(fake.take_output(1), "one two three");
    let finished = fake.take_finished(1).unwrap();
    assert!(finished.refusal.is_none());
    assert_eq!(finished.token, Some(record(1, 12)));
}

#[test]
fn answer_part_delivered_twice_is_passed_on_once() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.answer(&home, &request, 0, "one ", None);
    fake.answer(&home, &request, 0, "one ", None);
    fake.answer(&home, &request, 1, "two", Some(done(IDLE)));
    fake.answer(&home, &request, 1, "two", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "one two");
    assert!(fake.take_finished(1).unwrap().refusal.is_none());
}

#[test]
fn answer_with_a_gap_is_never_taken_as_whole() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.answer(&home, &request, 0, "one ", None);
    fake.answer(&home, &request, 2, "three", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "one ");
    assert_eq!(fake.take_refusal(1).reason, RefusalReason::AnswerLost);
}

#[test]
fn answer_without_its_first_part_is_requested_again() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.answer(&home, &request, 1, "two", Some(done(IDLE)));
    assert!(fake.take_finished(1).is_none());
    fake.run_ms(50);
    let (home, again) = fake.take_only_sent();
    fake.answer(&home, &again, 0, "one two", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "one two");
}

#[test]
fn answer_of_an_earlier_run_is_dropped() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    let mut stale = request.clone();
    stale.id.incarnation = Incarnation(4);
    fake.answer(&home, &stale, 0, "other", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "");
    assert!(fake.take_finished(1).is_none());
    fake.answer(&home, &request, 0, "own", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "own");
}

#[test]
fn answer_past_the_deadline_reaches_no_later_request() {
    let mut fake = with_open_session();
    let (home, late) = fake.send(1, "SELECT 'late'", None);
    fake.run_ms(u64::try_from(DEADLINE.as_millis()).unwrap());
    assert_eq!(fake.take_refusal(1).reason, RefusalReason::Deadline);
    let (next_home, request) = fake.send(1, "SELECT 'own'", None);
    fake.answer(&home, &late, 0, "late", Some(done(IDLE)));
    fake.answer(&next_home, &late, 0, "late", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "");
    fake.answer(&next_home, &request, 0, "own", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "own");
}

#[test]
fn home_lost_read_is_resent_to_another() {
    let mut fake = with_open_session();
    let (home, _) = fake.send(1, "SELECT 1", None);
    fake.lose_home(&home);
    fake.run_ms(50);
    let (other, again) = fake.take_only_sent();
    assert_ne!(other, home);
    fake.answer(&other, &again, 0, "one", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "one");
}

/// Guards against mixing the answers of two homes: a home that was given up because the network to
/// it failed may still answer once the network recovers.
#[test]
fn answer_of_a_home_given_up_is_dropped() {
    let mut fake = with_open_session();
    let (home, first) = fake.send(1, INSERT, Some(KEY));
    fake.lose_home(&home);
    fake.run_ms(50);
    let (other, again) = fake.take_only_sent();
    let refusal = Refusal::not_run(RefusalReason::Deadline, None, "the queue took too long");
    fake.answer(&home, &first, 0, "", Some(refused(refusal)));
    assert!(
        fake.take_finished(1).is_none(),
        "the other home may have run it"
    );
    fake.answer(&other, &again, 0, "one ", None);
    fake.answer(&home, &first, 1, "two", Some(done(IDLE)));
    assert!(
        fake.take_finished(1).is_none(),
        "parts of two answers must not mix"
    );
    fake.answer(&other, &again, 1, "three", Some(done(IDLE)));
    assert_eq!(fake.take_output(1), "one three");
}

#[test]
fn home_lost_in_the_middle_of_an_answer_is_an_error() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.answer(&home, &request, 0, "one ", None);
    fake.lose_home(&home);
    assert_eq!(fake.take_output(1), "one ");
    assert_eq!(fake.take_refusal(1).reason, RefusalReason::AnswerLost);
    fake.run_ms(500);
    assert!(fake.take_sent().is_empty());
}

#[test]
fn home_lost_keyed_write_is_resent_to_another() {
    let mut fake = with_open_session();
    let (home, first) = fake.send(1, INSERT, Some(KEY));
    assert!(!first.resent);
    fake.lose_home(&home);
    let since = fake.now;
    fake.run_ms(50);
    let (other, again) = fake.take_only_sent();
    assert!(again.resent);
    assert_eq!(again.id, first.id);
    assert_ne!(
        other, home,
        "the lost VM is only suspect, but is not asked again"
    );
    assert!(fake.now - since <= Duration::from_millis(50));
    fake.answer(&other, &again, 0, "done", Some(done(IDLE)));
    assert!(fake.take_finished(1).unwrap().refusal.is_none());
}

#[test]
fn home_lost_is_retried_if_no_other_is_left() {
    let mut fake = with_open_session();
    let (home, _) = fake.send(1, INSERT, Some(KEY));
    fake.lose_home(&home);
    fake.run_ms(50);
    let (other, _) = fake.take_only_sent();
    fake.lose_home(&other);
    fake.run_ms(50);
    assert_eq!(fake.take_only_sent().0, home);
}

#[test]
fn home_lost_unkeyed_write_is_unknown() {
    let mut fake = with_open_session();
    let (home, _) = fake.send(1, INSERT, None);
    fake.lose_home(&home);
    assert_eq!(fake.take_refusal(1).ran, Certainty::Unknown);
    fake.run_ms(500);
    assert!(
        fake.take_sent().is_empty(),
        "an unkeyed write is never sent twice"
    );
}

/// A text that contains a commit may have run, whatever its first statement is.
#[rstest]
#[case::transaction("BEGIN; INSERT INTO payment VALUES (1); COMMIT")]
#[case::commit("INSERT INTO payment VALUES (1); COMMIT")]
#[case::after_rollback("ROLLBACK; INSERT INTO payment VALUES (1)")]
fn home_lost_committing_text_is_unknown(#[case] text: &str) {
    let mut fake = with_open_session();
    let (home, _) = fake.send(1, text, None);
    fake.lose_home(&home);
    assert_eq!(fake.take_refusal(1).ran, Certainty::Unknown);
    fake.run_ms(500);
    assert!(fake.take_sent().is_empty());
}

#[test]
fn keyed_write_out_of_sends_is_unknown() {
    let mut fake = with_open_session();
    let (mut home, _) = fake.send(1, INSERT, Some(KEY));
    for _ in 1..SENDS_MAX {
        fake.lose_home(&home);
        while fake.take_finished(1).is_none() {
            fake.run_ms(1);
            if let Some((next, _)) = fake.take_sent().pop() {
                home = next;
                break;
            }
        }
    }
    fake.lose_home(&home);
    assert_eq!(fake.take_refusal(1).ran, Certainty::Unknown);
}

#[rstest]
#[case::begin("BEGIN", None, Certainty::NotRun)]
#[case::read("SELECT 1", None, Certainty::Unknown)]
#[case::write(INSERT, None, Certainty::Unknown)]
#[case::keyed(INSERT, Some(KEY), Certainty::Unknown)]
fn deadline_certainty(#[case] text: &str, #[case] key: Option<&str>, #[case] ran: Certainty) {
    let mut fake = with_open_session();
    let _sent = fake.send(1, text, key);
    fake.run_ms(u64::try_from(DEADLINE.as_millis()).unwrap() - 1);
    assert!(fake.take_finished(1).is_none());
    fake.run_ms(1);
    let refusal = fake.take_refusal(1);
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert_eq!(refusal.ran, ran);
}

/// Guards against a wrong result when the entry daemon stalls past a deadline while its home's
/// answer is among the events that are still to be handled.
#[rstest]
#[case::answered(true, Certainty::NotRun)]
#[case::unanswered(false, Certainty::Unknown)]
fn deadline_noticed_late(#[case] is_answered: bool, #[case] ran: Certainty) {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "SELECT 1", None);
    fake.stall_ms(u64::try_from(DEADLINE.as_millis()).unwrap() + 25);
    assert!(fake.take_finished(1).is_none());
    if is_answered {
        let refusal = Refusal::not_run(RefusalReason::Deadline, None, "the connection was lost");
        fake.answer(&home, &request, 0, "", Some(refused(refusal)));
    } else {
        fake.run_ms(20);
    }
    assert_eq!(fake.take_refusal(1).ran, ran);
}

#[test]
fn home_stopping_request_goes_to_the_next() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, INSERT, None);
    let refusal = Refusal::not_run(RefusalReason::Draining, None, "home is being stopped");
    fake.answer(&home, &request, 0, "", Some(refused(refusal)));
    fake.run_ms(50);
    let (_, again) = fake.take_only_sent();
    assert!(!again.resent, "the first send was refused unrun");
}

/// Asserts that statements that a client sent ahead of its answers do not run once its transaction
/// is lost, and that COMMIT ends the lost transaction.
fn assert_rest_is_refused(fake: &mut Fake) {
    for text in [INSERT, "SELECT 1"] {
        fake.statement(1, text, None);
        let end = fake.take_finished(1).unwrap();
        assert_eq!(end.refusal.unwrap().reason, RefusalReason::TransactionLost);
        assert_eq!(end.transaction, FAILED);
    }
    fake.statement(1, "COMMIT", None);
    let end = fake.take_finished(1).unwrap();
    assert_eq!(end.refusal.unwrap().reason, RefusalReason::TransactionLost);
    assert_eq!(end.transaction, IDLE);
    assert!(fake.take_sent().is_empty());
    let (_, after) = fake.send(1, INSERT, None);
    assert!(!after.in_transaction);
}

#[test]
fn transaction_lost_with_its_home_refuses_the_rest() {
    let mut fake = with_open_session();
    fake.run_done(1, "BEGIN", OPEN);
    let (home, _) = fake.send(1, INSERT, None);
    fake.lose_home(&home);
    assert_eq!(fake.take_refusal(1).reason, RefusalReason::TransactionLost);
    assert_rest_is_refused(&mut fake);
}

#[test]
fn transaction_lost_with_its_connection_refuses_the_rest() {
    let mut fake = with_open_session();
    fake.run_done(1, "BEGIN", OPEN);
    let (home, request) = fake.send(1, INSERT, None);
    let refusal = Refusal::not_run(RefusalReason::TransactionLost, None, "connection lost");
    fake.answer(&home, &request, 0, "", Some(refused(refusal)));
    assert_eq!(fake.take_finished(1).unwrap().transaction, FAILED);
    assert_rest_is_refused(&mut fake);
}

#[test]
fn transaction_past_its_deadline_is_rolled_back_and_refuses_the_rest() {
    let mut fake = with_open_session();
    fake.run_done(1, "BEGIN", OPEN);
    let (home, _) = fake.send(1, INSERT, None);
    fake.run_ms(u64::try_from(DEADLINE.as_millis()).unwrap());
    assert_eq!(fake.take_refusal(1).reason, RefusalReason::Deadline);
    assert!(fake.was_told_closed(&home, 1));
    assert_rest_is_refused(&mut fake);
}

#[test]
fn transaction_that_did_not_begin_refuses_the_rest() {
    let mut fake = with_open_session();
    let (home, request) = fake.send(1, "BEGIN", None);
    let refusal = Refusal::not_run(RefusalReason::NoPrimary, None, "no primary");
    fake.answer(&home, &request, 0, "", Some(refused(refusal)));
    assert_eq!(fake.take_finished(1).unwrap().transaction, FAILED);
    assert_rest_is_refused(&mut fake);
}

#[test]
fn transaction_lost_allows_a_new_one() {
    let mut fake = with_open_session();
    fake.run_done(1, "BEGIN", OPEN);
    let (home, _) = fake.send(1, INSERT, None);
    fake.lose_home(&home);
    let _refused = fake.take_refusal(1);
    fake.run_done(1, "BEGIN", OPEN);
    let (_, request) = fake.send(1, INSERT, None);
    assert!(request.in_transaction);
}

#[rstest]
#[case::home_lost(true)]
#[case::deadline(false)]
fn transaction_commit_unanswered_is_unknown_and_ended(#[case] is_home_lost: bool) {
    let mut fake = with_open_session();
    fake.run_done(1, "BEGIN", OPEN);
    fake.run_done(1, INSERT, OPEN);
    let (home, request) = fake.send(1, "COMMIT", None);
    assert!(request.in_transaction);
    if is_home_lost {
        fake.lose_home(&home);
    } else {
        fake.run_ms(u64::try_from(DEADLINE.as_millis()).unwrap());
    }
    let end = fake.take_finished(1).unwrap();
    assert_eq!(end.refusal.unwrap().ran, Certainty::Unknown);
    assert_eq!(end.transaction, IDLE);
}

/// One delivery of a part of the answer to one of two sessions' requests.
#[derive(Clone, Debug)]
struct Delivery {
    /// The number of the session, 1 or 2.
    session: u64,
    /// The number of the part, from 0 to 3; part 3 ends the answer.
    part: u32,
}

fn deliveries() -> impl Strategy<Value = Vec<Delivery>> {
    let one = (1..=2_u64, 0..4_u32).prop_map(|(session, part)| Delivery { session, part });
    prop::collection::vec(one, 0..24)
}

fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Guards against truncated and mixed answers when parts are duplicated, reordered or lost: a
    /// client that is told of success has received its own whole answer, and no client receives a
    /// byte of another one's.
    #[test]
    fn answer_random_delivery_is_whole_or_an_error(order in deliveries()) {
        let mut fake = with_open_session();
        fake.open(2);
        let sent = [1, 2].map(|session| fake.send(session, "SELECT 1", None));
        let mut given = [String::new(), String::new()];
        for Delivery { session, part } in order {
            let index = usize::try_from(session - 1).unwrap();
            let (home, request) = &sent[index];
            let end = (part == 3).then(|| done(IDLE));
            fake.answer(home, request, part, &format!("{session}:{part} "), end);
            given[index].push_str(&fake.take_output(session));
            let whole: String = (0..4).map(|part| format!("{session}:{part} ")).collect();
            prop_assert!(whole.starts_with(&given[index]));
            if let Some(end) = fake.take_finished(session) {
                prop_assert_eq!(end.refusal.is_none(), given[index] == whole);
            }
        }
    }
}
