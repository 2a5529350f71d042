//! Streams to and from the daemons of other VMs.
//!
//! A peer is reached over whichever stream is open to it: one of its own, or one that this daemon
//! opens at the first message. Every stream begins with a greeting in both directions, and nothing
//! else is taken from it before. A stream that breaks, stays silent or can't keep up is closed, and
//! the reducer is told that what was not answered may or may not have arrived.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::{Stream, StreamExt};
use sapphireslip_core::{Event, Local, PeerMessage, VmId};
use sapphireslip_wire::peer::peer_client::PeerClient;
use sapphireslip_wire::peer::peer_server::{Peer, PeerServer};
use sapphireslip_wire::peer::{Envelope, envelope::Body};
use sapphireslip_wire::{EnvelopeBody, MESSAGE_MAX_BYTES};
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::peer_links::{Link, LinkOrigin, PeerLinks};
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
    source: IpAddr,
    clock: Arc<HybridClock>,
    events: flume::Sender<Event>,
    metrics: Arc<Metrics>,
    links: Mutex<PeerLinks>,
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
        source: IpAddr,
        clock: Arc<HybridClock>,
        events: flume::Sender<Event>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                local,
                source,
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
        let delay = links.next_delay(to);
        let link = links.add(to, LinkOrigin::Ours(address), tx);
        let (edge, vm, number) = (self.clone(), to.clone(), link.number);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let outgoing = edge.greet_then(rx);
            if let Err(status) = edge.call(&vm, address, number, outgoing).await {
                log::info!(peer = vm.as_str(), step = "exchange"; "{status}");
            }
            edge.close(&vm, number).await;
        });
        link
    }

    /// Opens a stream to a peer and takes its messages until the end.
    async fn call(
        &self,
        vm: &VmId,
        address: SocketAddr,
        number: u64,
        outgoing: impl Stream<Item = Envelope> + Send + 'static,
    ) -> Result<(), Status> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|err| Status::internal(err.to_string()))?
            .local_address(Some(self.shared.source))
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
        let hello = self.hello(&mut incoming).await?;
        if hello.vm != *vm {
            let detail = format!("`{}` answers in place of `{vm}`", hello.vm);
            return Err(Status::failed_precondition(detail));
        }
        self.greeted(&hello, number).await;
        self.receive(vm, number, incoming).await
    }

    /// Returns the greeting of a stream, its first envelope.
    async fn hello(&self, incoming: &mut Streaming<Envelope>) -> Result<Local, Status> {
        let first = tokio::time::timeout(HELLO_TIMEOUT, incoming.message()).await;
        let first =
            first.map_err(|_elapsed| Status::deadline_exceeded("no greeting in time"))??;
        let first = first.ok_or_else(|| Status::unavailable("ended before its greeting"))?;
        self.shared.clock.merge(first.time);
        match EnvelopeBody::try_from(first) {
            Ok(EnvelopeBody::Hello(hello)) => Ok(hello),
            Ok(EnvelopeBody::Message(_)) => Err(Status::failed_precondition(
                "a message came before the greeting",
            )),
            Err(err) => Err(Status::invalid_argument(err.to_string())),
        }
    }

    /// Hands a stream's messages to the reducer until it ends or its link is removed.
    async fn receive(
        &self,
        vm: &VmId,
        number: u64,
        mut incoming: Streaming<Envelope>,
    ) -> Result<(), Status> {
        while let Some(envelope) = incoming.message().await? {
            if !self.links().contains(vm, number) {
                return Err(Status::aborted("another stream took its place"));
            }
            self.shared.clock.merge(envelope.time);
            let is_control = !matches!(envelope.body, Some(Body::Request(_) | Body::Answer(_)));
            if is_control {
                self.shared.metrics.received_control(&envelope);
            }
            let body = EnvelopeBody::try_from(envelope);
            let body = body.map_err(|err| Status::invalid_argument(err.to_string()))?;
            let EnvelopeBody::Message(message) = body else {
                return Err(Status::failed_precondition("a second greeting"));
            };
            let from = vm.clone();
            let event = Event::Peer { from, message };
            if self.shared.events.send_async(event).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Notes the greeting of a stream; streams of an earlier run of the peer are lost.
    async fn greeted(&self, hello: &Local, number: u64) {
        let replaced = self.links().greeted(&hello.vm, number, hello.incarnation);
        if replaced {
            self.report_lost(&hello.vm).await;
        }
    }

    /// Removes a link after its stream has ended and tells the reducer, unless it knows already.
    async fn close(&self, vm: &VmId, number: u64) {
        let is_news = self.links().remove(vm, number);
        if is_news {
            self.report_lost(vm).await;
        }
    }

    async fn report_lost(&self, vm: &VmId) {
        let event = Event::PeerLost { vm: vm.clone() };
        // Fails only when the daemon is stopping.
        let _stopped = self.shared.events.send_async(event).await;
    }

    fn greet_then(
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
        let hello = self.hello(&mut incoming).await?;
        let (tx, rx) = flume::bounded(PEER_QUEUE_MESSAGES);
        let outgoing = self.greet_then(rx).map(Ok);
        let number = self.links().add(&hello.vm, LinkOrigin::Theirs, tx).number;
        self.greeted(&hello, number).await;
        let edge = self.clone();
        tokio::spawn(async move {
            if let Err(status) = edge.receive(&hello.vm, number, incoming).await {
                log::info!(peer = hello.vm.as_str(), step = "exchange"; "{status}");
            }
            edge.close(&hello.vm, number).await;
        });
        Ok(Response::new(Box::pin(outgoing)))
    }
}
