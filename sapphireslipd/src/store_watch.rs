//! Watches a table of the store and hands over each state of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sapphireslip_lead::{Event, RowVersion};
use sapphireslip_platform::{PlatformError, Rows, Table, Watched, decode_watch, watch_table};

use crate::store_client::StoreClient;

/// How long the store may wait for a change before it answers: a watch that hangs on a connection which
/// has gone silent is over by then, soon enough for a configuration to be in force in time.
const WATCH_WAIT: Duration = Duration::from_millis(3_500);

/// How often it is seen whether a table has come to be of use.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A table to be watched.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) table: Table,
    /// Makes an event of the table's state.
    pub(crate) decode: fn(&Rows) -> Result<Event, PlatformError>,
    /// Whether one changed row is the whole state.
    pub(crate) is_one_row: bool,
    /// Whether the table is of use at the moment.
    pub(crate) is_needed: Arc<AtomicBool>,
}

/// Watches a table until the receiver of events is gone.
pub(crate) async fn watch(client: StoreClient, watch: Watch, events: flume::Sender<Event>) {
    let Watch { table, decode, .. } = watch;
    let mut is_unreachable = false;
    while !events.is_disconnected() {
        if !watch.is_needed.load(Ordering::Relaxed) {
            tokio::time::sleep(NEED_CHECK_INTERVAL).await;
            continue;
        }
        let version = read(&client, table, &events, decode).await;
        log_reachability(&mut is_unreachable, table, version.is_some());
        let Some(mut version) = version else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        while watch.is_needed.load(Ordering::Relaxed) {
            match wait_for_change(&client, table, version).await {
                WaitOutcome::Unchanged(next) => version = next,
                WaitOutcome::Changed(rows) if watch.is_one_row => {
                    version = rows.version();
                    send_event(&events, decode(&rows)).await;
                }
                WaitOutcome::Changed(_) | WaitOutcome::Lost => break,
            }
        }
    }
}

/// What came of waiting for a change.
enum WaitOutcome {
    Unchanged(RowVersion),
    /// The rows that changed.
    Changed(Rows),
    Lost,
}

async fn send_event(events: &flume::Sender<Event>, event: Result<Event, PlatformError>) {
    match event {
        // Fails only when the daemon is stopping already.
        Ok(event) => drop(events.send_async(event).await),
        // The rest of the store is of use all the same: the watch goes on.
        Err(err) => log::warn!("{err}"),
    }
}

/// Logs only the changes: an outage may last for many attempts.
fn log_reachability(is_unreachable: &mut bool, table: Table, is_reachable: bool) {
    if *is_unreachable == is_reachable {
        *is_unreachable = !is_reachable;
        let table = format!("{table:?}");
        if is_reachable {
            log::info!(table:% = table; "the store answers again");
        } else {
            log::warn!(table:% = table; "the store does not answer");
        }
    }
}

/// Reads the table; returns the version that was read.
async fn read(
    client: &StoreClient,
    table: Table,
    events: &flume::Sender<Event>,
    decode: fn(&Rows) -> Result<Event, PlatformError>,
) -> Option<RowVersion> {
    let rows = client.read(table).await?;
    send_event(events, decode(&rows)).await;
    Some(rows.version())
}

/// Waits for a change.
async fn wait_for_change(client: &StoreClient, table: Table, after: RowVersion) -> WaitOutcome {
    let call = watch_table(table, after, WATCH_WAIT);
    let answer = match client.call(call, WATCH_WAIT).await {
        Ok(answer) => answer,
        Err(err) => {
            log::debug!("watching {table:?}: {err}");
            tokio::time::sleep(RETRY_PAUSE).await;
            return WaitOutcome::Lost;
        }
    };
    match decode_watch(answer.status, &answer.body) {
        Ok(Watched::Unchanged(version)) => WaitOutcome::Unchanged(version),
        Ok(Watched::Changed(rows)) => WaitOutcome::Changed(rows),
        Ok(Watched::Forgotten) => WaitOutcome::Lost,
        Err(err) => {
            log::debug!("watching {table:?}: {err}");
            tokio::time::sleep(RETRY_PAUSE).await;
            WaitOutcome::Lost
        }
    }
}
