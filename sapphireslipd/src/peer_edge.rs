//! Message streams between this daemon and the daemons of other VMs, its peers.
//!
//! A message goes over an open stream, no matter which side opened it; without one, this daemon
//! opens a stream. Each side starts with a greeting, and any other first message is an error. A
//! stream that fails, goes silent or can't keep up is closed and reported to the reducer as the
//! loss of the peer: unanswered messages may or may not have arrived.
//!
//! Keepalive tests every open connection once a second, so the side that opened a stream closes it
//! when it is idle: it sends a farewell, and the other side sends what it has queued and closes its
//! direction too. This loses no messages and is not reported.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::{Stream, StreamExt};
use sapphireslip_core::{Event, Local, PeerMessage, VmId};
use sapphireslip_wire::peer::peer_client::PeerClient;
use sapphireslip_wire::peer::peer_server::{Peer, PeerServer};
use sapphireslip_wire::peer::{Envelope, Farewell, envelope::Body};
use sapphireslip_wire::{EnvelopeBody, MESSAGE_MAX_BYTES};
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::peer_links::{Link, LinkOrigin, MessageKind, PeerLinks};
use crate::{HybridClock, Metrics};

/// The maximum number of messages queued for one stream.
pub const PEER_QUEUE_MESSAGES: usize = 4_096;

/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer may take to accept a stream, and again to send its greeting.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between keepalive pings on an open connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the answer to a keepalive ping may take.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The flow control window of one stream: how many bytes may be in flight unread.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// The streams of one daemon to its peers; clones share them.
#[derive(Clone, Debug)]
pub struct PeerEdge {
    shared: Arc<Shared>,
}

/// The state that the clones of a [`PeerEdge`] share.
#[derive(Debug)]
struct Shared {
    /// This daemon, as it introduces itself to peers.
    local: Local,
    /// The IP address from which this daemon opens streams.
    source_ip: IpAddr,
    clock: Arc<HybridClock>,
    /// The queue of events for the runner.
    events: flume::Sender<Event>,
    metrics: Arc<Metrics>,
    links: Mutex<PeerLinks>,
}

/// The side that opened a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamOrigin {
    /// This daemon.
    Ours,
    /// The peer.
    Theirs,
}

/// How a stream ended if no error was reported for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// After a farewell of either side: every message has arrived.
    Farewell,
    /// Without a farewell, or because the runner has stopped.
    Broken,
}

/// The result of handling one envelope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Received {
    /// The envelope held a message, now queued for the reducer.
    Message,
    /// The envelope held a farewell.
    Farewell,
    /// The envelope held a message, but the runner has stopped.
    RunnerStopped,
}

/// The queue of a stream was full, and the stream was closed for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

