//! `apply`: has a document accepted by the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphireslip_core::{
    AcceptedState, CurrentDocument, DatabaseName, DatabaseOwner, Document, DocumentErrors,
    Generation, ServiceName,
};
use sapphireslip_wire::platform::{ReadRequest, Row, TransactRequest};
use sapphireslip_wire::{
    Apply, ApplyError, Settled, WireError, database_key, document, document_key,
};
use serde::Serialize;

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
    Overtaken,
}

/// Checks a document and has it accepted.
///
/// # Errors
///
/// The file has faults, the platform refuses the change or does not answer.
pub async fn apply(arguments: &ApplyArguments) -> Result<Output, Error> {
    let bytes = read_document(&arguments.file)?;
    let faults = |faults: DocumentErrors| {
        let path = arguments.file.clone();
        Error::Faults(path, faults.to_string())
    };
    let checked = Document::try_from(bytes.as_slice()).map_err(faults)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut platform = PlatformClient::new(arguments.platform)?;
    for attempt in 0..ATTEMPTS_MAX {
        let accepted = read_accepted(&mut platform, &checked).await?;
        accepted.state.check(&bytes).map_err(faults)?;
        let change = change(&checked, &accepted, &text, attempt);
        if let Commit::Accepted = commit(&mut platform, &change).await? {
            let accepted = Accepted {
                member: checked.member.to_string(),
                service: checked.service.to_string(),
                generation: checked.generation.0,
            };
            let line = format!(
                "accepted: generation {} of service `{}`",
                accepted.generation, accepted.service
            );
            return Ok(Output::new(line, &accepted));
        }
    }
    let message = format!("other changes came in between {ATTEMPTS_MAX} times: apply it again");
    Err(Error::NotAccepted(message))
}

/// What is accepted now, as far as a document's change is concerned.
struct AcceptedNow {
    state: AcceptedState,
    /// The databases that the accepted document declares.
    databases: Vec<DatabaseName>,
}

/// Reads what a document's change is checked against.
async fn read_accepted(
    platform: &mut PlatformClient,
    new: &Document,
) -> Result<AcceptedNow, Error> {
    let mut keys = vec![document_key(&new.member, &new.service)];
    keys.extend(new.databases.iter().map(|spec| database_key(&spec.name)));
    let reply = platform.read(ReadRequest { keys }).await?;
    let old = reply.rows.first().map(document).transpose();
    let old = old.map_err(form)?.flatten();
    let declared = old
        .as_ref()
        .and_then(|old| Document::try_from(old.text.as_bytes()).ok());
    let declared = declared.map(|old| old.databases).unwrap_or_default();
    let databases = declared.iter().map(|spec| spec.name.clone()).collect();
    let current = old.map(|old| CurrentDocument {
        member: old.member,
        generation: old.generation,
        databases: declared,
    });
    let rows = reply.rows.iter().skip(1).zip(&new.databases);
    let owners = rows.filter_map(|(row, spec)| owner(row, new, &spec.name));
    let owners = owners.collect();
    let state = AcceptedState { current, owners };
    Ok(AcceptedNow { state, databases })
}

fn form(err: WireError) -> Error {
    Error::Form("the platform's table", err.to_string())
}

/// Returns the owner of a database, if it is another document than the new one.
fn owner(row: &Row, new: &Document, database: &DatabaseName) -> Option<DatabaseOwner> {
    let value = String::from_utf8_lossy(&row.value);
    let (member, service) = value.split_once('/')?;
    let is_own = member == new.member.as_str() && service == new.service.as_str();
    let service = ServiceName::try_from(service).ok().filter(|_| !is_own)?;
    Some(DatabaseOwner {
        database: database.clone(),
        service,
    })
}

/// Builds the change against what is accepted now.
fn change(new: &Document, accepted: &AcceptedNow, text: &str, attempt: u32) -> Apply {
    let databases: Vec<DatabaseName> = names(new);
    let released = accepted.databases.iter();
    let released = released.filter(|name| !databases.contains(name)).cloned();
    Apply {
        member: new.member.clone(),
        service: new.service.clone(),
        against: Generation(new.generation.0.saturating_sub(1)),
        released: released.collect(),
        databases,
        text: Arc::from(text),
        writer: Arc::from(writer(attempt)),
    }
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
    let transaction = change.transaction(&reply).map_err(not_accepted)?;
    match platform.transact(transaction.clone()).await {
        Ok(reply) if reply.failed.is_none() => Ok(Commit::Accepted),
        Ok(_overtaken) => Ok(Commit::Overtaken),
        Err(_lost) => settle(platform, change, transaction).await,
    }
}

fn not_accepted(err: ApplyError) -> Error {
    Error::NotAccepted(err.to_string())
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
        let Ok(reply) = platform.read(change.settling_reads(&transaction)).await else {
            continue;
        };
        match change.settle(&reply) {
            Settled::Committed => return Ok(Commit::Accepted),
            Settled::Refused => return Ok(Commit::Overtaken),
            Settled::Open => {}
        }
        match platform.transact(transaction.clone()).await {
            Ok(reply) if reply.failed.is_none() => return Ok(Commit::Accepted),
            Ok(_) | Err(_) => {}
        }
    }
    Err(Error::Unsettled(platform.address()))
}
