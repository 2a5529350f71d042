//! How current this daemon's configuration is, and the configuration from other daemons while the
//! store does not answer.
//!
//! The store's answers are linearizable: one that returns a configuration, or says that it has not
//! changed, confirms that no newer one had been written by then. A daemon whose store fails asks the
//! others once a second. The age that they tell is that of their own confirmation, so that it keeps
//! its meaning over any number of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, data};

use crate::refusal::busy;
use crate::state::State;
use crate::{Catalog, CatalogWatch, Effect, Failure, Record, RecordKind, ToldCatalog};

/// The age of the confirmation from which other daemons are asked.
const ASK_FROM_AGE: Duration = Duration::from_secs(1);

/// How often other daemons are asked.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// The most daemons that are asked one after the other in that time while none of them knows more.
/// The store may turn away a third of all daemons, so that several may know no more.
const ASKED_AT_ONCE_MAX: u32 = 3;

/// The number of daemons of each zone group among which the first one is drawn, so that daemons that
/// lose the store together do not all ask the same one.
const FIRST_ASKED_AMONG: usize = 16;

/// The age of the confirmation up to which an unknown key is refused for good.
const CERTAIN_AGE_MAX: Duration = Duration::from_secs(2);

/// Retry time for an unknown key while the configuration is not confirmed: half of the interval at
/// which other daemons are asked.
const RETRY_UNCONFIRMED: Duration = Duration::from_millis(500);

data! {
    /// How current the configuration is, and the requests to other daemons for a newer one.
    #[derive(Default)]
    pub(crate) struct CatalogRelay {
        /// The last confirmation that the configuration is the newest; none if there was none.
        confirmation: Option<Confirmation>,
        /// Whether the last call that reads or watches the configuration in the store failed.
        has_watch_failed: bool,
        /// Whether the store holds a configuration that could not be decoded.
        is_row_malformed: bool,
        /// When the present round of requests began; none before the first.
        round_began: Option<Instant>,
        /// The requests that may still be sent in this round.
        left_in_round: u32,
        /// Whether a request is unanswered.
        is_pending: bool,
        /// The place, among the other daemons, of the one that is asked next; none before the first
        /// request.
        next_place: Option<usize>,
    }

    /// A confirmation that the configuration is the newest.
    struct Confirmation {
        /// How long the configuration had already been confirmed by `at`. An age, since the moment
        /// may lie before the start of this daemon.
        age: Duration,
        /// The time at which the confirmation had that age.
        at: Instant,
    }
}

impl Confirmation {
    /// Returns how long ago the configuration was the newest for certain.
    fn age(&self, now: Instant) -> Duration {
        self.age.saturating_add(now.since(self.at))
    }
}

impl CatalogRelay {
    /// Returns how long ago the configuration was last confirmed; none if it never was.
    fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmation.as_ref().map(|last| last.age(now))
    }

    /// Records a confirmation that had an age at a time; returns whether it is later than the last.
    fn confirm(&mut self, now: Instant, age: Duration, at: Instant) -> bool {
        let confirmation = Confirmation { age, at };
        let is_later = self
            .age(now)
            .is_none_or(|last| confirmation.age(now) < last);
        if is_later {
            self.confirmation = Some(confirmation);
        }
        is_later
    }
}

impl State {
    /// Records progress of the watch of the configuration in the store.
    pub(crate) fn on_catalog_watch(&mut self, progress: CatalogWatch) {
        match progress {
            CatalogWatch::Answered { at, is_valid } => {
                self.catalog_relay.has_watch_failed = false;
                let was_malformed = self.catalog_relay.is_row_malformed;
                self.catalog_relay.is_row_malformed = !is_valid;
                if !is_valid && !was_malformed {
                    let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
                    let detail = format!(
                        "the operator's configuration can't be read; version {version} stays in force"
                    );
                    self.log(Record::new(RecordKind::RowIgnored, detail.into()));
                }
                if self.catalog.is_some() {
                    self.catalog_relay.confirm(self.now, Duration::ZERO, at);
                }
            }
            CatalogWatch::Failed => self.catalog_relay.has_watch_failed = true,
        }
    }

    /// Returns whether the store has stopped answering this daemon.
    pub(crate) fn has_store_failed(&self) -> bool {
        self.catalog_relay.has_watch_failed
            || self.reads.is_store_away()
            || self.permission.is_outcome_unknown()
    }

    /// Returns whether a key that the configuration does not name is unknown for certain.
    ///
    /// That is the case if the configuration was confirmed recently, or is being watched in a store
    /// that answers, since the watch would have returned a newer one.
    fn is_catalog_certain(&self) -> bool {
        let age = self.catalog_relay.age(self.now);
        let is_watched = self.follows_reader() || !self.has_store_failed();
        age.is_some_and(|age| age <= CERTAIN_AGE_MAX || is_watched)
    }

    /// Returns the refusal of a new session whose key the configuration does not name: `failure`, or
    /// a temporary refusal while a newer configuration may name the key.
    pub(crate) fn refusal_of_unknown_key(&self, failure: Failure) -> Failure {
        if self.is_catalog_certain() {
            return failure;
        }
        let cause = "the key belongs to no account of a configuration that may be outdated";
        busy(cause, RETRY_UNCONFIRMED)
    }

