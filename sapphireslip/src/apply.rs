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
const SETTLE_ATTEMPTS_MAX: u32 = 10;

/// The wait between two of these questions.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

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
enum Commit {
    Accepted,
    /// Another change came first; the error says which condition it broke, if that was seen.
    Overtaken(Option<ApplyError>),
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
    let mut overtaken = None;
    for attempt in 0..ATTEMPTS_MAX {
        let change = change(&mut platform, arguments, &checked, &text, attempt).await?;
        match commit(&mut platform, &change).await? {
            Commit::Accepted => return Ok(accepted(&checked)),
            // The next attempt checks against what is accepted then.
            Commit::Overtaken(err) => overtaken = err,
        }
    }
    if let Some(err) = overtaken {
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
async fn change(
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
    let databases: Vec<DatabaseName> = names(new);
    let released = accepted.document.as_ref().map(names).unwrap_or_default();
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
        writer: Arc::from(writer(attempt)),
    })
}

fn names(document: &Document) -> Vec<DatabaseName> {
    document
        .databases
        .iter()
        .map(|spec| spec.name.clone())
        .collect()
}

/// Returns an identifier that no other attempt has.
fn writer(attempt: u32) -> String {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}-{}-{attempt}", std::process::id(), unix.as_nanos())
}

async fn commit(platform: &mut PlatformClient, change: &Apply) -> Result<Commit, Error> {
    let reply = platform.read(change.reads()).await?;
    let transaction = match change.transaction(&reply) {
        Ok(transaction) => transaction,
        Err(err) => return Ok(Commit::Overtaken(Some(err))),
    };
    match platform.transact(transaction.clone()).await {
        Ok(reply) if reply.failed.is_none() => Ok(Commit::Accepted),
        Ok(_overtaken) => Ok(Commit::Overtaken(None)),
        Err(_lost) => settle(platform, change, transaction).await,
    }
}

/// Learns whether a transaction whose answer was lost took effect, and sends it again if not: its
/// conditions let it take effect once at the most.
async fn settle(
    platform: &mut PlatformClient,
    change: &Apply,
    transaction: TransactRequest,
) -> Result<Commit, Error> {
    for _ in 0..SETTLE_ATTEMPTS_MAX {
        tokio::time::sleep(SETTLE_INTERVAL).await;
        let Ok(reply) = platform.read(change.outcome_read(&transaction)).await else {
            continue;
        };
        match change.outcome(&reply) {
            TransactionOutcome::Committed => return Ok(Commit::Accepted),
            TransactionOutcome::Superseded => return Ok(Commit::Overtaken(None)),
            TransactionOutcome::Undecided => {}
        }
        match platform.transact(transaction.clone()).await {
            Ok(reply) if reply.failed.is_none() => return Ok(Commit::Accepted),
            Ok(_) | Err(_) => {}
        }
    }
    Err(Error::Unsettled(platform.address()))
}
