//! Streams to and from the daemons of other VMs.
//!
//! A peer is reached over whichever stream is open to it: one of its own, or one that this daemon
//! opens at the first message. Every stream begins with a greeting in both directions, and nothing
//! else is taken from it before. A stream that breaks, stays silent or can't keep up is closed, and
//! the reducer is told that what was not answered may or may not have arrived.
//!
//! An open stream is tested once a second, so one that is not used is ended by who opened it: it
//! says farewell, the other side sends what it has queued and ends its direction too. Nothing is
//! lost by that, and nobody is told.

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

use crate::peer_links::{Carried, Link, LinkOrigin, PeerLinks};
use crate::{HybridClock, Metrics};

/// The most messages that wait for one stream.
pub const PEER_QUEUE_MESSAGES: usize = 4_096;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the greeting of a peer may take.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// How often an open connection is tested.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the answer to a test may take.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The buffer of one stream in bytes, as flow control grants it.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// The peer side of one daemon; clones share the streams.
#[derive(Clone, Debug)]
pub struct PeerEdge {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    local: Local,
    source_ip: IpAddr,
    clock: Arc<HybridClock>,
    events: flume::Sender<Event>,
    metrics: Arc<Metrics>,
    links: Mutex<PeerLinks>,
}

/// Who opened a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamOrigin {
    /// This daemon.
    Ours,
    /// The peer.
    Theirs,
}

/// How a stream ended, unless it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// After a farewell: everything sent has arrived.
    Farewell,
    /// Without one.
    Broken,
}

/// What an envelope was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Received {
    /// A message, handed to the reducer.
    Message,
    /// The farewell.
    Farewell,
    /// A message that the reducer no longer takes.
    RunnerStopped,
}

/// The stream to a peer was given up because its queue was full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

impl PeerEdge {
    /// Returns an edge without streams; events of peers go to `events`.
    ///
    /// `source` is the IP number that its own streams come from.
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

    /// Takes streams of peers until the future is dropped.
    ///
    /// # Errors
    ///
    /// The listener fails.
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

    /// Queues a message for a peer and opens a stream if there is none; never waits.
    ///
    /// # Errors
    ///
    /// The queue was full: the stream is closed, and the caller has to count the peer as lost.
    pub fn send(
        &self,
        to: &VmId,
        address: SocketAddr,
        message: PeerMessage,
    ) -> Result<(), QueueFull> {
        let is_control = !matches!(message, PeerMessage::Request(_) | PeerMessage::Answer(_));
        let carried = match message {
            PeerMessage::Request(_) => Carried::OwnRequest,
            PeerMessage::Answer(_) => Carried::RequestTraffic,
            _ => Carried::Control,
        };
        let envelope = self.envelope(message.into());
        if is_control {
            self.shared.metrics.sent_control(&envelope);
        }
        let mut links = self.links();
        let link = match links.best(to, address) {
            Some(link) => link,
            None => self.open(&mut links, to, address),
        };
        if link.queue.try_send(envelope).is_ok() {
            links.record_use(to, link.number, carried);
            return Ok(());
        }
        links.give_up(to, link.number);
        Err(QueueFull)
    }

