//! Control connections: send group requests to backend servers and parse the status in the answers.

use std::net::SocketAddr;
use std::time::Duration;

use flume::{Receiver, Sender};
use pgwire::messages::PgWireBackendMessage as In;
use quick_error::quick_error;
use sapphireslip_core::{
    BackendEvent, CallId, Event, GroupFailure, GroupRequest, Position, ServerId, ServerRole,
    ServerStatus, TERM_STARTS_MAX, Term, TermPosition,
};
use tokio::time::{Instant, timeout};

use crate::backend_connection::{
    BackendSettings, Connection, decode, error_field, open, query_message,
};
use crate::backend_error::BackendError;
use crate::backend_work::first_column;

/// The name of the database on which servers accept group requests.
pub const CONTROL_DATABASE: &str = "group_control";

/// How long a control connection stays open after its last request.
pub const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum time by which a long poll ends at the server before its deadline, so that the answer
/// arrives in time.
const LONG_POLL_MARGIN_MAX: Duration = Duration::from_millis(50);

const STEP_CALL: &str = "making a group request";

/// The SQLSTATE with which a server refuses a group request; the message holds its status.
const SQLSTATE_REFUSED: &str = "57P05";

/// A group request to one server.
#[derive(Debug)]
pub(crate) struct GroupCall {
    /// The identifier under which the result is reported.
    pub(crate) id: CallId,
    pub(crate) request: GroupRequest,
    /// The time after which the request counts as not answered.
    pub(crate) deadline: Instant,
}

/// The status of a server in the text form that servers send.
///
/// ```
/// use sapphireslip_core::ServerStatus;
/// use sapphireslipd::StatusText;
/// let text = "role=replica fenced=3 held=3/1042 applied=1040 starts=1/1,3/900";
/// let status = ServerStatus::try_from(StatusText(text))?;
/// assert_eq!(status.held.to_string(), "3/1042");
/// # Ok::<(), sapphireslipd::StatusTextError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StatusText<'a>(pub &'a str);

quick_error! {
    /// The reason why a text is not a server status.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StatusTextError {
        /// A field is missing or malformed.
        Field(name: &'static str, text: String) {
            display("server status `{text}`: field `{name}` is missing or malformed")
        }
    }
}

impl TryFrom<StatusText<'_>> for ServerStatus {
    type Error = StatusTextError;

    fn try_from(StatusText(text): StatusText<'_>) -> Result<Self, StatusTextError> {
        let field = |name: &'static str| {
            let fields = text.split_whitespace();
            let mut pairs = fields.filter_map(|field| field.split_once('='));
            let value = pairs.find(|pair| pair.0 == name).map(|pair| pair.1);
            value.ok_or_else(|| StatusTextError::Field(name, text.to_owned()))
        };
        let malformed = |name| move || StatusTextError::Field(name, text.to_owned());
        let role = match field("role")? {
            "primary" => ServerRole::Primary,
            "replica" => ServerRole::Replica,
            _ => return Err(malformed("role")()),
        };
        let fenced = field("fenced")?.parse().ok();
        let held = TermPosition::try_from(field("held")?).ok();
        let applied = field("applied")?.parse().ok();
        let starts = field("starts")?.split(',').take(TERM_STARTS_MAX);
        let starts: Result<Vec<_>, _> = starts.map(TermPosition::try_from).collect();
        Ok(Self {
            role,
            fenced: Term(fenced.ok_or_else(malformed("fenced"))?),
            held: held.ok_or_else(malformed("held"))?,
            applied: Position(applied.ok_or_else(malformed("applied"))?),
            term_starts: starts.ok().ok_or_else(malformed("starts"))?,
        })
    }
}

/// Returns the SQL text of a request whose answer is due in `time_left`.
fn request_sql(request: &GroupRequest, time_left: Duration) -> String {
    match request {
        GroupRequest::Status { wait_for: None } => "SELECT group_status()".to_owned(),
        GroupRequest::Status {
            wait_for: Some(record),
        } => {
            let time_left = time_left - LONG_POLL_MARGIN_MAX.min(time_left / 4);
            format!("SELECT group_wait('{record}', {})", time_left.as_millis())
        }
        GroupRequest::Fence { term } => format!("SELECT group_fence({})", term.0),
        GroupRequest::Promote { term } => format!("SELECT group_promote({})", term.0),
        GroupRequest::Follow { term, primary } => {
            format!("SELECT group_follow({}, '{primary}')", term.0)
        }
    }
}

/// Sends the queued requests to one server, one after the other, and reports the results.
///
/// Connects at the first request and again after a failure. Returns once the queue is closed or
/// empty for [`CONTROL_IDLE_TIMEOUT`].
pub(crate) async fn run(
    server: ServerId,
    address: SocketAddr,
    settings: BackendSettings,
    calls: Receiver<GroupCall>,
    events: Sender<Event>,
) {
    let mut cached = None;
    while let Ok(Ok(call)) = timeout(CONTROL_IDLE_TIMEOUT, calls.recv_async()).await {
        let time_left = call.deadline.saturating_duration_since(Instant::now());
        let request = request_sql(&call.request, time_left);
        let outcome = timeout(
            time_left,
            call_server(&mut cached, address, &settings, &request),
        )
        .await;
        let result = outcome.unwrap_or(Err(BackendError::Timeout(STEP_CALL, address)));
        let result = result.unwrap_or_else(|error| {
            log::info!("{error}");
            cached = None;
            Err(GroupFailure::NoAnswer)
        });
        let reply = BackendEvent::GroupReply {
            server: server.clone(),
            call: call.id,
            result,
        };
        if events.send_async(Event::Backend(reply)).await.is_err() {
            return;
        }
    }
}

/// The answer of a server: its status, or its refusal.
type Reply = Result<ServerStatus, GroupFailure>;

/// Sends one request on the cached connection, or on a new one if there is none.
///
/// # Errors
///
/// Returns the [`BackendError`] that makes the connection unusable; a refusal by the server is a
/// reply.
async fn call_server(
    cached: &mut Option<Connection>,
    address: SocketAddr,
    settings: &BackendSettings,
    request: &str,
) -> Result<Reply, BackendError> {
    if cached.is_none() {
        let connect_timeout = crate::backend_connection::CONNECT_TIMEOUT;
        *cached = Some(open(address, CONTROL_DATABASE, settings, connect_timeout).await?);
    }
    let Some(connection) = cached else {
        return Err(BackendError::Closed(STEP_CALL, address));
    };
    let mut reply = None;
    let mut pending = query_message(request);
    loop {
        let frame = connection
            .next_while_writing(STEP_CALL, &mut pending)
            .await?;
        match decode(&frame, STEP_CALL, address)? {
            In::DataRow(row) => {
                let text = first_column(&row.data).unwrap_or_default();
                reply = Some(Ok(status(&text, address)?));
            }
            In::ErrorResponse(error) => {
                let code = error_field(&error.fields, b'C');
                let message = error_field(&error.fields, b'M');
                if code != SQLSTATE_REFUSED {
                    return Err(BackendError::Refused(STEP_CALL, address, code, message));
                }
                reply = Some(Err(GroupFailure::Refused(status(&message, address)?)));
            }
            In::ReadyForQuery(_) => return reply.ok_or(BackendError::Closed(STEP_CALL, address)),
            _ => {}
        }
    }
}

/// Parses the status in an answer; a malformed one is a protocol violation.
fn status(text: &str, address: SocketAddr) -> Result<ServerStatus, BackendError> {
    let status = ServerStatus::try_from(StatusText(text));
    status.map_err(|error| BackendError::Protocol(STEP_CALL, address, error.to_string()))
}
