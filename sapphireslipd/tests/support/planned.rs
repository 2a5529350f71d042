//! Planned changes in a scenario: servers that leave, daemons that are replaced, throughput.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use sapphireslip::Attempt;
use sapphireslip_core::RETRY_NO_MAJORITY;
use standins::{Fleet, accept_document, wait_for};

use super::faults::find_server;
use super::scenario::{CommandResult, Scenario};
use super::script_args::ScriptArgs;

/// The time within which a leaving server gets its last new work.
const LAST_WORK_LIMIT: Duration = Duration::from_secs(3);

/// How long a server that has left is watched.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// The time within which a replaced daemon has left.
const REPLACE_LIMIT: Duration = Duration::from_secs(30);

/// The time within which a session hears that it was closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Returns a document in which a server is leaving.
fn mark_leaving(text: &str, id: &str) -> String {
    let line = format!("id = \"{id}\"\n");
    text.replace(&line, &format!("{line}leaving = true\n"))
}

impl Scenario {
    /// Tells that a server is leaving, by the document or by the platform's list.
    pub(super) async fn leave(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.text("server").ok_or("name the server")?;
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
            other => return Err(format!("no way `{other}` to leave").into()),
        }
        self.leaving_server = Some((server, Instant::now()));
        Ok(String::new())
    }

    /// Counts the statements at the leaving server from 3 s after the notice on, under load.
    pub(super) async fn no_new_work(&mut self, _args: &mut ScriptArgs<'_>) -> CommandResult {
        let (server, since) = self.leaving_server.ok_or("no server is leaving")?;
        tokio::time::sleep(LAST_WORK_LIMIT.saturating_sub(since.elapsed())).await;
        let fleet = self.fleet()?;
        let before = fleet.group(0).statements(server);
        let statements_on_others = statements_on_others(fleet, server);
        tokio::time::sleep(OBSERVATION_TIME).await;
        let new = fleet.group(0).statements(server) - before;
        let worked = others_received_statements(fleet, server, statements_on_others);
        Ok(format!("{new} statements there, others work: {worked}"))
    }

    /// Replaces one daemon after the other by SIGTERM and a new process.
    pub(super) async fn replace_all(&mut self) -> CommandResult {
        let daemons = self.fleet()?.daemons();
        for number in 0..daemons {
            let fleet = self.fleet_mut()?;
            fleet.signal_daemon(number, Signal::TERM)?;
            let code = fleet.wait_daemon_exit(number, REPLACE_LIMIT).await?;
            if code != 0 {
                return Err(format!("daemon {number} left with {code}").into());
            }
            fleet.start_daemon(number)?;
            fleet.wait_ready(number).await?;
        }
        Ok(String::new())
    }

    /// Waits until a session was closed, and says with what SQLSTATE.
    pub(super) async fn closed(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let session = self.session_mut(&name)?;
        let client = session.client.as_ref().ok_or("the session is not open")?;
        let is_closed = async || client.is_closed().then_some(());
        wait_for("end of the session", CLOSE_LIMIT, is_closed).await?;
        let code = session.closed_with.lock().unwrap().clone();
        Ok(code.unwrap_or_else(|| "closed without a word".to_owned()))
    }

    /// Writes until a write is refused for want of a majority, so that its home knows, and says
    /// whether the next one is refused within a bound.
    pub(super) async fn refused_soon(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("give a bound in `ms`")?);
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
        eprintln!("refused after {first:?}, then after {took:?}");
        if took > bound {
            return Err(format!("refused after {took:?}, over {bound:?}").into());
        }
        Ok(String::new())
    }

    /// Measures a load's acknowledged writes a second; with `least`, against the last measure.
    pub(super) async fn throughput(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?.to_owned();
        let least: Option<f64> = args.parse("least")?;
        let load = self.loads.get(&name).ok_or("no such load")?;
        let (before, started) = (load.writes(), Instant::now());
        tokio::time::sleep(Duration::from_secs(5)).await;
        #[allow(clippy::cast_precision_loss, reason = "a count of some thousands")]
        let rate = (load.writes() - before) as f64 / started.elapsed().as_secs_f64();
        let earlier = self.write_rates.insert(name.clone(), rate);
        let (Some(least), Some(earlier)) = (least, earlier) else {
            return Ok(String::new());
        };
        let ratio = rate / earlier;
        eprintln!("{name}: {earlier:.1}/s, then {rate:.1}/s, ratio {ratio:.2}");
        if ratio < least {
            return Err(format!("{rate:.1}/s after {earlier:.1}/s: ratio {ratio:.2}").into());
        }
        Ok(String::new())
    }
}

fn statements_on_others(fleet: &Fleet, server: usize) -> u64 {
    let rest = (0..standins::SERVERS_PER_GROUP).filter(|other| *other != server);
    rest.map(|other| fleet.group(0).statements(other)).sum()
}

fn others_received_statements(fleet: &Fleet, server: usize, before: u64) -> bool {
    statements_on_others(fleet, server) > before
}
