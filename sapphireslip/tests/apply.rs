//! `apply` and `show` against a platform stand-in, with a lost answer and with concurrent changes.

mod support;

use std::thread;

use self::support::{CommandResult, DOCUMENT, RunningPlatform, Sapphireslip};

/// Returns a `show` of the service of [`DOCUMENT`].
fn show(running: &RunningPlatform) -> Sapphireslip {
    Sapphireslip::new("show")
        .value("--platform", running.platform.address())
        .arg("acme")
        .arg("shop")
}

#[test]
fn apply_accepted() {
    let running = RunningPlatform::start();
    let ran = running.apply(DOCUMENT).run().succeeded();
    assert_eq!(ran.stdout, "accepted: generation 1 of service `shop`\n");
    assert_eq!(show(&running).run().succeeded().stdout, DOCUMENT);
}

#[test]
fn apply_json() {
    let running = RunningPlatform::start();
    let ran = running.apply(DOCUMENT).json().run().succeeded();
    assert_eq!(ran.json()["generation"], 1);
    let shown = show(&running).json().run().succeeded();
    assert_eq!(shown.json()["text"], DOCUMENT);
}

#[test]
fn apply_next_generation_releases_database() {
    let running = RunningPlatform::start();
    running.apply(DOCUMENT).run().succeeded();
    let next = DOCUMENT.replace("generation = 1", "generation = 2");
    let next = next.replace("name = \"stock\"", "name = \"depot\"");
    running.apply(&next).run().succeeded();
    assert_eq!(running.platform.row("database/stock").value, "");
    let rival = DOCUMENT
        .replace("\"acme\"", "\"rival\"")
        .replace("\"shop\"", "\"counter\"");
    running.apply(rival).run().succeeded();
}

#[test]
fn apply_lost_answer() {
    let running = RunningPlatform::start();
    running.platform.lose_next_answer();
    let ran = running.apply(DOCUMENT).run().succeeded();
    assert_eq!(ran.stdout, "accepted: generation 1 of service `shop`\n");
    assert_eq!(running.platform.counts().transactions, 1);
}

#[test]
fn apply_raced() {
    let running = RunningPlatform::start();
    let texts = [1, 2].map(|number| DOCUMENT.replace("queued = 10", &format!("queued = {number}")));
    let race = &|text: &String| running.apply(text).run();
    let ran: Vec<CommandResult> = thread::scope(|scope| {
        let racers = texts.each_ref().map(|text| scope.spawn(move || race(text)));
        racers
            .map(|racer| racer.join().expect("`apply` does not panic"))
            .into()
    });
    let accepted: Vec<_> = (0..texts.len()).filter(|at| ran[*at].code == 0).collect();
    assert_eq!(accepted.len(), 1, "{ran:?}");
    let loser = &ran[1 - accepted[0]];
    assert_eq!(loser.code, 1);
    assert_eq!(
        loser.faults(),
        [
            "line 3: generation: is 1, but 1 is accepted: read the accepted document, change that, \
          and give 2"
        ]
    );
    assert_eq!(show(&running).run().succeeded().stdout, texts[accepted[0]]);
}

#[test]
fn apply_platform_down() {
    let running = RunningPlatform::start();
    running.platform.set_down(true);
    let ran = running.apply(DOCUMENT).run().failed(1);
    let address = running.platform.address().to_string();
    assert!(ran.stderr.contains(&address), "{}", ran.stderr);
    running.platform.set_down(false);
    assert_eq!(running.platform.counts().transactions, 0);
}

#[test]
fn show_unknown() {
    let running = RunningPlatform::start();
    let ran = show(&running).run().failed(1);
    assert_eq!(
        ran.stderr,
        "error: no document of member `acme` for service `shop` is accepted: use `apply` to make \
         one\n"
    );
}
