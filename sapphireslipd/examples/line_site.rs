//! Demonstrates a failover of a group whose leader the store names.
//!
//! Starts a store, three servers of the line protocol and two daemons in one zone, and kills the
//! primary. The exit code is 0 only if every acknowledged write is present exactly once.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use sapphireslipd::{LeadSettings, serve_lead};
use standins::{LineSession, line_settings, start_line_site};

const SERVICE: &str = "ledger";
const DATABASE: &str = "fees";

/// The maximum time for which writes may be refused after the primary is lost.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

/// How long a client waits between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run_demo().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            println!("FAILED: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo() -> Result<(), Box<dyn Error>> {
    let (group, store) = start_line_site(DATABASE, SERVICE).await?;
    let mut clients = Vec::new();
    for n in 1..=2 {
        let ip = Ipv4Addr::new(127, 78, 0, n);
        let text = line_settings(&format!("vm-{n}"), ip, store.address());
        let settings = LeadSettings::try_from(text.as_bytes())?;
        clients.push(settings.clients);
        tokio::spawn(serve_lead(settings));
    }
    println!("started a store, three servers and two daemons");
    write_until_done(clients[0], "reservation 1").await?;
    println!("a write through vm-1 was acknowledged");
    group.kill_primary();
    let killed = Instant::now();
    write_until_done(clients[1], "reservation 2").await?;
    println!(
        "the primary was killed; a write through vm-2 was acknowledged after {:?}",
        killed.elapsed()
    );
    let written: Vec<_> = group.written().into_iter().map(|(_, data)| data).collect();
    if written != ["1", "2"] {
        return Err(format!("the new primary holds {written:?}").into());
    }
    println!("passed: every acknowledged write is present exactly once");
    Ok(())
}

/// Sends a write until it is acknowledged; tries again after `BUSY` and after failed connections.
async fn write_until_done(address: SocketAddr, what: &str) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + FAILOVER_LIMIT;
    for attempt in 1.. {
        match write(address, &format!("{}-{attempt}", what.len()), what).await {
            Ok(answer) if answer.starts_with("COMPLETE") => return Ok(()),
            // Only `BUSY` guarantees that the write was not run and may be sent again.
            Ok(answer) if !answer.starts_with("ERROR BUSY") => return Err(answer.into()),
            _ if Instant::now() >= until => return Err(format!("`{what}` timed out").into()),
            _ => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
    Ok(())
}

/// Opens a session, sends one write and returns the last line received.
async fn write(address: SocketAddr, id: &str, what: &str) -> Result<String, Box<dyn Error>> {
    let mut session = LineSession::connect(address).await?;
    session.send(&format!("START {DATABASE} till")).await?;
    let greeting = session.line().await?;
    if !greeting.starts_with("READY") {
        return Ok(greeting);
    }
    session.send(&format!("QUERY {id} WRITE {what}")).await?;
    Ok(session.line().await?)
}
