//! Polling of a group's servers: when each is asked for its status, and with which request.

use std::time::Duration;

use crate::{
    BackendEffect, CallId, CallKind, Cx, Group, GroupCall, GroupRequest, Holding, Instant,
    REPLY_GRACE, ServerId, TermPosition,
};

/// The interval between polls of a server while the group is healthy.
pub const POLL_INTERVAL_QUIET: Duration = Duration::from_secs(1);

/// The interval between polls of a server while the group cannot accept writes, while a promotion
/// runs, or while the server itself has started to fail.
pub const POLL_INTERVAL_SUSPECTED: Duration = Duration::from_millis(100);

/// The interval between polls of a server once the group has been unable to accept writes for
/// longer than [`LONG_SUSPICION`].
pub const POLL_INTERVAL_LONG_SUSPICION: Duration = Duration::from_millis(500);

/// How long the group must have been unable to accept writes for the polling rate to be lowered.
pub const LONG_SUSPICION: Duration = Duration::from_secs(5);

/// The number of consecutive failures after which a server counts as down.
pub const FAILURES_UNTIL_DOWN: u32 = 2;

/// The time after a failure at which a server that was not heard from since counts as down.
pub const SILENCE_UNTIL_DOWN: Duration = Duration::from_millis(250);

/// The interval between long polls of a server that did not come to hold the requested record.
pub const WATCH_RETRY: Duration = Duration::from_millis(100);

impl Group {
    /// Polls all servers, so that `confirmed_since(now)` will return a record. One round of polls
    /// serves all statements that wait for it.
    pub fn probe(&mut self, cx: &mut Cx<'_>) {
        self.now = cx.now.instant;
        self.poll_all(cx);
    }

    /// Polls one server.
    pub(crate) fn probe_server(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        self.now = cx.now.instant;
        self.poll(cx, server);
    }

    /// Returns when a server was last asked for its status.
    pub(crate) fn last_asked(&self, server: &ServerId) -> Option<Instant> {
        self.servers.get(server)?.last_asked
    }

