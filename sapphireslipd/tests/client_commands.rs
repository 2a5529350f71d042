//! Tests of session commands, request keys in comments, and the rewriting of prepared statements.

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse, Sync};
use pgwire::messages::{DecodeContext, PgWireFrontendMessage as In, ProtocolVersion};
use rstest::rstest;
use sapphireslipd::{
    BatchStep, PREPARED_MAX, PreparedError, PreparedStatements, SessionCommand, key_of_comment,
    session_commands,
};

#[rstest]
#[case::set("SET client_encoding TO 'UTF8'", "SET")]
#[case::set_session("set session timezone = 'UTC';", "SET")]
#[case::set_time_zone("SET TIME ZONE 'UTC'", "SET")]
#[case::comment_before("/* driver */ SET DateStyle = ISO", "SET")]
#[case::reset("RESET ALL", "RESET")]
fn command_acknowledged(#[case] text: &str, #[case] tag: &'static str) {
    let commands = session_commands(text);
    assert_eq!(commands, Some(vec![SessionCommand::Acknowledge { tag }]));
}

#[rstest]
#[case::setting("SET search_path = x", "0A000")]
#[case::characteristics("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", "0A000")]
#[case::copy("COPY t FROM STDIN", "0A000")]
#[case::listen("LISTEN prices", "0A000")]
#[case::hidden("SELECT 1; SET search_path = x", "0A000")]
#[case::token("SET sapphireslip.token = 'now'", "22023")]
#[case::key("SET sapphireslip.request_key = 'a'", "22023")]
fn command_refused(#[case] text: &str, #[case] expected: &str) {
    let commands = session_commands(text);
    let Some([SessionCommand::Refuse { sqlstate, .. }]) = commands.as_deref() else {
        panic!("expected a refusal, got {commands:?}");
    };
    assert_eq!(*sqlstate, expected);
}

#[rstest]
#[case::select("SELECT 1")]
#[case::local("SET LOCAL search_path = x")]
#[case::transaction("BEGIN; SET TRANSACTION READ ONLY")]
#[case::quoted("SELECT '; SET search_path = x'")]
#[case::dollar("SELECT $$; SET search_path = x$$")]
#[case::parameter("SELECT $1; SELECT $2")]
#[case::comment("SELECT 1 -- ; SET search_path = x")]
#[case::empty("")]
#[case::show("SHOW server_version")]
fn command_forwarded(#[case] text: &str) {
    assert_eq!(session_commands(text), None);
}

#[rstest]
#[case::before("/* sapphireslip key=1.a */ SELECT 1", Some("1.a"))]
#[case::quoted("SELECT '/* sapphireslip key=1.a */'", None)]
#[case::other("SELECT 1 /* key=1.a */", None)]
fn key_in_comment(#[case] text: &str, #[case] expected: Option<&str>) {
    let key = key_of_comment(text).expect("no malformed key");
    assert_eq!(key.map(|key| key.to_string()).as_deref(), expected);
}

#[test]
fn key_malformed() {
    assert!(key_of_comment("SELECT 1 /* sapphireslip key=a */").is_err());
}

/// Encodes messages.
fn frames(messages: Vec<In>) -> Vec<Bytes> {
    let encode = |message: In| {
        let mut buf = BytesMut::new();
        message.encode(&mut buf).expect("a short message");
        buf.freeze()
    };
    messages.into_iter().map(encode).collect()
}

fn parse(name: &str, sql: &str) -> In {
    In::Parse(Parse::new(Some(name.to_owned()), sql.to_owned(), vec![20]))
}

fn bind(name: &str) -> In {
    let statement = Some(name.to_owned());
    In::Bind(Bind::new(
        None,
        statement,
        vec![],
        vec![Some("1".into())],
        vec![],
    ))
}

fn describe(name: &str) -> In {
    In::Describe(Describe::new(b'S', Some(name.to_owned())))
}

fn execute() -> In {
    In::Execute(Execute::new(None, 0))
}

