//! Commands for background loads, and for writes that must be acknowledged within a time limit.

use std::time::{Duration, Instant};

use standins::wait_for;

use super::load::Load;
use super::scenario::{CommandResult, DONE, PROGRESS_LIMIT, PROGRESS_WRITES, Scenario};
use super::scenario_sessions::target;
use super::script_args::ScriptArgs;

impl Scenario {
    /// Starts a named load on one daemon, or on all daemons in turn.
    pub(super) fn load(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?.to_owned();
        let sessions = args.parse("sessions")?.unwrap_or(6);
        let database = args.text("database").unwrap_or("stock").to_owned();
        let daemon: Option<usize> = args.parse("daemon")?;
        let is_roaming = args.parse("roam")?.unwrap_or(false);
        let fleet = self.fleet()?;
        let daemons = fleet.daemons();
        let all: Vec<_> = (0..daemons).map(|number| fleet.clients(number)).collect();
        let fallback_daemons = if is_roaming { all } else { Vec::new() };
        let targets = (0..sessions)
            .map(|number| target(fleet, daemon.unwrap_or(number % daemons), &database, None))
            .collect();
        let load = Load::start(&name, targets, &fallback_daemons, &self.ledger);
        self.loads.insert(name, load);
        Ok(String::new())
    }

    /// Waits until the load has had more writes acknowledged from now on.
    pub(super) async fn load_progress(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?.to_owned();
        let load = self.loads.get(&name).ok_or("unknown load")?;
        let goal = load.writes() + PROGRESS_WRITES;
        let is_reached = async || (load.writes() >= goal).then_some(());
        wait_for("progress of the load", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    /// Returns how many write attempts of a load had an unknown outcome.
    pub(super) fn load_doubts(&self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?;
        let load = self.loads.get(name).ok_or("unknown load")?;
        Ok(format!("{} in doubt", load.unknown_outcomes()))
    }

    /// Ends a load and waits for its sessions.
    pub(super) async fn load_stop(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the load")?.to_owned();
        self.loads.remove(&name).ok_or("unknown load")?.stop().await;
        Ok(String::new())
    }

    /// Writes until a write is acknowledged; fails if that takes longer than `ms` milliseconds.
    pub(super) async fn writes_land(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let bound = Duration::from_millis(args.parse("ms")?.ok_or("the argument `ms` is missing")?);
        let started = Instant::now();
        let mut output = String::new();
        while output != DONE && started.elapsed() <= bound {
            let request = format!("{name}-lands-{}", self.ledger.lock().unwrap().writes());
            let attempt = self.session_mut(&name)?.write(&request).await;
            output = self.record_write(&name, &request, &attempt);
        }
        let took = started.elapsed();
        if took > bound {
            let servers = super::faults::describe_servers(self.fleet()?);
            let late =
                format!("last outcome `{output}` after {took:?}, limit {bound:?}; {servers}");
            return Err(late.into());
        }
        Ok(output)
    }
}
