//! The store comes back from an older copy of its rows, over real connections to stand-ins.

mod line_site;

use std::time::{Duration, Instant};

use line_site::{Site, WAIT_TIMEOUT};
use rstest::rstest;
use standins::http_get;

/// When permissions from before a return have ended, so that only later ones let writes through.
const EARLIER_PERMISSIONS_END: Duration = Duration::from_millis(6_500);

/// The longest time until a new configuration is in force.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);

/// Runs a write on new sessions until it succeeds; panics after a time.
async fn write_until_done(site: &Site, item: &str) {
    let until = Instant::now() + WAIT_TIMEOUT;
    for n in 0.. {
        let mut client = site.client(0).await;
        let (id, text) = (format!("{item}-{n}"), format!("WRITE {item} {n}"));
        if client.run(&id, &text).await.starts_with("COMPLETE") {
            return;
        }
        assert!(Instant::now() < until, "`{item}` was not written in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against daemons that serve nothing, and follow no configuration, once the store has lost the
/// naming of the primary and gives out versions again (review/7).
#[tokio::test]
async fn daemons_serve_and_follow_after_a_return() {
    let site = Site::start(&["vm-1", "vm-2"]).await;
    write_until_done(&site, "first").await;
    site.store.keep_copy();
    site.group.kill_primary();
    write_until_done(&site, "second").await;
    site.store.return_from_copy();
    tokio::time::sleep(EARLIER_PERMISSIONS_END).await;
    write_until_done(&site, "third").await;

    site.store.keep_copy();
    site.store.return_from_copy();
    let later = standins::line_configuration_with(2, "ledger", &[]);
    site.store.put("op", "config", later.as_bytes());
    let until = Instant::now() + CONFIGURATION_BOUND;
    let mut client = site.client(0).await;
    while !client.run("read", "READ first").await.contains("NODB") {
        assert!(Instant::now() < until, "the configuration is not in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an odd header that is taken for a return, or that stops the daemons: they serve on, and count
/// the answers.
#[rstest]
#[case::missing("", "missing")]
#[case::unreadable("second", "missing")]
#[case::falling("1", "falling")]
#[tokio::test]
async fn odd_eras_are_counted_and_change_nothing(#[case] told: &'static str, #[case] fault: &str) {
    let site = Site::start(&["vm-1"]).await;
    site.store.keep_copy();
    site.store.return_from_copy();
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.store.tell_era_as(told);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let page = http_get(site.daemons[0].metrics, "/metrics").await;
    let metrics = page.expect("a page").body;
    let has = |line: &str| metrics.lines().any(|found| found.starts_with(line));
    assert!(has("sapphireslip_store_returns 1"), "{metrics}");
    let counted = format!("sapphireslip_odd_store_eras_total{{fault=\"{fault}\"}}");
    assert!(has(&counted), "{metrics}");
    if fault == "missing" {
        tokio::time::sleep(EARLIER_PERMISSIONS_END).await;
        write_until_done(&site, "later").await;
    }
}
