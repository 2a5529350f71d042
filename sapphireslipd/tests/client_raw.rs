//! Tests of the client edge with clients that send the protocol message by message.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flume::{Receiver, Sender};
use pgwire::api::auth::sasl::scram::ScramClientAuth;
use pgwire::messages::extendedquery::{Describe, Flush, Parse, Sync};
use pgwire::messages::startup::{
    Authentication, PasswordMessageFamily, SASLInitialResponse, SASLResponse, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as In, PgWireFrontendMessage as Out, ProtocolVersion,
};
use rstest::rstest;
use sapphireslip_core::{
    ClientEffect, ClientEvent, Event, Refusal, RefusalReason, SessionId, TransactionStatus,
};
use sapphireslipd::{make_verifier, serve_clients};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time limit for an event or an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A client that sends and receives single protocol messages.
struct Client {
    /// The connection to the edge.
    socket: TcpStream,
    /// The bytes received and not yet decoded.
    input: BytesMut,
}

impl Client {
    /// Sends messages in one write.
    async fn send(&mut self, messages: &[Out]) {
        let mut buf = BytesMut::new();
        for message in messages {
            message.encode(&mut buf).expect("a short message");
        }
        self.socket.write_all(&buf).await.expect("the edge reads");
    }

    /// Returns the next message, or `None` once the edge has closed the connection.
    async fn next(&mut self) -> Option<In> {
        let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        cx.awaiting_frontend_ssl = false;
        loop {
            if let Some(message) = In::decode(&mut self.input, &cx).expect("well formed") {
                return Some(message);
            }
            let read = tokio::time::timeout(TIMEOUT, self.socket.read_buf(&mut self.input)).await;
            if read.expect("an answer in time").unwrap_or(0) == 0 {
                return None;
            }
        }
    }

    /// Returns the next message, which must be about authentication.
    async fn authentication(&mut self) -> Authentication {
        match self.next().await {
            Some(In::Authentication(message)) => message,
            other => panic!("expected an authentication message, got {other:?}"),
        }
    }

    /// Sends the startup message and waits for the request for a password.
    async fn start_up(&mut self) {
        let mut startup = Startup::new();
        for (name, value) in [("user", "till"), ("database", "stock")] {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        self.send(&[Out::Startup(startup)]).await;
        self.authentication().await;
    }

    /// Logs in with the right password.
    async fn log_in(&mut self) {
        self.start_up().await;
        let scram = ScramClientAuth::new("till".to_owned(), "secret".to_owned());
        let (first, scram) = scram.build_client_first().expect("a plain name");
        let first = SASLInitialResponse::new("SCRAM-SHA-256".to_owned(), Some(first.into()));
        let first = PasswordMessageFamily::SASLInitialResponse(first);
        self.send(&[Out::PasswordMessageFamily(first)]).await;
        let Authentication::SASLContinue(data) = self.authentication().await else {
            panic!("the password exchange ended early");
        };
        let (last, _) = scram.build_client_final(&data).expect("well formed");
        let last = PasswordMessageFamily::SASLResponse(SASLResponse::new(last.into()));
        self.send(&[Out::PasswordMessageFamily(last)]).await;
        while !matches!(self.next().await, Some(In::ReadyForQuery(_))) {}
    }
}

/// A client edge with one client and the reducer's side of the edge.
struct Bench {
    /// The client.
    client: Client,
    /// The client's session; 0 until it has logged in.
    session: SessionId,
    /// The events that the edge reports.
    events: Receiver<Event>,
    /// Sends effects to the edge.
    effects: Sender<ClientEffect>,
}

impl Bench {
    /// Starts the edge with a client that is connected and has sent nothing.
    async fn start_listening() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (event_tx, events) = flume::bounded(16);
        let (effects, effect_rx) = flume::bounded(16);
        tokio::spawn(serve_clients(listener, event_tx, effect_rx));
        let socket = TcpStream::connect(address).await.expect("it listens");
        let client = Client {
            socket,
            input: BytesMut::new(),
        };
        Self {
            client,
            session: SessionId(0),
            events,
            effects,
        }
    }

    /// Waits until the client has sent its startup message, and asks for its password.
    async fn ask_password(events: &Receiver<Event>, effects: &Sender<ClientEffect>) -> SessionId {
        let event = events.recv_async().await;
        let Ok(Event::Client(ClientEvent::Connecting { session, .. })) = event else {
            panic!("expected a client to connect, got {event:?}");
        };
        let verifier = make_verifier("secret").as_str().into();
        let effect = ClientEffect::Authenticate { session, verifier };
        effects.send(effect).expect("the edge runs");
        session
    }

    /// Starts the edge with a client that has logged in.
    async fn start() -> Self {
        let mut bench = Self::start_listening().await;
        let reducer = Self::ask_password(&bench.events, &bench.effects);
        let (session, ()) = tokio::join!(reducer, bench.client.log_in());
        bench.session = session;
        let opened = bench.event().await;
        assert!(matches!(opened, ClientEvent::Opened { .. }), "{opened:?}");
        bench
    }

    /// Waits for the next event.
    async fn event(&self) -> ClientEvent {
        let event = tokio::time::timeout(TIMEOUT, self.events.recv_async()).await;
        match event.expect("an event in time").expect("the edge runs") {
            Event::Client(event) => event,
            other => panic!("not an event of the client edge: {other:?}"),
        }
    }

    /// Sends an effect to the edge.
    fn send_effect(&self, effect: ClientEffect) {
        self.effects.send(effect).expect("the edge runs");
    }

