//! Writes the decision records of `sapphireslip-lead`'s reducer to the log.

use sapphireslip_core::{ServerId, ServiceName};
use sapphireslip_lead::{Record, RecordKind};

use crate::STATEMENT_TARGET;

/// Writes a record to the log.
///
/// Refused requests, requests with an unknown outcome, promotions and changes of leaders, of the
/// permission, of the coordinator or of the places for sessions are warnings; all other records are
/// infos.
pub(crate) fn log_record(record: &Record) {
    let level = match record.kind {
        RecordKind::RequestUnknown
        | RecordKind::RequestRefused
        | RecordKind::CoordinatorChanged
        | RecordKind::Promotion
        | RecordKind::PermissionChanged
        | RecordKind::PlacesChanged
        | RecordKind::LeaderChanged => log::Level::Warn,
        _ => log::Level::Info,
    };
    let request = record.request.as_deref().unwrap_or_default();
    let session = record.session.map_or(0, |session| session.0);
    let service = record.service.as_ref().map_or("", ServiceName::as_str);
    let server = record.server.as_ref().map_or("", ServerId::as_str);
    let target = if record.kind.is_about_statement() {
        STATEMENT_TARGET
    } else {
        "sapphireslipd::decision"
    };
    log::log!(
        target: target, level,
        event = record.kind.name(), request:% = request, session, service:% = service,
        server:% = server;
        "{}", record.detail
    );
}
