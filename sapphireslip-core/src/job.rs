//! A request at the home of its database, from its arrival to its one final answer.

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{
    Answer, AnswerEnd, ConnectionId, Cx, Freshness, Incarnation, Instant, KeyedWrite, PeerMessage,
    Request, RequestId, ServerId, SessionId, StatementKind, TermPosition, TransactionStatus,
    Verdict, VmId,
};

/// What of a read's answer is held back, so that the read can still be moved to another server.
pub const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;

/// What of a write's answer is held back until a majority holds the write.
pub const WRITE_BUFFER_MAX_BYTES: usize = 1024 * 1024;

data! {
    /// A session over all daemons.
    #[derive(Hash, Ord, PartialOrd)]
    pub struct SessionKey {
        /// The entry daemon.
        pub entry: VmId,
        /// The run of the entry daemon.
        pub incarnation: Incarnation,
        /// The session there.
        pub session: SessionId,
    }

    /// A request that has not had its final answer.
    pub(crate) struct Job {
        pub(crate) request: Request,
        pub(crate) arrived: Instant,
        pub(crate) deadline: Instant,
        pub(crate) stage: Stage,
        /// What a server must show at least; none while it is still being learnt.
        pub(crate) floor: Option<TermPosition>,
        /// Whether only the primary will do.
        pub(crate) needs_primary: bool,
        /// Whether it was lost where it might have written.
        pub(crate) may_have_run: bool,
        /// Whether the server that it was sent to may have been the primary.
        pub(crate) could_write: bool,
        /// When a keyed write is given up to learn whether it ran.
        pub(crate) resolve_at: Option<Instant>,
        /// When it is tried at the earliest.
        pub(crate) not_before: Instant,
        /// When the group is asked again for the confirmed record.
        pub(crate) next_probe: Option<Instant>,
        /// Servers that have failed it.
        pub(crate) failed_on: Vec<ServerId>,
        pub(crate) keyed: Option<KeyedWrite>,
        buffer: Vec<u8>,
        parts: u32,
    }

    /// How far a request has come.
    pub(crate) enum Stage {
        /// Waits for a connection.
        Queued,
        /// Is at a server.
        Running(ConnectionId),
        /// Waits until a majority holds what it wrote.
        Acknowledging {
            record: TermPosition,
            verdict: Verdict,
        },
    }
}

key! {
    /// What is to be assumed of a request whose answer is lost.
    pub(crate) enum LossClass {
        /// It was rolled back or could not write.
        NotRun,
        /// It looks like a read but was where it could have written.
        Doubtful,
        /// It may have been run.
        Unknown,
    }
}

impl Job {
    pub(crate) fn new(request: Request, now: Instant, deadline: Instant) -> Self {
        let floor = match request.freshness {
            Freshness::AtLeast(token) => Some(token),
            Freshness::Probe => None,
        };
        let is_read = matches!(
            request.kind,
            StatementKind::Read | StatementKind::BeginReadOnly
        );
        Self {
            needs_primary: !is_read || request.key.is_some(),
            request,
            arrived: now,
            deadline,
            stage: Stage::Queued,
            floor,
            may_have_run: false,
            could_write: false,
            resolve_at: None,
            not_before: now,
            next_probe: None,
            failed_on: Vec::new(),
            keyed: None,
            buffer: Vec::new(),
            parts: 0,
        }
    }

    /// Returns the session that asks.
    pub(crate) fn session_key(&self) -> SessionKey {
        SessionKey {
            entry: self.request.id.entry.clone(),
            incarnation: self.request.id.incarnation,
            session: self.request.session,
        }
    }

    /// Returns whether what the session has seen must be learnt before the request may run.
    ///
    /// A write needs it not: it is acknowledged only in the term of a primary with a majority.
    pub(crate) fn needs_probe(&self) -> bool {
        self.floor.is_none()
            && !matches!(
                self.request.kind,
                StatementKind::Write | StatementKind::Commit | StatementKind::Rollback
            )
    }

    /// Returns whether this copy of the request, or one sent earlier, may have had an effect.
    pub(crate) fn is_doubtful(&self) -> bool {
        let may_write = !self.request.kind.is_rolled_back_if_lost();
        self.may_have_run || (self.request.resent && may_write)
    }

    /// Notes the proof that no copy of the request ran or ever will.
    pub(crate) fn note_never_runs(&mut self) {
        self.may_have_run = false;
        self.request.resent = false;
    }

    /// Returns whether a part of the answer has left.
    pub(crate) const fn has_answered(&self) -> bool {
        self.parts > 0
    }

    /// Returns what the loss of the connection means, `at_primary` being where the request was.
    pub(crate) fn loss_class(&self, may_write: bool, in_transaction: bool) -> LossClass {
        match self.request.kind {
            StatementKind::Commit => LossClass::Unknown,
            _ if in_transaction => LossClass::NotRun,
            StatementKind::Begin | StatementKind::BeginReadOnly | StatementKind::Rollback => {
                LossClass::NotRun
            }
            StatementKind::Read if !may_write => LossClass::NotRun,
            StatementKind::Read => LossClass::Doubtful,
            StatementKind::Write => LossClass::Unknown,
        }
    }

    /// Takes a part of the server's answer, and passes on what need not be held back.
    pub(crate) fn on_payload(&mut self, cx: &mut Cx<'_>, payload: &Bytes) {
        self.buffer.extend_from_slice(payload);
        let bound = match self.request.kind {
            StatementKind::Commit => WRITE_BUFFER_MAX_BYTES,
            _ if self.request.in_transaction => 0,
            _ if self.needs_primary => WRITE_BUFFER_MAX_BYTES,
            _ => READ_BUFFER_MAX_BYTES,
        };
        if self.buffer.len() > bound {
            self.send(cx, None);
        }
    }

    /// Drops what was held back, since another answer takes its place.
    pub(crate) fn replace_buffer(&mut self, answer: Vec<u8>) {
        self.buffer = answer;
    }

    /// Sends what was held back, and the end.
    pub(crate) fn send(&mut self, cx: &mut Cx<'_>, end: Option<AnswerEnd>) {
        let answer = Answer {
            id: self.request.id.clone(),
            part: self.parts,
            payload: std::mem::take(&mut self.buffer).into(),
            end,
        };
        self.parts += 1;
        cx.send(self.request.id.entry.clone(), PeerMessage::Answer(answer));
    }
}

data! {
    /// The transaction that a session has open, with a connection of its own.
    pub(crate) struct Transaction {
        pub(crate) connection: ConnectionId,
        pub(crate) status: TransactionStatus,
        /// When its last statement ended.
        pub(crate) last_statement_ended: Instant,
    }

    /// A point in time at which a request is looked at again.
    #[derive(Ord, PartialOrd)]
    pub(crate) struct Timer {
        pub(crate) at: Instant,
        pub(crate) id: RequestId,
    }
}
