//! Tables of the store from a reader: a home of the zone, which reads them for itself and passes them
//! on to the zone's idle daemons.
//!
//! An idle daemon needs the configuration and the permissions of all daemons, and most daemons of a
//! large fleet are idle. Each of them holds one request at a reader, which answers as soon as the
//! configuration changes. While it is answered, an idle daemon makes no such calls to the store. A
//! reader that the store turns away says so; unless another one answers soon, a daemon reads for itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, VmId, data};

use crate::state::State;
use crate::{Effect, PermissionTable, Record, RecordKind, ToldCatalog};

/// How long a reader holds a request while the configuration does not change.
pub const TABLES_WAIT: Duration = Duration::from_secs(1);

/// How long after the last answer a daemon relies on its reader, if a request is not answered at all.
const ANSWER_AGE_MAX: Duration = Duration::from_millis(2_500);

/// How long a daemon relies on the last answer of a reader that is none any more while it asks others, which
/// usually answer within milliseconds.
const NEXT_READER_MAX: Duration = Duration::from_millis(500);

/// How long a reader is not asked after it did not answer or was no longer one.
const AVOID_READER: Duration = Duration::from_secs(3);

data! {
    /// A request of an idle daemon to a reader.
    pub struct TablesRequest {
        /// The version of the configuration that the daemon has; none if it has none.
        pub version: Option<u64>,
        /// Whether the daemon wants the permissions of all daemons.
        pub wants_permissions: bool,
        /// How long the answer may wait for a change of the configuration.
        pub wait: Duration,
    }

    /// The answer of a reader.
    pub struct ToldTables {
        /// Whether the daemon that answers reads the tables from a store that answers it.
        pub is_reader: bool,
        /// Its configuration.
        pub catalog: ToldCatalog,
        /// The permissions that it last read and how long ago that read was sent, if they were wanted.
        pub permissions: Option<(PermissionTable, Duration)>,
    }

    /// This daemon's requests to readers, and those that it holds as a reader.
    #[derive(Default)]
    pub(crate) struct TableRelay {
        /// The reader that is asked.
        reader: Option<VmId>,
        /// Whether a request is unanswered.
        is_pending: bool,
        /// When a reader last answered.
        last_answer: Option<Instant>,
        /// Whether this daemon followed a reader when that was last checked, to log each change.
        was_following: bool,
        /// When the permissions should be told next.
        permissions_due: Instant,
        /// The readers that are not asked until a time.
        avoided: BTreeMap<VmId, Instant>,
        /// The requests that wait for a change of the configuration.
        held: Vec<Held>,
        /// When the read of the present permissions was sent; none if they were not read from the store.
        permissions_sent: Option<Instant>,
    }

    /// A request that waits for a change of the configuration.
    struct Held {
        session: SessionId,
        request: TablesRequest,
        until: Instant,
    }
}

impl TableRelay {
    /// Records that permissions were read from the store by a call that was sent at `sent`.
    pub(crate) const fn note_permissions_read(&mut self, sent: Instant) {
        self.permissions_sent = Some(sent);
    }

    /// Has the permissions told with the next answer.
    pub(crate) const fn want_permissions(&mut self, now: Instant) {
        self.permissions_due = now;
    }
}

impl State {
    /// Returns whether this daemon learns the configuration and the permissions from a reader, so that
    /// it does not call the store for them.
    #[must_use]
    pub fn follows_reader(&self) -> bool {
        let last = self.table_relay.last_answer;
        !self.needs_permission() && last.is_some_and(|at| self.now.since(at) < ANSWER_AGE_MAX)
    }

    /// Logs whether this daemon has begun or ceased to follow a reader since the last call.
    pub(crate) fn note_reader_change(&mut self) {
        let follows = self.follows_reader();
        if follows == self.table_relay.was_following {
            return;
        }
        self.table_relay.was_following = follows;
        let reader = self.table_relay.reader.as_ref();
        let detail = match (follows, reader, self.table_relay.last_answer) {
            (true, Some(reader), _) => format!("`{reader}` tells the configuration"),
            (false, _, Some(at)) => {
                let age = self.now.since(at).as_millis();
                format!("the store is read instead; the last answer of a reader is {age} ms old")
            }
            (_, _, _) => "the store is read instead".to_owned(),
        };
        self.log(Record::new(RecordKind::ReaderChanged, detail.into()));
    }

    /// Returns whether this daemon reads the tables from a store that answers.
    fn is_reader(&self) -> bool {
        self.needs_permission() && self.permission.is_valid(self.now) && !self.has_store_failed()
    }

    /// Asks a reader, if this daemon is idle and no request is unanswered.
    pub(crate) fn ask_reader(&mut self) {
        if self.table_relay.is_pending || self.needs_permission() || self.is_leaving() {
            return;
        }
        let Some((vm, address)) = self.choose_reader() else {
            self.table_relay.last_answer = None;
            return;
        };
        let is_known = self.table_relay.reader.as_ref() == Some(&vm);
        let due = self.table_relay.permissions_due;
        let wants_permissions = due <= self.now;
        let wait = match is_known && self.follows_reader() {
            true => due.since(self.now).min(TABLES_WAIT),
            false => Duration::ZERO,
        };
        self.table_relay.reader = Some(vm);
        self.table_relay.is_pending = true;
        self.effects.push(Effect::AskTables {
            address,
            request: TablesRequest {
                version: self.catalog.as_ref().map(|catalog| catalog.version),
                wants_permissions,
                wait,
            },
        });
    }

