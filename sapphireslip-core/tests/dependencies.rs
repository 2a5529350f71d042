//! Tests that this crate depends on no library that opens sockets, starts tasks or threads, or
//! reads a clock, not even indirectly: it only decides and does no input or output.

use std::collections::BTreeSet;
use std::path::Path;

use toml::Table;

/// The libraries that this crate must not use.
const FORBIDDEN: [&str; 16] = [
    "async-std",
    "chrono",
    "flume",
    "futures",
    "hyper",
    "libc",
    "mio",
    "pgwire",
    "rustix",
    "smol",
    "socket2",
    "time",
    "tokio",
    "tokio-postgres",
    "tonic",
    "uhlc",
];

/// Reads a TOML file, given relative to the package's folder.
fn read(path: &str) -> Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let text = std::fs::read_to_string(path).expect("the file can be read");
    text.parse().expect("it is TOML")
}

/// Returns the direct and indirect dependencies of this crate by the lock file, leaving out
/// development dependencies.
fn normal_dependencies() -> BTreeSet<String> {
    let manifest = read("Cargo.toml");
    let direct = manifest["dependencies"].as_table().expect("a table");
    let lock = read("../Cargo.lock");
    let packages = lock["package"].as_array().expect("a list");
    let mut found = BTreeSet::new();
    let mut waiting: Vec<String> = direct.keys().cloned().collect();
    while let Some(name) = waiting.pop() {
        if !found.insert(name.clone()) {
            continue;
        }
        let of_name = packages
            .iter()
            .filter(|p| p["name"].as_str() == Some(name.as_str()));
        let used = of_name
            .filter_map(|p| p.get("dependencies")?.as_array())
            .flatten();
        let names = used.filter_map(|used| used.as_str()?.split(' ').next().map(str::to_owned));
        waiting.extend(names);
    }
    found
}

#[test]
fn dependencies_no_socket_task_or_clock() {
    let found = normal_dependencies();
    assert!(
        found.contains("toml"),
        "a known dependency was not found: the search is broken"
    );
    let forbidden: Vec<_> = FORBIDDEN
        .iter()
        .filter(|name| found.contains(**name))
        .collect();
    assert!(
        forbidden.is_empty(),
        "sapphireslip-core depends on forbidden libraries: {forbidden:?}"
    );
}
