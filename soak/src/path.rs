//! A loopback proxy whose traffic can be held back, delayed or reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes taken from one side before they are passed on.
const BUFFER_BYTES: usize = 16 << 10;

/// What a path does with the bytes that cross it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Mode {
    /// How late it delivers.
    pub(crate) delay: Duration,
    /// Whether it holds back what the caller sends.
    pub(crate) holds_requests: bool,
    /// Whether it holds back the answers.
    pub(crate) holds_answers: bool,
}

/// A path to one listener.
#[derive(Debug)]
pub(crate) struct Path {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// Counts the resets; connections end when it changes.
    resets: watch::Sender<u64>,
}

impl Path {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::default());
        let (resets, reset) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connect(stream, target, modes.clone(), reset.clone()));
            }
        });
        Ok(Self {
            address,
            mode,
            resets,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

async fn connect(
    from: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<Mode>,
    mut reset: watch::Receiver<u64>,
) {
    reset.mark_unchanged();
    // A new connection is silent, too, while requests are held back.
    if modes.wait_for(|mode| !mode.holds_requests).await.is_err() {
        return;
    }
    let Ok(to) = TcpStream::connect(target).await else {
        return;
    };
    let lingers = [&from, &to].map(|stream| {
        let socket = SockRef::from(stream);
        stream
            .set_nodelay(true)
            .and_then(|()| socket.set_linger(Some(Duration::ZERO)))
    });
    if lingers.iter().any(Result::is_err) {
        return;
    }
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    tokio::select! {
        _ = reset.changed() => {}
        () = pump(from_read, to_write, modes.clone(), |mode| mode.holds_requests) => {}
        () = pump(to_read, from_write, modes, |mode| mode.holds_answers) => {}
    }
}

/// Passes bytes on in one direction until either side ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    holds: impl Fn(&Mode) -> bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buf).await else {
            return;
        };
        let Ok(delay) = modes
            .wait_for(|mode| !holds(mode))
            .await
            .map(|mode| mode.delay)
        else {
            return;
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
