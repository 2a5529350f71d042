//! A daemon that gets a grant from the coordinator before it has ended its work at the replaced primary.

#[path = "../common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::daemons::{Client, Daemon, wait_for_daemons};
use common::json::{decode_base64, Json};
use common::members::{wait_until, Group, GroupSettings};
use common::record::Record;
use common::store::{Store, Treatment};
use common::{configuration, has_trouble, Folder, Route};

/// How often the coordinator reads the list of members.
const LIST_READ_EVERY: Duration = Duration::from_millis(1_500);

/// How often a daemon renews its permission.
const RENEWAL_EVERY: Duration = Duration::from_millis(720);

/// How long after the first lost renewal a daemon sends its third; it may be 0.24 s later.
const THIRD_AFTER_FIRST: Duration = Duration::from_millis(2_790);

/// The time from that third renewal until the coordinator reads the list of members.
const GAP_MIN: Duration = Duration::from_millis(290);
const GAP_MAX: Duration = Duration::from_millis(440);

const CLIENTS: usize = 7;

/// The pause between the commits of two clients.
const COMMIT_SPACING: Duration = Duration::from_millis(80);

/// How much later the store does the writes whose answers it loses.
const LATE: Duration = Duration::from_millis(4_000);

/// The most answers that the store loses.
const LOST_MAX: usize = 3;

