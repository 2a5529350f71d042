// The scenarios of the cases; part of `site.rs`.

fn play(scenario: &str) -> Result<Vec<String>, Failure> {
    match scenario {
        "own-writes" => own_writes(),
        "moved-key" => moved_key(),
        "reborn-primary" => reborn_primary(),
        "drain-and-drill" => drain_and_drill(),
        "last-account" => last_account(),
        "superseded-primary" => superseded_primary(),
        "silent-promoted" => silent_promoted(),
        other => Err(format!("no scenario `{other}`").into()),
    }
}

/// The configuration with the database `orders`, which leads to one of two services.
fn orders_config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"orders\",\"database_name\":\"orders\",\"type\":\"read_your_writes\",\
         \"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{service}\",\"max_staleness_ms\":2500}}],\
         \"services\":[{{\"name\":\"ledger-1\",\"max_connections\":16,\"sync_replicas\":0}},\
         {{\"name\":\"ledger-2\",\"max_connections\":16,\"sync_replicas\":0}}],\"limits\":{{\"tx_idle_ms\":3000}}}}"
    )
}

/// A route leads to another service and back while a session writes; then the session reads.
fn own_writes() -> Result<Vec<String>, Failure> {
    let site = Site::start(&["ledger-1", "ledger-2"], &orders_config(1, "ledger-1"))?;
    let to = site.callers(1);
    wait_for_service(to, "orders c")?;
    thread::sleep(ms(1_500));
    if with_trouble() {
        site.members.lock().lag = ms(1_200);
        note("the replicas apply commits 1200 ms after they receive them");
    }
    let mut version = 1;
    let mut breaks = Vec::new();
    for round in 1..=5 {
        let mut client = Client::open(&format!("c{round}"), to, "orders c")?;
        let first = client.query(&format!("WRITE order{round} paid"))?;
        let acknowledged = Instant::now();
        for service in ["ledger-2", "ledger-1"] {
            if with_trouble() {
                version += 1;
                site.store.configure(&orders_config(version, service));
            }
            thread::sleep(ms(330));
            if service == "ledger-2" {
                client.query(&format!("WRITE note{round} sent"))?;
            }
        }
        if !first.is_success() {
            continue;
        }
        let sent = acknowledged.elapsed();
        let read = client.query(&format!("READ order{round}"))?;
        let Some((wrote, ran)) = site.members.run_of(&first.id).zip(site.members.run_of(&read.id)) else {
            continue;
        };
        // The commit follows the position at which its statement ran.
        if read.is_success() && ran.service == wrote.service && ran.position <= wrote.position {
            breaks.push(format!(
                "STALE: {} `{}` was acknowledged as commit {} of {}; {} ms later {} of the same session read at {} \
                 with the log at {} and was answered {:?}",
                first.id,
                "WRITE",
                wrote.position + 1,
                wrote.service,
                sent.as_millis(),
                read.id,
                ran.member,
                ran.position,
                read.rows
            ));
        }
        thread::sleep(ms(1_500));
    }
    Ok(breaks)
}

