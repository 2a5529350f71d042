//! Connections of callers, served here or passed on to other daemons.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use sapphireslip_core::{SessionId, Text, TransactionStatus};
use sapphireslip_lead::{ClientEvent, ErrorCode, Event, Failure};
use sapphireslip_platform::{
    ClientMessage, LINE_END, PeerOpening, answers, asks, decode_client, decode_peer,
    encode_failure, encode_welcome,
};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::line_stream::{LineReader, split};

/// The pause after a connection could not be taken, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The most answers that wait for one caller to read them.
const ORDERS_MAX: usize = 128;

/// How long another daemon may take to open a session that is passed on: some round trips within a
/// zone, and a turn of its processor.
const RELAY_OPEN_MAX: Duration = Duration::from_millis(150);

/// How long a caller may take to read what was sent to it.
const WRITE_MAX: Duration = Duration::from_secs(10);

/// How long a caller may take to name its database.
const START_MAX: Duration = Duration::from_secs(10);

/// The target of this module's log lines: its former path, by which operators filter them.
const LOG_TARGET: &str = "sapphireslipd::lead_callers";

/// What a session's task is asked to do.
enum Order {
    /// Send these bytes to the caller.
    Send(Vec<u8>),
    /// Send the answer to a statement.
    Answer(Vec<u8>),
    /// End the session once every statement that was read is answered.
    CloseWhenIdle,
    /// Pass the session on to another daemon.
    PassOn(SocketAddr, Vec<u8>),
}

/// The ways to the callers.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    open: BTreeMap<SessionId, flume::Sender<Order>>,
    /// The sessions whose caller has named its database.
    running: TaskTracker,
}

/// A caller, or another daemon, that has connected.
pub(crate) struct NewClient {
    stream: TcpStream,
    is_peer: bool,
}