    /// Asks another daemon for a newer configuration if the store fails, clients need accounts or
    /// no configuration is known, and the last confirmation is too old.
    pub(crate) fn ask_for_catalog(&mut self) {
        let needs_keys = |catalog: &Catalog| catalog.accounts.are_required();
        let age = self.catalog_relay.age(self.now);
        let is_needed = self.catalog.as_ref().is_none_or(needs_keys)
            && (self.has_store_failed() || self.catalog_relay.is_row_malformed)
            && age.is_none_or(|age| age > ASK_FROM_AGE)
            && !self.is_drain_finished()
            && !self.follows_reader();
        if !is_needed || self.catalog_relay.is_pending {
            return;
        }
        let began = self.catalog_relay.round_began;
        if began.is_none_or(|began| self.now.since(began) >= ASK_EVERY) {
            self.catalog_relay.round_began = Some(self.now);
            self.catalog_relay.left_in_round = ASKED_AT_ONCE_MAX;
        }
        if self.catalog_relay.left_in_round == 0 {
            return;
        }
        let Some(address) = self.next_daemon_to_ask() else {
            return;
        };
        self.catalog_relay.left_in_round -= 1;
        self.catalog_relay.is_pending = true;
        self.effects.push(Effect::AskCatalog {
            address,
            version: self.catalog.as_ref().map(|catalog| catalog.version),
        });
    }

    /// Returns the address of the daemon that is to be asked next.
    ///
    /// Daemons of this zone and of other zones take turns, since a whole zone may lack the store.
    /// Within each group, the rows that were renewed last come first.
    fn next_daemon_to_ask(&mut self) -> Option<SocketAddr> {
        let table = self.permissions.as_ref()?;
        let mut live: Vec<_> = table
            .permissions
            .iter()
            .filter(|(record, _)| record.vm != self.local.vm && table.now < record.alive)
            .collect();
        live.sort_unstable_by_key(|(_, version)| std::cmp::Reverse(*version));
        let (own, others): (Vec<_>, Vec<_>) = live
            .into_iter()
            .partition(|(record, _)| record.zone == self.local.zone);
        let mut in_turn: Vec<(usize, bool, SocketAddr)> = Vec::new();
        for (is_other, group) in [(false, own), (true, others)] {
            let places = group.iter().enumerate();
            in_turn.extend(places.map(|(n, (record, _))| (n, is_other, record.peers)));
        }
        in_turn.sort_unstable();
        let place = match self.catalog_relay.next_place {
            Some(place) => place,
            None => {
                let among = in_turn.len().min(FIRST_ASKED_AMONG) as u64;
                // An even place is one of this zone while both groups last.
                let drawn = self.random.below(among.max(1)) / 2 * 2;
                usize::try_from(drawn).unwrap_or_default()
            }
        };
        let (_, _, address) = in_turn.get(place).or_else(|| in_turn.first())?;
        let next = if place < in_turn.len() { place + 1 } else { 1 };
        self.catalog_relay.next_place = Some(next);
        Some(*address)
    }

    /// Answers a daemon that has this version of the configuration, or none, and asks for a newer one.
    pub(crate) fn on_catalog_asked(&mut self, session: SessionId, version: Option<u64>) {
        let told = self.told_catalog(version);
        self.effects.push(Effect::TellCatalog { session, told });
    }

    /// Returns what a daemon is told that has this version of the configuration, or none.
    pub(crate) fn told_catalog(&self, version: Option<u64>) -> ToldCatalog {
        let is_newer = |catalog: &&Catalog| Some(catalog.version) > version;
        ToldCatalog {
            version: self.catalog.as_ref().map(|catalog| catalog.version),
            age: self.catalog_relay.age(self.now),
            newer: self.catalog.as_ref().filter(is_newer).cloned(),
        }
    }

    /// Applies the answer of another daemon to the request that was sent at `sent`; `told` is none if
    /// it did not answer.
    ///
    /// An older configuration is ignored, with its confirmation. Another daemon may be asked at once
    /// if this one knew no more.
    pub(crate) fn on_catalog_told(&mut self, told: Option<ToldCatalog>, sent: Instant) {
        self.catalog_relay.is_pending = false;
        if told.is_some_and(|told| self.apply_told_catalog(told, sent)) {
            self.catalog_relay.left_in_round = 0;
        }
    }

    /// Applies what another daemon told of its configuration after the request that was sent at `sent`;
    /// returns whether it knew more than this one.
    pub(crate) fn apply_told_catalog(&mut self, told: ToldCatalog, sent: Instant) -> bool {
        let version = self.catalog.as_ref().map(|catalog| catalog.version);
        let mut knew_more = false;
        if let Some(newer) = told.newer.filter(|newer| Some(newer.version) > version) {
            let detail = format!("version {} is told by another daemon", newer.version);
            self.log(Record::new(RecordKind::CatalogTaken, detail.into()));
            self.on_catalog(newer);
            knew_more = true;
        }
        let version = self.catalog.as_ref().map(|catalog| catalog.version);
        if let Some(age) = told.age.filter(|_| told.version == version) {
            // The age was told after the request was sent, so it is no lower than at that time.
            knew_more |= self.catalog_relay.confirm(self.now, age, sent);
        }
        knew_more
    }
}
