//! Decides how a waiting statement gets a connection to a server.

use std::cmp::Reverse;
use std::time::Duration;

use sapphireslip_core::{ConnectionId, Instant, data};

use crate::choice::Candidate;

/// How long it takes to open a connection: 12 ms of a slot of the server, and a round trip of up to
/// 3 ms.
pub(crate) const OPENING_TIME: Duration = Duration::from_millis(15);

/// How long a statement waits for a connection of its account that is in use before an idle one of
/// another account is closed for it. That is longer than before a mere opening, as the other account
/// has to open its connection again.
const REPLACEMENT_PATIENCE: Duration = Duration::from_millis(45);

data! {
    /// A connection to a server, as a waiting statement sees it.
    pub(crate) struct Held {
        /// The connection.
        pub(crate) id: ConnectionId,
        /// Whether the connection serves the account of the statement.
        pub(crate) is_own: bool,
        /// The present use.
        pub(crate) usage: Usage,
        /// Whether the connection has carried a statement, or has had the time to.
        pub(crate) was_used: bool,
        /// When the last statement was sent on the connection; before the first, when its opening
        /// began.
        pub(crate) last_used: Instant,
        /// When the connection was opened or last carried an answer.
        pub(crate) last_heard: Instant,
        /// The number of requests that would bring the connection to the state of the session.
        pub(crate) setup_count: usize,
    }

    /// The use of a connection.
    pub(crate) enum Usage {
        /// The connection is being opened.
        Opening,
        /// The connection is idle.
        Free,
        /// A single statement or a request of this daemon runs, and usually still does for this
        /// time; zero if it has taken longer than usual already.
        Busy(Duration),
        /// A transaction is open.
        Transaction,
    }

    /// The limits for a server at present.
    pub(crate) struct ConnectionLimits {
        /// The connections that this daemon may have.
        pub(crate) connections: usize,
        /// The connections that this daemon may open at the same time.
        pub(crate) openings: usize,
        /// The statements that this daemon may send in addition to those that run.
        pub(crate) statements_left: usize,
        /// Whether the server may get new work.
        pub(crate) may_get_new_work: bool,
        /// Whether a connection may be opened in addition to the present ones.
        pub(crate) may_open: bool,
        /// Whether a connection may be opened in place of another one.
        pub(crate) may_replace: bool,
    }

    /// How a waiting statement gets a connection.
    pub(crate) enum ConnectionChoice {
        /// The statement can be sent on this connection.
        Use(ConnectionId),
        /// A connection of the account is being opened or probably free soon.
        Wait,
        /// A connection has to be opened.
        Open,
        /// This idle connection of another account has to be closed, and one to be opened.
        Replace(ConnectionId),
        /// None of these is possible now.
        Unavailable,
    }
}

/// Decides how a statement that has waited for `waited` gets a connection.
///
/// A new connection is not replaced before the statement that it was opened for could use it: while the
/// server is saturated, an account would open connections and lose each again.
///
/// A free connection of the account is taken: the one that needs the fewest requests to take over
/// the state of the session, and of equals the one that answered last, as it is the least likely to
/// be dead. Each account has at most one connection being opened, so that one with many statements
/// does not keep the others from theirs.
///
/// `waits_for_own` says whether a short wait for a connection in use is preferred to an opening, as
/// where connections of several accounts share a server.
pub(crate) fn choose_connection(
    held: &[Held],
    limits: &ConnectionLimits,
    waited: Duration,
    waits_for_own: bool,
) -> ConnectionChoice {
    let own = || held.iter().filter(|held| held.is_own);
    let free = own()
        .filter(|held| held.usage == Usage::Free)
        .min_by_key(|held| (held.setup_count, Reverse(held.last_heard)));
    if let Some(free) = free
        && limits.statements_left > 0
        && limits.may_get_new_work
    {
        return ConnectionChoice::Use(free.id);
    }
    if own().any(|held| held.usage == Usage::Opening) {
        return ConnectionChoice::Wait;
    }
    let is_free_soon = |held: &Held| match held.usage {
        Usage::Busy(rest) => rest <= OPENING_TIME,
        Usage::Opening | Usage::Free | Usage::Transaction => false,
    };
    if waits_for_own && waited < OPENING_TIME && own().any(is_free_soon) {
        return ConnectionChoice::Wait;
    }
    // An opening takes a slot of the server, as a statement does.
    let openings = held.iter().filter(|held| held.usage == Usage::Opening);
    if openings.count() >= limits.openings.min(limits.statements_left) {
        return ConnectionChoice::Unavailable;
    }
    if held.len() < limits.connections && limits.may_open {
        return ConnectionChoice::Open;
    }
    let idle = held
        .iter()
        .filter(|held| !held.is_own && held.usage == Usage::Free && held.was_used);
    let Some(oldest) = idle.min_by_key(|held| held.last_used) else {
        return ConnectionChoice::Unavailable;
    };
    if waited < REPLACEMENT_PATIENCE && own().any(|held| matches!(held.usage, Usage::Busy(_))) {
        ConnectionChoice::Wait
    } else if limits.may_replace {
        ConnectionChoice::Replace(oldest.id)
    } else {
        ConnectionChoice::Unavailable
    }
}

/// Puts a server where a connection can be opened, or is expected, before the first one where a
/// connection would have to be replaced, if it costs no more than the account that loses the
/// connection needs to open it again.
pub(crate) fn avoid_replacement(choices: &mut [(Candidate, ConnectionChoice)]) {
    let is_possible = |(_, choice): &(Candidate, ConnectionChoice)| {
        !matches!(choice, ConnectionChoice::Unavailable)
    };
    let Some(first) = choices.iter().position(is_possible) else {
        return;
    };
    let Some((candidate, ConnectionChoice::Replace(_))) = choices.get(first) else {
        return;
    };
    let cost_max = candidate.cost + OPENING_TIME;
    let other = choices.iter().position(|(candidate, choice)| {
        let has_room = matches!(choice, ConnectionChoice::Open | ConnectionChoice::Wait);
        has_room && candidate.cost <= cost_max
    });
    if let Some(other) = other {
        choices.swap(first, other);
    }
}
