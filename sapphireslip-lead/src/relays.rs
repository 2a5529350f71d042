//! Sessions that this daemon forwards to other daemons, and how it reacts when those refuse or fall
//! silent.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphireslip_core::{Instant, ServiceName, SessionId, Text, TransactionStatus, VmId, data};

use crate::homes::RemoteHome;
use crate::session::Opening;
use crate::state::State;
use crate::{Effect, ErrorCode, Failure, Record, RecordKind, Reply};

/// How long a daemon may leave all sessions that were forwarded to it unanswered; longer than that
/// daemon itself waits for a primary. A statement that may write has all of its time.
const SILENCE_MAX: Duration = Duration::from_millis(600);

/// How long no session is forwarded to a daemon that could not be reached.
const AVOID_SILENT: Duration = Duration::from_secs(3);

/// How long no session is forwarded to a daemon that refused one; doubles with each new refusal.
const AVOID_REFUSING: Duration = Duration::from_millis(500);

/// Upper bound of the pauses: a daemon that has recovered gets its sessions back within this time.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// How many daemons of this zone may refuse a session before it is served here or in another zone; the
/// client waits meanwhile.
const REFUSALS_MAX: u8 = 4;

/// How many daemons may refuse a session in all before it is served here, whatever this daemon lacks.
const REFUSALS_IN_ALL_MAX: u8 = 7;

data! {
    /// The sessions that this daemon has forwarded to other daemons.
    #[derive(Default)]
    pub(crate) struct Relays {
        /// The forwarded sessions that are open or being opened.
        sessions: BTreeMap<SessionId, Relay>,
        /// When each daemon last answered any forwarded session.
        last_answers: BTreeMap<VmId, Instant>,
        /// The daemons that refused a session or could not be reached, until one takes a session.
        avoided: BTreeMap<VmId, Avoided>,
        /// When a session that was served here was last closed so that it moves to its home.
        pub(crate) last_move: Instant,
    }

    /// A daemon to which no session is forwarded for a while.
    struct Avoided {
        /// The end of the current pause.
        until: Instant,
        /// The length of the current pause; the next one is twice as long, up to [`AVOID_MAX`].
        pause: Duration,
    }

    /// A session that was forwarded to another daemon.
    struct Relay {
        /// The daemon that serves the session.
        vm: VmId,
        /// What the client gave to open the session.
        client: Opening,
        /// Since when the opening of the session or a statement has been unanswered.
        unanswered_since: Option<Instant>,
        /// The client's identifier of that statement; none while the session is being opened.
        request: Option<Text>,
        /// Whether a statement that may write is unanswered.
        may_write: bool,
        /// The transaction status after the last answer.
        status: TransactionStatus,
        /// When the other daemon last answered, or when the session was forwarded.
        last_answer: Instant,
        /// Whether the other daemon has accepted the session.
        is_open: bool,
        /// How many daemons did not accept the session before this one was tried.
        refusals: u8,
        /// Whether the session is to be closed once its statements are answered.
        is_closing: bool,
        /// Whether the daemon is in another zone.
        is_elsewhere: bool,
    }
}

impl Relay {
    /// Returns whether the client has sent no statement and had no transaction for at least `pause`.
    fn has_paused(&self, now: Instant, pause: Duration) -> bool {
        !self.is_closing
            && self.unanswered_since.is_none()
            && self.status == TransactionStatus::Idle
            && now.since(self.last_answer) >= pause
    }
}

impl Relays {
    /// Forgets a session.
    pub(crate) fn remove(&mut self, id: SessionId) {
        self.sessions.remove(&id);
    }

    /// Marks a session as closing, so that [`Self::idle`] no longer returns it.
    pub(crate) fn mark_closing(&mut self, id: SessionId) {
        if let Some(relay) = self.sessions.get_mut(&id) {
            relay.is_closing = true;
        }
    }

    /// Returns the daemon that a session is forwarded to, and whether it is in another zone.
    pub(crate) fn place(&self, id: SessionId) -> Option<(&VmId, bool)> {
        let relay = self.sessions.get(&id)?;
        Some((&relay.vm, relay.is_elsewhere))
    }

