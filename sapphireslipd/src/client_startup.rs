//! The startup of a client connection: the first messages and the password exchange.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use bytes::BytesMut;
use pgwire::api::auth::sasl::scram::ScramServerAuth;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::{Authentication, SASLInitialResponse, SASLResponse};
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage as Out, PgWireFrontendMessage as In,
    ProtocolVersion, SslNegotiationMetaMessage,
};
use sapphireslip_core::{SessionToken, SessionTokenError, TermPosition, Text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client_error::ClientError;
use crate::client_messages::put;
use crate::client_wire::ClientWire;
use crate::frames::{decode_checked, session_context};
use crate::scram::Verifier;
use crate::session_command::TOKEN_PARAMETER;

/// The time limit for a client's startup message, and again for its login.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest startup message in bytes.
pub const STARTUP_MAX_BYTES: usize = 10_000;

/// The step from accepting a connection to the end of the login, as named in errors.
pub(crate) const STEP_STARTUP: &str = "the startup";

/// The step of the password exchange, as named in errors.
const STEP_PASSWORD: &str = "the password exchange";

/// The only authentication mechanism that is offered.
const SASL_MECHANISM: &str = "SCRAM-SHA-256";

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::caller_startup";

/// The purpose of a new connection, as told by its first message.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// A new session.
    Session(Startup, Box<ClientWire>),
    /// A request to cancel the running statement of another connection's session.
    Cancel(CancelKey),
}

/// The key that identifies a session in a cancel request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CancelKey {
    /// The process identifier that was reported to the client; it names no real process.
    pub(crate) process: i32,
    /// The random secret that was reported to the client.
    pub(crate) secret: i32,
}

/// The parameters of a client's startup message.
#[derive(Clone, Debug)]
pub(crate) struct Startup {
    /// The user name, unchecked; empty if the client gave none.
    pub(crate) user: Text,
    /// The database name, unchecked; the user name if the client gave none.
    pub(crate) database: Text,
    /// The text of the session token, unchecked, if the client gave one.
    pub(crate) token: Option<String>,
}

/// Reads a connection's messages up to its startup message or cancel request.
///
/// Requests for TLS or GSSAPI encryption are answered that it is not available.
///
/// # Errors
///
/// Returns an error if the connection fails or closes, or if the startup message is malformed or
/// longer than [`STARTUP_MAX_BYTES`].
pub(crate) async fn read_startup(
    mut socket: TcpStream,
    peer: SocketAddr,
) -> Result<Purpose, ClientError> {
    let io = |error| ClientError::Io(STEP_STARTUP, peer, error);
    let mut cx = DecodeContext::default();
    cx.protocol_version = ProtocolVersion::PROTOCOL3_0;
    let mut buf = BytesMut::new();
    loop {
        match decode_startup(&mut buf, &cx).map_err(io)? {
            Some(In::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                cx.awaiting_frontend_ssl = false;
                continue;
            }
            Some(In::SslNegotiation(_)) => {
                let refuse = [SslResponse::BYTE_REFUSE];
                socket.write_all(&refuse).await.map_err(io)?;
                continue;
            }
            Some(In::CancelRequest(request)) => {
                let secret = request.secret_key.to_bytes();
                let secret = secret.as_ref().try_into().map_or(0, i32::from_be_bytes);
                let process = request.pid;
                return Ok(Purpose::Cancel(CancelKey { process, secret }));
            }
            Some(In::Startup(startup)) => {
                let wire = ClientWire::new(socket, peer, buf);
                let startup = parse_parameters(&startup.parameters);
                return Ok(Purpose::Session(startup, Box::new(wire)));
            }
            Some(_) => return Err(ClientError::Closed(STEP_STARTUP, peer)),
            None => {}
        }
        if buf.len() > STARTUP_MAX_BYTES || socket.read_buf(&mut buf).await.map_err(io)? == 0 {
            return Err(ClientError::Closed(STEP_STARTUP, peer));
        }
    }
}

/// Decodes a startup message, or returns `None` if it is incomplete.
///
/// The library's decoder panics on some malformed messages, which is reported as an error.
fn decode_startup(buf: &mut BytesMut, cx: &DecodeContext) -> std::io::Result<Option<In>> {
    let decoded = catch_unwind(AssertUnwindSafe(|| In::decode(buf, cx)));
    let malformed = |_panic| std::io::Error::other("the message is malformed");
    decoded.map_err(malformed)?.map_err(std::io::Error::other)
}

