//! The first messages of a caller: its startup and its password exchange.

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

/// The time within which a caller must have named itself and proved its password.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest startup message in bytes.
pub const STARTUP_MAX_BYTES: usize = 10_000;

pub(crate) const STEP_STARTUP: &str = "the startup";
const STEP_PASSWORD: &str = "the password exchange";
const SASL_MECHANISM: &str = "SCRAM-SHA-256";

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::caller_startup";

/// What a new connection is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// A session.
    Session(Startup, Box<ClientWire>),
    /// Ending the statement of another connection's session.
    Cancel(CancelKey),
}

/// What names a session in a request to cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CancelKey {
    /// The process identifier that the session was told.
    pub(crate) process: i32,
    /// The secret that it was told.
    pub(crate) secret: i32,
}

/// What a caller says of itself.
#[derive(Clone, Debug)]
pub(crate) struct Startup {
    pub(crate) user: Text,
    pub(crate) database: Text,
    /// The session token as it was given.
    pub(crate) token: Option<String>,
}

/// Reads a connection's first messages.
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

fn decode_startup(buf: &mut BytesMut, cx: &DecodeContext) -> std::io::Result<Option<In>> {
    let decoded = catch_unwind(AssertUnwindSafe(|| In::decode(buf, cx)));
    let malformed = |_panic| std::io::Error::other("the message is malformed");
    decoded.map_err(malformed)?.map_err(std::io::Error::other)
}

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

/// Returns a setting in the text of the `options` parameter, as in `-c name=value`.
fn find_option<'a>(options: &'a str, name: &str) -> Option<&'a str> {
    options.split_whitespace().find_map(|word| {
        let word = word.trim_start_matches("-c").trim_start_matches("--");
        let value = word.strip_prefix(name)?.strip_prefix('=')?;
        Some(value)
    })
}

impl Startup {
    /// Returns the checked session token.
    pub(crate) fn token(&self) -> Result<Option<TermPosition>, SessionTokenError> {
        let token = self
            .token
            .as_deref()
            .map(SessionToken::try_from)
            .transpose()?;
        token.map(|token| token.seen_in(&self.database)).transpose()
    }
}

/// Proves that the caller knows the verifier's password; if not, it is refused.
pub(crate) async fn authenticate(
    wire: &mut ClientWire,
    user: &str,
    verifier: &str,
) -> Result<(), ClientError> {
    let secret = match Verifier::try_from(verifier) {
        Ok(Verifier(secret)) => secret,
        Err(error) => {
            log::error!(target: LOG_TARGET, "caller `{user}` can't log in: {error}");
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

async fn send(wire: &mut ClientWire, message: Authentication) -> Result<(), ClientError> {
    let mut buf = BytesMut::new();
    put(&mut buf, &Out::Authentication(message));
    wire.write(STEP_PASSWORD, &buf).await
}

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

async fn refuse_malformed(wire: &mut ClientWire) -> ClientError {
    wire.refuse(
        STEP_PASSWORD,
        "08P01",
        "a message of the password exchange is malformed",
    )
    .await
}
