//! `status`, `timeline`, `bench` and `drain` against running daemons.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, wait_for};
use tokio::runtime::Runtime;

use self::support::Sapphireslip;

/// The password of the user.
const PASSWORD: &str = "a counter by the door";

/// The timeout for a condition.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a daemon if this test binary is started with a settings file as its last argument.
///
/// The daemon's program is in another package, so the fleet starts this test binary instead, with
/// the name of this function.
#[test]
fn daemon_process() {
    let settings = std::env::args().next_back().map(PathBuf::from);
    if let Some(settings) =
        settings.filter(|path| path.extension().is_some_and(|end| end == "toml"))
    {
        sapphireslipd::run([settings.into()]);
    }
}

/// Starts a fleet of daemons with this test binary as their program.
fn start(runtime: &Runtime) -> Fleet {
    let program = DaemonProgram {
        path: std::env::current_exe().expect("the path of the test binary"),
        arguments: ["--exact", "--nocapture", "daemon_process"]
            .map(str::to_owned)
            .to_vec(),
    };
    let plan = FleetPlan::new(program, "till", &make_verifier(PASSWORD));
    runtime
        .block_on(Fleet::start(plan))
        .expect("the fleet starts")
}

/// Returns a short `bench` against all daemons.
fn bench(fleet: &Fleet) -> Sapphireslip {
    let daemons = (0..fleet.daemons()).fold(Sapphireslip::new("bench"), |bench, number| {
        bench
            .value("--daemon", fleet.clients(number))
            .value("--admin", fleet.admin(number))
    });
    daemons
        .value("--database", "stock")
        .value("--user", "till")
        .value("--password", PASSWORD)
        .value("--rate", 50)
        .value("--sessions", 6)
        .value("--seconds", 2)
}

/// Returns a subcommand with the admin addresses of all daemons.
fn all_admin(fleet: &Fleet, subcommand: &str) -> Sapphireslip {
    (0..fleet.daemons()).fold(Sapphireslip::new(subcommand), |command, number| {
        command.value("--admin", fleet.admin(number))
    })
}

#[test]
fn fleet_observed() {
    let runtime = Runtime::new().expect("the runtime starts");
    let fleet = start(&runtime);
    let ran = bench(&fleet).json().run().succeeded();
    assert_eq!(ran.json()["verdict"]["lost"], 0);
    bench(&fleet).value("--seed", 2).run().succeeded();

    let status = all_admin(&fleet, "status").json().run().succeeded().json();
    let daemons = status.as_array().expect("the status is an array");
    assert_eq!(daemons.len(), 3);
    assert_eq!(daemons[1]["status"]["vm"], "vm-1");
    let text = all_admin(&fleet, "status").run().succeeded().stdout;
    assert!(text.contains("primary: stock-"), "{text}");

    let timeline = all_admin(&fleet, "timeline")
        .json()
        .run()
        .succeeded()
        .json();
    let entries = timeline.as_array().expect("the timeline is an array");
    assert!(
        entries
            .iter()
            .any(|entry| entry["kind"] == "RequestAcknowledged")
    );
    let request = entries
        .iter()
        .rev()
        .find_map(|entry| entry["request"].as_str());
    let request = request.expect("an entry names a request");
    let one = all_admin(&fleet, "timeline").value("--only", request);
    let text = one.run().succeeded().stdout;
    for kind in [
        "RequestReceived",
        "RequestSent",
        "RequestAnswered",
        "RequestFinished",
    ] {
        assert!(text.contains(kind), "{kind} is not in\n{text}");
    }

    // The daemons log at level debug, which includes every timeline entry.
    let logs = (0..fleet.daemons()).fold(Sapphireslip::new("timeline"), |command, number| {
        command.value("--log", fleet.log(number).display())
    });
    let logged = logs.value("--only", request).run().succeeded().stdout;
    assert_eq!(logged, text);
}

#[test]
fn fleet_drained() {
    let runtime = Runtime::new().expect("the runtime starts");
    let mut fleet = start(&runtime);
    let ran = Sapphireslip::new("drain")
        .value("--admin", fleet.admin(0))
        .run()
        .succeeded();
    assert_eq!(
        ran.stdout,
        format!("daemon at {} is draining\n", fleet.admin(0))
    );
    let ended = runtime.block_on(fleet.wait_daemon_exit(0, PATIENCE));
    assert_eq!(ended.expect("the daemon exits"), 0);
    let status = all_admin(&fleet, "status").json().run().succeeded().json();
    assert_eq!(status[0]["status"], serde_json::Value::Null);
    let drained = async || {
        let status = all_admin(&fleet, "status").json().run().succeeded().json();
        let vms = status[1]["status"]["vms"].as_array()?.clone();
        let vm = vms.iter().find(|vm| vm["vm"] == "vm-0");
        vm.is_none_or(|vm| vm["state"] != "Alive").then_some(())
    };
    let waited = runtime.block_on(wait_for("the drain to be known", PATIENCE, drained));
    waited.expect("the other daemons learn of the drain");
    let json = Sapphireslip::new("drain")
        .value("--admin", fleet.admin(1))
        .json()
        .run()
        .succeeded();
    assert_eq!(json.json(), fleet.admin(1).to_string().as_str());
}