/// Takes connections until the receiver is gone.
pub(crate) async fn accept(
    listener: TcpListener,
    is_peer: bool,
    clients: flume::Sender<NewClient>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = NewClient { stream, is_peer };
                if clients.send_async(client).await.is_err() {
                    return;
                }
            }
            Err(err) => {
                log::warn!(target: LOG_TARGET, "taking a caller's connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Clients {
    /// Serves a new caller as a session.
    pub(crate) fn add(&mut self, id: SessionId, client: NewClient, events: flume::Sender<Event>) {
        let (tx, orders) = flume::bounded(ORDERS_MAX);
        self.open.insert(id, tx);
        let running = self.running.clone();
        tokio::spawn(async move {
            let served = SessionTask::open(id, client, orders, events.clone(), &running);
            if let Err(err) = served.await {
                log::debug!(
                    target: LOG_TARGET, session = id.0;
                    "a caller's connection ended: {err}"
                );
            }
            let closed = Event::Client(ClientEvent::Closed { session: id });
            // Fails only when the daemon is stopping already.
            let _stopping = events.send_async(closed).await;
        });
    }

    /// Sends bytes to a caller; one that does not read loses its connection.
    pub(crate) fn send(&mut self, id: SessionId, bytes: Vec<u8>) {
        self.order(id, Order::Send(bytes));
    }

    /// Sends a caller the answer to its statement.
    pub(crate) fn answer(&mut self, id: SessionId, bytes: Vec<u8>) {
        self.order(id, Order::Answer(bytes));
    }

    /// Ends a session once every statement that was read is answered.
    pub(crate) fn close_when_idle(&mut self, id: SessionId) {
        self.order(id, Order::CloseWhenIdle);
    }

    /// Passes a session on to another daemon.
    pub(crate) fn pass_on(&mut self, id: SessionId, to: SocketAddr, opening: Vec<u8>) {
        self.order(id, Order::PassOn(to, opening));
    }

    fn order(&mut self, id: SessionId, order: Order) {
        if let Some(tx) = self.open.get(&id)
            && tx.try_send(order).is_err()
        {
            self.open.remove(&id);
        }
    }

    /// Ends a caller's connection after what was sent.
    pub(crate) fn close(&mut self, id: SessionId) {
        self.open.remove(&id);
    }

    /// Ends all sessions; completes once each has written what was handed to it.
    pub(crate) async fn end(self) {
        drop(self.open);
        self.running.close();
        self.running.wait().await;
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}

/// One session's connection to its caller.
struct SessionTask {
    id: SessionId,
    lines: LineReader,
    writer: OwnedWriteHalf,
    orders: flume::Receiver<Order>,
    events: flume::Sender<Event>,
    /// Whether the session is served here; until then statements that were sent ahead stay unread.
    is_open: bool,
    /// How many statements were read and are not answered.
    unanswered: usize,
    is_closing: bool,
}

/// What follows after a while of serving.
enum Next {
    /// The session has ended.
    End,
    /// It is passed on.
    PassOn(SocketAddr, Vec<u8>),
}

impl SessionTask {
    /// Serves a session to its end.
    async fn open(
        id: SessionId,
        client: NewClient,
        orders: flume::Receiver<Order>,
        events: flume::Sender<Event>,
        running: &TaskTracker,
    ) -> io::Result<()> {
        let (lines, writer) = split(client.stream)?;
        let mut task = Self {
            id,
            lines,
            writer,
            orders,
            events,
            is_open: false,
            unanswered: 0,
            is_closing: false,
        };
        let mut forwarder_version = None;
        if client.is_peer {
            let line = task.first_line().await?;
            match decode_peer(&line).map_err(io::Error::other)? {
                PeerOpening::PassOn(version) => forwarder_version = Some(version),
                PeerOpening::Ask { vm, generation } => {
                    let session = id;
                    let event = Event::GrantAsked {
                        session,
                        vm,
                        generation,
                    };
                    // Fails only when the daemon is stopping already.
                    let _stopping = task.events.send_async(event).await;
                    return task.serve().await.map(|_| ());
                }
            }
        }
        let line = task.first_line().await?;
        let _running = running.token();
        let Ok(ClientMessage::Start { database }) = decode_client(&line) else {
            return task.refuse("expected START and a database").await;
        };
        task.tell(ClientEvent::Opened {
            session: id,
            database,
            forwarder_version,
        })
        .await;
        loop {
            match task.serve().await? {
                Next::End => return Ok(()),
                Next::PassOn(to, opening) => {
                    if task.pass_on(to, opening).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn first_line(&mut self) -> io::Result<BytesMut> {
        let line = tokio::time::timeout(START_MAX, self.lines.next()).await;
        let line = line.map_err(io::Error::other)??;
        line.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Serves the session here.
    async fn serve(&mut self) -> io::Result<Next> {
        loop {
            if self.is_over() {
                self.writer.shutdown().await?;
                return Ok(Next::End);
            }
            tokio::select! {
                biased;
                order = self.orders.recv_async() => match order {
                    Err(_) => {
                        self.writer.shutdown().await?;
                        return Ok(Next::End);
                    }
                    Ok(Order::PassOn(to, opening)) => return Ok(Next::PassOn(to, opening)),
                    Ok(order) => {
                        self.is_open = true;
                        self.obey(order).await?;
                    }
                },
                line = self.lines.next(), if self.is_open => {
                    let Some(line) = line? else {
                        return Ok(Next::End);
                    };
                    if !self.take(&line).await {
                        self.refuse("the line is no message").await?;
                        return Ok(Next::End);
                    }
                }
            }
        }
    }

    /// Returns whether the session is to end and owes no answer.
    const fn is_over(&self) -> bool {
        self.is_closing && self.unanswered == 0
    }

    async fn obey(&mut self, order: Order) -> io::Result<()> {
        match order {
            Order::Send(bytes) => self.write(bytes).await,
            Order::Answer(bytes) => {
                self.unanswered = self.unanswered.saturating_sub(1);
                self.write(bytes).await
            }
            Order::CloseWhenIdle | Order::PassOn(..) => {
                self.is_closing = true;
                Ok(())
            }
        }
    }

    async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let write = self.writer.write_all(&bytes);
        tokio::time::timeout(WRITE_MAX, write)
            .await
            .map_err(io::Error::other)?
    }

    /// Takes a line; returns false if the session can't go on.
    async fn take(&mut self, line: &[u8]) -> bool {
        match decode_client(line) {
            Ok(ClientMessage::Query(query)) => {
                self.unanswered += 1;
                self.tell(ClientEvent::Query {
                    session: self.id,
                    query,
                })
                .await;
                true
            }
            Ok(ClientMessage::Terminate) => {
                self.tell(ClientEvent::Closed { session: self.id }).await;
                true
            }
            Ok(ClientMessage::Start { .. }) => false,
            Err(err) => {
                log::debug!(target: LOG_TARGET, session = self.id.0; "{err}");
                false
            }
        }
    }

    /// Passes the session on; returns false if the other daemon does not take it.
    async fn pass_on(&mut self, to: SocketAddr, opening: Vec<u8>) -> io::Result<bool> {
        let opened = tokio::time::timeout(RELAY_OPEN_MAX, open_relay(to, &opening)).await;
        let is_refused = match opened.unwrap_or_else(|err| Err(io::Error::other(err))) {
            Ok(Some((lines, writer))) => {
                let mut bytes = Vec::new();
                encode_welcome(&mut bytes);
                self.tell(ClientEvent::RelayAnswered {
                    session: self.id,
                    status: TransactionStatus::Idle,
                })
                .await;
                self.write(bytes).await?;
                self.relay(lines, writer).await?;
                return Ok(true);
            }
            Ok(None) => true,
            Err(err) => {
                log::debug!(target: LOG_TARGET, "passing a session on to `{to}`: {err}");
                err.kind() == io::ErrorKind::ConnectionRefused
            }
        };
        self.tell(ClientEvent::RelayFailed {
            session: self.id,
            is_refused,
        })
        .await;
        Ok(false)
    }

    /// Moves lines both ways until the caller leaves or the session is to be closed.
    async fn relay(&mut self, lines: LineReader, writer: OwnedWriteHalf) -> io::Result<()> {
        let mut peer = Some((lines, writer));
        loop {
            if self.is_over() {
                return self.writer.shutdown().await;
            }
            let from_peer = async {
                match &mut peer {
                    Some((lines, _)) => lines.next().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                order = self.orders.recv_async() => match order {
                    Ok(order) => self.obey(order).await?,
                    Err(_) => return self.writer.shutdown().await,
                },
                line = from_peer => {
                    let Some((lines, _)) = &mut peer else {
                        continue;
                    };
                    let Ok(Some(line)) = line else {
                        peer = None;
                        self.tell(ClientEvent::RelayLost { session: self.id }).await;
                        continue;
                    };
                    let mut status = None;
                    let mut answered = 0;
                    let bytes = join(line, lines, |line| {
                        let end = answers(line);
                        answered += usize::from(end.is_some());
                        status = end.or(status);
                    });
                    self.unanswered = self.unanswered.saturating_sub(answered);
                    if let Some(status) = status {
                        self.tell(ClientEvent::RelayAnswered { session: self.id, status }).await;
                    }
                    self.write(bytes).await?;
                }
                line = self.lines.next() => {
                    let Some(line) = line? else {
                        return Ok(());
                    };
                    let mut first = None;
                    let unanswered = &mut self.unanswered;
                    let bytes = join(line, &mut self.lines, |line| {
                        if let Some(request) = asks(line) {
                            *unanswered += 1;
                            first.get_or_insert_with(|| Text::from(request));
                        }
                    });
                    if let Some(request) = first {
                        let session = self.id;
                        self.tell(ClientEvent::RelayQuery { session, request }).await;
                    }
                    // A peer that does not take it has broken off, which its lines tell.
                    if let Some((_, writer)) = &mut peer
                        && let Err(err) = writer.write_all(&bytes).await
                    {
                        log::debug!(
                            target: LOG_TARGET, session = self.id.0;
                            "passing a line on: {err}"
                        );
                    }
                }
            }
        }
    }

    async fn tell(&self, event: ClientEvent) {
        // Fails only when the daemon is stopping already.
        let _stopping = self.events.send_async(Event::Client(event)).await;
    }

    async fn refuse(&mut self, text: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_failure(&Failure::new(ErrorCode::Malformed, text), &mut bytes);
        self.writer.write_all(&bytes).await?;
        self.writer.shutdown().await
    }
}

/// Opens a session at another daemon; returns none if that refuses it.
async fn open_relay(
    to: SocketAddr,
    opening: &[u8],
) -> io::Result<Option<(LineReader, OwnedWriteHalf)>> {
    let stream = TcpStream::connect(to).await?;
    let (mut lines, mut writer) = split(stream)?;
    writer.write_all(opening).await?;
    let line = lines.next().await?;
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answers(&line).map(|_| (lines, writer)))
}

/// Joins a line and all that have been read after it, and shows each.
fn join(first: BytesMut, lines: &mut LineReader, mut show: impl FnMut(&[u8])) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(first.len() + LINE_END.len());
    let mut next = Some(first);
    while let Some(line) = next {
        show(&line);
        bytes.extend_from_slice(&line);
        bytes.extend_from_slice(LINE_END);
        next = lines.take();
    }
    bytes
}