/// The configuration with two accounts, one of which has the key `key-1`.
fn accounts_config(version: u64, holder: &str) -> String {
    let keys = |name: &str, own: &str| {
        let moved = if name == holder { ",\"key-1\"" } else { "" };
        format!("{{\"name\":\"{name}\",\"api_keys\":[\"{own}\"{moved}],\"priority\":1,\"rate_per_s\":186,\"burst\":186}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"orders\",\"database_name\":\"orders\",\"type\":\"primary\",\
         \"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,\"service\":\"ledger-1\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"ledger-1\",\"max_connections\":16,\"sync_replicas\":0}}],\
         \"limits\":{{\"tx_idle_ms\":3000}},\"tenants\":[{},{}]}}",
        keys("acme", "key-2"),
        keys("zest", "key-3")
    )
}

/// A key is taken from one account and given to another while its client is in a transaction.
fn moved_key() -> Result<Vec<String>, Failure> {
    let site = Site::start(&["ledger-1"], &accounts_config(1, "acme"))?;
    let to = site.callers(1);
    wait_for_service(to, "orders key-1")?;
    thread::sleep(ms(1_000));
    let mut client = Client::open("c", to, "orders key-1")?;
    client.query("BEGIN")?;
    client.query("WRITE order1 paid")?;
    let mut holder = "acme";
    if with_trouble() {
        holder = "zest";
        site.store.configure(&accounts_config(2, holder));
    }
    let acknowledged = Instant::now();
    let mut breaks = Vec::new();
    for n in 1..=8 {
        thread::sleep(ms(1_000));
        let text = if n == 8 { "COMMIT".to_owned() } else { format!("READ order{n}") };
        let sent = acknowledged.elapsed();
        let answer = client.query(&text)?;
        if let Some(run) = site.members.run_of(&answer.id)
            && sent > ms(5_000)
            && run.client != holder
        {
            breaks.push(format!(
                "UNASKED: {} `{text}`, sent {} ms after the acknowledgement, was run by {} for `{}`, though the key \
                 is that of `{holder}`",
                answer.id,
                sent.as_millis(),
                run.member,
                run.client
            ));
        }
    }
    Ok(breaks)
}

/// The configuration with the database `orders` on one service, whose reads need the primary.
fn payments_config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"orders\",\"database_name\":\"orders\",\"type\":\"primary\",\
     \"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,\"service\":\"ledger-1\",\"max_staleness_ms\":0}],\
     \"services\":[{\"name\":\"ledger-1\",\"max_connections\":16,\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}"
        .to_owned()
}

/// The primary crashes and starts again at once under its id, with nothing of what it had.
fn reborn_primary() -> Result<Vec<String>, Failure> {
    let start = "orders c";
    let site = Site::start(&["ledger-1"], &payments_config())?;
    wait_for_service(site.callers(1), start)?;
    thread::sleep(ms(2_000));
    let mut writer = Client::open("w", site.callers(0), start)?;
    let mut written = site.members.lock().members[0].log.len();
    for n in 1..=20 {
        written += usize::from(writer.query(&format!("WRITE order{n} paid"))?.is_success());
    }
    let until = Instant::now() + ms(600);
    let reading: Vec<_> = (0..9)
        .map(|n| {
            let to = site.callers(n % 3);
            thread::spawn(move || {
                let mut answered = Vec::new();
                while Instant::now() < until {
                    let Ok(mut client) = Client::open(&format!("r{n}"), to, start) else {
                        thread::sleep(ms(50));
                        continue;
                    };
                    while Instant::now() < until {
                        let id = client.statements + 1;
                        client.name = format!("r{n}.{}", started().elapsed().as_millis());
                        let Ok(answer) = client.query(&format!("READ order{}", 1 + id % 20)) else {
                            break;
                        };
                        answered.push(answer);
                    }
                }
                answered
            })
        })
        .collect();
    thread::sleep(ms(200));
    if with_trouble() {
        site.members.start_again(&site.store, "i-ledger-1-0");
    }
    let answered: Vec<Answer> = reading.into_iter().flat_map(|t| t.join().unwrap()).collect();
    thread::sleep(ms(1_000));
    let group = site.members.lock();
    let promoted = group.promoted;
    let mut breaks = Vec::new();
    for answer in answered.iter().filter(|answer| answer.is_success()) {
        let Some(run) = group.runs.iter().find(|run| run.id == answer.id) else {
            continue;
        };
        if run.position < written && promoted.is_none_or(|at| run.at < at) {
            breaks.push(format!(
                "STALE: {} `{}` ran at {} with the log at {} of {written} acknowledged commits, before any promotion \
                 took effect, and was answered {:?}",
                run.id, run.text, run.member, run.position, answer.rows
            ));
        }
    }
    for member in &group.members {
        note(&format!("at the end {} holds {} commits of {written} acknowledged ones", member.id, member.log.len()));
    }
    Ok(breaks)
}

