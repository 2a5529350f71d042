//! The caller edge with the reducer's side of its channels in the hands of a test.
#![allow(dead_code, reason = "each test file uses a part")]

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

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The caller edge, with the reducer's side of its channels.
pub struct Bench {
    pub address: SocketAddr,
    pub events: Receiver<Event>,
    pub effects: Sender<ClientEffect>,
    pub verifier: String,
}

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
    pub async fn start() -> Self {
        let (bench, edge) = Self::new().await;
        tokio::spawn(edge);
        bench
    }

    /// Returns the reducer's side, and the edge, which has not begun to run.
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

    pub fn send_effect(&self, effect: ClientEffect) {
        self.effects.send(effect).expect("the edge runs");
    }

    pub async fn event(&self) -> ClientEvent {
        let event = tokio::time::timeout(TIMEOUT, self.events.recv_async()).await;
        match event.expect("an event in time").expect("the edge runs") {
            Event::Client(event) => event,
            other => panic!("not of the caller edge: {other:?}"),
        }
    }

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

    /// Asks the next caller for its password.
    pub async fn ask_password(&self) {
        let event = self.event().await;
        let ClientEvent::Connecting {
            session,
            user,
            database,
        } = event
        else {
            panic!("not connecting: {event:?}");
        };
        assert_eq!((user.as_ref(), database.as_ref()), ("till", "stock"));
        self.send_effect(ClientEffect::Authenticate {
            session,
            verifier: self.verifier.as_str().into(),
        });
    }

    /// Opens a session and returns it with the token that it brought.
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
            other => panic!("not opened: {other:?}"),
        }
    }

    pub async fn statement(&self) -> Statement {
        let event = self.event().await;
        let ClientEvent::Statement {
            text, key, payload, ..
        } = event
        else {
            panic!("no statement: {event:?}");
        };
        Statement {
            text: text.to_string(),
            key: key.map(|key| key.to_string()),
            payload,
        }
    }

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

    /// Answers the next statement as done, without rows.
    pub async fn answer(&self, session: SessionId) -> Statement {
        let statement = self.statement().await;
        let payload = Bytes::from_static(b"C\0\0\0\x0dINSERT 0\0");
        self.send_effect(ClientEffect::Answer { session, payload });
        self.finish(session, None, None);
        statement
    }
}

pub struct Connected {
    pub client: Client,
    /// The task that owns the socket; the library ends it only after all answers.
    pub socket: JoinHandle<()>,
}

pub struct Opened {
    pub client: Client,
    pub socket: JoinHandle<()>,
    pub session: SessionId,
    pub token: Option<TermPosition>,
}

pub struct Statement {
    pub text: String,
    pub key: Option<String>,
    pub payload: Bytes,
}

pub fn code(error: tokio_postgres::Error) -> String {
    error.code().map_or("none", SqlState::code).to_owned()
}
