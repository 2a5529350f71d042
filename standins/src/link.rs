//! A relay in front of a listener whose traffic can be held back, delayed or reset.

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

/// Bytes taken from one side before they are passed on.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;

/// A relay; traffic that is held back arrives once it is let through, as over a network that lost
/// and repeated it.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    faults: watch::Sender<Faults>,
    /// Counts the resets; the connections end when it changes.
    resets: watch::Sender<u64>,
    accept: JoinHandle<()>,
}

/// What a relay does to the traffic of all peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// How late it delivers.
    pub delay: Duration,
    /// Whether it holds back what peers send; new connections wait then, too.
    pub holds_requests: bool,
    /// Whether it holds back the answers.
    pub holds_answers: bool,
}

/// What is wrong with a relay at the moment.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// The peers whose traffic is held back both ways.
    cut: BTreeSet<IpAddr>,
    hold: Hold,
}

/// Which way bytes go.
#[derive(Clone, Copy)]
enum Direction {
    Requests,
    Answers,
}

impl Faults {
    fn holds(&self, peer: IpAddr, direction: Direction) -> bool {
        let is_held = match direction {
            Direction::Requests => self.hold.holds_requests,
            Direction::Answers => self.hold.holds_answers,
        };
        is_held || self.cut.contains(&peer)
    }
}

impl Link {
    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
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

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back all traffic with a peer, on open connections and new ones.
    pub fn cut(&self, peer: IpAddr) {
        self.faults.send_modify(|faults| {
            faults.cut.insert(peer);
        });
    }

    /// Lets all traffic through again, what was held back included.
    pub fn heal(&self) {
        self.faults.send_replace(Faults::default());
    }

    /// Holds back or delays the traffic of all peers, on open connections and new ones.
    pub fn hold(&self, hold: Hold) {
        self.faults.send_modify(|faults| faults.hold = hold);
    }

    /// Resets all open connections.
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
    peer: IpAddr,
    faults: watch::Receiver<Faults>,
}

impl Relay {
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
                // A connection that has ended already needs no reset.
                let _ended = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Passes bytes on in one direction; either side's end closes the whole connection.
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

    /// Returns the delay once traffic is not held back; none if the relay has ended.
    async fn wait_until_open(&mut self, direction: Direction) -> Option<Duration> {
        let peer = self.peer;
        let open = self
            .faults
            .wait_for(|faults| !faults.holds(peer, direction));
        Some(open.await.ok()?.hold.delay)
    }
}
