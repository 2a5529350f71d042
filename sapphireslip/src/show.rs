//! `show`: prints an accepted document.

use std::net::SocketAddr;

use sapphireslip_core::{MemberName, ServiceName};
use sapphireslip_wire::platform::ReadRequest;
use sapphireslip_wire::{document, document_key};
use serde::Serialize;

use crate::platform_client::PlatformClient;
use crate::{Error, Output};

/// What `show` is asked.
#[derive(Clone, Debug)]
pub struct ShowArguments {
    /// The platform's table service.
    pub platform: SocketAddr,
    /// The member.
    pub member: String,
    /// The service.
    pub service: String,
}

/// An accepted document.
#[derive(Clone, Debug, Serialize)]
struct Shown {
    member: String,
    service: String,
    generation: u64,
    change: u64,
    text: String,
}

/// Reads an accepted document.
///
/// # Errors
///
/// No such document is accepted, or the platform does not answer.
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
