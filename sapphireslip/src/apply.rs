//! `apply`: has a document accepted by the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphireslip_core::{DatabaseName, Document, DocumentErrors, Generation};
use sapphireslip_wire::platform::TransactRequest;
use sapphireslip_wire::{Apply, ApplyError, TransactionOutcome};
use serde::Serialize;

use crate::accepted_state::read_accepted;
use crate::platform_client::PlatformClient;
use crate::read_document::read_document;
use crate::{Error, Output};

/// How often a change that another one overtook is tried again.
const ATTEMPTS_MAX: u32 = 5;

/// How often the platform is asked what became of a lost answer.
const OUTCOME_CHECKS_MAX: u32 = 10;

/// The wait between two of these questions.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What `apply` is asked.
#[derive(Clone, Debug)]
pub struct ApplyArguments {
    /// The platform's table service.
    pub platform: SocketAddr,
    /// The document.
    pub file: PathBuf,
}

/// An accepted change.
#[derive(Clone, Debug, Serialize)]
struct Accepted {
    member: String,
    service: String,
    generation: u64,
}

/// What one attempt came to.
enum CommitOutcome {
    Accepted,
    /// Another change came first; the error says which condition it broke, if that was seen.
    Conflict(Option<ApplyError>),
}

/// Checks a document and has it accepted.
///
/// # Errors
///
/// The file has faults, the platform refuses the change or does not answer.
pub async fn apply(arguments: &ApplyArguments) -> Result<Output, Error> {
    let bytes = read_document(&arguments.file)?;
    let checked = Document::try_from(bytes.as_slice())
        .map_err(|faults| Error::Faults(arguments.file.clone(), faults.to_string()))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut platform = PlatformClient::new(arguments.platform)?;
    let mut conflict = None;
    for attempt in 0..ATTEMPTS_MAX {
        let change = build_change(&mut platform, arguments, &checked, &text, attempt).await?;
        match commit(&mut platform, &change).await? {
            CommitOutcome::Accepted => return Ok(accepted(&checked)),
            // The next attempt checks against what is accepted then.
            CommitOutcome::Conflict(err) => conflict = err,
        }
    }
    if let Some(err) = conflict {
        return Err(Error::NotAccepted(err.to_string()));
    }
    let message = format!("other changes came in between {ATTEMPTS_MAX} times: apply it again");
    Err(Error::NotAccepted(message))
}

fn accepted(document: &Document) -> Output {
    let accepted = Accepted {
        member: document.member.to_string(),
        service: document.service.to_string(),
        generation: document.generation.0,
    };
    let line = format!(
        "accepted: generation {} of service `{}`",
        accepted.generation, accepted.service
    );
    Output::new(line, &accepted)
}

/// Reads what is accepted now, checks the document against it and builds the change.
async fn build_change(
    platform: &mut PlatformClient,
    arguments: &ApplyArguments,
    new: &Document,
    text: &str,
    attempt: u32,
) -> Result<Apply, Error> {
    let accepted = read_accepted(platform, new).await?;
    let refused =
        |faults: DocumentErrors| Error::Refused(arguments.file.clone(), faults.to_string());
    accepted.state.check(text.as_bytes()).map_err(refused)?;
    let databases: Vec<DatabaseName> = database_names(new);
    let released = accepted
        .document
        .as_ref()
        .map(database_names)
        .unwrap_or_default();
    let released = released
        .into_iter()
        .filter(|name| !databases.contains(name))
        .collect();
    Ok(Apply {
        member: new.member.clone(),
        service: new.service.clone(),
        base_generation: Generation(new.generation.0.saturating_sub(1)),
        databases,
        released,
        text: Arc::from(text),
        writer: Arc::from(writer_id(attempt)),
    })
}

fn database_names(document: &Document) -> Vec<DatabaseName> {
    document
        .databases
        .iter()
        .map(|spec| spec.name.clone())
        .collect()
}

/// Returns an identifier that no other attempt has.
fn writer_id(attempt: u32) -> String {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}-{}-{attempt}", std::process::id(), unix.as_nanos())
}

async fn commit(platform: &mut PlatformClient, change: &Apply) -> Result<CommitOutcome, Error> {
    let reply = platform.read(change.reads()).await?;
    let transaction = match change.transaction(&reply) {
        Ok(transaction) => transaction,
        Err(err) => return Ok(CommitOutcome::Conflict(Some(err))),
    };
    match platform.transact(transaction.clone()).await {
        Ok(reply) if reply.failed.is_none() => Ok(CommitOutcome::Accepted),
        Ok(_conflict) => Ok(CommitOutcome::Conflict(None)),
        Err(_lost) => resolve_lost_answer(platform, change, transaction).await,
    }
}

/// Learns whether a transaction whose answer was lost took effect, and sends it again if not: its
/// conditions let it take effect once at the most.
async fn resolve_lost_answer(
    platform: &mut PlatformClient,
    change: &Apply,
    transaction: TransactRequest,
) -> Result<CommitOutcome, Error> {
    for _ in 0..OUTCOME_CHECKS_MAX {
        tokio::time::sleep(OUTCOME_CHECK_INTERVAL).await;
        let Ok(reply) = platform.read(change.outcome_read(&transaction)).await else {
            continue;
        };
        match change.outcome(&reply) {
            TransactionOutcome::Committed => return Ok(CommitOutcome::Accepted),
            TransactionOutcome::Superseded => return Ok(CommitOutcome::Conflict(None)),
            TransactionOutcome::Undecided => {}
        }
        match platform.transact(transaction.clone()).await {
            Ok(reply) if reply.failed.is_none() => return Ok(CommitOutcome::Accepted),
            Ok(_) | Err(_) => {}
        }
    }
    Err(Error::OutcomeUnknown(platform.address()))
}
