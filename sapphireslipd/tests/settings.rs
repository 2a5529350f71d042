//! Reading settings files: a valid one, and the error message of each fault.

use std::time::Duration;

use log::LevelFilter;
use rstest::rstest;
use sapphireslipd::{Settings, SettingsErrors};

const VALID_SETTINGS: &str = r#"vm = "vm-1"
zone = "a"
callers = "10.0.0.1:5432"
peers = "10.0.0.1:7000"
admin = "10.0.0.1:9000"
platform = "10.0.9.1:443"
log_level = "debug"
drain_bound = "20s"

[backend]
user = "sapphireslip"
password = "secret"

[[peer]]
vm = "vm-2"
zone = "b"
address = "10.0.0.2:7000"
"#;

fn errors(text: &[u8]) -> SettingsErrors {
    Settings::try_from(text).expect_err("the settings are invalid")
}

#[test]
fn settings_good() {
    let settings = Settings::try_from(VALID_SETTINGS.as_bytes()).expect("the settings are valid");
    assert_eq!(settings.vm.as_str(), "vm-1");
    assert_eq!(settings.peers_advertised, settings.peers);
    assert_eq!(settings.platform.to_string(), "10.0.9.1:443");
    assert_eq!(settings.log_level, LevelFilter::Debug);
    assert_eq!(settings.drain_bound, Duration::from_secs(20));
    assert_eq!(settings.backend.password.as_deref(), Some("secret"));
    assert_eq!(settings.seeds[0].address.to_string(), "10.0.0.2:7000");
}

#[rstest]
#[case::missing(
    "vm = \"vm-1\"\n",
    "",
    "line 1: vm: is missing: give a name such as `vm-1`"
)]
#[case::name("vm = \"vm-1\"", "vm = \"VM 1\"", "line 1: vm: ")]
#[case::empty("zone = \"a\"", "zone = \"\"", "line 2: zone: is empty: give a value")]
#[case::kind(
    "zone = \"a\"",
    "zone = 1",
    "line 2: zone: must be a string, is of type integer"
)]
#[case::host(
    "10.0.0.1:5432",
    "localhost:5432",
    "line 3: callers: `localhost:5432` is not an address: give an IP address and a port, such as \
     `10.0.0.1:5432`"
)]
#[case::port_zero(
    "10.0.0.1:9000",
    "10.0.0.1:0",
    "line 5: admin: `10.0.0.1:0` has port 0: give the port number"
)]
#[case::unspecified(
    "10.0.0.1:7000",
    "0.0.0.0:7000",
    "line 4: peers: `0.0.0.0:7000` is not a specific address: give the one that peers connect to"
)]
#[case::advertised(
    "admin =",
    "peers_advertised = \"0.0.0.0:7001\"\nadmin =",
    "line 5: peers_advertised: `0.0.0.0:7001` is not a specific address: give the one that peers \
     connect to"
)]
#[case::listeners(
    "10.0.0.1:9000",
    "10.0.0.1:5432",
    "line 5: admin: `10.0.0.1:5432` is already given in line 3: keep one of them"
)]
#[case::platform_missing(
    "platform = \"10.0.9.1:443\"\n",
    "",
    "line 1: platform: is missing: give an IP address and a port, such as `10.0.0.1:5432`"
)]
#[case::level(
    "\"debug\"",
    "\"loud\"",
    "line 7: log_level: `loud` is not a log level: use `error`, `warn`, `info`, `debug` or `trace`"
)]
#[case::duration(
    "20s",
    "20 s",
    "line 8: drain_bound: `20 s` is not a duration: write a whole number and `ms`, `s` or `m`, such \
     as `30s`"
)]
#[case::long_bound("20s", "90m", "line 8: drain_bound: must be at most 3600s, is `90m`")]
#[case::user(
    "user = \"sapphireslip\"\n",
    "",
    "line 10: backend.user: is missing: give the user name for backend servers"
)]
#[case::backend(
    "[backend]\nuser = \"sapphireslip\"\npassword = \"secret\"\n",
    "",
    "line 1: backend.user: is missing: give the user name for backend servers"
)]
#[case::unknown(
    "password =",
    "pasword =",
    "line 12: backend.pasword: is not a known key: use `user`, `password`"
)]
#[case::unknown_root(
    "log_level",
    "loglevel",
    "line 7: loglevel: is not a known key: use `vm`, `zone`, `callers`, `peers`, `peers_advertised`, \
     `admin`, `platform`, `log_level`, `drain_bound`, `backend`, `peer`"
)]
#[case::own_vm(
    "vm = \"vm-2\"",
    "vm = \"vm-1\"",
    "line 15: peer[0].vm: `vm-1` is already given in line 1: keep one of them"
)]
#[case::peer_zone("zone = \"b\"\n", "", "line 14: peer[0].zone: is missing: ")]
#[case::peer_table(
    "[[peer]]",
    "[peer]",
    "line 14: peer: must be an array of tables, is of type table"
)]
#[case::syntax("vm = \"vm-1\"", "vm = ", "line 1: settings: is not TOML: ")]
fn settings_one_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(VALID_SETTINGS.contains(from), "the case replaces nothing");
    let errors = errors(VALID_SETTINGS.replacen(from, to, 1).as_bytes());
    assert_eq!(errors.0.len(), 1, "{errors}");
    assert!(errors.to_string().starts_with(expected), "{errors}");
}

#[test]
fn settings_advertised() {
    let text = VALID_SETTINGS.replace("admin =", "peers_advertised = \"10.9.0.1:7001\"\nadmin =");
    let settings = Settings::try_from(text.as_bytes()).expect("the settings are valid");
    assert_eq!(settings.peers_advertised.to_string(), "10.9.0.1:7001");
    assert_eq!(settings.peers.to_string(), "10.0.0.1:7000");
}

#[test]
fn settings_every_fault() {
    let text = VALID_SETTINGS
        .replace("\"a\"", "7")
        .replace("20s", "never")
        .replace("\"b\"", "\"B\"");
    let lines: Vec<_> = errors(text.as_bytes())
        .0
        .iter()
        .map(|err| err.line)
        .collect();
    assert_eq!(lines, [Some(2), Some(8), Some(16)]);
}

#[test]
fn settings_not_text() {
    let errors = errors(b"vm = \"\xff\"");
    assert_eq!(
        errors.to_string(),
        "settings: is not UTF-8 from byte 6 on: save it as UTF-8"
    );
}
