//! `show`: prints the accepted document of a service.

use std::net::SocketAddr;

use sapphireslip_core::{MemberName, ServiceName};
use sapphireslip_wire::platform::ReadRequest;
use sapphireslip_wire::{document, document_key};
use serde::Serialize;

use crate::platform_client::PlatformClient;
use crate::{Error, Output};

/// The arguments of `show`.
#[derive(Clone, Debug)]
pub struct ShowArguments {
    /// The address of the platform's table service.
    pub platform: SocketAddr,
    /// The name of the member that owns the service.
    pub member: String,
    /// The name of the service.
    pub service: String,
}

/// An accepted document, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct Shown {
    /// The member that owns the service.
    member: String,
    /// The name of the service.
    service: String,
    /// The generation of the document.
    generation: u64,
    /// The number of the change by which the platform accepted the document.
    change: u64,
    /// The text of the document, in TOML.
    text: String,
}

/// Reads the accepted document of a service.
///
/// # Errors
///
/// [`Error::NoDocument`] if no document is accepted, [`Error::Name`] if a name is not valid,
/// [`Error::Call`] if the platform does not answer and [`Error::UnexpectedFormat`] if its row can't
/// be decoded.
pub async fn show(arguments: &ShowArguments) -> Result<Output, Error> {
    let member = MemberName::try_from(arguments.member.as_str())?;
    let service = ServiceName::try_from(arguments.service.as_str())?;
    let mut platform = PlatformClient::new(arguments.platform)?;
    let key = document_key(&member, &service);
    let reply = platform.read(ReadRequest { keys: vec![key] }).await?;
    let accepted = reply.rows.first().map(document).transpose();
    let accepted = accepted
        .map_err(|err| Error::UnexpectedFormat("the platform's table", err.to_string()))?
        .flatten();
    let Some(accepted) = accepted else {
        return Err(Error::NoDocument(
            arguments.member.clone(),
            arguments.service.clone(),
        ));
    };
    let shown = Shown {
        member: accepted.member.to_string(),
        service: accepted.service.to_string(),
        generation: accepted.generation.0,
        change: accepted.change.0,
        text: accepted.text.to_string(),
    };
    Ok(Output::new(shown.text.trim_end().to_owned(), &shown))
}
