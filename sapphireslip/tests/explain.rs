//! `explain` and `timeline` on the decisions in daemons' logs.

mod support;

use rstest::rstest;
use sapphireslip::{DecisionLog, Explanation, explanation};

use self::support::Sapphireslip;

/// Returns a line of a log at a time in milliseconds. `names` holds the request, session, service
/// and server, separated by spaces, with `-` for none.
fn line(at: u64, vm: &str, event: &str, names: &str, message: &str) -> String {
    let time = format!("{}.{:03}", 1_000 + at / 1_000, at % 1_000);
    let names: Vec<&str> = names.split(' ').collect();
    let [request, session, service, server] = names[..] else {
        panic!("not a request, session, service and server: {names:?}");
    };
    let name = |name: &str| name.replace('-', "");
    format!(
        "{{\"time\":{time},\"level\":\"INFO\",\"vm\":\"{vm}\",\"event\":\"{event}\",\"request\":\"{}\",\
         \"session\":{session},\"service\":\"{}\",\"server\":\"{}\",\"message\":\"{message}\"}}\n",
        name(request),
        name(service),
        name(server)
    )
}

/// Returns the logs of three daemons during the loss of a primary, with one daemon cut off from the
/// store and one transaction aborted.
fn logs() -> String {
    [
        line(
            0,
            "a",
            "request_sent",
            "q1 1 fees s1",
            "Read, floor none, waited 0 ms, sending 1",
        ),
        line(
            9,
            "a",
            "request_answered",
            "q1 1 fees -",
            "complete, after 9 ms",
        ),
        line(100, "b", "store_reachable", "- 0 - -", "does not answer"),
        line(
            900,
            "a",
            "connection_closed",
            "- 0 fees s1",
            "opening it failed: Refused",
        ),
        line(
            950,
            "a",
            "promotion",
            "- 0 fees -",
            "Lost: Choosing, old leader s1",
        ),
        line(
            1_000,
            "a",
            "request_refused",
            "q2 2 fees -",
            "the primary can't be reached; waited 0 ms",
        ),
        line(
            1_001,
            "a",
            "request_answered",
            "q2 2 fees -",
            "Busy, after 1 ms",
        ),
        line(
            1_500,
            "b",
            "permit_changed",
            "- 0 - -",
            "has ended; generation 7",
        ),
        line(
            1_600,
            "b",
            "request_refused",
            "q3 3 other -",
            "the permission to rely on the primary has ended; waited 0 ms",
        ),
        line(
            2_000,
            "c",
            "transaction_aborted",
            "- 4 - -",
            "the connection to the server broke",
        ),
        line(
            2_001,
            "c",
            "request_answered",
            "q4 4 fees -",
            "Aborted, after 0 ms: the transaction had failed",
        ),
        line(
            2_100,
            "c",
            "request_sent",
            "q5 5 fees s2",
            "Write, floor none, waited 0 ms, sending 1",
        ),
        line(
            2_200,
            "a",
            "request_sent",
            "q6 6 fees s2",
            "Write, floor none, waited 0 ms, sending 1",
        ),
        line(
            2_900,
            "a",
            "request_unknown",
            "q6 6 fees -",
            "no answer came in time; after 700 ms",
        ),
        line(
            2_905,
            "a",
            "connection_closed",
            "- 0 - s2",
            "the connection went silent; 1 answers were due",
        ),
        line(
            3_000,
            "b",
            "request_sent",
            "q7 7 fees s2",
            "Write, floor none, waited 0 ms, sending 1",
        ),
        line(
            3_004,
            "b",
            "request_answered",
            "q7 7 fees -",
            "Failed, after 4 ms",
        ),
        line(6_000, "a", "lead_changed", "- 0 other s9", "leads term 3"),
    ]
    .concat()
}

/// Explains a request from [`logs`].
fn explained(request: &str) -> Explanation {
    let mut log = DecisionLog::default();
    log.add(logs().as_bytes());
    explanation(&log.decisions, request).expect("a line names the request")
}

