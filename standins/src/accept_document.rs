//! Submits documents to the platform in the same way as the operator's `apply` command.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use sapphireslip_core::{Document, Generation};
use sapphireslip_wire::Apply;
use sapphireslip_wire::platform::table_client::TableClient;

/// Submits a document to the platform as the successor of the preceding generation.
///
/// # Errors
///
/// Returns an error if the document is invalid, or if the platform refuses it or does not answer.
pub async fn accept_document(platform: SocketAddr, text: &str) -> io::Result<()> {
    let document = Document::try_from(text.as_bytes()).map_err(io::Error::other)?;
    let apply = Apply {
        member: document.member.clone(),
        service: document.service.clone(),
        base_generation: Generation(document.generation.0.saturating_sub(1)),
        databases: document
            .databases
            .iter()
            .map(|spec| spec.name.clone())
            .collect(),
        released: Vec::new(),
        text: Arc::from(text),
        writer: Arc::from(format!("standins-{}", document.generation.0)),
    };
    let connected = TableClient::connect(format!("http://{platform}")).await;
    let mut table = connected.map_err(io::Error::other)?;
    let reply = table
        .read(apply.reads())
        .await
        .map_err(io::Error::other)?
        .into_inner();
    let transaction = apply.transaction(&reply).map_err(io::Error::other)?;
    let reply = table
        .transact(transaction)
        .await
        .map_err(io::Error::other)?
        .into_inner();
    match reply.failed {
        None => Ok(()),
        Some(failed) => Err(io::Error::other(format!(
            "the document was not accepted: row `{}` has changed since it was read",
            failed.key
        ))),
    }
}
