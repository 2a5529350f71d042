//! Commands for sessions that check each answer, for pipelined statements and transactions, and for
//! writes without a request key.

use std::error::Error;

use standins::wait_for;

use super::faults::current_primary;
use super::scenario::{CommandResult, PROGRESS_LIMIT, PROGRESS_WRITES, Scenario};
use super::scenario_sessions::{describe_answer, target};
use super::script_args::ScriptArgs;
use super::script_session::Target;
use super::transfers::{Transfers, count_torn};
use super::values::{ValueReaders, large_answer};

impl Scenario {
    /// Starts sessions that each read values unique to them.
    pub(super) fn start_values(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let targets = self.targets(args)?;
        self.values = Some(ValueReaders::start(targets));
        Ok(String::new())
    }

    /// Waits until the value readers have had more reads answered from now on.
    pub(super) async fn values_progress(&self) -> CommandResult {
        let values = self.values.as_ref().ok_or("start with `values`")?;
        let goal = values.answered() + PROGRESS_WRITES;
        let is_reached = async || (values.answered() >= goal).then_some(());
        wait_for("progress of the values", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    /// Ends the value readers and returns how many answers were foreign or short.
    pub(super) async fn values_stop(&mut self) -> CommandResult {
        let values = self.values.take().ok_or("start with `values`")?;
        Ok(values.stop().await)
    }

    /// Starts sessions that repeatedly write two rows in a pipelined transaction.
    pub(super) fn start_transfers(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let targets = self.targets(args)?;
        self.transfers = Some(Transfers::start(targets, &self.ledger));
        Ok(String::new())
    }

    /// Waits until more transactions have been acknowledged from now on.
    pub(super) async fn transfers_progress(&self) -> CommandResult {
        let transfers = self.transfers.as_ref().ok_or("start with `transfers`")?;
        let goal = transfers.done() + PROGRESS_WRITES;
        let is_reached = async || (transfers.done() >= goal).then_some(());
        wait_for("progress of the transfers", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    /// Ends the sessions that write in transactions.
    pub(super) async fn transfers_stop(&mut self) -> CommandResult {
        let transfers = self.transfers.take().ok_or("start with `transfers`")?;
        transfers.stop().await;
        Ok(String::new())
    }

    /// Counts the transactions of which the primary stores only one of the two rows.
    pub(super) async fn check_torn(&self) -> CommandResult {
        let fleet = self.fleet()?;
        let primary = async || current_primary(fleet, 0);
        let server = wait_for("primary", PROGRESS_LIMIT, primary).await?;
        let stored = fleet
            .query_server(0, server, "SELECT request FROM entry")
            .await?;
        Ok(format!("torn {}", count_torn(&stored)))
    }

    /// Requests a large answer and returns whether it was whole, short, foreign or an error.
    pub(super) async fn sql_large(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        Ok(large_answer(self.session_mut(&name)?).await)
    }

    /// Writes once, without a request key, and returns the outcome.
    pub(super) async fn write_unkeyed(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let request = args.next("the request")?.to_owned();
        let attempt = self.session_mut(&name)?.write_unkeyed(&request).await;
        Ok(self.record_write(&name, &request, &attempt))
    }

    /// Writes once, without a request key, where no write may be acknowledged, and returns whether
    /// it was refused or of unknown outcome.
    pub(super) async fn write_unacknowledged(
        &mut self,
        args: &mut ScriptArgs<'_>,
    ) -> CommandResult {
        let output = self.write_unkeyed(args).await?;
        let is_refused = output == "unknown" || output.starts_with("not run: 57P03");
        Ok(if is_refused {
            "not acknowledged".to_owned()
        } else {
            output
        })
    }

    /// Sends statements without waiting for the answers in between, and returns all answers.
    pub(super) async fn pipeline(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let mut texts = Vec::new();
        while let Ok(text) = args.next("a statement") {
            texts.push(text.to_owned());
        }
        let answers = self.session_mut(&name)?.pipeline(&texts).await;
        let output = answers.iter().map(describe_answer);
        Ok(output.collect::<Vec<_>>().join("\n"))
    }

    /// Returns the targets of a command's sessions: one daemon, or all daemons in turn.
    fn targets(&self, args: &mut ScriptArgs<'_>) -> Result<Vec<Target>, Box<dyn Error>> {
        let sessions = args.parse("sessions")?.unwrap_or(6);
        let daemon: Option<usize> = args.parse("daemon")?;
        let fleet = self.fleet()?;
        let daemons = fleet.daemons();
        let target = |number| target(fleet, daemon.unwrap_or(number % daemons), "stock", None);
        Ok((0..sessions).map(target).collect())
    }
}
