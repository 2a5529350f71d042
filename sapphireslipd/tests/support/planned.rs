//! Commands for planned changes, such as leaving servers and replaced daemons, and for throughput.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use sapphireslip::Attempt;
use sapphireslip_core::RETRY_NO_MAJORITY;
use standins::{Fleet, accept_document, wait_for};

use super::faults::find_server;
use super::scenario::{CommandResult, Scenario};
use super::script_args::ScriptArgs;

/// The time after the notice that a server is leaving within which it may still receive statements.
const LAST_WORK_LIMIT: Duration = Duration::from_secs(3);

/// How long the statements at a leaving server are counted after [`LAST_WORK_LIMIT`].
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// The time limit for a replaced daemon to exit, and for a write to be refused for want of a
/// majority.
const REPLACE_LIMIT: Duration = Duration::from_secs(30);

/// The time limit for a session to notice that its connection was closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Returns the document with the server `id` marked as leaving.
fn mark_leaving(text: &str, id: &str) -> String {
    let line = format!("id = \"{id}\"\n");
    text.replace(&line, &format!("{line}leaving = true\n"))
}

impl Scenario {
    /// Marks a server as leaving, in the document or in the platform's list.
    pub(super) async fn leave(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args
            .text("server")
            .ok_or("the argument `server` is missing")?;
        let by = args.text("by").unwrap_or("document");
        let generation = self.generation + 1;
        let fleet = self.fleet()?;
        let server = find_server(fleet, name).await?;
        let platform = fleet.platform();
        match by {
            "document" => {
                let id = fleet.group(0).id(server);
                let text = mark_leaving(&fleet.document(0, generation), id.as_str());
                accept_document(fleet.platform_address(), &text).await?;
                self.generation = generation;
            }
            "platform" => platform.set_leaving_servers([fleet.server_ip(0, server)]),
            other => return Err(format!("`by={other}`: give `document` or `platform`").into()),
        }
        self.leaving_server = Some((server, Instant::now()));
        Ok(String::new())
    }

    /// Counts the statements at the leaving server under load, from 3 s after the notice on, and
    /// returns the count and whether the other servers received statements meanwhile.
    pub(super) async fn no_new_work(&mut self, _args: &mut ScriptArgs<'_>) -> CommandResult {
        let (server, since) = self
            .leaving_server
            .ok_or("no server is leaving: run `leave` first")?;
        tokio::time::sleep(LAST_WORK_LIMIT.saturating_sub(since.elapsed())).await;
        let fleet = self.fleet()?;
        let before = fleet.group(0).statements(server);
        let statements_on_others = statements_on_others(fleet, server);
        tokio::time::sleep(OBSERVATION_TIME).await;
        let new = fleet.group(0).statements(server) - before;
        let worked = others_received_statements(fleet, server, statements_on_others);
        Ok(format!("{new} statements there, others work: {worked}"))
    }

    /// Replaces the daemons one by one: stops each with SIGTERM, starts a new process and waits
    /// until it is ready.
    pub(super) async fn replace_all(&mut self) -> CommandResult {
        let daemons = self.fleet()?.daemons();
        for number in 0..daemons {
            let fleet = self.fleet_mut()?;
            fleet.signal_daemon(number, Signal::TERM)?;
            let code = fleet.wait_daemon_exit(number, REPLACE_LIMIT).await?;
            if code != 0 {
                return Err(
                    format!("daemon {number} exited with status {code} instead of 0").into(),
                );
            }
            fleet.start_daemon(number)?;
            fleet.wait_ready(number).await?;
        }
        Ok(String::new())
    }

    /// Waits until a session's connection is closed, and returns the SQLSTATE of the closure.
    pub(super) async fn closed(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let session = self.session_mut(&name)?;
        let client = session
            .client
            .as_ref()
            .ok_or("the session is not connected")?;
        let is_closed = async || client.is_closed().then_some(());
        wait_for("end of the session", CLOSE_LIMIT, is_closed).await?;
        let code = session.closed_with.lock().unwrap().clone();
        Ok(code.unwrap_or_else(|| "closed without a SQLSTATE".to_owned()))
    }

    /// Writes until a write is refused for want of a majority, which shows that its home has
    /// noticed, and then checks that the next refusal takes no longer than `ms` milliseconds.
    pub(super) async fn refused_soon(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("the argument `ms` is missing")?);
        let session = self.session_mut(&name)?;
        let mut refused = async || {
            let started = Instant::now();
            match session.write_unkeyed("refused").await {
                Attempt::NotRun { retry_after, .. } if retry_after == Some(RETRY_NO_MAJORITY) => {
                    Some(started.elapsed())
                }
                _ => None,
            }
        };
        let first = wait_for("refusal", REPLACE_LIMIT, &mut refused).await?;
        let took = wait_for("refusal", REPLACE_LIMIT, &mut refused).await?;
        eprintln!("write refused after {first:?}, the next one after {took:?}");
        if took > bound {
            return Err(format!("the write was refused after {took:?}, limit {bound:?}").into());
        }
        Ok(String::new())
    }

    /// Measures a load's acknowledged writes per second over 5 s; with `least`, fails if the ratio
    /// to the load's previous measurement is lower.
    pub(super) async fn throughput(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?.to_owned();
        let least: Option<f64> = args.parse("least")?;
        let load = self.loads.get(&name).ok_or("unknown load")?;
        let (before, started) = (load.writes(), Instant::now());
        tokio::time::sleep(Duration::from_secs(5)).await;
        #[allow(clippy::cast_precision_loss, reason = "a count of some thousands")]
        let rate = (load.writes() - before) as f64 / started.elapsed().as_secs_f64();
        let earlier = self.write_rates.insert(name.clone(), rate);
        let (Some(least), Some(earlier)) = (least, earlier) else {
            return Ok(String::new());
        };
        let ratio = rate / earlier;
        eprintln!(
            "load `{name}`: {earlier:.1} writes/s, then {rate:.1} writes/s, ratio {ratio:.2}"
        );
        if ratio < least {
            return Err(format!(
                "throughput fell from {earlier:.1} to {rate:.1} writes/s: \
                 ratio {ratio:.2}, limit {least:.2}"
            )
            .into());
        }
        Ok(String::new())
    }
}

/// Returns the number of statements that the servers other than `server` have received since the
/// start.
fn statements_on_others(fleet: &Fleet, server: usize) -> u64 {
    let rest = (0..standins::SERVERS_PER_GROUP).filter(|other| *other != server);
    rest.map(|other| fleet.group(0).statements(other)).sum()
}

/// Returns whether the servers other than `server` have received more than `before` statements.
fn others_received_statements(fleet: &Fleet, server: usize, before: u64) -> bool {
    statements_on_others(fleet, server) > before
}