    /// Returns the reader to ask: the same as before or, if that is none any more, one of the strongest
    /// daemons of this zone that had a permission at the last read.
    fn choose_reader(&mut self) -> Option<(VmId, SocketAddr)> {
        let now = self.now;
        self.table_relay.avoided.retain(|_, until| now < *until);
        let table = self.permissions.as_ref()?;
        let readers = table.permitted().filter(|record| {
            record.zone == self.local.zone
                && record.vm != self.local.vm
                && !self.table_relay.avoided.contains_key(&record.vm)
        });
        let readers: Vec<_> = readers.collect();
        let same = |vm: &VmId| readers.iter().find(|record| record.vm == *vm);
        if let Some(record) = self.table_relay.reader.as_ref().and_then(same) {
            return Some((record.vm.clone(), record.peers));
        }
        let strongest = readers.iter().map(|record| record.millicores).max()?;
        let strong = readers.into_iter().filter(|r| r.millicores == strongest);
        let strong: Vec<_> = strong.map(|r| (r.vm.clone(), r.peers)).collect();
        let place = self.random.below(strong.len() as u64);
        strong.into_iter().nth(usize::try_from(place).ok()?)
    }

    /// Applies the answer to the request that was sent at `sent`; `told` is none if there was none.
    pub(crate) fn on_tables_told(&mut self, told: Option<ToldTables>, sent: Instant) {
        self.table_relay.is_pending = false;
        let Some(told) = told.filter(|told| told.is_reader) else {
            if let Some(vm) = self.table_relay.reader.take() {
                let until = self.now + AVOID_READER;
                self.table_relay.avoided.insert(vm, until);
            }
            // What the last reader told may be outdated by the time that it took to notice that it had lost
            // the store.
            let rest = ANSWER_AGE_MAX.saturating_sub(NEXT_READER_MAX);
            let latest = self.now.since_start.checked_sub(rest);
            let latest = latest.map(|since_start| Instant { since_start });
            self.table_relay.last_answer = self.table_relay.last_answer.min(latest);
            return self.ask_reader();
        };
        self.table_relay.last_answer = Some(self.now);
        self.apply_told_catalog(told.catalog, sent);
        if let Some((table, age)) = told.permissions {
            self.on_told_permissions(table, age, sent);
        }
        self.ask_reader();
    }

    /// Applies permissions that a reader had read `age` before it answered the request sent at `sent`.
    ///
    /// They may be older than those that this daemon has read since.
    fn on_told_permissions(&mut self, table: PermissionTable, age: Duration, sent: Instant) {
        self.table_relay.permissions_due = self.now + self.idle_permissions_interval();
        let is_newer = self
            .permissions
            .as_ref()
            .is_none_or(|known| known.version < table.version);
        // The reader sent its read no earlier than `age` before this daemon's request.
        let read = sent.since_start.checked_sub(age);
        if let Some(since_start) = read.filter(|_| is_newer) {
            self.on_permission_table(Some(table), Instant { since_start });
        }
    }

    /// Answers a daemon that asks for tables, or holds the request until the configuration changes.
    pub(crate) fn on_tables_asked(&mut self, session: SessionId, request: TablesRequest) {
        let version = self.catalog.as_ref().map(|catalog| catalog.version);
        if request.wait.is_zero() || !self.is_reader() || version > request.version {
            return self.tell_tables(session, &request);
        }
        let until = self.now + request.wait.min(TABLES_WAIT);
        self.table_relay.held.push(Held {
            session,
            request,
            until,
        });
    }

    /// Answers the held requests that are due: all of them after a change of the configuration, or once
    /// this daemon is no reader any more.
    pub(crate) fn answer_held_requests(&mut self) {
        if self.table_relay.held.is_empty() {
            return;
        }
        let version = self.catalog.as_ref().map(|catalog| catalog.version);
        let is_reader = self.is_reader();
        let held = std::mem::take(&mut self.table_relay.held);
        for held in held {
            if !is_reader || held.until <= self.now || version > held.request.version {
                self.tell_tables(held.session, &held.request);
            } else {
                self.table_relay.held.push(held);
            }
        }
    }

    /// Answers a daemon that asked for tables.
    fn tell_tables(&mut self, session: SessionId, request: &TablesRequest) {
        let sent = self.table_relay.permissions_sent;
        let table = self
            .permissions
            .as_ref()
            .filter(|_| request.wants_permissions);
        let permissions = table.zip(sent);
        let told = ToldTables {
            is_reader: self.is_reader(),
            catalog: self.told_catalog(request.version),
            permissions: permissions.map(|(table, sent)| (table.clone(), self.now.since(sent))),
        };
        self.effects.push(Effect::TellTables { session, told });
    }
}
