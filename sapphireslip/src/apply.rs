//! `apply`: submits a service document to the platform.

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

/// The most attempts at a change that conflicts with other changes.
const ATTEMPTS_MAX: u32 = 5;

/// The most times that the platform is asked for the outcome of a transaction whose answer was
/// lost.
const OUTCOME_CHECKS_MAX: u32 = 10;

/// The pause before each of these requests.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The arguments of `apply`.
#[derive(Clone, Debug)]
pub struct ApplyArguments {
    /// The address of the platform's table service.
    pub platform: SocketAddr,
    /// The path of the document.
    pub file: PathBuf,
}

/// An accepted change, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct Accepted {
    /// The member that owns the service.
    member: String,
    /// The name of the service.
    service: String,
    /// The generation of the accepted document.
    generation: u64,
}

/// The result of one attempt to commit a change.
enum CommitOutcome {
    /// The change was committed.
    Accepted,
    /// Another change was committed first; the error names the violated condition, if it is known.
    Conflict(Option<ApplyError>),
}

/// Checks a document and commits it to the platform.
///
/// # Errors
///
/// Fails if the file can't be read or is not valid, if the change conflicts with the accepted state
/// or with other changes, or if the platform does not answer.
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
            CommitOutcome::Accepted => return Ok(accepted_output(&checked)),
            // The next attempt reads the accepted state again.
            CommitOutcome::Conflict(err) => conflict = err,
        }
    }
    if let Some(err) = conflict {
        return Err(Error::NotAccepted(err.to_string()));
    }
    let message =
        format!("{ATTEMPTS_MAX} attempts conflicted with other changes: apply the document again");
    Err(Error::NotAccepted(message))
}

fn accepted_output(document: &Document) -> Output {
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

/// Reads the accepted state, checks the document against it and builds the change.
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
    let databases: Vec<DatabaseName> = declared_databases(new);
    let released = accepted
        .document
        .as_ref()
        .map(declared_databases)
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

fn declared_databases(document: &Document) -> Vec<DatabaseName> {
    document
        .databases
        .iter()
        .map(|spec| spec.name.clone())
        .collect()
}

/// Returns an identifier that is unique to this attempt.
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

/// Finds out whether a transaction whose answer was lost took effect, and sends it again if not.
///
/// Sending it again is safe, since its conditions let it take effect at most once.
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
