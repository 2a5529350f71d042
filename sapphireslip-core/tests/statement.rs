//! Tests the classification of statements for routing.

use rstest::rstest;
use sapphireslip_core::{StatementKind, classify};

#[rstest]
#[case::plain("SELECT 1", StatementKind::Read)]
#[case::comment("/* begin */ -- commit\n select 1", StatementKind::Read)]
#[case::literal("select 'x; insert into t' from a", StatementKind::Read)]
#[case::backslash_literal(r"select '\'; insert into t values (1)", StatementKind::Write)]
#[case::escape_literal(r"select E'\'; insert into t values (1)'", StatementKind::Read)]
#[case::dollar_literal("select $q$; delete from t$q$", StatementKind::Read)]
#[case::for_update("select * from t for update", StatementKind::Write)]
#[case::for_share("select * from t for share", StatementKind::Write)]
#[case::with_write(
    "with d as (delete from t returning *) select * from d",
    StatementKind::Write
)]
#[case::explain_analyze("explain analyze select 1", StatementKind::Write)]
#[case::begin("START TRANSACTION ISOLATION LEVEL SERIALIZABLE", StatementKind::Begin)]
#[case::begin_read_only("begin transaction read only", StatementKind::BeginReadOnly)]
#[case::whole_transaction("begin; insert into t values (1); commit", StatementKind::Write)]
#[case::begin_then_write("begin; insert into t values (1)", StatementKind::Begin)]
#[case::begin_then_read("begin read only; select 1", StatementKind::BeginReadOnly)]
#[case::after_rollback("begin; rollback; insert into t values (1)", StatementKind::Write)]
#[case::rollback_then_write("rollback; insert into t values (1)", StatementKind::Commit)]
#[case::two_transactions("begin; select 1; commit; begin; select 1", StatementKind::Write)]
#[case::read_only_then_write("begin read only; insert into t values (1)", StatementKind::Begin)]
#[case::rollback_to("rollback to savepoint a", StatementKind::Write)]
#[case::insert_commit("insert into t values (1); commit", StatementKind::Commit)]
#[case::transaction_lock("select pg_advisory_xact_lock(1)", StatementKind::Write)]
#[case::empty("", StatementKind::Read)]
fn classify_kind(#[case] text: &str, #[case] kind: StatementKind) {
    assert_eq!(classify(text), Ok(kind));
}

#[rstest]
#[case::listen("listen a")]
#[case::cursor("declare c cursor for select 1")]
#[case::prepare("prepare p as select 1")]
#[case::two_phase("prepare transaction 'a'")]
#[case::temporary("create temp table t (a int)")]
#[case::copy("copy t from stdin")]
#[case::session_lock("select pg_advisory_lock(1)")]
#[case::try_session_lock("select pg_try_advisory_lock(1)")]
fn classify_session_state(#[case] text: &str) {
    assert!(classify(text).is_err());
}
