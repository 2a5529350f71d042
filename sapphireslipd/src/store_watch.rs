//! Watches a table of the store and hands over each state of it.

use std::time::Duration;

use sapphireslip_lead::{Event, RowVersion};
use sapphireslip_platform::{
    PlatformError, Table, Watched, decode_version, decode_watch, read_table, watch_table,
};

use crate::store_client::StoreClient;

/// How long the store may wait for a change before it answers: the longer, the fewer calls.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Watches a table until the receiver of events is gone; `decode` makes an event of its state.
pub(crate) async fn watch(
    client: StoreClient,
    table: Table,
    events: flume::Sender<Event>,
    decode: fn(&[u8]) -> Result<Event, PlatformError>,
) {
    let mut is_away = false;
    while !events.is_disconnected() {
        let version = read(&client, table, &events, decode).await;
        note(&mut is_away, table, version.is_some());
        let Some(mut version) = version else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        while let Some(next) = wait(&client, table, version).await {
            version = next;
        }
    }
}

/// Logs only the changes: an outage may last for many attempts.
fn note(is_away: &mut bool, table: Table, answers: bool) {
    if *is_away == answers {
        *is_away = !answers;
        let table = format!("{table:?}");
        if answers {
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
    decode: fn(&[u8]) -> Result<Event, PlatformError>,
) -> Option<RowVersion> {
    let answer = client.call(read_table(table), Duration::ZERO).await;
    let answer = answer
        .inspect_err(|err| log::debug!("reading {table:?}: {err}"))
        .ok()?;
    if answer.status != 200 {
        log::debug!("reading {table:?}: status {}", answer.status);
        return None;
    }
    match decode(&answer.body) {
        Ok(event) => events.send_async(event).await.ok()?,
        // The rest of the store is of use all the same: the watch goes on.
        Err(err) => log::warn!("{err}"),
    }
    decode_version(&answer.body)
        .inspect_err(|err| log::warn!("{err}"))
        .ok()
}

/// Waits for a change; returns the version to go on from while there is none.
async fn wait(client: &StoreClient, table: Table, after: RowVersion) -> Option<RowVersion> {
    let call = watch_table(table, after, WATCH_WAIT);
    let answer = client.call(call, WATCH_WAIT).await;
    let answer = answer.inspect_err(|err| log::debug!("watching {table:?}: {err}"));
    let Ok(answer) = answer else {
        tokio::time::sleep(RETRY_PAUSE).await;
        return None;
    };
    match decode_watch(answer.status, &answer.body) {
        Ok(Watched::Unchanged(version)) => Some(version),
        Ok(Watched::Changed(_) | Watched::Forgotten) => None,
        Err(err) => {
            log::debug!("watching {table:?}: {err}");
            tokio::time::sleep(RETRY_PAUSE).await;
            None
        }
    }
}