#[rstest]
#[case::answered("q1", "answered, by `a`: complete, after 9 ms", "complete, after 9 ms")]
#[case::refused(
    "q2",
    "refused, not run, by `a`: Busy, after 1 ms",
    "the primary can't be reached"
)]
#[case::cut_off(
    "q3",
    "refused, not run, by `b`: the permission",
    "the permission to rely on"
)]
#[case::aborted(
    "q4",
    "answered, by `c`: Aborted",
    "the connection to the server broke"
)]
#[case::of_a_lost_daemon(
    "q5",
    "no answer is in the log; last seen at `c`",
    "`c` wrote nothing more"
)]
#[case::unknown("q6", "it is unknown whether it ran, by `a`", "no answer came in time")]
#[case::failed_at_the_server(
    "q7",
    "answered, by `b`: Failed, after 4 ms",
    "the server answered Failed"
)]
fn explains(#[case] request: &str, #[case] outcome: &str, #[case] cause: &str) {
    let explained = explained(request);
    assert!(
        explained.outcome.starts_with(outcome),
        "{}",
        explained.outcome
    );
    assert!(explained.cause.starts_with(cause), "{}", explained.cause);
}

#[rstest]
#[case::lost_primary("q2", &["opening it failed: Refused", "Lost: Choosing, old leader s1"])]
#[case::cut_off("q3", &["does not answer", "has ended; generation 7"])]
#[case::silent_server("q6", &["the connection went silent; 1 answers were due", "Lost: Choosing, old leader s1"])]
#[case::answered("q1", &[])]
fn because(#[case] request: &str, #[case] expected: &[&str]) {
    let explained = explained(request);
    let messages: Vec<&str> = explained
        .because
        .iter()
        .map(|l| l.message.as_str())
        .collect();
    assert_eq!(messages, expected);
}

#[test]
fn command_reads_files_with_prefixes() {
    let prefixed: String = logs().lines().map(|l| format!("12.5 vm | {l}\n")).collect();
    let ran = Sapphireslip::new("explain")
        .arg("--log")
        .file(prefixed)
        .arg("q2")
        .run()
        .succeeded();
    let start = "request  q2\noutcome  refused, not run, by `a`: Busy, after 1 ms\n\
                 cause    the primary can't be reached\nbecause\n";
    assert!(ran.stdout.starts_with(start), "{}", ran.stdout);
}

#[test]
fn command_reads_the_standard_input() {
    let ran = Sapphireslip::new("explain").arg("q2").input(&logs()).run();
    let said = ran.succeeded().stdout;
    assert!(
        said.contains("cause    the primary can't be reached"),
        "{said}"
    );
}

#[test]
fn command_names_a_request_that_no_line_has() {
    let ran = Sapphireslip::new("explain")
        .arg("--log")
        .file(logs())
        .arg("q9")
        .run();
    assert_eq!(ran.code, 1);
    let said = "error: no line names request `q9` among the 18 lines read";
    assert!(ran.stderr.starts_with(said), "{}", ran.stderr);
}

#[test]
fn timeline_shows_decisions_of_all_daemons() {
    let ran = Sapphireslip::new("timeline")
        .arg("--log")
        .file(logs())
        .value("--only", "promotion")
        .run()
        .succeeded();
    assert_eq!(ran.stdout.lines().count(), 1, "{}", ran.stdout);
    assert!(
        ran.stdout.contains("Lost: Choosing, old leader s1"),
        "{}",
        ran.stdout
    );
}

#[rstest]
#[case::leaving_primary("the primary is leaving", &["is draining", "no other server can take over"])]
#[case::old_list("the list of servers is too old", &["is draining", "no other server can take over"])]
fn because_of_a_server_that_leaves(#[case] cause: &str, #[case] expected: &[&str]) {
    let refusal = format!("{cause}; waited 0 ms, sent 0 times, retry after 400 ms");
    let lines = [
        line(0, "a", "server_listed", "- 0 fees s1", "is draining"),
        line(
            10,
            "b",
            "promotion",
            "- 0 fees s1",
            "no other server can take over",
        ),
        line(7_000, "a", "request_refused", "q1 1 fees -", &refusal),
    ];
    let mut log = DecisionLog::default();
    log.add(lines.concat().as_bytes());
    let explained = explanation(&log.decisions, "q1").expect("a line names the request");
    assert!(explained.cause.starts_with(cause), "{}", explained.cause);
    let messages = explained.because.iter().map(|l| l.message.as_str());
    assert_eq!(messages.collect::<Vec<_>>(), expected);
}
