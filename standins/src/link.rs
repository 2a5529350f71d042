//! A TCP relay whose traffic can be held back, delayed or reset.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The most bytes that a relay reads from one side before it passes them on.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;

/// A relay in front of a listener; dropping it stops new connections.
///
/// Traffic that is held back is delivered once it is let through, as by a network that loses and
/// retransmits packets.
#[derive(Debug)]
pub struct Link {
    /// The listen address.
    address: SocketAddr,
    /// The faults that are switched on at present.
    faults: watch::Sender<Faults>,
    /// The number of resets so far; open connections are reset when it changes.
    resets: watch::Sender<u64>,
    /// The task that accepts connections.
    accept: JoinHandle<()>,
}

/// The delay and the blocked directions of a relay's traffic with all peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// The time by which data is delivered later, in both directions.
    pub delay: Duration,
    /// Whether the data that peers send is held back; new connections then wait, too.
    pub holds_requests: bool,
    /// Whether the data that peers receive is held back.
    pub holds_answers: bool,
}

/// The faults that are switched on at a relay.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// The peers whose traffic is held back in both directions.
    cut: BTreeSet<IpAddr>,
    /// The delay and the blocked directions for all peers.
    hold: Hold,
}

/// A direction of traffic through a relay.
#[derive(Clone, Copy)]
enum Direction {
    /// From the peer to the target.
    Requests,
    /// From the target to the peer.
    Answers,
}

impl Faults {
    /// Returns whether a peer's traffic in a direction is held back.
    fn holds(&self, peer: IpAddr, direction: Direction) -> bool {
        let is_held = match direction {
            Direction::Requests => self.hold.holds_requests,
            Direction::Answers => self.hold.holds_answers,
        };
        is_held || self.cut.contains(&peer)
    }
}

impl Link {
    /// Starts a relay that passes connections to `listen` on to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (faults, present) = watch::channel(Faults::default());
        let (resets, reset) = watch::channel(0);
        let accept = tokio::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let relay = Relay {
                    peer: peer.ip(),
                    faults: present.clone(),
                };
                tokio::spawn(relay.run(stream, target, reset.clone()));
            }
        });
        Ok(Self {
            address,
            faults,
            resets,
            accept,
        })
    }

    /// Returns the relay's listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back all traffic with a peer, on open and new connections.
    pub fn cut(&self, peer: IpAddr) {
        self.faults.send_modify(|faults| {
            faults.cut.insert(peer);
        });
    }

    /// Switches all faults off and delivers the traffic that was held back.
    pub fn heal(&self) {
        self.faults.send_replace(Faults::default());
    }

    /// Holds back or delays the traffic with all peers, on open and new connections.
    pub fn hold(&self, hold: Hold) {
        self.faults.send_modify(|faults| faults.hold = hold);
    }

    /// Resets all open connections, so that both ends see an error.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// One connection through a relay.
#[derive(Clone)]
struct Relay {
    /// The IP address of the peer that has connected.
    peer: IpAddr,
    /// The faults of the relay.
    faults: watch::Receiver<Faults>,
}

impl Relay {
    /// Relays a connection until either side closes it or it is reset.
    async fn run(mut self, from: TcpStream, target: SocketAddr, mut reset: watch::Receiver<u64>) {
        reset.mark_unchanged();
        if self.wait_until_open(Direction::Requests).await.is_none() {
            return;
        }
        let Ok(to) = TcpStream::connect(target).await else {
            return;
        };
        let _set = from.set_nodelay(true).and_then(|()| to.set_nodelay(true));
        let (mut from_read, mut from_write) = from.into_split();
        let (mut to_read, mut to_write) = to.into_split();
        let is_reset = tokio::select! {
            changed = reset.changed() => changed.is_ok(),
            () = self.clone().pump(&mut from_read, &mut to_write, Direction::Requests) => false,
            () = self.pump(&mut to_read, &mut from_write, Direction::Answers) => false,
        };
        if is_reset {
            for stream in [from_read.as_ref(), to_read.as_ref()] {
                // Fails only if the connection has already ended and needs no reset.
                let _ended = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Passes data on in one direction until one of the sides closes or the relay ends.
    async fn pump(
        mut self,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        direction: Direction,
    ) {
        let mut buf = vec![0; RELAY_BUFFER_BYTES];
        loop {
            let Ok(length @ 1..) = from.read(&mut buf).await else {
                return;
            };
            let Some(delay) = self.wait_until_open(direction).await else {
                return;
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if to.write_all(&buf[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until traffic in a direction is not held back and returns its delay; `None` if the
    /// relay has ended.
    async fn wait_until_open(&mut self, direction: Direction) -> Option<Duration> {
        let peer = self.peer;
        let open = self
            .faults
            .wait_for(|faults| !faults.holds(peer, direction));
        Some(open.await.ok()?.hold.delay)
    }
}