/// Formats a batch as a short text, such as `P:a(SELECT 1) B: E S`.
fn summarize(payload: &Bytes) -> String {
    let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    cx.awaiting_frontend_ssl = false;
    cx.awaiting_frontend_startup = false;
    let mut buf = BytesMut::from(payload.as_ref());
    let mut summary = Vec::new();
    while let Some(message) = In::decode(&mut buf, &cx).expect("well formed") {
        let name = |name: Option<String>| name.unwrap_or_default();
        summary.push(match message {
            In::Parse(parse) => format!("P:{}({})", name(parse.name), parse.query),
            In::Bind(bind) => format!("B:{}", name(bind.statement_name)),
            In::Describe(describe) => format!("D:{}", name(describe.name)),
            In::Close(close) => format!("C:{}", name(close.name)),
            In::Execute(_) => "E".to_owned(),
            In::Sync(_) => "S".to_owned(),
            other => panic!("unexpected message in a batch: {other:?}"),
        });
    }
    summary.join(" ")
}

/// Rewrites a batch and a sync, and formats the result, with `+` for each inserted parse message
/// and `.` for each of the client's own.
fn rewrite(prepared: &mut PreparedStatements, messages: Vec<In>) -> String {
    let mut messages = frames(messages);
    messages.extend(frames(vec![In::Sync(Sync::new())]));
    let rewritten = prepared.rewrite(&messages).expect("it fits");
    let inserted = rewritten.inserted.iter();
    let inserted: String = inserted
        .map(|inserted| if *inserted { '+' } else { '.' })
        .collect();
    format!("{} {inserted}", summarize(&rewritten.payload))
}

#[test]
fn prepared_named() {
    let mut prepared = PreparedStatements::default();
    let batch = vec![parse("a", "SELECT $1"), describe("a")];
    assert_eq!(rewrite(&mut prepared, batch), "P:(SELECT $1) D: S .");
    let batch = vec![bind("a"), execute()];
    assert_eq!(rewrite(&mut prepared, batch), "P:(SELECT $1) B: E S +");
}

#[test]
fn prepared_two_in_one_batch() {
    let mut prepared = PreparedStatements::default();
    let batch = vec![
        parse("a", "A"),
        parse("b", "B"),
        bind("a"),
        execute(),
        bind("a"),
        bind("b"),
    ];
    let expected = "P:(A) P:(B) P:(A) B: E B: P:(B) B: S ..++";
    assert_eq!(rewrite(&mut prepared, batch), expected);
}

#[test]
fn prepared_unnamed_over_batches() {
    let mut prepared = PreparedStatements::default();
    assert_eq!(rewrite(&mut prepared, vec![parse("", "A")]), "P:(A) S .");
    assert_eq!(rewrite(&mut prepared, vec![bind("")]), "P:(A) B: S +");
}

#[test]
fn prepared_closed() {
    let mut prepared = PreparedStatements::default();
    rewrite(&mut prepared, vec![parse("a", "A")]);
    let close = In::Close(Close::new(b'S', Some("a".to_owned())));
    assert_eq!(rewrite(&mut prepared, vec![close]), "C:a S ");
    assert_eq!(rewrite(&mut prepared, vec![bind("a")]), "B:a S ");
}

#[test]
fn prepared_steps() {
    let mut prepared = PreparedStatements::default();
    rewrite(&mut prepared, vec![parse("a", "A")]);
    let messages = frames(vec![bind("a"), bind("missing"), execute()]);
    let rewritten = prepared.rewrite(&messages).expect("it fits");
    let steps = [
        BatchStep::Bind(Some("A".into())),
        BatchStep::Bind(None),
        BatchStep::Execute,
    ];
    assert_eq!(rewritten.steps, steps);
}

#[test]
fn prepared_count_limit() {
    let mut prepared = PreparedStatements::default();
    for i in 0..PREPARED_MAX {
        rewrite(&mut prepared, vec![parse(&i.to_string(), "A")]);
    }
    let refused = prepared.rewrite(&frames(vec![parse("more", "A")]));
    assert!(matches!(refused, Err(PreparedError::Full)), "{refused:?}");
    rewrite(&mut prepared, vec![parse("0", "B"), parse("", "C")]);
}

#[test]
fn prepared_bytes_limit() {
    let mut prepared = PreparedStatements::default();
    let large = "A".repeat(300_000);
    rewrite(&mut prepared, vec![parse("a", &large)]);
    let refused = prepared.rewrite(&frames(vec![parse("b", &large)]));
    assert!(matches!(refused, Err(PreparedError::Full)), "{refused:?}");
    rewrite(&mut prepared, vec![parse("a", "A"), parse("b", &large)]);
}
