//! Sessions that were passed on to other daemons, and how those answer.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, SessionId, Text, TransactionStatus, VmId, data};

use crate::homes::RemoteHome;
use crate::state::State;
use crate::{Effect, ErrorCode, Failure, Record, RecordKind, Reply};

/// How long a daemon may leave all sessions that were passed on to it unanswered: longer than a
/// primary is waited for there.
const SILENCE_MAX: Duration = Duration::from_millis(600);

/// How long no session is passed on to a daemon that could not be reached.
const AVOID_SILENT: Duration = Duration::from_secs(3);

/// How long no session is passed on to a daemon that refused one; twice as long each time that it
/// refuses the next one too.
const AVOID_REFUSING: Duration = Duration::from_millis(500);

/// The longest of these pauses: a daemon that is back has its sessions again within it.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// How many daemons may refuse a session before it is served here: a caller waits meanwhile.
const REFUSALS_MAX: u8 = 4;

data! {
    /// The sessions that were passed on.
    #[derive(Default)]
    pub(crate) struct Relays {
        sessions: BTreeMap<SessionId, Relay>,
        /// When each daemon last answered.
        heard: BTreeMap<VmId, Instant>,
        avoided: BTreeMap<VmId, Avoided>,
        /// When a session was last moved to its home.
        pub(crate) moved: Instant,
    }

    /// A daemon to which no session is passed on.
    struct Avoided {
        until: Instant,
        pause: Duration,
    }

    struct Relay {
        vm: VmId,
        database: Text,
        /// Since when a statement is unanswered.
        asked: Option<Instant>,
        /// The caller's identifier of that statement; none for the opening of the session.
        request: Option<Text>,
        status: TransactionStatus,
        heard: Instant,
        /// Whether the other daemon has taken it.
        is_open: bool,
        /// How many daemons did not take it.
        refusals: u8,
        /// Whether it is to end.
        is_closing: bool,
    }
}

impl Relays {
    pub(crate) fn remove(&mut self, id: SessionId) {
        self.sessions.remove(&id);
    }

