//! A relay in front of a listener, so that its traffic with some peers can be cut silently.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes taken from one side before they are passed on.
const RELAY_BUFFER_BYTES: usize = 64 * 1024;

/// A relay; traffic with a cut peer is held back, as a network that lost it would.
#[derive(Debug)]
pub struct Link {
    cut: watch::Sender<BTreeSet<IpAddr>>,
    accept: JoinHandle<()>,
}

impl Link {
    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (cut, cuts) = watch::channel(BTreeSet::new());
        let accept = tokio::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                tokio::spawn(relay(stream, peer.ip(), target, cuts.clone()));
            }
        });
        Ok(Self { cut, accept })
    }

    /// Holds back all traffic with a peer, on open connections and new ones.
    pub fn cut(&self, peer: IpAddr) {
        self.cut.send_modify(|cut| {
            cut.insert(peer);
        });
    }

    /// Lets all traffic through again, what was held back included.
    pub fn heal(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

type Cuts = watch::Receiver<BTreeSet<IpAddr>>;

async fn relay(from: TcpStream, peer: IpAddr, target: SocketAddr, mut cuts: Cuts) {
    if wait_until_open(&mut cuts, peer).await.is_none() {
        return;
    }
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let _set = from.set_nodelay(true).and_then(|()| to.set_nodelay(true));
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    tokio::select! {
        () = pump(from_read, to_write, peer, cuts.clone()) => {}
        () = pump(to_read, from_write, peer, cuts) => {}
    }
}

/// Passes bytes on in one direction; either side's end closes the whole connection.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, peer: IpAddr, mut cuts: Cuts) {
    let mut buf = vec![0; RELAY_BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buf).await else {
            return;
        };
        if wait_until_open(&mut cuts, peer).await.is_none() {
            return;
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns once the peer is not cut; none if the relay has ended.
async fn wait_until_open(cuts: &mut Cuts, peer: IpAddr) -> Option<()> {
    cuts.wait_for(|cut| !cut.contains(&peer)).await.ok()?;
    Some(())
}
