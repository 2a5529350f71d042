//! One client connection to a backend server: its startup, and the control sessions.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Out, PgWireFrontendMessage as In, ProtocolVersion,
};
use rusqlite::types::Value;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use crate::backend_control::{CONTROL_DATABASE, handle_request};
use crate::backend_query::Column;
use crate::backend_server::{Server, lock};
use crate::backend_sql::SqlError;
use crate::backend_statements::Session;
use crate::backend_wire::{Wire, io_error, put_description, put_row};

/// The setting that limits how long a transaction may be idle, in milliseconds.
pub(crate) const IDLE_SETTING: &str = "idle_in_transaction_session_timeout";

/// The user whose connections don't count against the connection limit, as real servers reserve
/// connections for their operators.
pub(crate) const RESERVED_USER: &str = "standins";

/// Serves one connection until either side closes it.
///
/// A connection that is silenced is no longer answered, but stays open until the client closes it.
pub(crate) async fn serve(server: Arc<Server>, group: Arc<[Arc<Server>]>, socket: TcpStream) {
    let _set = socket.set_nodelay(true);
    let mut cx = DecodeContext::default();
    cx.protocol_version = ProtocolVersion::PROTOCOL3_0;
    let number = server.next_connection.fetch_add(1, Ordering::SeqCst);
    let mut wire = Wire {
        server: Arc::clone(&server),
        number,
        zone: String::new(),
        socket,
        input: BytesMut::new(),
        output: BytesMut::new(),
        cx,
        idle_limit: None,
        local_idle_limit: None,
        in_transaction: false,
    };
    let silent = server.wait_until(|faults| faults.silent_below > number);
    tokio::select! {
        result = session(&mut wire, &group) => drop(result),
        () = silent => {
            wire.discard_input().await;
        }
    }
}

/// Runs the startup of a connection, then its session.
async fn session(wire: &mut Wire, group: &[Arc<Server>]) -> io::Result<()> {
    let Some(startup) = wire.startup().await? else {
        return Ok(());
    };
    let parameter = |name| startup.parameters.get(name).map_or("", String::as_str);
    let control = parameter("database") == CONTROL_DATABASE;
    let is_reserved = control || parameter("user") == RESERVED_USER;
    let origin = parameter("application_name");
    wire.zone = origin
        .rsplit_once('/')
        .map_or("", |(_, zone)| zone)
        .to_owned();
    wire.idle_limit = idle_limit(parameter("options"));
    let _permit = match is_reserved {
        true => None,
        false => match admit(wire).await? {
            Some(permit) => Some(permit),
            None => return Ok(()),
        },
    };
    if !authenticate(wire).await? {
        return Ok(());
    }
    greet(wire).await?;
    if control {
        return serve_control(wire, group).await;
    }
    let mut session = Session::new(&wire.server);
    while let Some(message) = wire.read().await? {
        if !session.handle(wire, message).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Returns how long a transaction may be idle according to the connection's startup options.
fn idle_limit(options: &str) -> Option<Duration> {
    let set = options
        .split_whitespace()
        .find_map(|word| word.strip_prefix(IDLE_SETTING)?.strip_prefix('='));
    set.and_then(|millis| millis.parse().ok())
        .map(Duration::from_millis)
}

/// Takes a permit for an ordinary connection; refuses the client if the limit is reached.
async fn admit(wire: &mut Wire) -> io::Result<Option<OwnedSemaphorePermit>> {
    let connections = Arc::clone(&lock(&wire.server.run).connections);
    let permit = connections.try_acquire_owned().ok();
    if permit.is_none() {
        let error = SqlError::new("53300", "sorry, too many clients already");
        wire.put_error("FATAL", &error)?;
        wire.flush().await?;
        return Ok(None);
    }
    sleep(wire.server.limits.connect_delay).await;
    Ok(permit)
}

/// Asks for the password if the server has one; returns whether the client is authenticated.
async fn authenticate(wire: &mut Wire) -> io::Result<bool> {
    let Some(password) = wire.server.limits.password.clone() else {
        return Ok(true);
    };
    wire.put(Out::Authentication(Authentication::CleartextPassword))?;
    wire.flush().await?;
    let Some(In::PasswordMessageFamily(message)) = wire.read().await? else {
        return Ok(false);
    };
    let given = message.into_password().map_err(io_error)?;
    if given.password == password {
        return Ok(true);
    }
    wire.put_error(
        "FATAL",
        &SqlError::new("28P01", "password authentication failed"),
    )?;
    wire.flush().await?;
    Ok(false)
}

/// Sends the messages that end a successful startup.
async fn greet(wire: &mut Wire) -> io::Result<()> {
    wire.put(Out::Authentication(Authentication::Ok))?;
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        wire.put(Out::ParameterStatus(status))?;
    }
    let pid = i32::try_from(wire.number).unwrap_or(i32::MAX);
    wire.put(Out::BackendKeyData(BackendKeyData::new(
        pid,
        SecretKey::I32(pid),
    )))?;
    wire.put(Out::ReadyForQuery(ReadyForQuery::new(
        TransactionStatus::Idle,
    )))?;
    wire.flush().await
}

/// Answers group requests until the client closes the connection or sends anything but a simple
/// query.
async fn serve_control(wire: &mut Wire, group: &[Arc<Server>]) -> io::Result<()> {
    while let Some(message) = wire.read().await? {
        let In::Query(query) = message else {
            return Ok(());
        };
        let server = Arc::clone(&wire.server);
        match handle_request(&server, group, &query.query).await {
            Ok(status) => {
                let column = Column {
                    name: "status".to_owned(),
                    oid: crate::backend_values::oid::TEXT,
                };
                put_description(wire, std::slice::from_ref(&column), &[])?;
                put_row(wire, &[Value::Text(status)], &[column], &[])?;
                wire.put(Out::CommandComplete(CommandComplete::new(
                    "SELECT 1".to_owned(),
                )))?;
            }
            Err(error) => wire.put_error("ERROR", &error)?,
        }
        wire.put(Out::ReadyForQuery(ReadyForQuery::new(
            TransactionStatus::Idle,
        )))?;
        wire.flush().await?;
    }
    Ok(())
}
