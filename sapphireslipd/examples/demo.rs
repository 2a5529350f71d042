//! Demonstrates a session that moves between daemons and a failover after the primary is killed.
//!
//! Starts a platform, a group of three backend servers and six daemons in three availability zones,
//! each daemon in a process of its own. The exit code is 0 only if every guarantee shown was kept.

use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphireslip_core::ServerRole;
use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP, wait_for};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// The argument with which the demo runs itself as a daemon.
const DAEMON_ARGUMENT: &str = "daemon";

const USER: &str = "till";
const PASSWORD: &str = "a counter by the door";

/// The maximum time for which writes may be refused after the primary is lost.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

/// How long a client waits between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON_ARGUMENT) {
        return sapphireslipd::run(args.into_iter().skip(1));
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(demo()) {
        Ok(()) => {
            println!("passed: every guarantee was kept");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("FAILED: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn demo() -> Result<(), Box<dyn Error>> {
    let program = DaemonProgram {
        path: std::env::current_exe()?,
        arguments: vec![DAEMON_ARGUMENT.to_owned()],
    };
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD));
    let plan = plan.daemons_per_zone(2).lag(Duration::from_millis(200));
    let started = Instant::now();
    let fleet = Fleet::start(plan).await?;
    print_step(&format!(
        "started a platform, {SERVERS_PER_GROUP} backend servers and {} daemons in 3 zones in {:?}",
        fleet.daemons(),
        started.elapsed()
    ));
    show_roaming(&fleet).await?;
    show_failover(&fleet).await
}

/// Writes through one daemon and reads the write in the same session through other zones' daemons.
async fn show_roaming(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let client = connect(fleet, 0, None).await?;
    write(
        &client,
        "CREATE TABLE reservation (laptop TEXT, branch TEXT)",
    )
    .await?;
    write(
        &client,
        "INSERT INTO reservation VALUES ('laptop-7', 'xela')",
    )
    .await?;
    let token = first_value(&client.simple_query("SHOW sapphireslip.token").await?);
    let token = token.ok_or("the daemon returned no session token")?;
    print_step(&format!(
        "reserved laptop-7 through vm-0 in zone a, session token {token}"
    ));
    for (number, token) in [(2, Some(token.as_str())), (4, None)] {
        let moved = connect(fleet, number, token).await?;
        let rows = moved.simple_query("SELECT branch FROM reservation").await?;
        let branch = first_value(&rows).ok_or("the session does not see its own write")?;
        let how = if token.is_some() {
            "with its token"
        } else {
            "without its token"
        };
        print_step(&format!(
            "vm-{number} in another zone, {how}: reserved by {branch}"
        ));
    }
    Ok(())
}

/// Kills the primary and checks that a payment is stored exactly once on its successor.
async fn show_failover(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let client = connect(fleet, 0, None).await?;
    write(&client, "CREATE TABLE payment (repair TEXT)").await?;
    let group = fleet.group(0);
    let is_primary = |server: &usize| group.status(*server).role == ServerRole::Primary;
    let find = async || (0..SERVERS_PER_GROUP).find(is_primary);
    let primary = wait_for("primary", FAILOVER_LIMIT, find).await?;
    group.kill(primary);
    print_step(&format!("killed the primary, server {primary}"));
    let killed = Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let sql = format!("/* sapphireslip key={unix}.repair-42 */ INSERT INTO payment VALUES ('42')");
    write(&client, &sql).await?;
    print_step(&format!(
        "the payment was stored {:?} after the kill",
        killed.elapsed()
    ));
    write(&client, &sql).await?;
    let rows = client.simple_query("SELECT count(*) FROM payment").await?;
    let count = first_value(&rows).unwrap_or_default();
    print_step(&format!(
        "sent again with the same request key: stored {count} time(s)"
    ));
    if count == "1" {
        Ok(())
    } else {
        Err(format!("the payment is stored {count} times").into())
    }
}

/// Connects to a daemon as a client, with a session token if one is given.
async fn connect(
    fleet: &Fleet,
    daemon: usize,
    token: Option<&str>,
) -> Result<Client, Box<dyn Error>> {
    let address = fleet.clients(daemon);
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user(USER).password(PASSWORD).dbname("stock");
    if let Some(token) = token {
        config.options(format!("-c sapphireslip.token={token}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        let _closed = connection.await;
    });
    Ok(client)
}

/// Runs a statement; tries again after an error, by which it was not run, for up to
/// [`FAILOVER_LIMIT`].
async fn write(client: &Client, sql: &str) -> Result<(), Box<dyn Error>> {
    let started = Instant::now();
    loop {
        match client.simple_query(sql).await {
            Ok(_) => return Ok(()),
            Err(err) if started.elapsed() > FAILOVER_LIMIT => return Err(err.into()),
            Err(_not_run) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Returns the first column of the first row, if any.
fn first_value(rows: &[SimpleQueryMessage]) -> Option<String> {
    rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

fn print_step(line: &str) {
    println!("{line}");
}
