//! What a daemon keeps of sessions that have ended.

mod line_site;

use std::time::{Duration, Instant};

use line_site::{Client, Site, WAIT_TIMEOUT};
use rstest::rstest;

/// The number of sessions that are opened and end.
const SESSIONS: usize = 60;

/// The most connections between the daemons themselves at any time: requests for tables and grants.
const OWN_CONNECTIONS_MAX: u32 = 6;

/// The longest time until the gauges show the present numbers.
const GAUGES_UPDATED: Duration = Duration::from_millis(1_500);

/// How a session ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The client closes its connection.
    Close,
    /// The client says that it ends the session, and keeps its connection.
    Terminate,
    /// The database does not exist.
    Refused,
    /// The client closes its connection while a statement runs.
    InStatement,
    /// The client closes its connection before it has named a database.
    BeforeStart,
}

/// Opens a session at the daemon with index `n`, and has it end.
async fn run(site: &Site, n: usize, end: End) -> Option<Client> {
    let mut client = Client::connect(site.daemons[n].clients).await;
    match end {
        End::BeforeStart => return None,
        End::Refused => {
            let answer = client.send("START absent till").await;
            assert!(answer.starts_with("ERROR NODB"), "{answer}");
            return None;
        }
        End::Close | End::Terminate | End::InStatement => {}
    }
    assert_eq!(client.send("START fees till").await, "READY I -");
    if let End::InStatement = end {
        client.session.send("QUERY 1 READ x").await.expect("sent");
        return None;
    }
    assert!(client.run("1", "READ x").await.starts_with("COMPLETE"));
    if let End::Terminate = end {
        client.session.send("TERMINATE").await.expect("sent");
        return Some(client);
    }
    None
}

/// Guards against memory that grows with each session: a channel to the task of each connection that its
/// client had closed stayed for good, 564 bytes each.
#[rstest]
#[tokio::test]
async fn closed_sessions_leave_nothing_behind(
    #[values(
        End::Close,
        End::Terminate,
        End::Refused,
        End::InStatement,
        End::BeforeStart
    )]
    end: End,
) {
    // The sessions at one of the two daemons are forwarded to the other one.
    let site = Site::start(&["vm-1", "vm-2"]).await;
    let mut kept = Vec::new();
    for n in 0..SESSIONS {
        kept.extend(run(&site, n % 2, end).await);
    }
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        tokio::time::sleep(GAUGES_UPDATED).await;
        let open = site.open("clients").await;
        if open <= OWN_CONNECTIONS_MAX {
            break;
        }
        assert!(Instant::now() < until, "{open} connections are kept");
    }
    for what in ["sessions", "sessions_passed_on", "statements_waiting"] {
        assert_eq!(site.open(what).await, 0, "{what}");
    }
}