    /// Returns the sessions, not closing yet, whose client's opening matches a predicate.
    pub(crate) fn opened_with(&self, matches: impl Fn(&Opening) -> bool) -> Vec<SessionId> {
        self.ids(|relay| !relay.is_closing && matches(&relay.client))
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns whether no session should be forwarded to a daemon at present.
    pub(crate) fn is_avoided(&self, vm: &VmId, now: Instant) -> bool {
        self.avoided
            .get(vm)
            .is_some_and(|avoided| now < avoided.until)
    }

    /// Returns whether a daemon refused a session or could not be reached lately: at present, or so
    /// short a time ago that it has not been tried again since.
    pub(crate) fn is_doubted(&self, vm: &VmId, now: Instant) -> bool {
        self.avoided
            .get(vm)
            .is_some_and(|avoided| now < avoided.until + avoided.pause)
    }

    /// Returns the sessions that have had no statement or transaction for at least `pause`.
    pub(crate) fn idle(&self, now: Instant, pause: Duration) -> Vec<SessionId> {
        self.ids(|relay| relay.has_paused(now, pause))
    }

    /// Returns the sessions with an open transaction that have had no running statement for `pause`.
    pub(crate) fn idle_in_transaction(&self, now: Instant, pause: Duration) -> Vec<SessionId> {
        self.ids(|relay| {
            relay.unanswered_since.is_none()
                && relay.status != TransactionStatus::Idle
                && now.since(relay.last_answer) >= pause
        })
    }

    /// Returns the sessions that the other daemon has accepted.
    pub(crate) fn open(&self) -> impl Iterator<Item = &SessionId> {
        let open = self.sessions.iter().filter(|(_, relay)| relay.is_open);
        open.map(|(id, _)| id)
    }

    /// Returns the sessions whose relay matches a predicate.
    fn ids(&self, matches: impl Fn(&Relay) -> bool) -> Vec<SessionId> {
        let matching = self.sessions.iter().filter(|(_, relay)| matches(relay));
        matching.map(|(id, _)| *id).collect()
    }

    /// Returns whether a daemon has answered any session within [`SILENCE_MAX`].
    fn has_answered_lately(&self, vm: &VmId, now: Instant) -> bool {
        let last_answer = self.last_answers.get(vm).copied().unwrap_or_default();
        now.since(last_answer) < SILENCE_MAX
    }

    /// Returns the daemons that have left a statement or the opening of a session unanswered for
    /// [`SILENCE_MAX`] and answered no other session in that time.
    fn silent(&self, now: Instant) -> Vec<VmId> {
        let is_silent = |relay: &&Relay| {
            let unanswered = relay.unanswered_since;
            unanswered.is_some_and(|since| now.since(since) >= SILENCE_MAX)
                && !self.has_answered_lately(&relay.vm, now)
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
    /// Forwards a session to its home; `refusals` daemons have not accepted it before.
    pub(crate) fn forward_session(
        &mut self,
        session: SessionId,
        client: Opening,
        home: RemoteHome,
        refusals: u8,
    ) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let relay = Relay {
            vm: home.vm,
            client: client.clone(),
            unanswered_since: Some(self.now),
            request: None,
            may_write: false,
            status: TransactionStatus::Idle,
            last_answer: self.now,
            is_open: false,
            refusals,
            is_closing: false,
            is_elsewhere: home.is_elsewhere,
        };
        self.relays.sessions.insert(session, relay);
        self.effects.push(Effect::Relay {
            session,
            address: home.address,
            database: client.database,
            key: client.key,
            version,
        });
    }

    /// Forwards a session that its home did not accept to the next daemon in rank, or serves it
    /// here.
    ///
    /// All daemons of the zone compute the same ranks, so they choose the same next daemon. If
    /// neither those nor this daemon can serve it, it goes to a home in another zone. A daemon that
    /// lately answered other sessions is only slow and is tried again: avoided by all entries at once,
    /// its sessions would flood daemons that are not prepared to serve them.
    pub(crate) fn on_relay_failed(&mut self, id: SessionId, is_refused: bool) {
        let Some(relay) = self.relays.sessions.remove(&id) else {
            return;
        };
        let refusals = relay.refusals + 1;
        if is_refused && self.offer_again(id, &relay.client, refusals) {
            return;
        }
        if is_refused {
            self.avoid(&relay.vm, AVOID_REFUSING);
        } else if !self.relays.has_answered_lately(&relay.vm, self.now) {
            self.avoid(&relay.vm, AVOID_SILENT);
        }
        let route = self.route_to(&relay.client.database);
        let service = route.map(|route| route.service.clone());
        let next = service.and_then(|service| {
            let in_zone = self.other_home(&service);
            in_zone.filter(|_| refusals < REFUSALS_MAX).or_else(|| {
                let may_go = refusals < REFUSALS_IN_ALL_MAX && !self.can_get_permission();
                may_go.then(|| self.home_elsewhere(&service)).flatten()
            })
        });
        match next {
            Some(home) => self.forward_session(id, relay.client, home, refusals),
            None => self.serve_session(id, relay.client, false),
        }
    }

    /// Returns the service of a forwarded session's database.
    pub(crate) fn service_of_relay(&self, id: SessionId) -> Option<ServiceName> {
        let relay = self.relays.sessions.get(&id)?;
        let route = self.route_to(&relay.client.database)?;
        Some(route.service.clone())
    }

    /// Forwards no session to a daemon for `pause`, or longer if it has failed before.
    fn avoid(&mut self, vm: &VmId, pause: Duration) {
        let before = self.relays.avoided.get(vm);
        let pause = match before {
            // Refusals of sessions that were forwarded at the same time count as one.
            Some(before) if self.now < before.until => before.pause.max(pause),
            Some(before) => (before.pause * 2).max(pause).min(AVOID_MAX),
            None => pause,
        };
        let until = self.now + pause;
        let avoided = Avoided { until, pause };
        self.relays.avoided.insert(vm.clone(), avoided);
        let detail = format!(
            "no session is forwarded to `{vm}` for {} ms",
            pause.as_millis()
        );
        self.log(Record::new(RecordKind::DaemonAvoided, detail.into()));
        self.read_permissions_for_lost_home();
    }

    /// Records that a client sent a statement on a forwarded session.
    pub(crate) fn on_relay_query(&mut self, id: SessionId, request: Text, may_write: bool) {
        if let Some(relay) = self.relays.sessions.get_mut(&id) {
            relay.unanswered_since.get_or_insert(self.now);
            relay.request.get_or_insert(request);
            relay.may_write |= may_write;
        }
    }

    /// Records that the other daemon answered a forwarded session.
    pub(crate) fn on_relay_answered(&mut self, id: SessionId, status: TransactionStatus) {
        if let Some(relay) = self.relays.sessions.get_mut(&id) {
            relay.unanswered_since = None;
            relay.request = None;
            relay.may_write = false;
            relay.status = status;
            relay.last_answer = self.now;
            if !relay.is_open {
                relay.is_open = true;
                self.relays.avoided.remove(&relay.vm);
            }
            self.relays.last_answers.insert(relay.vm.clone(), self.now);
        }
    }

    /// Closes the sessions that were forwarded to daemons that have fallen silent.
    ///
    /// Their clients reconnect, and can repeat a statement that only reads. One that may write they
    /// can't: its session stays open for as long as the statement may take, since a daemon that is
    /// only slow or was suspended still answers it.
    pub(crate) fn close_silent_relays(&mut self) {
        for vm in self.relays.silent(self.now) {
            if !self.relays.is_avoided(&vm, self.now) {
                self.avoid(&vm, AVOID_SILENT);
            }
            let lost = self
                .relays
                .ids(|relay| relay.vm == vm && !self.may_still_answer(relay));
            for id in lost {
                self.close_relay(id);
            }
        }
    }

    /// Returns whether a statement that may write is unanswered within its route's timeout.
    fn may_still_answer(&self, relay: &Relay) -> bool {
        let timeout = self
            .route_to(&relay.client.database)
            .map(|route| route.timeout);
        let waited = relay.unanswered_since.map(|since| self.now.since(since));
        relay.may_write && waited < timeout
    }

    /// Closes a forwarded session; a running statement, or the opening of the session if that is
    /// unanswered, is answered with an unknown outcome.
    pub(crate) fn close_relay(&mut self, id: SessionId) {
        let relay = self.relays.sessions.remove(&id);
        if let Some(relay) = relay.filter(|relay| relay.unanswered_since.is_some()) {
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
