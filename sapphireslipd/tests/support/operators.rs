//! Operators in a scenario, who use the code of the command `apply`.

use std::path::PathBuf;
use std::time::Duration;

use sapphireslip::{ApplyArguments, apply};
use tempfile::TempDir;

use super::scenario::{CommandResult, Scenario};
use super::script_args::ScriptArgs;

/// What each call to the platform takes while two operators race.
const CALL_DELAY: Duration = Duration::from_millis(200);

/// Runs `apply` on a text and says what came of it.
async fn submit(platform: std::net::SocketAddr, text: &str) -> Result<String, String> {
    let folder = TempDir::new().map_err(|err| err.to_string())?;
    let file: PathBuf = folder.path().join("document.toml");
    std::fs::write(&file, text).map_err(|err| err.to_string())?;
    let arguments = ApplyArguments { platform, file };
    let done = apply(&arguments).await;
    done.map(|_| "accepted".to_owned())
        .map_err(|err| err.to_string())
}

/// Returns the last line of a refusal, without the path of the file.
fn refusal(message: &str) -> String {
    let last = message.lines().last().unwrap_or_default();
    format!("refused: {last}")
}

impl Scenario {
    /// Applies the next generation, or a changed one, as an operator.
    pub(super) async fn operator(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let change = args.next("the change")?.to_owned();
        let generation = self.generation + 1;
        let fleet = self.fleet()?;
        let text = fleet.document(0, generation);
        let text = match change.as_str() {
            "next" => text,
            "old" => fleet.document(0, generation - 1),
            "rival" => rival(&fleet.document(0, 1)),
            "rival-service" => rival_service(&fleet.document(0, 1)),
            "two-servers" => text
                .replace("id = \"stock-0\"", "id = \"stock-8\"")
                .replace("id = \"stock-1\"", "id = \"stock-9\""),
            other => return Err(format!("no change `{other}`").into()),
        };
        match submit(fleet.platform_address(), &text).await {
            Ok(output) => {
                self.generation = generation;
                Ok(output)
            }
            Err(message) => Ok(refusal(&message)),
        }
    }

    /// Two operators change the document against the same generation at the same time.
    pub(super) async fn operators_race(&mut self) -> CommandResult {
        let generation = self.generation + 1;
        let fleet = self.fleet()?;
        let platform = fleet.platform_address();
        let text = fleet.document(0, generation);
        let other = text.replace("queued = 500", "queued = 400");
        // So slow that both have read before either commits.
        fleet.platform().slow(CALL_DELAY);
        let raced = tokio::join!(submit(platform, &text), submit(platform, &other));
        fleet.platform().slow(Duration::ZERO);
        let results = [raced.0, raced.1];
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        self.generation = generation;
        Ok(format!("accepted {accepted}, refused {}", 2 - accepted))
    }
}

/// Another member's document that claims the same database.
fn rival(text: &str) -> String {
    text.replace("\"stock-service\"", "\"other-service\"")
        .replace("\"member-0\"", "\"rival\"")
}

/// Another member's document for the same service, with a database of its own.
fn rival_service(text: &str) -> String {
    text.replace("\"member-0\"", "\"rival\"")
        .replace("name = \"stock\"", "name = \"rivals\"")
}
