//! A client edge whose reducer is replaced by the test.
#![allow(dead_code, reason = "each test binary uses only some items")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flume::{Receiver, Sender};
use sapphireslip_core::{
    ClientEffect, ClientEvent, Event, Refusal, SessionId, TermPosition, TransactionStatus,
};
use sapphireslipd::{make_verifier, serve_clients};
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, error::SqlState};

/// The time limit for an event or other condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The reducer's side of a client edge.
pub struct Bench {
    /// The address at which the edge listens.
    pub address: SocketAddr,
    /// The events that the edge reports.
    pub events: Receiver<Event>,
    /// Sends effects to the edge.
    pub effects: Sender<ClientEffect>,
    /// The verifier of the password `secret`.
    pub verifier: String,
}

/// Returns the session of an event.
pub fn session_of(event: &ClientEvent) -> SessionId {
    match event {
        ClientEvent::Connecting { session, .. }
        | ClientEvent::Opened { session, .. }
        | ClientEvent::TokenGiven { session, .. }
        | ClientEvent::Statement { session, .. }
        | ClientEvent::Cancel { session }
        | ClientEvent::Closed { session } => *session,
    }
}

impl Bench {
    /// Starts an edge in a task of its own.
    pub async fn start() -> Self {
        let (bench, edge) = Self::new().await;
        tokio::spawn(edge);
        bench
    }

    /// Returns the reducer's side, and the edge as a future that has not been polled.
    pub async fn new() -> (Self, impl Future<Output = ()> + Send + 'static) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (event_tx, events) = flume::bounded(256);
        let (effects, effect_rx) = flume::bounded(256);
        let bench = Self {
            address,
            events,
            effects,
            verifier: make_verifier("secret"),
        };
        (bench, serve_clients(listener, event_tx, effect_rx))
    }

    /// Sends an effect to the edge.
    pub fn send_effect(&self, effect: ClientEffect) {
        self.effects.send(effect).expect("the edge runs");
    }

    /// Waits for the next event.
    pub async fn event(&self) -> ClientEvent {
        let event = tokio::time::timeout(TIMEOUT, self.events.recv_async()).await;
        match event.expect("an event in time").expect("the edge runs") {
            Event::Client(event) => event,
            other => panic!("not an event of the client edge: {other:?}"),
        }
    }

    /// Connects a client, with more connection parameters in `options`.
    ///
    /// Returns the SQLSTATE if the connection is refused.
    pub async fn connect(&self, password: &str, options: &str) -> Result<Connected, String> {
        let config = format!(
            "host=127.0.0.1 port={} user=till dbname=stock password={password} {options}",
            self.address.port()
        );
        let client = async move {
            let (client, connection) = tokio_postgres::connect(&config, NoTls)
                .await
                .map_err(code)?;
            let socket = tokio::spawn(async { drop(connection.await) });
            Ok(Connected { client, socket })
        };
        let (client, ()) = tokio::join!(client, self.ask_password());
        client
    }

    /// Waits until a client connects, and asks it for its password.
    pub async fn ask_password(&self) {
        let event = self.event().await;
        let ClientEvent::Connecting {
            session,
            user,
            database,
        } = event
        else {
            panic!("expected a client to connect, got {event:?}");
        };
        assert_eq!((user.as_ref(), database.as_ref()), ("till", "stock"));
        self.send_effect(ClientEffect::Authenticate {
            session,
            verifier: self.verifier.as_str().into(),
        });
    }

    /// Opens a session with the right password.
    pub async fn open(&self, options: &str) -> Opened {
        let connected = self.connect("secret", options).await;
        let connected = connected.expect("the password is right");
        match self.event().await {
            ClientEvent::Opened { session, token, .. } => Opened {
                client: connected.client,
                socket: connected.socket,
                session,
                token,
            },
            other => panic!("expected an open session, got {other:?}"),
        }
    }

    /// Waits for the next statement.
    pub async fn statement(&self) -> Statement {
        let event = self.event().await;
        let ClientEvent::Statement {
            text, key, payload, ..
        } = event
        else {
            panic!("expected a statement, got {event:?}");
        };
        Statement {
            text: text.to_string(),
            key: key.map(|key| key.to_string()),
            payload,
        }
    }

    /// Finishes the running statement, outside a transaction.
    pub fn finish(
        &self,
        session: SessionId,
        refusal: Option<Refusal>,
        token: Option<TermPosition>,
    ) {
        self.send_effect(ClientEffect::Finish {
            session,
            refusal,
            transaction: TransactionStatus::Idle,
            token,
        });
    }

    /// Answers the next statement as successful, without rows.
    pub async fn answer(&self, session: SessionId) -> Statement {
        let statement = self.statement().await;
        let payload = Bytes::from_static(b"C\0\0\0\x0dINSERT 0\0");
        self.send_effect(ClientEffect::Answer { session, payload });
        self.finish(session, None, None);
        statement
    }
}

/// A connected client.
pub struct Connected {
    /// The client.
    pub client: Client,
    /// The task that owns the socket; it ends only after all answers have arrived.
    pub socket: JoinHandle<()>,
}

/// A client with an open session.
pub struct Opened {
    /// The client.
    pub client: Client,
    /// The task that owns the socket; it ends only after all answers have arrived.
    pub socket: JoinHandle<()>,
    /// The session.
    pub session: SessionId,
    /// The session token that the client brought, if any.
    pub token: Option<TermPosition>,
}

/// A statement that the edge reported.
pub struct Statement {
    /// The SQL text.
    pub text: String,
    /// The request key, if the client gave one.
    pub key: Option<String>,
    /// The protocol messages for a backend server.
    pub payload: Bytes,
}

/// Returns the SQLSTATE of an error, or `none` if it has none.
pub fn code(error: tokio_postgres::Error) -> String {
    error.code().map_or("none", SqlState::code).to_owned()
}
