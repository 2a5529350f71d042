//! Connections to backend servers in PostgreSQL's protocol: opens them, logs in and exchanges
//! messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::api::auth::sasl::scram::ScramClientAuth;
use pgwire::messages::startup::{
    Authentication, Password, PasswordMessageFamily, SASLInitialResponse, SASLResponse, Startup,
};
use pgwire::messages::{PgWireBackendMessage as In, PgWireFrontendMessage as Out};
use sapphireslip_core::{Text, VmId, ZoneName};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::backend_error::BackendError;
use crate::frames::{FrameReader, decode_checked, session_context};

/// How long a server keeps an idle transaction open. Bounds how long a transaction holds its locks
/// when its home is cut off; a home that can reach the server ends the transaction earlier.
pub const SERVER_TRANSACTION_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// How long opening a connection may take, login included.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The credentials and names with which this daemon logs in at backend servers.
///
/// ```
/// use sapphireslip_core::{VmId, ZoneName};
/// use sapphireslipd::BackendSettings;
/// let settings = BackendSettings {
///     user: "sapphireslip".into(),
///     password: None,
///     vm: VmId::try_from("vm-1")?,
///     zone: ZoneName::try_from("zone-a")?,
/// };
/// assert_eq!(settings.application_name(), "vm-1/zone-a");
/// # Ok::<(), sapphireslip_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The user name for all backend servers.
    pub user: Text,
    /// The password; `None` if no server asks for one.
    pub password: Option<Text>,
    /// The VM on which this daemon runs.
    pub vm: VmId,
    /// The availability zone of this daemon.
    pub zone: ZoneName,
}

impl BackendSettings {
    /// Returns the `application_name` that servers show for the connections of this daemon.
    #[must_use]
    pub fn application_name(&self) -> String {
        format!("{}/{}", self.vm, self.zone)
    }
}

/// A connection to a backend server; open and logged in once [`open`] has returned it.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The address of the server.
    address: SocketAddr,
    socket: TcpStream,
    frames: FrameReader,
}

/// Decodes one complete message of a server.
///
/// # Errors
///
/// Returns [`BackendError::Protocol`] if the message is malformed.
pub(crate) fn decode(
    frame: &Bytes,
    step: &'static str,
    address: SocketAddr,
) -> Result<In, BackendError> {
    let cx = session_context();
    let message = decode_checked(frame, |buf| In::decode(buf, &cx));
    let malformed = || {
        let detail = format!("a message of {} bytes is malformed", frame.len());
        BackendError::Protocol(step, address, detail)
    };
    message.ok_or_else(malformed)
}

/// Returns the value of the error field with a code, such as `C` for the SQLSTATE; empty if the
/// field is missing.
pub(crate) fn error_field(fields: &[(u8, String)], code: u8) -> String {
    let field = fields.iter().find(|field| field.0 == code);
    field.map_or_else(String::new, |field| field.1.clone())
}

const STEP_OPEN: &str = "opening a connection";

/// Connects to a server, logs in and selects a database, all within `time_limit`.
///
/// # Errors
///
/// Returns a [`BackendError`] if the server can't be reached, refuses the login, violates the
/// protocol or does not answer in time.
pub(crate) async fn open(
    address: SocketAddr,
    database: &str,
    settings: &BackendSettings,
    time_limit: Duration,
) -> Result<Connection, BackendError> {
    let opened = timeout(time_limit, connect_and_log_in(address, database, settings)).await;
    opened.unwrap_or_else(|_elapsed| Err(BackendError::Timeout(STEP_OPEN, address)))
}

/// Does the work of [`open`] without a time limit.
async fn connect_and_log_in(
    address: SocketAddr,
    database: &str,
    settings: &BackendSettings,
) -> Result<Connection, BackendError> {
    let io = |error| BackendError::Io(STEP_OPEN, address, error);
    let socket = TcpStream::connect(address).await.map_err(io)?;
    socket.set_nodelay(true).map_err(io)?;
    let mut connection = Connection {
        address,
        socket,
        frames: FrameReader::new(BytesMut::new()),
    };
    let mut startup = Startup::new();
    let application_name = settings.application_name();
    let options = format!(
        "-c idle_in_transaction_session_timeout={}",
        SERVER_TRANSACTION_IDLE_TIMEOUT.as_millis()
    );
    let parameters = [
        ("options", options.as_str()),
        ("user", settings.user.as_ref()),
        ("database", database),
        ("application_name", application_name.as_str()),
        ("client_encoding", "UTF8"),
    ];
    for (name, value) in parameters {
        startup.parameters.insert(name.to_owned(), value.to_owned());
    }
    connection.send(&Out::Startup(startup)).await?;
    connection.log_in(settings).await?;
    Ok(connection)
}

