//! Connections of clients in the line protocol, whose sessions are served here or forwarded to other
//! daemons.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use futures::FutureExt;
use sapphireslip_core::SessionId;
use sapphireslip_lead::{ClientEvent, ErrorCode, Event, Failure};
use sapphireslip_platform::{
    ClientMessage, PeerOpening, decode_client, decode_forwarded_start, decode_peer_opening,
    encode_failure, ends_transaction, has_bare_line_feed, reads_whole_lines,
};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::line_stream::{LineReader, split};

/// The pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The most commands that may be queued for one session while its client does not read.
const COMMANDS_MAX: usize = 128;

/// How long one write to a client may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a client or another daemon may take to send each line of its opening.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The target of this module's log lines: its former path, by which operators filter them.
pub(crate) const LOG_TARGET: &str = "sapphireslipd::lead_callers";

/// A command of the runner to a session's task.
pub(crate) enum Command {
    /// Sends these bytes to the client.
    Send(Vec<u8>),
    /// Sends the client these bytes, which answer a statement.
    Answer(Vec<u8>),
    /// Ends the session once every statement that has been read is answered.
    CloseWhenIdle,
    /// Answers the next statement with these bytes, unless it ends a transaction, and ends the
    /// session.
    RefuseNext(Vec<u8>),
    /// Forwards the session to the daemon at the address, with these bytes as the opening.
    Forward(SocketAddr, Vec<u8>),
}

/// The connected clients; a task serves each of them.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    /// The channel to the task of each session.
    open: BTreeMap<SessionId, flume::Sender<Command>>,
    /// Tracks the tasks of the sessions whose client has named its database.
    running: TaskTracker,
}

/// An accepted connection of a client or of another daemon.
pub(crate) struct NewClient {
    stream: TcpStream,
    /// Whether the connection came in on the address for other daemons.
    is_peer: bool,
}

