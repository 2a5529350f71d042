//! Keeps track of the store's era over all of its answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sapphireslip_lead::{Event, StoreEra};
use sapphireslip_platform::decode_era;
use tokio::sync::watch;

use crate::lead_metrics::LeadMetrics;

/// The newest era that an answer of the store has shown.
#[derive(Debug)]
pub(crate) struct StoreEras {
    current: watch::Sender<StoreEra>,
    /// Whether any answer has told its era.
    is_told: AtomicBool,
    /// The era of the last answer from before the present era that was logged; 0 if the answers since were
    /// of the present one.
    falling: AtomicU64,
    /// Whether the last answer did not tell its era, although earlier ones did, or not readably.
    is_missing: AtomicBool,
    /// The channel to the reducer.
    events: flume::Sender<Event>,
}

impl StoreEras {
    /// Returns a tracker that reports a new era on the channel.
    pub(crate) fn new(events: flume::Sender<Event>) -> Self {
        Self {
            current: watch::Sender::new(StoreEra::FIRST),
            is_told: AtomicBool::new(false),
            falling: AtomicU64::new(0),
            is_missing: AtomicBool::new(false),
            events,
        }
    }

    /// Returns the newest era that an answer has shown.
    pub(crate) fn current(&self) -> StoreEra {
        *self.current.borrow()
    }

    /// Waits until an answer shows a later era than `era`.
    pub(crate) async fn wait_after(&self, era: StoreEra) {
        let mut rx = self.current.subscribe();
        // Fails only if the sender is dropped, which this borrows.
        let _current = rx.wait_for(|current| *current > era).await;
    }

    /// Returns the era of an answer with this header, and reports it if it is new; none if the answer is of
    /// an earlier era, so that it shows nothing any more.
    ///
    /// An answer without a readable header counts as one of the present era.
    pub(crate) async fn learn(
        &self,
        header: Option<&[u8]>,
        metrics: &LeadMetrics,
    ) -> Option<StoreEra> {
        let Some(era) = self.decode(header, metrics) else {
            return Some(self.current());
        };
        let mut is_new = false;
        let mut current = era;
        self.current.send_if_modified(|present| {
            is_new = *present < era;
            *present = era.max(*present);
            current = *present;
            is_new
        });
        if is_new {
            // Fails only if the daemon is already stopping.
            let _stopping = self.events.send_async(Event::StoreEra(era)).await;
        }
        if era == current {
            self.falling.store(0, Ordering::Relaxed);
            return Some(era);
        }
        metrics.odd_store_era("falling");
        if self.falling.swap(era.0, Ordering::Relaxed) != era.0 {
            log::warn!(
                "an answer of the store is of era {}, after era {}, and is ignored",
                era.0,
                current.0
            );
        }
        None
    }

    /// Decodes the header of an answer; counts one that is missing or can't be read, and logs the first of
    /// several in a row.
    fn decode(&self, header: Option<&[u8]>, metrics: &LeadMetrics) -> Option<StoreEra> {
        let fault = match header.map(decode_era) {
            Some(Ok(era)) => {
                if !self.is_told.swap(true, Ordering::Relaxed) {
                    log::info!(era = era.0; "the store tells its era");
                }
                self.is_missing.store(false, Ordering::Relaxed);
                return Some(era);
            }
            // A store that never tells its era never comes back from a copy.
            None if !self.is_told.load(Ordering::Relaxed) => return None,
            None => "is missing".to_owned(),
            Some(Err(err)) => format!("can't be read: {err}"),
        };
        metrics.odd_store_era("missing");
        if !self.is_missing.swap(true, Ordering::Relaxed) {
            log::warn!("the era of the store's answers {fault}");
        }
        None
    }
}
