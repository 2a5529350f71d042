//! Runs a small site for manual tests: a platform, three backend servers and six daemons in three
//! availability zones, each daemon in a process of its own.
//!
//! Prints commands that use the site and runs until Ctrl-C or the end of standard input. The line
//! `kill` on standard input kills the primary, and `restart` restarts all killed servers.

use std::collections::BTreeSet;
use std::error::Error;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use sapphireslip_core::ServerRole;
use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP};
use tokio::signal::unix::{SignalKind, signal};

/// The argument with which the site runs itself as a daemon.
const DAEMON_ARGUMENT: &str = "daemon";

const USER: &str = "till";
const PASSWORD: &str = "secret";
const DATABASE: &str = "stock";

/// The replication lag of reads on replicas.
const LAG: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON_ARGUMENT) {
        return sapphireslipd::run(args.into_iter().skip(1));
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let result = runtime.block_on(site());
    // A blocking read of standard input may be pending; don't wait for it.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn site() -> Result<(), Box<dyn Error>> {
    let program = DaemonProgram {
        path: std::env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD));
    let plan = plan.databases(&[DATABASE]).daemons_per_zone(2).lag(LAG);
    let fleet = Fleet::start(plan).await?;
    print_site(&fleet);
    // Dropping the fleet stops the daemons, so signals must not end this process before that.
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        stopped = tokio::signal::ctrl_c() => stopped?,
        ended = take_commands(&fleet) => ended?,
    }
    println!("stopped");
    Ok(())
}

/// Executes the commands on standard input until its end.
async fn take_commands(fleet: &Fleet) -> std::io::Result<()> {
    let (tx, rx) = flume::bounded(1);
    tokio::task::spawn_blocking(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if tx.send(line).is_err() {
                return;
            }
        }
    });
    let mut killed = BTreeSet::new();
    while let Ok(line) = rx.recv_async().await {
        match line.trim() {
            "kill" => killed.extend(kill_primary(fleet)),
            "restart" => {
                for server in std::mem::take(&mut killed) {
                    fleet.group(0).restart(server).await?;
                    println!("restarted {}", fleet.group(0).id(server));
                }
            }
            "" => {}
            other => println!("unknown command `{other}`: use `kill` or `restart`"),
        }
    }
    Ok(())
}

/// Kills the primary with the newest log, which is the one that accepts writes; returns its number.
fn kill_primary(fleet: &Fleet) -> Option<usize> {
    let group = fleet.group(0);
    let is_primary = |server: &usize| group.status(*server).role == ServerRole::Primary;
    let primaries = (0..SERVERS_PER_GROUP).filter(is_primary);
    let primary = primaries.max_by_key(|server| group.status(*server).held)?;
    group.kill(primary);
    println!("killed {}", group.id(primary));
    Some(primary)
}

/// Prints the addresses of the site and commands that use it.
fn print_site(fleet: &Fleet) {
    println!("platform     {}", fleet.platform_address());
    for server in 0..SERVERS_PER_GROUP {
        println!(
            "{DATABASE}-{server}      zone {}  {}",
            fleet.server_zone(server),
            fleet.server_ip(0, server)
        );
    }
    for number in 0..fleet.daemons() {
        println!(
            "vm-{number}         zone {}  callers {}  admin {}",
            fleet.zone(number),
            fleet.clients(number),
            fleet.admin(number)
        );
    }
    println!("\nConnect to any daemon (user `{USER}`, password `{PASSWORD}`):\n");
    for number in [0, 2] {
        println!("  {}", psql(fleet.clients(number)));
    }
    let admin = options(fleet, "--admin", Fleet::admin);
    let daemons = options(fleet, "--daemon", Fleet::clients);
    let first = fleet.admin(0);
    println!("\nOperate the site from another terminal:\n");
    for line in [
        format!("status{admin}"),
        format!("timeline{admin}"),
        format!("timeline{admin} --html timeline.html"),
        format!(
            "show --platform {} member-0 {DATABASE}-service",
            fleet.platform_address()
        ),
        format!("bench --database {DATABASE} --user {USER} --password {PASSWORD}{daemons}{admin}"),
        format!("drain --admin {first}"),
    ] {
        println!("  cargo run -q --release -p sapphireslip -- {line}");
    }
    println!("\nType `kill` to kill the primary, `restart` to restart it; Ctrl-C stops the site.");
}

/// Returns the `psql` command that connects to a daemon.
fn psql(address: SocketAddr) -> String {
    format!(
        "PGPASSWORD={PASSWORD} psql \"host={} port={} dbname={DATABASE} user={USER}\"",
        address.ip(),
        address.port()
    )
}

/// Returns the option `name` once for each daemon, with its address.
fn options(fleet: &Fleet, name: &str, address: fn(&Fleet, usize) -> SocketAddr) -> String {
    (0..fleet.daemons())
        .map(|number| format!(" {name} {}", address(fleet, number)))
        .collect()
}