impl PeerEdge {
    /// Returns an edge without streams that reports peers' messages and losses to `events`.
    ///
    /// `source_ip` is the IP address from which it opens streams.
    #[must_use]
    pub fn new(
        local: Local,
        source_ip: IpAddr,
        clock: Arc<HybridClock>,
        events: flume::Sender<Event>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                local,
                source_ip,
                clock,
                events,
                metrics,
                links: Mutex::default(),
            }),
        }
    }

    /// Accepts streams from peers until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let service = PeerServer::new(self)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .add_service(service)
            .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
            .await
    }

    /// Queues a message for a peer, on a new stream if none is open; never waits.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue was full: the stream is closed and the sender of the
    /// message has to report the peer as lost.
    pub fn send(
        &self,
        to: &VmId,
        address: SocketAddr,
        message: PeerMessage,
    ) -> Result<(), QueueFull> {
        let is_control = !matches!(message, PeerMessage::Request(_) | PeerMessage::Answer(_));
        let kind = match message {
            PeerMessage::Request(_) => MessageKind::OwnRequest,
            PeerMessage::Answer(_) => MessageKind::RequestTraffic,
            _ => MessageKind::Control,
        };
        let envelope = self.envelope(message.into());
        if is_control {
            self.shared.metrics.count_sent_control(&envelope);
        }
        let mut links = self.links();
        let link = match links.best(to, address) {
            Some(link) => link,
            None => self.open(&mut links, to, address),
        };
        if link.queue.try_send(envelope).is_ok() {
            links.record_use(to, link.number, kind);
            return Ok(());
        }
        links.give_up(to, link.number);
        Err(QueueFull)
    }

    /// Returns the number of streams that are open or being opened.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.links().len()
    }

    /// Adds a link and starts a task that opens its stream, after a delay if earlier attempts
    /// failed.
    fn open(&self, links: &mut PeerLinks, to: &VmId, address: SocketAddr) -> Link {
        let (tx, rx) = flume::bounded(PEER_QUEUE_MESSAGES);
        let delay = links.next_connect_delay(to);
        let link = links.add(to, LinkOrigin::Ours(address), tx);
        let (edge, vm, number) = (self.clone(), to.clone(), link.number);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let outgoing = edge.outgoing_stream(rx);
            let end = edge
                .connect_and_receive(&vm, address, number, outgoing)
                .await;
            edge.close(&vm, number, end).await;
        });
        link
    }

    /// Opens a stream to a peer and receives its messages until it ends.
    async fn connect_and_receive(
        &self,
        vm: &VmId,
        address: SocketAddr,
        number: u64,
        outgoing: impl Stream<Item = Envelope> + Send + 'static,
    ) -> Result<StreamEnd, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|err| Status::internal(err.to_string()))?
            .local_address(Some(self.shared.source_ip))
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .keep_alive_while_idle(true);
        let connected = endpoint.connect().await;
        let channel = connected.map_err(|err| Status::unavailable(format!("connecting: {err}")))?;
        let mut client = PeerClient::new(channel)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        let exchange = tokio::time::timeout(HELLO_TIMEOUT, client.exchange(outgoing)).await;
        let exchange = exchange
            .map_err(|_elapsed| Status::deadline_exceeded("stream not accepted in time"))?;
        let mut incoming = exchange?.into_inner();
        let hello = self.read_hello(&mut incoming).await?;
        if hello.vm != *vm {
            let detail = format!("the greeting is from VM `{}`, expected VM `{vm}`", hello.vm);
            return Err(Status::failed_precondition(detail));
        }
        self.record_hello(&hello, number).await;
        self.receive(vm, number, StreamOrigin::Ours, incoming).await
    }

    /// Receives the greeting, which must be the first envelope of a stream.
    async fn read_hello(&self, incoming: &mut Streaming<Envelope>) -> Result<Local, Status> {
        let first = tokio::time::timeout(HELLO_TIMEOUT, incoming.message()).await;
        let first =
            first.map_err(|_elapsed| Status::deadline_exceeded("no greeting in time"))??;
        let first =
            first.ok_or_else(|| Status::unavailable("the stream ended before the greeting"))?;
        self.shared.clock.merge(first.time);
        match EnvelopeBody::try_from(first) {
            Ok(EnvelopeBody::Hello(hello)) => Ok(hello),
            Ok(EnvelopeBody::Message(_) | EnvelopeBody::Farewell) => Err(
                Status::failed_precondition("the first message is not a greeting"),
            ),
            Err(err) => Err(Status::invalid_argument(err.to_string())),
        }
    }

    /// Passes the messages of a stream to the reducer until the stream ends or its link is removed.
    ///
    /// Closes a stream that this daemon opened once it is idle.
    async fn receive(
        &self,
        vm: &VmId,
        number: u64,
        origin: StreamOrigin,
        mut incoming: Streaming<Envelope>,
    ) -> Result<StreamEnd, Status> {
        let mut is_closing = false;
        loop {
            let idle_deadline = self.idle_deadline(vm, number, origin, is_closing);
            let idle = async {
                match idle_deadline {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let envelope = tokio::select! {
                envelope = incoming.message() => envelope?,
                () = idle => {
                    is_closing = self.close_if_idle(vm, number);
                    continue;
                }
            };
            let Some(envelope) = envelope else {
                return Ok(if is_closing {
                    StreamEnd::Farewell
                } else {
                    StreamEnd::Broken
                });
            };
            match self.handle(vm, number, is_closing, envelope).await? {
                Received::Message => {}
                Received::Farewell => is_closing = true,
                Received::RunnerStopped => return Ok(StreamEnd::Broken),
            }
        }
    }

    /// Returns when to close a stream unless it is used before; `None` if the peer opened it or it
    /// is closing already.
    fn idle_deadline(
        &self,
        vm: &VmId,
        number: u64,
        origin: StreamOrigin,
        is_closing: bool,
    ) -> Option<Instant> {
        if is_closing || origin == StreamOrigin::Theirs {
            return None;
        }
        self.links().idle_deadline(vm, number)
    }

    /// Sends a farewell on a stream unless it was used in the meantime; returns whether it did.
    fn close_if_idle(&self, vm: &VmId, number: u64) -> bool {
        let mut links = self.links();
        let is_due = links
            .idle_deadline(vm, number)
            .is_some_and(|at| at <= Instant::now());
        is_due && {
            let farewell = self.envelope(Body::Farewell(Farewell {}));
            links.close_with_farewell(vm, number, Some(farewell))
        }
    }

    /// Handles one envelope of a stream after the greeting.
    ///
    /// # Errors
    ///
    /// Returns the [`Status`] with which the stream has to be closed.
    async fn handle(
        &self,
        vm: &VmId,
        number: u64,
        is_closing: bool,
        envelope: Envelope,
    ) -> Result<Received, Status> {
        self.shared.clock.merge(envelope.time);
        let is_control = !matches!(envelope.body, Some(Body::Request(_) | Body::Answer(_)));
        if is_control {
            self.shared.metrics.count_received_control(&envelope);
        }
        let body = EnvelopeBody::try_from(envelope);
        let body = body.map_err(|err| Status::invalid_argument(err.to_string()))?;
        let message = match body {
            EnvelopeBody::Message(message) => message,
            EnvelopeBody::Hello(_) => {
                return Err(Status::failed_precondition(
                    "a second greeting on the same stream",
                ));
            }
            EnvelopeBody::Farewell => {
                self.links().close_with_farewell(vm, number, None);
                return Ok(Received::Farewell);
            }
        };
        let kind = match &message {
            PeerMessage::Answer(answer) if answer.end.is_some() => MessageKind::LastAnswer,
            PeerMessage::Request(_) | PeerMessage::Answer(_) => MessageKind::RequestTraffic,
            _ => MessageKind::Control,
        };
        let is_known = self.links().record_use(vm, number, kind);
        if !is_known && !is_closing {
            return Err(Status::aborted("the stream was replaced by another one"));
        }
        let from = vm.clone();
        let event = Event::Peer { from, message };
        match self.shared.events.send_async(event).await {
            Ok(()) => Ok(Received::Message),
            Err(_) => Ok(Received::RunnerStopped),
        }
    }

    /// Records the greeting of a stream; if this closes streams of an earlier run of the peer,
    /// reports the peer as lost.
    async fn record_hello(&self, hello: &Local, number: u64) {
        let has_earlier_run = self
            .links()
            .record_hello(&hello.vm, number, hello.incarnation);
        if has_earlier_run {
            self.report_lost(&hello.vm).await;
        }
    }

    /// Removes the link of an ended stream and reports the peer as lost, unless the stream was
    /// closed with a farewell or its loss was reported before.
    async fn close(&self, vm: &VmId, number: u64, end: Result<StreamEnd, Status>) {
        match end {
            Ok(StreamEnd::Farewell) => return,
            Ok(StreamEnd::Broken) => {}
            Err(status) => log::info!(peer = vm.as_str(), step = "exchange"; "{status}"),
        }
        let is_unreported = self.links().remove_ended(vm, number);
        if is_unreported {
            self.report_lost(vm).await;
        }
    }

    async fn report_lost(&self, vm: &VmId) {
        let event = Event::PeerLost { vm: vm.clone() };
        // Fails only while the daemon stops.
        let _stopped = self.shared.events.send_async(event).await;
    }

    /// Returns the outgoing messages of a stream: the greeting, then those of its queue.
    fn outgoing_stream(
        &self,
        queue: flume::Receiver<Envelope>,
    ) -> impl Stream<Item = Envelope> + Send + 'static {
        let hello = self.envelope(Body::Hello(self.shared.local.clone().into()));
        futures::stream::once(std::future::ready(hello)).chain(queue.into_stream())
    }

    /// Returns an envelope that carries the current hybrid logical time.
    fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            time: self.shared.clock.tick(),
            body: Some(body),
        }
    }

    fn links(&self) -> MutexGuard<'_, PeerLinks> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[tonic::async_trait]
impl Peer for PeerEdge {
    type ExchangeStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn exchange(
        &self,
        req: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::ExchangeStream>, Status> {
        let mut incoming = req.into_inner();
        let hello = self.read_hello(&mut incoming).await?;
        let (tx, rx) = flume::bounded(PEER_QUEUE_MESSAGES);
        let outgoing = self.outgoing_stream(rx).map(Ok);
        let number = self.links().add(&hello.vm, LinkOrigin::Theirs, tx).number;
        self.record_hello(&hello, number).await;
        let edge = self.clone();
        tokio::spawn(async move {
            let end = edge.receive(&hello.vm, number, StreamOrigin::Theirs, incoming);
            edge.close(&hello.vm, number, end.await).await;
        });
        Ok(Response::new(Box::pin(outgoing)))
    }
}