/// Accepts connections until the receiver of `clients` is dropped.
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
                log::warn!(target: LOG_TARGET, "accepting a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Clients {
    /// Starts a task that serves a new connection as the session `id`.
    pub(crate) fn add(&mut self, id: SessionId, client: NewClient, events: flume::Sender<Event>) {
        let (tx, commands) = flume::bounded(COMMANDS_MAX);
        self.open.insert(id, tx);
        let running = self.running.clone();
        tokio::spawn(async move {
            let served = SessionTask::open(id, client, commands, events.clone(), &running);
            if let Err(err) = served.await {
                log::debug!(
                    target: LOG_TARGET, session = id.0;
                    "a client's connection ended: {err}"
                );
            }
            let closed = Event::Client(ClientEvent::Closed { session: id });
            // Fails only if the daemon is already stopping.
            let _stopping = events.send_async(closed).await;
        });
    }

    /// Sends bytes to a client. A client that does not read loses its connection.
    pub(crate) fn send(&mut self, id: SessionId, bytes: Vec<u8>) {
        self.command(id, Command::Send(bytes));
    }

    /// Sends a client the answer to its statement.
    pub(crate) fn answer(&mut self, id: SessionId, bytes: Vec<u8>) {
        self.command(id, Command::Answer(bytes));
    }

    /// Ends a session once every statement that has been read is answered.
    pub(crate) fn close_when_idle(&mut self, id: SessionId) {
        self.command(id, Command::CloseWhenIdle);
    }

    /// Answers the next statement of a session with `refusal`, unless it ends a transaction, and ends
    /// the session.
    pub(crate) fn refuse_next(&mut self, id: SessionId, refusal: Vec<u8>) {
        self.command(id, Command::RefuseNext(refusal));
    }

    /// Forwards a session to another daemon, with `opening` as the first bytes.
    pub(crate) fn forward(&mut self, id: SessionId, to: SocketAddr, opening: Vec<u8>) {
        self.command(id, Command::Forward(to, opening));
    }

    /// Sends a command to a session's task; drops the session if its queue is full.
    fn command(&mut self, id: SessionId, command: Command) {
        if let Some(tx) = self.open.get(&id)
            && tx.try_send(command).is_err()
        {
            self.open.remove(&id);
        }
    }

    /// Closes a client's connection after everything that was handed over has been written.
    pub(crate) fn close(&mut self, id: SessionId) {
        self.open.remove(&id);
    }

    /// Ends all sessions, and waits until each has written what was handed over to it.
    ///
    /// Connections whose client has not named its database yet are not waited for.
    pub(crate) async fn end(self) {
        drop(self.open);
        self.running.close();
        self.running.wait().await;
    }

    /// Returns the number of connected clients.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}

/// The task that serves one session's connection to its client.
pub(crate) struct SessionTask {
    pub(crate) id: SessionId,
    pub(crate) lines: LineReader,
    pub(crate) writer: OwnedWriteHalf,
    /// The commands of the runner.
    pub(crate) commands: flume::Receiver<Command>,
    /// The channel to the reducer.
    pub(crate) events: flume::Sender<Event>,
    /// Whether the session is served here rather than forwarded; until then statements that the
    /// client has sent ahead stay unread.
    is_served_here: bool,
    /// The number of statements that have been read and not yet answered.
    pub(crate) unanswered: usize,
    /// Whether the session ends as soon as no answer is owed.
    is_closing: bool,
    /// The answer to the next statement that is read.
    refusal: Option<Refusal>,
    /// Whether answers are read by a daemon that takes a line feed within a line for its end.
    is_read_by_earlier_build: bool,
}

/// The answer to the next statement of a session that is to end.
struct Refusal {
    answer: Vec<u8>,
    /// Whether the session's transaction may still be ended before.
    may_end_transaction: bool,
}

/// Why a session is no longer served here.
enum Served {
    /// The session has ended.
    Ended,
    /// The session is to be forwarded to the daemon at the address, with these opening bytes.
    Forward(SocketAddr, Vec<u8>),
}

impl SessionTask {
    /// Reads the opening of a connection and serves its session to the end.
    ///
    /// A connection of another daemon opens a forwarded session, or asks for a grant, for shares of
    /// accounts' limits or for the configuration.
    async fn open(
        id: SessionId,
        client: NewClient,
        commands: flume::Receiver<Command>,
        events: flume::Sender<Event>,
        running: &TaskTracker,
    ) -> io::Result<()> {
        let (lines, writer) = split(client.stream)?;
        let mut task = Self {
            id,
            lines,
            writer,
            commands,
            events,
            is_served_here: false,
            unanswered: 0,
            is_closing: false,
            refusal: None,
            is_read_by_earlier_build: false,
        };
        let mut forwarder_version = None;
        if client.is_peer {
            let line = task.first_line().await?;
            match decode_peer_opening(&line).map_err(io::Error::other)? {
                PeerOpening::Forward(version) => forwarder_version = Some(version),
                PeerOpening::GrantRequest {
                    vm,
                    generation,
                    servers,
                } => {
                    let session = id;
                    let event = Event::GrantAsked {
                        session,
                        vm,
                        generation,
                        servers,
                    };
                    return task.ask(event).await;
                }
                PeerOpening::ShareRequest(request) => return task.serve_shares(request).await,
                PeerOpening::CatalogRequest(version) => {
                    let session = id;
                    return task.ask(Event::CatalogAsked { session, version }).await;
                }
                PeerOpening::TablesRequest(request) => {
                    let session = id;
                    return task.ask(Event::TablesAsked { session, request }).await;
                }
            }
        }
        let line = task.first_line().await?;
        let _running = running.token();
        let start = match forwarder_version {
            Some(_) => {
                task.is_read_by_earlier_build = !reads_whole_lines(&line);
                decode_forwarded_start(&line)
            }
            None => decode_client(&line),
        };
        let Ok(ClientMessage::Start { database, key }) = start else {
            return task.refuse("expected START and a database").await;
        };
        task.send_event(ClientEvent::Opened {
            session: id,
            database,
            key,
            forwarder_version,
        })
        .await;
        loop {
            match task.serve().await? {
                Served::Ended => return Ok(()),
                Served::Forward(to, opening) => {
                    if task.forward(to, opening).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Returns the next line of the connection's opening.
    async fn first_line(&mut self) -> io::Result<BytesMut> {
        let line = tokio::time::timeout(START_TIMEOUT, self.lines.next()).await;
        let line = line.map_err(io::Error::other)??;
        line.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Serves the session here until it ends or is to be forwarded.
    async fn serve(&mut self) -> io::Result<Served> {
        loop {
            if self.is_finished() {
                // A statement that has arrived meanwhile is answered before the session ends.
                let Some(line) = self.lines.next().now_or_never() else {
                    self.writer.shutdown().await?;
                    return Ok(Served::Ended);
                };
                if !self.take_line(line?).await? {
                    return Ok(Served::Ended);
                }
                continue;
            }
            tokio::select! {
                biased;
                command = self.commands.recv_async() => match command {
                    Err(_) => {
                        self.writer.shutdown().await?;
                        return Ok(Served::Ended);
                    }
                    Ok(Command::Forward(to, opening)) => return Ok(Served::Forward(to, opening)),
                    Ok(command) => {
                        self.is_served_here = true;
                        self.execute(command).await?;
                    }
                },
                line = self.lines.next(), if self.is_served_here && self.may_read() => {
                    if !self.take_line(line?).await? {
                        return Ok(Served::Ended);
                    }
                }
            }
        }
    }

    /// Handles a line of the client, or the end of the connection if there is none; returns false
    /// if the session has ended.
    async fn take_line(&mut self, line: Option<BytesMut>) -> io::Result<bool> {
        let Some(line) = line else {
            return Ok(false);
        };
        if self.refuse_stopping(&line).await? {
            return Ok(false);
        }
        let is_handled = self.handle_line(&line).await;
        if !is_handled {
            self.refuse("the line is no message").await?;
        }
        Ok(is_handled)
    }

    /// Returns whether the session is to end and all its statements are answered.
    pub(crate) const fn is_finished(&self) -> bool {
        self.is_closing && self.unanswered == 0
    }

    /// Returns whether the client's next line may be read: once the next statement is to be refused,
    /// only after all statements before it are answered.
    pub(crate) const fn may_read(&self) -> bool {
        self.refusal.is_none() || self.unanswered == 0
    }

    /// Refuses a line of the client, and those that have arrived after it, if the next statement is to
    /// be refused; returns whether the session has ended.
    pub(crate) async fn refuse_stopping(&mut self, line: &[u8]) -> io::Result<bool> {
        let Some(refusal) = self.refusal.as_mut() else {
            return Ok(false);
        };
        if ends_transaction(line) && std::mem::take(&mut refusal.may_end_transaction) {
            return Ok(false);
        }
        let mut bytes = refusal.answer.clone();
        while let Some(Ok(Some(_))) = self.lines.next().now_or_never() {
            bytes.extend_from_slice(&refusal.answer);
        }
        self.write(bytes).await?;
        self.writer.shutdown().await?;
        Ok(true)
    }

    /// Executes a command of the runner. A session that is forwarded already is closed instead of
    /// being forwarded again.
    ///
    /// # Errors
    ///
    /// Returns an error, for which the connection is closed, if writing fails or the other daemon would
    /// take the answer for a different one.
    pub(crate) async fn execute(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Send(bytes) => self.write(bytes).await,
            Command::Answer(bytes) => {
                self.unanswered = self.unanswered.saturating_sub(1);
                if self.is_read_by_earlier_build && has_bare_line_feed(&bytes) {
                    let text = "an answer with a line feed for a daemon of an earlier build";
                    return Err(io::Error::new(io::ErrorKind::InvalidData, text));
                }
                self.write(bytes).await
            }
            Command::RefuseNext(answer) => {
                self.refusal = Some(Refusal {
                    answer,
                    may_end_transaction: true,
                });
                Ok(())
            }
            Command::CloseWhenIdle | Command::Forward(..) => {
                self.is_closing = true;
                Ok(())
            }
        }
    }

    /// Sends bytes to the client.
    pub(crate) async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let write = self.writer.write_all(&bytes);
        tokio::time::timeout(WRITE_TIMEOUT, write)
            .await
            .map_err(io::Error::other)?
    }

    /// Handles a line of the client; returns false if the session has to end because of it.
    async fn handle_line(&mut self, line: &[u8]) -> bool {
        match decode_client(line) {
            Ok(ClientMessage::Query(query)) => {
                self.unanswered += 1;
                self.send_event(ClientEvent::Query {
                    session: self.id,
                    query,
                })
                .await;
                true
            }
            Ok(ClientMessage::Terminate) => {
                self.send_event(ClientEvent::Closed { session: self.id })
                    .await;
                true
            }
            Ok(ClientMessage::Start { .. }) => false,
            Err(err) => {
                log::debug!(target: LOG_TARGET, session = self.id.0; "{err}");
                false
            }
        }
    }

    /// Sends an event to the reducer.
    pub(crate) async fn send_event(&self, event: ClientEvent) {
        // Fails only if the daemon is already stopping.
        let _stopping = self.events.send_async(Event::Client(event)).await;
    }

    /// Passes on another daemon's request, and serves the connection until it is answered.
    async fn ask(&mut self, request: Event) -> io::Result<()> {
        // Fails only if the daemon is already stopping.
        let _stopping = self.events.send_async(request).await;
        self.serve().await.map(|_| ())
    }

    /// Sends the client a failure with the code for malformed input, and closes the connection.
    pub(crate) async fn refuse(&mut self, text: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_failure(&Failure::new(ErrorCode::Malformed, text), &mut bytes);
        self.writer.write_all(&bytes).await?;
        self.writer.shutdown().await
    }
}
