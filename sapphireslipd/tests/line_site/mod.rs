//! Daemons that take their leaders from the store, with stand-ins of the store and the servers, and their
//! clients.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of it"
)]

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use sapphireslipd::{LeadSettings, serve_lead};
use standins::{
    LineGroup, LineSession, LineStore, http_get, line_configuration, line_settings, start_line_site,
};

/// How long a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub const SERVICE: &str = "ledger";

pub const DATABASE: &str = "fees";

/// A store, a group of servers, and daemons on different VMs that are all in zone `a`.
pub struct Site {
    pub store: LineStore,
    pub group: LineGroup,
    /// The settings of each running daemon.
    pub daemons: Vec<LeadSettings>,
}

/// Returns a loopback address that no other daemon of this process has.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the operator's configuration with a route to the database.
pub fn config(version: u64) -> String {
    line_configuration(version, DATABASE, SERVICE)
}

impl Site {
    /// Starts a store, servers and one daemon for each VM name, and waits until all daemons serve.
    pub async fn start(names: &[&str]) -> Self {
        let site = start_line_site(DATABASE, SERVICE).await;
        let (group, store) = site.expect("servers and a store");
        let mut daemons = Vec::new();
        for name in names {
            let text = line_settings(name, own_address(), store.address());
            let settings = LeadSettings::try_from(text.as_bytes()).expect("without a fault");
            tokio::spawn(serve_lead(settings.clone()));
            daemons.push(settings);
        }
        let site = Self {
            store,
            group,
            daemons,
        };
        for n in 0..names.len() {
            site.wait_until_ready(n).await;
            site.wait_until_served(n).await;
        }
        site
    }

    /// Waits until the daemon with index `n` reports that it is ready.
    pub async fn wait_until_ready(&self, n: usize) {
        let until = Instant::now() + WAIT_TIMEOUT;
        let ready = async || http_get(self.daemons[n].readiness, "/-/readyz").await;
        while !ready().await.is_ok_and(|page| page.status == 200) {
            assert!(Instant::now() < until, "daemon {n} was not ready in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a daemon serves reads: a coordinator has to name the leader first.
    pub async fn wait_until_served(&self, n: usize) {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut client = self.client(n).await;
        while !client
            .run("first", "READ nothing")
            .await
            .starts_with("COMPLETE")
        {
            assert!(Instant::now() < until, "daemon {n} did not serve in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the number of forwarded sessions over all daemons, from their metrics.
    pub async fn passed_on(&self) -> u32 {
        self.open("sessions_passed_on").await
    }

    /// Returns the number of open items of a kind over all daemons, from their metrics.
    pub async fn open(&self, what: &str) -> u32 {
        let mut open = 0;
        for daemon in &self.daemons {
            let page = http_get(daemon.metrics, "/metrics").await;
            let metrics = page.expect("a page").body;
            let prefix = format!("sapphireslip_open{{what=\"{what}\"}} ");
            let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
            open += value.map_or(0, |value| value.parse::<u32>().expect("a number"));
        }
        open
    }

    /// Connects a client to a daemon and opens a session.
    pub async fn client(&self, n: usize) -> Client {
        let mut client = Client::connect(self.daemons[n].clients).await;
        assert_eq!(client.send("START fees till").await, "READY I -");
        client
    }
}

/// A client's connection.
pub struct Client {
    pub session: LineSession,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        let session = LineSession::connect(address).await.expect("a connection");
        Self { session }
    }

    /// Returns the next line from the daemon, or `closed` if it has closed the connection.
    pub async fn line(&mut self) -> String {
        let line = tokio::time::timeout(WAIT_TIMEOUT, self.session.line()).await;
        match line.expect("in time") {
            Err(err) if err.kind() == ErrorKind::UnexpectedEof => "closed".to_owned(),
            line => line.expect("a line"),
        }
    }

    /// Sends a line and returns the next line from the daemon.
    pub async fn send(&mut self, line: &str) -> String {
        self.session.send(line).await.expect("sent");
        self.line().await
    }

    /// Runs a statement and returns the lines of its answer, joined by spaces and without the log
    /// position.
    pub async fn run(&mut self, id: &str, text: &str) -> String {
        let mut answer = self.send(&format!("QUERY {id} {text}")).await;
        loop {
            let line = self.line().await;
            if let Some(rest) = line.strip_prefix("READY ") {
                return format!("{answer} {}", rest.split(' ').next().unwrap_or_default());
            }
            assert_ne!(line, "closed", "after `{answer}`");
            answer = format!("{answer} {line}");
        }
    }
}

impl Site {
    /// Opens a session at a daemon as another daemon that forwards it, with the last field of `START`.
    pub async fn forwarded_client(&self, n: usize, last_field: &str) -> Client {
        let mut client = Client::connect(self.daemons[n].peers).await;
        client.session.send("PASS 1").await.expect("sent");
        let start = format!("START fees sapphireslip{last_field}");
        assert_eq!(client.send(&start).await, "READY I - crlf");
        client
    }
}