/// Reads the parameters of a startup message.
fn parse_parameters(parameters: &std::collections::BTreeMap<String, String>) -> Startup {
    let get = |name| parameters.get(name).map(String::as_str);
    let user = get("user").unwrap_or("");
    let options = get("options").unwrap_or("");
    let token = get(TOKEN_PARAMETER).or_else(|| find_option(options, TOKEN_PARAMETER));
    Startup {
        user: user.into(),
        database: get("database").unwrap_or(user).into(),
        token: token.map(str::to_owned),
    }
}

/// Returns the value of a setting in the `options` parameter, such as `-c name=value`.
fn find_option<'a>(options: &'a str, name: &str) -> Option<&'a str> {
    options.split_whitespace().find_map(|word| {
        let word = word.trim_start_matches("-c").trim_start_matches("--");
        let value = word.strip_prefix(name)?.strip_prefix('=')?;
        Some(value)
    })
}

impl Startup {
    /// Returns the record that the session has seen by its token, if the client gave a token.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is malformed or belongs to another database.
    pub(crate) fn token(&self) -> Result<Option<TermPosition>, SessionTokenError> {
        let token = self
            .token
            .as_deref()
            .map(SessionToken::try_from)
            .transpose()?;
        token.map(|token| token.seen_in(&self.database)).transpose()
    }
}

/// Runs the SCRAM-SHA-256 exchange, in which the client proves that it knows the password.
///
/// # Errors
///
/// Returns an error if the connection fails, or if the client is refused: the password is wrong, a
/// message is malformed, or the verifier is.
pub(crate) async fn authenticate(
    wire: &mut ClientWire,
    user: &str,
    verifier: &str,
) -> Result<(), ClientError> {
    let secret = match Verifier::try_from(verifier) {
        Ok(Verifier(secret)) => secret,
        Err(error) => {
            log::error!(target: LOG_TARGET, "user `{user}` can't log in: {error}");
            return Err(wire
                .refuse(STEP_PASSWORD, "28000", "no usable password is set")
                .await);
        }
    };
    let offer = Authentication::SASL(vec![SASL_MECHANISM.to_owned()]);
    send(wire, offer).await?;
    let first = read_password_message::<SASLInitialResponse>(wire).await?;
    if first.auth_method != SASL_MECHANISM {
        return Err(refuse_malformed(wire).await);
    }
    let first = first.data.unwrap_or_default();
    let exchange = ScramServerAuth::new().on_client_first_message_with_secret(&first, secret);
    let Ok((answer, exchange)) = exchange else {
        return Err(refuse_malformed(wire).await);
    };
    send(wire, Authentication::SASLContinue(answer.into())).await?;
    let last = read_password_message::<SASLResponse>(wire).await?;
    match exchange.on_client_final_message(&last.data) {
        Ok(answer) => send(wire, Authentication::SASLFinal(answer.into())).await,
        Err(_wrong) => {
            let message = format!("password authentication failed for user \"{user}\"");
            Err(wire.refuse(STEP_PASSWORD, "28P01", message).await)
        }
    }
}

/// Sends an authentication message.
async fn send(wire: &mut ClientWire, message: Authentication) -> Result<(), ClientError> {
    let mut buf = BytesMut::new();
    put(&mut buf, &Out::Authentication(message));
    wire.write(STEP_PASSWORD, &buf).await
}

/// Reads a message of the password exchange; refuses the client if it is malformed.
async fn read_password_message<M: Message>(wire: &mut ClientWire) -> Result<M, ClientError> {
    let frame = wire.next(STEP_PASSWORD).await?;
    let cx = session_context();
    let message = match frame.first() {
        Some(b'p') => decode_checked(&frame, |buf| M::decode(buf, &cx)),
        _ => None,
    };
    match message {
        Some(message) => Ok(message),
        None => Err(refuse_malformed(wire).await),
    }
}

/// Refuses the client because of a malformed message in the password exchange.
async fn refuse_malformed(wire: &mut ClientWire) -> ClientError {
    wire.refuse(
        STEP_PASSWORD,
        "08P01",
        "a message of the password exchange is malformed",
    )
    .await
}