    pub(crate) fn mark_closing(&mut self, id: SessionId) {
        if let Some(relay) = self.sessions.get_mut(&id) {
            relay.is_closing = true;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    pub(crate) fn is_avoided(&self, vm: &VmId, now: Instant) -> bool {
        self.avoided
            .get(vm)
            .is_some_and(|avoided| now < avoided.until)
    }

    /// Returns the sessions without work whose callers have paused for a while.
    pub(crate) fn resting(&self, now: Instant, pause: Duration) -> Vec<SessionId> {
        let is_resting = |relay: &Relay| {
            !relay.is_closing
                && relay.asked.is_none()
                && relay.status == TransactionStatus::Idle
                && now.since(relay.heard) >= pause
        };
        self.ids(is_resting)
    }

    /// Returns the sessions with an open transaction and no statement at work.
    pub(crate) fn resting_in_transaction(&self) -> Vec<SessionId> {
        self.ids(|relay| relay.asked.is_none() && relay.status != TransactionStatus::Idle)
    }

    fn ids(&self, is_meant: impl Fn(&Relay) -> bool) -> Vec<SessionId> {
        let meant = self.sessions.iter().filter(|(_, relay)| is_meant(relay));
        meant.map(|(id, _)| *id).collect()
    }

    /// Returns the daemons that have left a statement unanswered and nothing else answered.
    fn silent(&self, now: Instant) -> Vec<VmId> {
        let is_silent = |relay: &&Relay| {
            let heard = self.heard.get(&relay.vm).copied().unwrap_or_default();
            relay.asked.is_some_and(|asked| {
                now.since(asked) >= SILENCE_MAX && now.since(heard) >= SILENCE_MAX
            })
        };
        let mut vms: Vec<VmId> = self
            .sessions
            .values()
            .filter(is_silent)
            .map(|relay| relay.vm.clone())
            .collect();
        vms.sort_unstable();
        vms.dedup();
        vms
    }
}

impl State {
    /// Passes a session on to its home, after some daemons that did not take it.
    pub(crate) fn pass_on(
        &mut self,
        session: SessionId,
        database: Text,
        home: RemoteHome,
        refusals: u8,
    ) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let relay = Relay {
            vm: home.vm,
            database: Text::clone(&database),
            asked: Some(self.now),
            request: None,
            status: TransactionStatus::Idle,
            heard: self.now,
            is_open: false,
            refusals,
            is_closing: false,
        };
        self.relays.sessions.insert(session, relay);
        self.effects.push(Effect::Relay {
            session,
            address: home.address,
            database,
            version,
        });
    }

    /// Passes a session that its home does not take on to the next one in rank, which all daemons of
    /// the zone choose alike, or serves it here.
    pub(crate) fn on_relay_failed(&mut self, id: SessionId, is_refused: bool) {
        let Some(relay) = self.relays.sessions.remove(&id) else {
            return;
        };
        let pause = if is_refused {
            AVOID_REFUSING
        } else {
            AVOID_SILENT
        };
        self.avoid(&relay.vm, pause);
        let refusals = relay.refusals + 1;
        let route = self.route_to(&relay.database);
        let next = route.and_then(|route| self.other_home(&route.service));
        match next.filter(|_| refusals < REFUSALS_MAX) {
            Some(home) => self.pass_on(id, relay.database, home, refusals),
            None => self.serve_session(id, relay.database, false),
        }
    }

    fn avoid(&mut self, vm: &VmId, pause: Duration) {
        let before = self.relays.avoided.get(vm);
        let pause = match before {
            // Sessions that were on their way at the same time count once.
            Some(before) if self.now < before.until => before.pause.max(pause),
            Some(before) => (before.pause * 2).max(pause).min(AVOID_MAX),
            None => pause,
        };
        let until = self.now + pause;
        let avoided = Avoided { until, pause };
        self.relays.avoided.insert(vm.clone(), avoided);
        let detail = format!("no session goes to `{vm}` for {} ms", pause.as_millis());
        self.log(Record::new(RecordKind::DaemonAvoided, detail.into()));
    }

    pub(crate) fn on_relay_asked(&mut self, id: SessionId, request: Text) {
        if let Some(relay) = self.relays.sessions.get_mut(&id) {
            relay.asked.get_or_insert(self.now);
            relay.request.get_or_insert(request);
        }
    }

    pub(crate) fn on_relay_answered(&mut self, id: SessionId, status: TransactionStatus) {
        if let Some(relay) = self.relays.sessions.get_mut(&id) {
            relay.asked = None;
            relay.request = None;
            relay.status = status;
            relay.heard = self.now;
            if !relay.is_open {
                relay.is_open = true;
                self.relays.avoided.remove(&relay.vm);
            }
            self.relays.heard.insert(relay.vm.clone(), self.now);
        }
    }

    /// Ends the sessions that were passed on to daemons that have gone silent: their callers come
    /// back, and a statement that only reads is tried again.
    pub(crate) fn watch_relays(&mut self) {
        for vm in self.relays.silent(self.now) {
            self.avoid(&vm, AVOID_SILENT);
            let lost = self.relays.ids(|relay| relay.vm == vm);
            for id in lost {
                self.close_relay(id);
            }
        }
    }

    /// Ends a session that was passed on; a statement at work is answered as unknown.
    pub(crate) fn close_relay(&mut self, id: SessionId) {
        let relay = self.relays.sessions.remove(&id);
        if let Some(relay) = relay.filter(|relay| relay.asked.is_some()) {
            let cause = "the daemon that served the session was lost";
            let detail = format!("{cause}: `{}`", relay.vm);
            let line = Record::new(RecordKind::RequestUnknown, detail.into());
            self.log(Record {
                session: Some(id),
                request: relay.request,
                ..line
            });
            let failure = Failure::new(ErrorCode::InDoubt, cause);
            self.effects.push(Effect::Answer {
                session: id,
                reply: Reply::failed(failure, TransactionStatus::Idle),
            });
        }
        self.effects.push(Effect::CloseSession {
            session: id,
            failure: None,
        });
    }
}