/// What the store has lost, shared with its threads.
#[derive(Default)]
struct Losses {
    /// The daemon whose writes get no answers; none before the losses begin.
    of: Option<String>,
    /// When each lost write came.
    at: Vec<Instant>,
    /// All writes since the losses began.
    writes: usize,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            println!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule was broken.
fn run() -> std::io::Result<bool> {
    let record = Record::create(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()))?;
    let folder = Folder::create("1")?;
    let store = Store::new(record.clone());
    let routes = [Route {
        database: "lepu270", service: "huvo11a", kind: "primary",
        timeout_ms: 800, target_ms: 200, staleness_ms: 0,
    }];
    store.put("op", "config", &configuration(7, &routes, &[("huvo11a", 16)]));
    let settings = GroupSettings {
        service: "huvo11a", slots: 2, connections: 16,
        work: Duration::from_millis(3), promote: Duration::from_millis(300), sync_replicas: 0,
    };
    let group = Group::start(settings, &["a", "b", "c"], &store, &record)?;
    let mut daemons = Vec::new();
    for (n, zone) in ["a", "b", "c", "a", "b", "c"].into_iter().enumerate() {
        daemons.push(Daemon::start(&format!("vm-{zone}{n}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    // The role of the coordinator moves to a zone without a primary within some seconds.
    let holder = || {
        let duty = store.value("sapphireslip-leads", "sapphireslip", "duty").unwrap_or_default();
        let duty = String::from_utf8_lossy(&decode_base64(&duty)).into_owned();
        Json::parse(&duty).get("holder").text().to_owned()
    };
    let has_moved = || !holder().is_empty() && !holder().contains("-a");
    if !wait_until(Duration::from_secs(25), has_moved) {
        return Err(std::io::Error::other("no coordinator outside of the primary's zone"));
    }
    std::thread::sleep(Duration::from_secs(1));
    let coordinator = holder();

    // The clients of another zone. Their sessions are served by that zone's home of the service, which
    // is the daemon of the zone that renews its permission often.
    let zone = if coordinator.contains("-b") { "-c" } else { "-b" };
    let entry = daemons.iter().find(|daemon| daemon.name.contains(zone)).unwrap();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        clients.push(Client::open(&format!("c{n}"), entry.callers, "lepu270", &record)?);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let losses = Arc::new(Mutex::new(Losses::default()));
    let counts = Arc::new(Mutex::new(std::collections::BTreeMap::<String, (usize, Instant)>::new()));
    {
        let (losses, counts) = (Arc::clone(&losses), Arc::clone(&counts));
        store.set_treatment(Box::new(move |daemon, _| {
            let mut losses = losses.lock().unwrap();
            let mut counts = counts.lock().unwrap();
            let entry = counts.entry(daemon.to_owned()).or_insert((0, Instant::now()));
            entry.0 += 1;
            entry.1 = Instant::now();
            if losses.of.is_some() {
                losses.writes += 1;
                if losses.of.as_deref() == Some(daemon) && losses.at.len() < LOST_MAX {
                    losses.at.push(Instant::now());
                    return Treatment::LoseAndDoLater(LATE);
                }
            }
            Treatment::Answer
        }));
    }
    std::thread::sleep(Duration::from_millis(2_500));
    let home = {
        let counts = counts.lock().unwrap();
        let of_zone = counts.iter().filter(|(name, _)| name.contains(zone));
        of_zone.max_by_key(|(_, (count, _))| *count).map(|(name, _)| name.clone())
    };
    let home = home.ok_or_else(|| std::io::Error::other("no daemon of the zone renews its permission"))?;
    record.say(&format!("the coordinator is {coordinator}, the session is served by {home}"));

    // The disruption: the store loses the answers to this daemon's writes. It begins at a renewal whose
    // third attempt comes shortly before the coordinator's next read of the list of members.
    if has_trouble() {
        let began = Instant::now();
        loop {
            let renewed = counts.lock().unwrap().get(&home).map(|(_, at)| *at).unwrap();
            let read = store.list_reads.lock().unwrap().get(&coordinator).copied().unwrap();
            let third = renewed + RENEWAL_EVERY + THIRD_AFTER_FIRST;
            let mut next_read = read + LIST_READ_EVERY;
            while next_read < third {
                next_read += LIST_READ_EVERY;
            }
            let gap = next_read - third;
            if (GAP_MIN..GAP_MAX).contains(&gap) && renewed.elapsed() < Duration::from_millis(500) {
                record.line(&format!("the gap should be {} ms", gap.as_millis()));
                break;
            }
            if began.elapsed() > Duration::from_secs(60) {
                return Err(std::io::Error::other("no such renewal came"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        losses.lock().unwrap().of = Some(home.clone());
        if !wait_until(Duration::from_secs(8), || losses.lock().unwrap().at.len() >= 3) {
            return Err(std::io::Error::other("the daemon did not repeat its renewal twice"));
        }
    }
    // The primary reports that it is draining, and each client begins a transaction and writes.
    group.drain(0);
    for client in &mut clients {
        let (_, begun) = client.ask("BEGIN")?;
        let (_, written) = client.ask(&format!("WRITE {0} paid-{0}", client.name))?;
        if !begun.is_success() || !written.is_success() {
            record.say(&format!("client {} began no transaction: {}", client.name, written.end));
        }
    }
    if !wait_until(Duration::from_secs(15), || !group.promotes().is_empty()) {
        return Err(std::io::Error::other("no promote took effect"));
    }
    let promoted = group.promotes()[0];
    let mut commits = Vec::new();
    for client in &mut clients {
        std::thread::sleep(COMMIT_SPACING);
        commits.push((client.name.clone(), client.ask("COMMIT")?));
    }
    std::thread::sleep(Duration::from_secs(2));
    {
        let losses = losses.lock().unwrap();
        record.say(&format!("the store lost the answers of {} of {} writes", losses.at.len(), losses.writes));
    }
    let runs = group.runs();
    let log = group.log();
    let mut broken = 0;
    for (name, (id, answer)) in &commits {
        let Some(run) = runs.iter().find(|run| run.id == *id).filter(|_| answer.is_success()) else {
            continue;
        };
        let is_kept = log.iter().any(|(item, _)| item == name);
        if run.is_superseded {
            broken += 1;
            record.say(&format!(
                "ONE: {id} was committed at {}, {:.0} ms after the promote of another member took effect, and acknowledged as {}; the present primary {} it",
                run.member, run.at_ms - promoted, answer.end, if is_kept { "holds" } else { "lacks" },
            ));
        }
    }
    let acknowledged = commits.iter().filter(|(_, (_, answer))| answer.is_success()).count();
    record.say(&format!("{acknowledged} of {CLIENTS} commits were acknowledged, {broken} of them at a replaced primary"));
    if std::env::var("KEEP").is_ok() {
        println!("{}", folder.0.display());
    }
    Ok(broken > 0)
}
