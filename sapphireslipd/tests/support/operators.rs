//! Commands in which operators change a document with the code of the program's `apply` command.

use std::path::PathBuf;
use std::time::Duration;

use sapphireslip::{ApplyArguments, apply};
use tempfile::TempDir;

use super::scenario::{CommandResult, Scenario};
use super::script_args::ScriptArgs;

/// The delay of each call to the platform while two operators race, so that both read before either
/// commits.
const CALL_DELAY: Duration = Duration::from_millis(200);

/// Applies a document and returns `accepted`, or the error's message.
async fn submit(platform: std::net::SocketAddr, text: &str) -> Result<String, String> {
    let folder = TempDir::new().map_err(|err| err.to_string())?;
    let file: PathBuf = folder.path().join("document.toml");
    std::fs::write(&file, text).map_err(|err| err.to_string())?;
    let arguments = ApplyArguments { platform, file };
    let done = apply(&arguments).await;
    done.map(|_| "accepted".to_owned())
        .map_err(|err| err.to_string())
}

/// Returns the output for a refused document: the last line of the message, which has no file path.
fn refusal(message: &str) -> String {
    let last = message.lines().last().unwrap_or_default();
    format!("refused: {last}")
}

impl Scenario {
    /// Applies the next generation of the first database's document as an operator, or a document
    /// with the named change, and returns whether it was accepted or why not.
    pub(super) async fn operator(&mut self, args: &mut ScriptArgs<'_>) -> CommandResult {
        let change = args.next("the change to apply")?.to_owned();
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
            other => return Err(format!("unknown change `{other}`").into()),
        };
        match submit(fleet.platform_address(), &text).await {
            Ok(output) => {
                self.generation = generation;
                Ok(output)
            }
            Err(message) => Ok(refusal(&message)),
        }
    }

    /// Lets two operators change the document from the same generation at the same time, and
    /// returns how many were accepted and refused.
    pub(super) async fn operators_race(&mut self) -> CommandResult {
        let generation = self.generation + 1;
        let fleet = self.fleet()?;
        let platform = fleet.platform_address();
        let text = fleet.document(0, generation);
        let other = text.replace("queued = 500", "queued = 400");
        fleet.platform().slow(CALL_DELAY);
        let raced = tokio::join!(submit(platform, &text), submit(platform, &other));
        fleet.platform().slow(Duration::ZERO);
        let results = [raced.0, raced.1];
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        self.generation = generation;
        Ok(format!("accepted {accepted}, refused {}", 2 - accepted))
    }
}

/// Turns a document into one of another member and service that claims the same database.
fn rival(text: &str) -> String {
    text.replace("\"stock-service\"", "\"other-service\"")
        .replace("\"member-0\"", "\"rival\"")
}

/// Turns a document into one of another member for the same service, with a database of its own.
fn rival_service(text: &str) -> String {
    text.replace("\"member-0\"", "\"rival\"")
        .replace("name = \"stock\"", "name = \"rivals\"")
}
