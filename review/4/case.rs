//! A statement whose data holds a line feed.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use common::daemons::{Client, Daemon, wait_for_daemons};
use common::members::{Group, GroupSettings};
use common::record::Record;
use common::store::Store;
use common::{configuration, has_trouble, Folder, Route};

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
    let folder = Folder::create("4")?;
    let store = Store::new(record.clone());
    let routes = [Route {
        database: "lepu270", service: "huvo11a", kind: "primary",
        timeout_ms: 800, target_ms: 100, staleness_ms: 0,
    }];
    store.put("op", "config", &configuration(7, &routes, &[("huvo11a", 16)]));
    let settings = GroupSettings {
        service: "huvo11a", slots: 2, connections: 16,
        work: Duration::from_millis(3), promote: Duration::from_millis(300), sync_replicas: 0,
    };
    let group = Group::start(settings, &["a", "b", "c"], &store, &record)?;
    let mut daemons = Vec::new();
    for zone in ["a", "b", "c"] {
        daemons.push(Daemon::start(&format!("vm-{zone}"), zone, &store, &folder.0, &record)?);
    }
    wait_for_daemons(&daemons, &record)?;
    std::thread::sleep(Duration::from_secs(2));

    // One statement for each kind: its last field, the data, extends to CR LF.
    let line_feed = if has_trouble() { "\n" } else { " " };
    let data = format!("paid{line_feed}QUERY smuggled-1 WRITE 2b5 never-sent");
    let mut sent = BTreeMap::new();
    let mut client = Client::open("c1", daemons[1].callers, "lepu270", &record)?;
    let (id, before) = client.ask("WRITE 2b5 first")?;
    sent.insert(id, "WRITE 2b5 first".to_owned());
    record.say(&format!("the write before was answered by {}", before.end));
    let text = format!("WRITE 1a4 {data}");
    let id = client.send(&text)?;
    sent.insert(id, text);
    let answer = client.answer();
    record.say(&format!("the write of `{}` was answered by {answer:?}", data.escape_debug()));
    std::thread::sleep(Duration::from_millis(500));

    let mut broken = 0;
    for run in group.runs() {
        match sent.get(&run.id) {
            None => {
                broken += 1;
                record.say(&format!("UNASKED: {} ran `{}` under the id {}, which no client sent: {}", run.member, run.text, run.id, run.outcome));
            }
            Some(text) if *text != run.text => {
                broken += 1;
                record.say(&format!("UNASKED: {} ran `{}` under the id {}, whose client sent `{}`: {}", run.member, run.text, run.id, text.escape_debug(), run.outcome));
            }
            Some(_) => {}
        }
    }
    record.say(&format!("the primary's log: {:?}", group.log()));
    Ok(broken > 0)
}
