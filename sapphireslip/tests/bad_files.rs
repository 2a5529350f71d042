//! Invalid settings and documents: each fault is reported with its key and line, and nothing is
//! applied.

mod support;

use rstest::rstest;

use self::support::{DOCUMENT, RunningPlatform, SETTINGS, Sapphireslip};

/// The size of a file that is too large, in bytes: 5 MiB.
const OVERSIZED_BYTES: usize = 5 * 1024 * 1024;

/// Returns a text with the first `from` replaced by `to`.
fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "`{from}` is not in the text");
    text.replacen(from, to, 1)
}

/// Checks that `check` and `apply` report the expected faults of a document, and that the platform
/// gets no transaction.
#[track_caller]
fn assert_document_refused(text: &[u8], expected: &[&str]) {
    let running = RunningPlatform::start();
    let checked = Sapphireslip::new("check").file(text).run().failed(2);
    let applied = running.apply(text).run().failed(2);
    for ran in [checked, applied] {
        assert_eq!(ran.faults(), expected);
    }
    assert_eq!(running.platform.counts().transactions, 0);
}

#[rstest]
#[case::unknown_key(
    "sessions = 10",
    "sessions = 10\nsesions = 10",
    "line 7: limits.sesions: is not a known key: use `sessions`, `queued`"
)]
#[case::wrong_unit(
    "deadline = \"1s\"",
    "deadline = \"1 sec\"",
    "line 16: database.stock.deadline: `1 sec` is not a duration: write a whole number and `ms`, \
     `s`, `m` or `h`, such as `250ms`"
)]
#[case::missing_zone(
    "zone = \"a\"\n",
    "",
    "line 18: database.stock.server.stock-1.zone: is missing: give a string"
)]
#[case::host_name(
    "127.0.0.1:5432",
    "localhost:5432",
    "line 21: database.stock.server.stock-1.address: `localhost:5432` names a host: give an IP \
     address and a port, such as `10.0.0.1:5432`"
)]
#[case::port_zero(
    "127.0.0.1:5432",
    "127.0.0.1:0",
    "line 21: database.stock.server.stock-1.address: `127.0.0.1:0` has port 0: give the port on \
     which the server listens"
)]
#[case::negative_limit(
    "queued = 10",
    "queued = -1",
    "line 7: limits.queued: must be 1 to 100000, is -1"
)]
fn document_one_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert_document_refused(changed(DOCUMENT, from, to).as_bytes(), &[expected]);
}

#[test]
fn document_two_databases_of_one_name() {
    let from = DOCUMENT
        .find("[[database]]")
        .expect("the document has a database");
    let second = DOCUMENT[from..]
        .replace("stock-1", "stock-2")
        .replace(":5432", ":5433");
    let expected = "line 24: database.stock.name: database `stock` is already given in line 13: \
                    keep one of them";
    assert_document_refused(format!("{DOCUMENT}\n{second}").as_bytes(), &[expected]);
}

#[test]
fn document_every_fault() {
    let text = changed(DOCUMENT, "queued = 10", "queued = -1");
    let text = changed(&text, "127.0.0.1:5432", "127.0.0.1:0");
    let ran = Sapphireslip::new("check").file(text).run().failed(2);
    let lines: Vec<_> = ran.faults().iter().map(|fault| &fault[..8]).collect();
    assert_eq!(lines, ["line 7: ", "line 21:"]);
}

#[rstest]
#[case::not_utf8(b"service = \"\xff\"".to_vec(), "document: is not UTF-8 from byte 11 on: save it as UTF-8")]
#[case::huge("a".repeat(OVERSIZED_BYTES).into_bytes(), "document: has 1048577 bytes: give at most 1048576")]
#[case::empty(
    Vec::new(),
    "document: is empty: give at least `service`, `member` and `generation`"
)]
#[case::syntax(
    b"service = \n".to_vec(),
    "line 1: document: is not TOML: string values must be quoted, expected literal string"
)]
fn document_no_text(#[case] text: Vec<u8>, #[case] expected: &str) {
    assert_document_refused(&text, &[expected]);
}

#[rstest]
#[case::database_owned(
    "service = \"shop\"\nmember = \"acme\"",
    "service = \"depot\"\nmember = \"rival\"",
    "line 13: database.stock.name: database `stock` belongs to service `shop`: give your database \
     another name"
)]
#[case::older_generation(
    "generation = 1",
    "generation = 1 # again",
    "line 3: generation: is 1, but 1 is accepted: read the accepted document, change that, and \
     give 2"
)]
#[case::skipped_generation(
    "generation = 1",
    "generation = 3",
    "line 3: generation: is 3, but 1 is accepted: read the accepted document, change that, and \
     give 2"
)]
fn document_against_accepted(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let running = RunningPlatform::start();
    running.apply(DOCUMENT).run().succeeded();
    let before = running.platform.counts().transactions;
    let ran = running.apply(changed(DOCUMENT, from, to)).run().failed(1);
    assert_eq!(ran.faults(), [expected]);
    assert_eq!(running.platform.counts().transactions, before);
}

/// A service name, with its databases, belongs to the member whose document was accepted first.
#[test]
fn document_database_owned_by_namesake() {
    let running = RunningPlatform::start();
    running.apply(DOCUMENT).run().succeeded();
    let rival = changed(DOCUMENT, "\"acme\"", "\"rival\"");
    let ran = running.apply(rival).run().failed(1);
    assert_eq!(
        ran.stderr,
        "error: apply: service `shop` belongs to member `acme`: choose another name\n"
    );
    assert_eq!(running.platform.counts().transactions, 1);
}

#[rstest]
#[case::unknown_key(
    "[backend]",
    "colour = \"red\"\n[backend]",
    "line 8: colour: is not a known key: use "
)]
#[case::wrong_unit(
    "[backend]",
    "drain_bound = \"20 s\"\n[backend]",
    "line 8: drain_bound: `20 s` is not a duration: "
)]
#[case::missing_zone("zone = \"a\"\n", "", "line 1: zone: is missing: give a name such as ")]
#[case::host_name(
    "10.0.9.1:443",
    "platform:443",
    "line 6: platform: `platform:443` is not an address: "
)]
#[case::port_zero(
    "10.0.0.1:5432",
    "10.0.0.1:0",
    "line 3: callers: `10.0.0.1:0` has port 0: "
)]
fn settings_one_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = changed(SETTINGS, from, to);
    let ran = Sapphireslip::new("check").file(text).run().failed(2);
    assert_eq!(ran.faults().len(), 1, "{}", ran.stderr);
    assert!(ran.faults()[0].starts_with(expected), "{}", ran.stderr);
}