    /// Answers the running statement and finishes it.
    fn answer(&self, payload: &'static [u8], refusal: Option<Refusal>) {
        let session = self.session;
        let payload = Bytes::from_static(payload);
        self.send_effect(ClientEffect::Answer { session, payload });
        self.send_effect(ClientEffect::Finish {
            session,
            refusal,
            transaction: TransactionStatus::Idle,
            token: None,
        });
    }

    /// Waits for the next statement and returns its messages.
    async fn statement(&self) -> Bytes {
        match self.event().await {
            ClientEvent::Statement { payload, .. } => payload,
            other => panic!("expected a statement, got {other:?}"),
        }
    }
}

/// Returns messages that prepare and describe a statement, followed by a flush.
fn parse_and_flush() -> [Out; 3] {
    let parse = Parse::new(Some("a".to_owned()), "SELECT 1".to_owned(), vec![]);
    let describe = Describe::new(b'S', Some("a".to_owned()));
    [
        Out::Parse(parse),
        Out::Describe(describe),
        Out::Flush(Flush::new()),
    ]
}

#[tokio::test]
async fn flush_answered() {
    let mut bench = Bench::start().await;
    bench.client.send(&parse_and_flush()).await;
    let payload = bench.statement().await;
    assert!(payload.ends_with(b"S\0\0\0\x04"), "{payload:?}");
    bench.answer(b"1\0\0\0\x04t\0\0\0\x06\0\0n\0\0\0\x04", None);
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ParseComplete(_))), "{answer:?}");
    let answer = bench.client.next().await;
    assert!(
        matches!(answer, Some(In::ParameterDescription(_))),
        "{answer:?}"
    );
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::NoData(_))), "{answer:?}");
    bench.client.send(&[Out::Sync(Sync::new())]).await;
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ReadyForQuery(_))), "{answer:?}");
}

#[tokio::test]
async fn flush_refused() {
    let mut bench = Bench::start().await;
    bench.client.send(&parse_and_flush()).await;
    bench.statement().await;
    let refusal = Refusal::not_run(RefusalReason::QueueFull, None, "the queue is full");
    bench.answer(b"", Some(refusal));
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ErrorResponse(_))), "{answer:?}");
    bench.client.send(&parse_and_flush()).await;
    bench.client.send(&[Out::Sync(Sync::new())]).await;
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ReadyForQuery(_))), "{answer:?}");
    assert!(
        bench.events.is_empty(),
        "a message after the failed flush was forwarded"
    );
}

#[rstest]
#[case::describe(b"D\0\0\0\x04H\0\0\0\x04S\0\0\0\x04")]
#[case::bind(b"B\0\0\0\x06\0\0S\0\0\0\x04")]
#[case::parse(b"P\0\0\0\x04S\0\0\0\x04")]
#[case::close(b"C\0\0\0\x04S\0\0\0\x04")]
#[case::length(b"Q\0\0\0\x01")]
#[case::too_long(b"Q\x7f\xff\xff\xff")]
#[case::unknown(b"!\0\0\0\x04")]
#[tokio::test]
async fn message_malformed(#[case] messages: &[u8]) {
    let mut bench = Bench::start().await;
    bench
        .client
        .socket
        .write_all(messages)
        .await
        .expect("the edge reads");
    bench.client.socket.shutdown().await.expect("it is open");
    while bench.client.next().await.is_some() {}
    let session = bench.session;
    assert_eq!(bench.event().await, ClientEvent::Closed { session });
}

#[tokio::test]
async fn message_malformed_answered() {
    let mut bench = Bench::start().await;
    let messages = b"D\0\0\0\x04S\0\0\0\x04";
    bench
        .client
        .socket
        .write_all(messages)
        .await
        .expect("the edge reads");
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ErrorResponse(_))), "{answer:?}");
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ReadyForQuery(_))), "{answer:?}");
}

#[rstest]
#[case::empty(b"p\0\0\0\x04")]
#[case::cut_off(b"p\0\0\0\x13SCRAM-SHA-256\0\0")]
#[case::no_password(b"Q\0\0\0\x05\0")]
#[case::another_mechanism(b"p\0\0\0\x0ePLAIN\0\0\0\0\0")]
#[tokio::test]
async fn password_malformed(#[case] message: &[u8]) {
    let mut bench = Bench::start_listening().await;
    let reducer = Bench::ask_password(&bench.events, &bench.effects);
    let (session, ()) = tokio::join!(reducer, bench.client.start_up());
    bench
        .client
        .socket
        .write_all(message)
        .await
        .expect("the edge reads");
    let answer = bench.client.next().await;
    assert!(matches!(answer, Some(In::ErrorResponse(_))), "{answer:?}");
    assert!(
        bench.client.next().await.is_none(),
        "the connection is still open"
    );
    assert_eq!(bench.event().await, ClientEvent::Closed { session });
}

#[rstest]
#[case::length(b"\0\0\0\x01\0\x03\0\0")]
#[case::too_long(b"\x7f\xff\xff\xff\0\x03\0\0")]
#[case::cancel_short(b"\0\0\0\x08\x04\xd2\x16\x2e")]
#[case::cancel_unknown(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x01")]
#[case::version(b"\0\0\0\x09\0\x02\0\0\0")]
#[tokio::test]
async fn startup_malformed(#[case] message: &[u8]) {
    let mut bench = Bench::start_listening().await;
    bench
        .client
        .socket
        .write_all(message)
        .await
        .expect("the edge reads");
    bench.client.socket.shutdown().await.expect("it is open");
    while bench.client.next().await.is_some() {}
    assert!(
        bench.events.is_empty(),
        "the malformed startup opened a session"
    );
}
