//! Shows the platform's path: two daemons of a zone, a store, three servers of the line protocol, and
//! a primary that is killed. Ends with 0 only if every acknowledged write is there.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use sapphireslipd::{LeadSettings, serve_lead};
use standins::{LineSession, line_settings, start_line_site};

const SERVICE: &str = "ledger";
const DATABASE: &str = "fees";

/// The longest that writes may be refused after the primary is lost.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

/// The wait of a caller between two attempts.
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
    let mut callers = Vec::new();
    for n in 1..=2 {
        let ip = Ipv4Addr::new(127, 78, 0, n);
        let text = line_settings(&format!("vm-{n}"), ip, store.address());
        let settings = LeadSettings::try_from(text.as_bytes())?;
        callers.push(settings.callers);
        tokio::spawn(serve_lead(settings));
    }
    println!("a store, three servers and two daemons");
    write_until_done(callers[0], "reservation 1").await?;
    println!("a write landed through vm-1");
    group.kill_primary();
    let killed = Instant::now();
    write_until_done(callers[1], "reservation 2").await?;
    println!(
        "the primary was killed; a write landed through vm-2 after {:?}",
        killed.elapsed()
    );
    let written: Vec<_> = group.written().into_iter().map(|(_, data)| data).collect();
    if written != ["1", "2"] {
        return Err(format!("the new primary holds {written:?}").into());
    }
    println!("held: every acknowledged write is there, once");
    Ok(())
}

/// Writes as a caller that comes back as it is told, until the write is acknowledged.
async fn write_until_done(address: SocketAddr, what: &str) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + FAILOVER_LIMIT;
    for attempt in 1.. {
        match write(address, &format!("{}-{attempt}", what.len()), what).await {
            Ok(answer) if answer.starts_with("COMPLETE") => return Ok(()),
            // Only a promise that nothing was kept allows another attempt.
            Ok(answer) if !answer.starts_with("ERROR BUSY") => return Err(answer.into()),
            _ if Instant::now() >= deadline => return Err(format!("`{what}` did not land").into()),
            _ => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
    Ok(())
}

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
