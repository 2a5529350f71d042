//! The platform's accepted state that a changed document is checked against.

use sapphireslip_core::{
    AcceptedDocument, AcceptedState, CurrentDocument, DatabaseOwner, Document, MemberName,
    ServiceName,
};
use sapphireslip_wire::platform::{ReadRequest, Row};
use sapphireslip_wire::{database_key, document, document_key};

use crate::Error;
use crate::platform_client::PlatformClient;

/// The accepted document of a service and the owners of the databases that its new document names.
#[derive(Debug)]
pub(crate) struct Accepted {
    /// The accepted state that the new document is checked against.
    pub(crate) state: AcceptedState,
    /// The accepted document; `None` if none is accepted or it can't be parsed.
    pub(crate) document: Option<Document>,
}

/// Reads the currently accepted state that concerns a new document.
///
/// # Errors
///
/// [`Error::Call`] if the platform does not answer, [`Error::UnexpectedFormat`] or [`Error::Name`]
/// if a row can't be decoded.
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

/// Returns the service that owns a database according to its row, unless it is `own_service`
/// (`MEMBER/SERVICE`) or the database has no owner.
fn other_owner(row: &Row, own_service: &str) -> Result<Option<ServiceName>, Error> {
    if row.version == 0 || row.value == own_service.as_bytes() {
        return Ok(None);
    }
    let owner = String::from_utf8_lossy(&row.value);
    let form = || {
        Error::UnexpectedFormat(
            "the platform's table",
            format!("`{owner}`, the owner of a database, is not MEMBER/SERVICE"),
        )
    };
    let (member, service) = owner.split_once('/').ok_or_else(form)?;
    MemberName::try_from(member)?;
    Ok(Some(ServiceName::try_from(service)?))
}