impl Connection {
    /// Returns the server's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(&mut self, message: &Out) -> Result<(), BackendError> {
        let mut buf = BytesMut::new();
        let failed =
            |error: pgwire::error::PgWireError| self.protocol_error(STEP_OPEN, error.to_string());
        message.encode(&mut buf).map_err(failed)?;
        let written = self.socket.write_all(&buf).await;
        written.map_err(|error| BackendError::Io(STEP_OPEN, self.address, error))
    }

    fn protocol_error(&self, step: &'static str, detail: impl Into<String>) -> BackendError {
        BackendError::Protocol(step, self.address, detail.into())
    }

    /// Returns the next complete message of the server.
    ///
    /// Cancel-safe: no bytes are lost if the future is dropped.
    pub(crate) async fn next(&mut self, step: &'static str) -> Result<Bytes, BackendError> {
        self.next_while_writing(step, &mut Bytes::new()).await
    }

    /// Writes `pending` until the next complete message of the server arrives, and returns it.
    ///
    /// Reads and writes at the same time, as a server may answer before it has read everything.
    pub(crate) async fn next_while_writing(
        &mut self,
        step: &'static str,
        pending: &mut Bytes,
    ) -> Result<Bytes, BackendError> {
        let address = self.address;
        let io = |error| BackendError::Io(step, address, error);
        let (mut reader, mut writer) = self.socket.split();
        loop {
            tokio::select! {
                frame = self.frames.next(&mut reader) => {
                    return frame.map_err(io)?.ok_or(BackendError::Closed(step, address));
                }
                written = writer.write_buf(pending), if !pending.is_empty() => {
                    written.map_err(io)?;
                }
            }
        }
    }

    /// Returns the next message of the login; an error message becomes [`BackendError::Refused`].
    async fn next_decoded(&mut self) -> Result<In, BackendError> {
        let frame = self.next(STEP_OPEN).await?;
        match decode(&frame, STEP_OPEN, self.address)? {
            In::ErrorResponse(error) => Err(BackendError::Refused(
                STEP_OPEN,
                self.address,
                error_field(&error.fields, b'C'),
                error_field(&error.fields, b'M'),
            )),
            message => Ok(message),
        }
    }

    /// Authenticates as the server asks and waits until the server is ready for queries.
    async fn log_in(&mut self, settings: &BackendSettings) -> Result<(), BackendError> {
        loop {
            match self.next_decoded().await? {
                In::Authentication(Authentication::Ok) | In::ParameterStatus(_) => {}
                In::Authentication(Authentication::CleartextPassword) => {
                    let password = Password::new(self.password(settings)?);
                    let message = PasswordMessageFamily::Password(password);
                    self.send(&Out::PasswordMessageFamily(message)).await?;
                }
                In::Authentication(Authentication::SASL(_)) => self.scram_login(settings).await?,
                In::Authentication(other) => {
                    let detail = format!("authentication method {other:?} is not supported");
                    return Err(self.protocol_error(STEP_OPEN, detail));
                }
                In::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    /// Returns the password, or an error if none is set.
    fn password(&self, settings: &BackendSettings) -> Result<String, BackendError> {
        let missing = || {
            self.protocol_error(
                STEP_OPEN,
                "the server asks for a password: set `backend.password`",
            )
        };
        let password = settings.password.as_deref().ok_or_else(missing)?;
        Ok(password.to_owned())
    }

    /// Authenticates with SCRAM-SHA-256 and verifies the server's signature.
    async fn scram_login(&mut self, settings: &BackendSettings) -> Result<(), BackendError> {
        let password = self.password(settings)?;
        let scram = ScramClientAuth::new(settings.user.to_string(), password);
        let address = self.address;
        let failed = |error: pgwire::error::PgWireClientError| {
            BackendError::Protocol(STEP_OPEN, address, error.to_string())
        };
        let (first, scram) = scram.build_client_first().map_err(failed)?;
        let first = SASLInitialResponse::new("SCRAM-SHA-256".to_owned(), Some(first.into()));
        let first = PasswordMessageFamily::SASLInitialResponse(first);
        self.send(&Out::PasswordMessageFamily(first)).await?;
        let In::Authentication(Authentication::SASLContinue(data)) = self.next_decoded().await?
        else {
            return Err(self.protocol_error(STEP_OPEN, "the server left the SCRAM exchange"));
        };
        let (last, scram) = scram.build_client_final(&data).map_err(failed)?;
        let last = PasswordMessageFamily::SASLResponse(SASLResponse::new(last.into()));
        self.send(&Out::PasswordMessageFamily(last)).await?;
        let In::Authentication(Authentication::SASLFinal(data)) = self.next_decoded().await? else {
            return Err(self.protocol_error(STEP_OPEN, "the server left the SCRAM exchange"));
        };
        scram.verify_server_final(&data).map_err(failed)
    }
}

/// Returns the protocol message of a simple query.
pub(crate) fn query_message(sql: &str) -> Bytes {
    let mut buf = BytesMut::new();
    let query = pgwire::messages::simplequery::Query::new(sql.to_owned());
    let encoded = Out::Query(query).encode(&mut buf);
    if let Err(error) = encoded {
        log::error!("encoding a query of {} bytes failed: {error}", sql.len());
    }
    buf.freeze()
}