/// The primary says that it leaves, and the store comes back from a copy that lacks this.
fn drain_and_drill() -> Result<Vec<String>, Failure> {
    let site = Site::start(&["ledger-1"], &payments_config())?;
    let start = "orders c";
    wait_for_service(site.callers(0), start)?;
    thread::sleep(ms(3_000));
    let until = Instant::now() + ms(14_000);
    let writing: Vec<_> = (0..3)
        .map(|n| {
            let to = site.callers(n);
            thread::spawn(move || {
                for k in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let Ok(mut client) = Client::open(&format!("w{n}.{k}"), to, start) else {
                        thread::sleep(ms(100));
                        continue;
                    };
                    while Instant::now() < until {
                        let Ok(answer) = client.query("WRITE order1 paid") else {
                            break;
                        };
                        thread::sleep(ms(if answer.is_success() { 50 } else { 150 }));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(1_000));
    let leaving = "i-ledger-1-0";
    if with_trouble() {
        site.store.keep_copy();
    }
    thread::sleep(ms(100));
    site.members.say_draining(&site.store, leaving);
    let acknowledged = Instant::now();
    if with_trouble() {
        thread::sleep(ms(20));
        site.store.set_down(true);
        thread::sleep(ms(1_000));
        site.store.return_from_copy();
        site.store.set_down(false);
        // With its next heartbeat.
        thread::sleep(ms(1_200));
        site.members.say_draining(&site.store, leaving);
    }
    writing.into_iter().for_each(|thread| thread.join().unwrap());
    let group = site.members.lock();
    let late = group.runs.iter().filter(|run| run.member == leaving && run.at > acknowledged + ms(7_000));
    let breaks = late.map(|run| {
        let after = (run.at - acknowledged).as_millis();
        format!("DRAIN: {} `{}` reached {leaving} {after} ms after the store acknowledged that it is draining", run.id, run.text)
    });
    Ok(breaks.collect())
}

/// The configuration with one account, or with an empty list of accounts.
fn one_account_config(version: u64, accounts: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"orders\",\"database_name\":\"orders\",\"type\":\"primary\",\
         \"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,\"service\":\"ledger-1\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"ledger-1\",\"max_connections\":16,\"sync_replicas\":0}}],\
         \"limits\":{{\"tx_idle_ms\":3000}},\"tenants\":[{accounts}]}}"
    )
}

/// The only account is taken out of the configuration; then clients come with its key and with an unknown one.
fn last_account() -> Result<Vec<String>, Failure> {
    let account = "{\"name\":\"acme\",\"api_keys\":[\"key-1\"],\"priority\":1,\"rate_per_s\":186,\"burst\":186}";
    let site = Site::start(&["ledger-1"], &one_account_config(1, account))?;
    let to = site.callers(1);
    wait_for_service(to, "orders key-1")?;
    let mut client = Client::open("known", to, "orders key-1")?;
    client.query("WRITE order1 paid")?;
    if Client::open("before", to, "orders key-9").is_ok() {
        return Err("an unknown key was accepted before the change".into());
    }
    let holds_key = !with_trouble();
    if with_trouble() {
        site.store.configure(&one_account_config(2, ""));
    }
    thread::sleep(ms(6_000));
    let mut breaks = Vec::new();
    for (name, key, was_ever_held) in [("stranger", "key-9", false), ("known", "key-1", true)] {
        let ask = || -> Result<Answer, Failure> {
            let mut client = Client::open(name, to, &format!("orders {key}"))?;
            client.query("READ order1")
        };
        let answer = match ask() {
            Ok(answer) => answer,
            Err(err) => {
                note(&format!("client {name}: {err}"));
                continue;
            }
        };
        let Some(run) = site.members.run_of(&answer.id) else {
            continue;
        };
        if !was_ever_held || !holds_key {
            let rule = if was_ever_held { "CONFIG" } else { "ROUTE" };
            breaks.push(format!(
                "{rule}: {} `{}`, sent with {key} six seconds after the change, was run by {} for `{}` and answered {:?}",
                run.id, run.text, run.member, run.client, answer.rows
            ));
        }
    }
    Ok(breaks)
}

/// Has three clients, one at each daemon, write for a time; returns the statements that were acknowledged.
fn write_for(site: &Site, time: Duration) -> thread::JoinHandle<Vec<String>> {
    let until = Instant::now() + time;
    let callers: Vec<SocketAddr> = (0..3).map(|n| site.callers(n)).collect();
    thread::spawn(move || {
        let clients: Vec<_> = callers
            .into_iter()
            .enumerate()
            .map(|(n, to)| {
                thread::spawn(move || {
                    let mut acknowledged = Vec::new();
                    for k in 0.. {
                        if Instant::now() > until {
                            break;
                        }
                        let Ok(mut client) = Client::open(&format!("w{n}.{k}"), to, "orders c") else {
                            thread::sleep(ms(100));
                            continue;
                        };
                        while Instant::now() < until {
                            let Ok(answer) = client.query("WRITE order1 paid") else {
                                break;
                            };
                            let is_success = answer.is_success();
                            if is_success {
                                acknowledged.push(answer.id);
                            }
                            thread::sleep(ms(if is_success { 50 } else { 150 }));
                        }
                    }
                    acknowledged
                })
            })
            .collect();
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
    })
}

/// Returns the acknowledged writes that were committed under a term while a later one had begun.
fn writes_at_superseded(site: &Site, acknowledged: &[String]) -> Vec<String> {
    let group = site.members.lock();
    let of_clients = group.runs.iter().filter(|run| acknowledged.contains(&run.id) && run.term < run.newest_term);
    let lines = of_clients.map(|run| {
        format!(
            "ONE: {} `{}` was committed at {} in term {}, after term {} had begun, and acknowledged",
            run.id, run.text, run.member, run.term, run.newest_term
        )
    });
    lines.collect()
}

/// Waits until a promotion was requested, and returns which member's.
fn wait_for_promotion(site: &Site, number: usize) -> Result<String, Failure> {
    let until = Instant::now() + ms(10_000);
    while site.store.lock().promotions.len() < number {
        if Instant::now() > until {
            return Err("no promotion was requested".into());
        }
        thread::sleep(ms(5));
    }
    let promoted = site.store.lock().promotions[number - 1].1.clone();
    Ok(promoted)
}

/// The members of a service go dark one after the other: the primary, the one that is promoted, the third.
fn superseded_primary() -> Result<Vec<String>, Failure> {
    let site = Site::start(&["ledger-1"], &payments_config())?;
    wait_for_service(site.callers(0), "orders c")?;
    thread::sleep(ms(2_000));
    let writing = write_for(&site, ms(14_000));
    thread::sleep(ms(1_000));
    if with_trouble() {
        let dark_from = Instant::now();
        site.members.darken("i-ledger-1-0", ms(5_000));
        let promoted = wait_for_promotion(&site, 1)?;
        thread::sleep(ms(4_900).saturating_sub(dark_from.elapsed()));
        site.members.darken(&promoted, ms(5_000));
        thread::sleep(ms(500));
        for n in [1, 2] {
            let id = format!("i-ledger-1-{n}");
            if id != promoted {
                site.members.darken(&id, ms(3_500));
            }
        }
    }
    let acknowledged = writing.join().unwrap();
    note(&format!("{} writes were acknowledged", acknowledged.len()));
    Ok(writes_at_superseded(&site, &acknowledged))
}

/// The member that is promoted goes dark before that takes effect, and so does the third; the former primary is back.
fn silent_promoted() -> Result<Vec<String>, Failure> {
    let site = Site::start(&["ledger-1"], &payments_config())?;
    wait_for_service(site.callers(0), "orders c")?;
    thread::sleep(ms(2_000));
    let writing = write_for(&site, ms(14_000));
    thread::sleep(ms(1_000));
    if with_trouble() {
        site.members.darken("i-ledger-1-0", ms(2_000));
        let promoted = wait_for_promotion(&site, 1)?;
        thread::sleep(ms(100));
        for n in [1, 2] {
            let id = format!("i-ledger-1-{n}");
            site.members.darken(&id, ms(if id == promoted { 7_000 } else { 6_300 }));
        }
    }
    let acknowledged = writing.join().unwrap();
    note(&format!("{} writes were acknowledged", acknowledged.len()));
    Ok(writes_at_superseded(&site, &acknowledged))
}
