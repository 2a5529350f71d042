//! Commands that inject faults into backend servers and daemons, and end them.

use std::error::Error;
use std::time::Duration;

use rustix::process::Signal;
use sapphireslip_core::ServerRole;
use standins::{Fleet, SERVERS_PER_GROUP, wait_for};

use super::script_args::ScriptArgs;

/// The time limit for the first database to have a primary.
const PRIMARY_LIMIT: Duration = Duration::from_secs(10);

/// The time limit for a daemon to exit after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// Returns the number of the server of the first database that a script names: a number, `primary`
/// or `replica`.
///
/// `replica` is the server after the primary.
///
/// # Errors
///
/// Returns an error if the name is unknown or no server is a primary within [`PRIMARY_LIMIT`].
pub async fn find_server(fleet: &Fleet, name: &str) -> Result<usize, Box<dyn Error>> {
    if let Ok(number) = name.parse() {
        return Ok(number);
    }
    let primary = wait_for("primary", PRIMARY_LIMIT, async || current_primary(fleet, 0)).await?;
    match name {
        "primary" => Ok(primary),
        "replica" => Ok((primary + 1) % SERVERS_PER_GROUP),
        _ => Err(format!("unknown server `{name}`: give a number, `primary` or `replica`").into()),
    }
}

/// Returns the number of a database's primary; the one with the highest term if several servers
/// report that they are primary.
pub fn current_primary(fleet: &Fleet, database: usize) -> Option<usize> {
    let group = fleet.group(database);
    let is_primary = |server: &usize| group.status(*server).role == ServerRole::Primary;
    (0..SERVERS_PER_GROUP)
        .filter(is_primary)
        .max_by_key(|server| group.status(*server).fenced)
}

/// Returns the status of each server of the first database, for the message of a failed check.
pub fn describe_servers(fleet: &Fleet) -> String {
    let status = |server| format!("server {server}: {:?}", fleet.group(0).status(server));
    let all: Vec<String> = (0..SERVERS_PER_GROUP).map(status).collect();
    all.join("; ")
}

/// Runs the fault command `name` on the server or daemon that the arguments name.
///
/// Returns the output of the command.
///
/// # Errors
///
/// Returns an error if the arguments name no target, the fault is unknown or can't be injected.
pub async fn inject_fault(
    fleet: &mut Fleet,
    name: &str,
    args: &mut ScriptArgs<'_>,
) -> Result<String, Box<dyn Error>> {
    if let Some(which) = args.text("server") {
        let server = find_server(fleet, which).await?;
        return inject_server_fault(fleet, name, server, args).await;
    }
    let number: usize = args
        .parse("daemon")?
        .ok_or("the argument `server` or `daemon` is missing")?;
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
        _ => return Err(format!("unknown fault `{name}` for a daemon").into()),
    }
    Ok(String::new())
}

/// Runs the fault command `name` on a server of the first database.
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
        _ => return Err(format!("unknown fault `{name}` for a server").into()),
    }
    Ok(String::new())
}
