//! The commands of sessions that check each answer, and of transactions sent ahead.

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
    /// Starts sessions that each read values of their own.
    pub(super) fn start_values(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let targets = self.targets(args)?;
        self.values = Some(ValueReaders::start(targets));
        Ok(String::new())
    }

    pub(super) async fn values_progress(&self) -> CommandResult {
        let values = self.values.as_ref().ok_or("start with `values`")?;
        let goal = values.answered() + PROGRESS_WRITES;
        let is_reached = async || (values.answered() >= goal).then_some(());
        wait_for("progress of the values", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    pub(super) async fn values_stop(&mut self) -> CommandResult {
        let values = self.values.take().ok_or("start with `values`")?;
        Ok(values.stop().await)
    }

    /// Starts sessions that each write two rows in a transaction, all of it sent ahead.
    pub(super) fn start_transfers(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let targets = self.targets(args)?;
        self.transfers = Some(Transfers::start(targets, &self.ledger));
        Ok(String::new())
    }

    pub(super) async fn transfers_progress(&self) -> CommandResult {
        let transfers = self.transfers.as_ref().ok_or("start with `transfers`")?;
        let goal = transfers.done() + PROGRESS_WRITES;
        let is_reached = async || (transfers.done() >= goal).then_some(());
        wait_for("progress of the transfers", PROGRESS_LIMIT, is_reached).await?;
        Ok(String::new())
    }

    pub(super) async fn transfers_stop(&mut self) -> CommandResult {
        let transfers = self.transfers.take().ok_or("start with `transfers`")?;
        transfers.stop().await;
        Ok(String::new())
    }

    /// Counts the transactions of which the primary holds one row and not the other.
    pub(super) async fn check_torn(&self) -> CommandResult {
        let fleet = self.fleet()?;
        let primary = async || current_primary(fleet, 0);
        let server = wait_for("primary", PROGRESS_LIMIT, primary).await?;
        let stored = fleet
            .query_server(0, server, "SELECT request FROM entry")
            .await?;
        Ok(format!("torn {}", count_torn(&stored)))
    }

    /// Asks for a large answer and says whether it came whole, as an error, or worse.
    pub(super) async fn sql_large(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        Ok(large_answer(self.session_mut(&name)?).await)
    }

    pub(super) async fn write_unkeyed(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let name = args.next("the session")?.to_owned();
        let request = args.next("the request")?.to_owned();
        let attempt = self.session_mut(&name)?.write_unkeyed(&request).await;
        Ok(self.record_write(&name, &request, &attempt))
    }

    /// Writes once, without a key, where no write may be acknowledged: it is refused or unknown.
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

    /// Sends statements one after another without waiting for their answers.
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

    fn targets(&self, args: &mut ScriptArgs<'_>) -> Result<Vec<Target>, Box<dyn Error>> {
        let sessions = args.parse("sessions")?.unwrap_or(6);
        let daemon: Option<usize> = args.parse("daemon")?;
        let fleet = self.fleet()?;
        let daemons = fleet.daemons();
        let target = |number| target(fleet, daemon.unwrap_or(number % daemons), "stock", None);
        Ok((0..sessions).map(target).collect())
    }
}
