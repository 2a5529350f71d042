//! Faults that a scenario switches on and off.

use std::error::Error;
use std::time::Duration;

use rustix::process::Signal;
use sapphireslip_core::ServerRole;
use standins::{Fleet, SERVERS_PER_GROUP, wait_for};

use super::script_args::ScriptArgs;

/// The time within which a group has a primary.
const PRIMARY_LIMIT: Duration = Duration::from_secs(10);

/// The time within which a daemon that was asked to stop has left.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// Returns the server that a script names: a number, `primary` or `replica`.
pub async fn find_server(fleet: &Fleet, name: &str) -> Result<usize, Box<dyn Error>> {
    if let Ok(number) = name.parse() {
        return Ok(number);
    }
    let primary = wait_for("primary", PRIMARY_LIMIT, async || current_primary(fleet, 0)).await?;
    match name {
        "primary" => Ok(primary),
        "replica" => Ok((primary + 1) % SERVERS_PER_GROUP),
        _ => Err(format!("no server `{name}`").into()),
    }
}

/// Returns the primary of the highest term.
pub fn current_primary(fleet: &Fleet, database: usize) -> Option<usize> {
    let group = fleet.group(database);
    let is_primary = |server: &usize| group.status(*server).role == ServerRole::Primary;
    (0..SERVERS_PER_GROUP)
        .filter(is_primary)
        .max_by_key(|server| group.status(*server).fenced)
}

/// Returns what the servers of the first database report, for the message of a failed check.
pub fn describe_servers(fleet: &Fleet) -> String {
    let status = |server| format!("server {server}: {:?}", fleet.group(0).status(server));
    let all: Vec<String> = (0..SERVERS_PER_GROUP).map(status).collect();
    all.join("; ")
}

/// Carries out a fault on a server or a daemon.
pub async fn inject_fault(
    fleet: &mut Fleet,
    name: &str,
    args: &mut ScriptArgs<'_>,
) -> Result<String, Box<dyn Error>> {
    if let Some(which) = args.text("server") {
        let server = find_server(fleet, which).await?;
        return inject_server_fault(fleet, name, server, args).await;
    }
    let number: usize = args.parse("daemon")?.ok_or("name a server or a daemon")?;
    match name {
        "kill" => fleet.kill_daemon(number)?,
        "freeze" => fleet.signal_daemon(number, Signal::STOP)?,
        "thaw" => fleet.signal_daemon(number, Signal::CONT)?,
        "stop" => fleet.signal_daemon(number, Signal::TERM)?,
        "ended" => {
            let code = fleet.wait_daemon_exit(number, EXIT_LIMIT).await?;
            return Ok(format!("left with {code}"));
        }
        "restart" => {
            fleet.start_daemon(number)?;
            fleet.wait_ready(number).await?;
        }
        _ => return Err(format!("no fault `{name}` of a daemon").into()),
    }
    Ok(String::new())
}

async fn inject_server_fault(
    fleet: &Fleet,
    name: &str,
    server: usize,
    args: &mut ScriptArgs<'_>,
) -> Result<String, Box<dyn Error>> {
    let group = fleet.group(0);
    let millis = args.parse("ms")?.unwrap_or(0);
    match name {
        "kill" => group.kill(server),
        "restart" => group.restart(server).await?,
        "freeze" => group.freeze(server),
        "thaw" => group.thaw(server),
        "slow" => group.slow(server, Duration::from_millis(millis)),
        "lag" => group.set_lag(server, Duration::from_millis(millis)),
        "silence" => group.silence_open_connections(server),
        "lose-answer" => group.lose_next_answer(server),
        "break-answer" => group.break_next_large_answer(server),
        _ => return Err(format!("no fault `{name}` of a server").into()),
    }
    Ok(String::new())
}