    /// Returns how many streams are open or being opened.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.links().len()
    }

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

    /// Opens a stream to a peer and takes its messages until the end.
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
        let exchange =
            exchange.map_err(|_elapsed| Status::deadline_exceeded("no greeting in time"))?;
        let mut incoming = exchange?.into_inner();
        let hello = self.read_hello(&mut incoming).await?;
        if hello.vm != *vm {
            let detail = format!("`{}` answers in place of `{vm}`", hello.vm);
            return Err(Status::failed_precondition(detail));
        }
        self.record_hello(&hello, number).await;
        self.receive(vm, number, StreamOrigin::Ours, incoming).await
    }

    /// Returns the greeting of a stream, its first envelope.
    async fn read_hello(&self, incoming: &mut Streaming<Envelope>) -> Result<Local, Status> {
        let first = tokio::time::timeout(HELLO_TIMEOUT, incoming.message()).await;
        let first =
            first.map_err(|_elapsed| Status::deadline_exceeded("no greeting in time"))??;
        let first = first.ok_or_else(|| Status::unavailable("ended before its greeting"))?;
        self.shared.clock.merge(first.time);
        match EnvelopeBody::try_from(first) {
            Ok(EnvelopeBody::Hello(hello)) => Ok(hello),
            Ok(EnvelopeBody::Message(_) | EnvelopeBody::Farewell) => Err(
                Status::failed_precondition("a message came before the greeting"),
            ),
            Err(err) => Err(Status::invalid_argument(err.to_string())),
        }
    }

    /// Hands a stream's messages to the reducer until it ends or its link is removed; one that this
    /// daemon opened is ended once it is unused.
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

    /// Returns when a stream that this daemon opened is to be ended unless it is used by then.
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

    /// Says farewell on a stream, unless it was used in the meantime; returns whether it did.
    fn close_if_idle(&self, vm: &VmId, number: u64) -> bool {
        let mut links = self.links();
        let is_due = links
            .idle_deadline(vm, number)
            .is_some_and(|at| at <= Instant::now());
        is_due && {
            let farewell = self.envelope(Body::Farewell(Farewell {}));
            links.end(vm, number, Some(farewell))
        }
    }

    /// Takes one envelope of a stream.
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
            self.shared.metrics.received_control(&envelope);
        }
        let body = EnvelopeBody::try_from(envelope);
        let body = body.map_err(|err| Status::invalid_argument(err.to_string()))?;
        let message = match body {
            EnvelopeBody::Message(message) => message,
            EnvelopeBody::Hello(_) => {
                return Err(Status::failed_precondition("a second greeting"));
            }
            EnvelopeBody::Farewell => {
                self.links().end(vm, number, None);
                return Ok(Received::Farewell);
            }
        };
        let carried = match &message {
            PeerMessage::Answer(answer) if answer.end.is_some() => Carried::LastAnswer,
            PeerMessage::Request(_) | PeerMessage::Answer(_) => Carried::RequestTraffic,
            _ => Carried::Control,
        };
        let is_known = self.links().record_use(vm, number, carried);
        if !is_known && !is_closing {
            return Err(Status::aborted("another stream took its place"));
        }
        let from = vm.clone();
        let event = Event::Peer { from, message };
        match self.shared.events.send_async(event).await {
            Ok(()) => Ok(Received::Message),
            Err(_) => Ok(Received::RunnerStopped),
        }
    }

    /// Notes the greeting of a stream; streams of an earlier run of the peer are lost.
    async fn record_hello(&self, hello: &Local, number: u64) {
        let replaced = self
            .links()
            .record_hello(&hello.vm, number, hello.incarnation);
        if replaced {
            self.report_lost(&hello.vm).await;
        }
    }

    /// Removes a link after its stream has ended and tells the reducer, unless it knows already or
    /// the stream was ended in good order.
    async fn close(&self, vm: &VmId, number: u64, end: Result<StreamEnd, Status>) {
        match end {
            Ok(StreamEnd::Farewell) => return,
            Ok(StreamEnd::Broken) => {}
            Err(status) => log::info!(peer = vm.as_str(), step = "exchange"; "{status}"),
        }
        let is_unreported = self.links().remove(vm, number);
        if is_unreported {
            self.report_lost(vm).await;
        }
    }

    async fn report_lost(&self, vm: &VmId) {
        let event = Event::PeerLost { vm: vm.clone() };
        // Fails only when the daemon is stopping.
        let _stopped = self.shared.events.send_async(event).await;
    }

    fn outgoing_stream(
        &self,
        queue: flume::Receiver<Envelope>,
    ) -> impl Stream<Item = Envelope> + Send + 'static {
        let hello = self.envelope(Body::Hello(self.shared.local.clone().into()));
        futures::stream::once(std::future::ready(hello)).chain(queue.into_stream())
    }

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
