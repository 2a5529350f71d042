//! What the platform has accepted that bears on a changed document.

use sapphireslip_core::{
    AcceptedDocument, AcceptedState, CurrentDocument, DatabaseOwner, Document, MemberName,
    ServiceName,
};
use sapphireslip_wire::platform::{ReadRequest, Row};
use sapphireslip_wire::{database_key, document, document_key};

use crate::Error;
use crate::platform_client::PlatformClient;

/// The accepted document of a service and the owners of the databases that a changed one names.
#[derive(Debug)]
pub(crate) struct Accepted {
    /// What the changed document is checked against.
    pub(crate) state: AcceptedState,
    /// The accepted document, if there is one and it is readable.
    pub(crate) document: Option<Document>,
}

/// Reads what is accepted at present.
///
/// # Errors
///
/// The platform does not answer, or a row has another form.
pub(crate) async fn read_accepted(
    platform: &mut PlatformClient,
    new: &Document,
) -> Result<Accepted, Error> {
    let mut keys = vec![document_key(&new.member, &new.service)];
    keys.extend(new.databases.iter().map(|spec| database_key(&spec.name)));
    let reply = platform.read(ReadRequest { keys }).await?;
    let accepted = reply.rows.first().map(document).transpose();
    let accepted = accepted
        .map_err(|err| Error::UnexpectedFormat("the platform's table", err.to_string()))?
        .flatten();
    let parsed = |old: &AcceptedDocument| Document::try_from(old.text.as_bytes()).ok();
    let old = accepted.as_ref().and_then(parsed);
    let declared = old.as_ref().map(|old| old.databases.clone());
    let current = accepted.map(|accepted| CurrentDocument {
        member: accepted.member,
        generation: accepted.generation,
        databases: declared.unwrap_or_default(),
    });
    let own_service = format!("{}/{}", new.member, new.service);
    let mut owners = Vec::new();
    for (spec, row) in new.databases.iter().zip(reply.rows.iter().skip(1)) {
        if let Some(service) = other_owner(row, &own_service)? {
            let database = spec.name.clone();
            owners.push(DatabaseOwner { database, service });
        }
    }
    Ok(Accepted {
        state: AcceptedState { current, owners },
        document: old,
    })
}

/// Returns the other service that owns a database, from its row.
fn other_owner(row: &Row, own_service: &str) -> Result<Option<ServiceName>, Error> {
    if row.version == 0 || row.value == own_service.as_bytes() {
        return Ok(None);
    }
    let owner = String::from_utf8_lossy(&row.value);
    let form =
        || Error::UnexpectedFormat("the platform's table", format!("`{owner}` owns a database"));
    let (member, service) = owner.split_once('/').ok_or_else(form)?;
    MemberName::try_from(member)?;
    Ok(Some(ServiceName::try_from(service)?))
}