    /// Returns whether a plain poll of a server has not been answered yet.
    pub(crate) fn is_poll_pending(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|known| known.poll.is_some())
    }

    /// Asks the replicas to report as soon as they hold a record.
    pub fn watch(&mut self, cx: &mut Cx<'_>, record: TermPosition) {
        self.now = cx.now.instant;
        self.awaited_record = self.awaited_record.max(Some(record));
        self.watch_due(cx);
    }

    /// Polls every server of the group.
    pub(crate) fn poll_all(&mut self, cx: &mut Cx<'_>) {
        let servers: Vec<_> = self.servers.keys().cloned().collect();
        for server in servers {
            self.poll(cx, &server);
        }
    }

    /// Polls a server now. If a poll is pending already, sends the new one as soon as that is
    /// answered, or none if the pending one was sent at this very instant.
    pub(crate) fn poll(&mut self, cx: &mut Cx<'_>, server: &ServerId) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        match known.poll {
            Some((_, asked)) => known.is_poll_queued |= asked < cx.now.instant,
            None => {
                if let Some(call) = self.call(cx, server, CallKind::Poll)
                    && let Some(known) = self.servers.get_mut(server)
                {
                    known.poll = Some((call, cx.now.instant));
                    known.is_poll_queued = false;
                }
            }
        }
    }

    /// Sends a request to a server and stores the call until its reply. Returns `None` if the
    /// server is not part of the group or the request cannot be built.
    pub(crate) fn call(
        &mut self,
        cx: &mut Cx<'_>,
        server: &ServerId,
        kind: CallKind,
    ) -> Option<CallId> {
        let spec = self.spec.servers.iter().find(|spec| spec.id == *server)?;
        let request = self.request(kind)?;
        let call = cx.take_call();
        cx.backend(BackendEffect::Group {
            call,
            server: spec.clone(),
            database: self.spec.name.clone(),
            request,
            timeout: kind.timeout(),
        });
        self.calls.insert(
            call,
            GroupCall {
                server: server.clone(),
                sent: cx.now.instant,
                kind,
            },
        );
        if !matches!(kind, CallKind::Watch(_))
            && let Some(known) = self.servers.get_mut(server)
        {
            known.last_asked = Some(cx.now.instant);
        }
        Some(call)
    }

    /// Returns the request for a call, or `None` if the primary to follow is not known.
    fn request(&self, kind: CallKind) -> Option<GroupRequest> {
        Some(match kind {
            CallKind::Poll => GroupRequest::Status { wait_for: None },
            CallKind::Watch(record) => GroupRequest::Status {
                wait_for: Some(record),
            },
            CallKind::Fence(term) => GroupRequest::Fence { term },
            CallKind::Promote(term) => GroupRequest::Promote { term },
            CallKind::Follow(term) => GroupRequest::Follow {
                term,
                primary: self.leader().filter(|leader| leader.term == term)?.server,
            },
        })
    }

    /// Clears the pending poll or long poll that a reply belongs to, and polls again if that was
    /// requested.
    pub(crate) fn finish_poll(
        &mut self,
        cx: &mut Cx<'_>,
        server: &ServerId,
        call: CallId,
        asked: Instant,
        answered: bool,
    ) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        if known.watch.is_some_and(|(watch, _)| watch == call) {
            known.finish_watch(asked, answered);
        }
        if known.poll.is_some_and(|(poll, _)| poll == call) {
            known.poll = None;
            if known.is_poll_queued {
                self.poll(cx, server);
            }
        }
    }

    /// Drops the calls whose reply is long overdue. A call that the server does not answer fails
    /// with `NoAnswer`, so a missing reply was lost within this process.
    pub(crate) fn expire_calls(&mut self) {
        let now = self.now;
        let due = |call: &GroupCall| call.sent + call.kind.timeout() + REPLY_GRACE;
        self.calls.retain(|_, call| due(call) > now);
        let calls = &self.calls;
        for known in self.servers.values_mut() {
            known.poll = known.poll.filter(|(call, _)| calls.contains_key(call));
            known.watch = known.watch.filter(|(call, _)| calls.contains_key(call));
        }
    }

    /// Polls the servers whose next poll is due.
    pub(crate) fn poll_due(&mut self, cx: &mut Cx<'_>) {
        let servers: Vec<_> = self.servers.keys().cloned().collect();
        for server in servers {
            if self.poll_at(&server).is_some_and(|at| at <= cx.now.instant) {
                self.poll(cx, &server);
            }
        }
    }

    /// Returns when the next poll of a server is due, or `None` while one is pending.
    pub(crate) fn poll_at(&self, server: &ServerId) -> Option<Instant> {
        let known = self.servers.get(server)?;
        if known.poll.is_some() {
            return None;
        }
        Some(match known.last_asked {
            Some(asked) => asked + self.poll_interval(known.failures),
            None => Instant::default(),
        })
    }

    /// Returns the time between polls of a server with this number of consecutive failures. A
    /// server that has failed more than [`FAILURES_UNTIL_DOWN`] times does not by itself raise the
    /// polling rate.
    fn poll_interval(&self, failures: u32) -> Duration {
        let suspected_for = self.suspicion.active_for(self.now);
        let failing = (1..=FAILURES_UNTIL_DOWN).contains(&failures);
        match suspected_for {
            Some(active_for) if active_for > LONG_SUSPICION => POLL_INTERVAL_LONG_SUSPICION,
            Some(_) => POLL_INTERVAL_SUSPECTED,
            None if failing || self.promotion.is_running() => POLL_INTERVAL_SUSPECTED,
            None => POLL_INTERVAL_QUIET,
        }
    }

    /// Keeps one long poll pending at each replica that does not hold the highest awaited record
    /// yet.
    pub(crate) fn watch_due(&mut self, cx: &mut Cx<'_>) {
        let Some(record) = self.awaited_record else {
            return;
        };
        if self.is_watch_pointless(record) {
            self.awaited_record = None;
            return;
        }
        let due: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, known)| known.needs_watch(record, self.now))
            .map(|(id, _)| id.clone())
            .collect();
        for server in due {
            if let Some(call) = self.call(cx, &server, CallKind::Watch(record))
                && let Some(known) = self.servers.get_mut(&server)
            {
                known.watch = Some((call, record));
                known.watch_sent = Some(cx.now.instant);
            }
        }
    }

    /// Returns whether waiting for a record is pointless: all servers hold it, or a later term
    /// replaced its term.
    fn is_watch_pointless(&self, record: TermPosition) -> bool {
        let everywhere = self.servers.values().all(|server| server.has_held(record));
        everywhere || self.holding(record) == Holding::Superseded || {
            let open_term = self.primary().map(|primary| primary.term);
            open_term > Some(record.term)
        }
    }

    /// Requests a tick at the next instant at which something is due.
    pub(crate) fn schedule(&mut self, cx: &mut Cx<'_>) {
        let polls = self
            .servers
            .keys()
            .filter_map(|server| self.poll_at(server));
        let down_times = self.servers.values().filter_map(|known| known.down_at());
        let watches = self.servers.values().filter_map(|known| known.watch_at());
        let next = polls
            .chain(down_times)
            .chain(watches)
            .chain(self.suspicion_at())
            .chain(self.promotion.due())
            .filter(|at| *at > self.now)
            .min();
        let Some(next) = next else {
            return;
        };
        let waiting = self.next_tick.filter(|next_tick| *next_tick > self.now);
        if waiting.is_none_or(|next_tick| next < next_tick) {
            self.next_tick = Some(next);
            cx.wake_at(next);
        }
    }
}
