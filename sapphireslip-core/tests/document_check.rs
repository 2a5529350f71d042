//! Tests that valid service documents are accepted and that every fault is reported with its line
//! and key.

use std::time::Duration;

use rstest::rstest;
use sapphireslip_core::{DOCUMENT_MAX_BYTES, Document, DocumentErrors, Generation};

/// A document without faults, which the tests change in one place or more.
const VALID: &str = r#"service = "stock"
member = "red-quetzal"
generation = 3
[limits]
sessions = 2000
queued = 200
[stop]
bound = "30s"
[[caller]]
name = "till"
verifier = "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy"
[[database]]
name = "xela"
connections = 16
max_staleness = "250ms"
deadline = "2m"
[[database.server]]
id = "xela-1"
zone = "a"
address = "10.0.0.1:5432"
[[database.server]]
id = "xela-2"
zone = "b"
address = "10.0.1.1:5432"
leaving = true
"#;

fn check(text: &str) -> Result<Document, DocumentErrors> {
    Document::try_from(text.as_bytes())
}

/// Returns the faults of a document, one a line; empty if it has none.
fn faults(text: &str) -> String {
    check(text).map_or_else(|errors| errors.to_string(), |_| String::new())
}

#[test]
fn document_valid() {
    let document = check(VALID).unwrap();
    assert_eq!(document.generation, Generation(3));
    assert_eq!(document.stop.bound, Duration::from_secs(30));
    let database = &document.databases[0];
    assert_eq!(database.max_staleness, Duration::from_millis(250));
    assert_eq!(database.deadline, Duration::from_secs(120));
    let zones: Vec<_> = database.zones.iter().map(|zone| zone.as_str()).collect();
    assert_eq!(zones, ["a", "b"]);
    assert!(!database.servers[0].leaving);
    assert!(database.servers[1].leaving);
}

#[rstest]
#[case::unknown_key(
    "queued = 200",
    "queued = 200\nqueue = 1",
    "line 7: limits.queue: is not a known key: use `sessions`, `queued`"
)]
#[case::missing(
    "queued = 200\n",
    "",
    "line 4: limits.queued: is missing: give a whole number"
)]
#[case::missing_table(
    "[stop]\nbound = \"30s\"\n",
    "",
    "line 1: stop: is missing: give a table"
)]
#[case::negative(
    "sessions = 2000",
    "sessions = -4",
    "line 5: limits.sessions: must be 1 to 100000, is -4"
)]
#[case::zero(
    "connections = 16",
    "connections = 0",
    "line 14: database.xela.connections: must be 1 to 10000, is 0"
)]
#[case::few(
    "connections = 16",
    "connections = 1",
    "line 14: database.xela.connections: is 1 for 2 availability zones"
)]
#[case::fraction(
    "connections = 16",
    "connections = 1.5",
    "line 14: database.xela.connections: must be a whole number, is of type float"
)]
#[case::bare_duration(
    "\"250ms\"",
    "250",
    "line 15: database.xela.max_staleness: `250` is not a duration: write a whole number and `ms`, `s`, `m` or `h`"
)]
#[case::wrong_unit(
    "\"250ms\"",
    "\"250us\"",
    "line 15: database.xela.max_staleness: `250us` is not a duration"
)]
#[case::long_duration(
    "\"2m\"",
    "\"2h\"",
    "line 16: database.xela.deadline: must be 10ms to 600s, is `2h`"
)]
#[case::missing_zone(
    "zone = \"b\"\n",
    "",
    "line 21: database.xela.server.xela-2.zone: is missing: give a string"
)]
#[case::host_name(
    "10.0.0.1:5432",
    "db1.example:5432",
    "line 20: database.xela.server.xela-1.address: `db1.example:5432` names a host: give an IP address"
)]
#[case::no_port(
    "10.0.0.1:5432",
    "10.0.0.1",
    "line 20: database.xela.server.xela-1.address: `10.0.0.1` is not an address"
)]
#[case::port_zero(
    "10.0.0.1:5432",
    "10.0.0.1:0",
    "line 20: database.xela.server.xela-1.address: `10.0.0.1:0` has port 0"
)]
#[case::same_id(
    "\"xela-2\"",
    "\"xela-1\"",
    "line 22: database.xela.server.xela-1.id: server `xela-1` is already given in line 18: keep one"
)]
#[case::same_address(
    "10.0.1.1:5432",
    "10.0.0.1:5432",
    "line 24: database.xela.server.xela-2.address: address `10.0.0.1:5432` is already given in line 20"
)]
#[case::bad_name(
    "\"red-quetzal\"",
    "\"Red Quetzal\"",
    "line 2: member: member `Red Quetzal` has `R`: use a-z"
)]
#[case::generation_zero(
    "generation = 3",
    "generation = 0",
    "line 3: generation: must be 1 to 18446744073709551615, is 0"
)]
#[case::empty_zones(
    "connections = 16",
    "connections = 16\nzones = []",
    "line 15: database.xela.zones: is an empty list"
)]
#[case::twice_a_zone(
    "connections = 16",
    "connections = 16\nzones = [\"a\", \"a\"]",
    "line 15: database.xela.zones: availability zone `a` is already given in line 15"
)]
#[case::syntax("generation = 3", "generation = ", "line 3: document: is not TOML")]
fn document_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(VALID.contains(from));
    let found = faults(&VALID.replacen(from, to, 1));
    assert!(found.lines().count() == 1, "{found}");
    assert!(found.starts_with(expected), "{found}");
}

#[test]
fn document_every_fault_at_once() {
    let text = VALID
        .replacen("sessions = 2000", "sessions = -4", 1)
        .replacen("zone = \"a\"\n", "", 1)
        .replacen("\"2m\"", "2", 1);
    let found = faults(&text);
    let lines: Vec<_> = found.lines().collect();
    assert_eq!(lines.len(), 3, "{found}");
    assert!(lines[0].starts_with("line 5: limits.sessions: "), "{found}");
    assert!(
        lines[1].starts_with("line 16: database.xela.deadline: "),
        "{found}"
    );
    assert!(
        lines[2].starts_with("line 17: database.xela.server.xela-1.zone: "),
        "{found}"
    );
}

#[test]
fn document_same_names() {
    let client = "[[caller]]\nname = \"till\"\nverifier = \"x\"\n";
    let found = faults(&format!("{VALID}{client}"));
    let expected = "line 27: caller.till.name: caller `till` is already given in line 10";
    assert!(found.starts_with(expected), "{found}");
    let start = VALID.find("[[database]]").unwrap();
    let found = faults(&format!("{VALID}{}", &VALID[start..]));
    assert!(
        found.contains("database `xela` is already given in line 13"),
        "{found}"
    );
}

#[test]
fn document_no_server() {
    let end = VALID.find("[[database.server]]").unwrap();
    let found = faults(&VALID[..end]);
    assert!(
        found.starts_with("line 12: database.xela: has no server"),
        "{found}"
    );
}

#[rstest]
#[case::empty(Vec::new(), "document: is empty")]
#[case::comment(b"# nothing".to_vec(), "document: is empty")]
#[case::not_utf8(vec![b'#', 0xff], "document: is not UTF-8 from byte 1 on")]
#[case::large(vec![b' '; DOCUMENT_MAX_BYTES + 1], "document: has 1048577 bytes: give at most 1048576")]
fn document_without_usable_text(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let errors = Document::try_from(bytes.as_slice()).unwrap_err();
    assert!(errors.to_string().starts_with(expected), "{errors}");
}
