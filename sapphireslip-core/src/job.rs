//! The state of a request at the home of its database, from its arrival to its final answer.

use bytes::Bytes;

use crate::derives::{data, key};
use crate::{
    Answer, AnswerEnd, ConnectionId, Cx, Freshness, Incarnation, Instant, KeyedWrite, PeerMessage,
    Request, RequestId, ServerId, SessionId, StatementKind, TermPosition, TransactionStatus,
    Verdict, VmId,
};

/// How much of a read's answer is held back, so that the read can still be retried on another
/// server.
pub const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;

/// How much of a write's answer is held back until a majority of the group holds the write.
pub const WRITE_BUFFER_MAX_BYTES: usize = 1024 * 1024;

data! {
    /// Identifies a client's session among the sessions of all daemons.
    #[derive(Hash, Ord, PartialOrd)]
    pub struct SessionKey {
        /// The VM of the entry daemon, to which the client is connected.
        pub entry: VmId,
        /// The incarnation of the entry daemon, which changes with each of its starts.
        pub incarnation: Incarnation,
        /// The session's number at the entry daemon.
        pub session: SessionId,
    }

    /// A request that has not had its final answer yet.
    pub(crate) struct Job {
        /// The request as the entry daemon sent it.
        pub(crate) request: Request,
        /// When the request arrived at the home.
        pub(crate) arrived: Instant,
        /// When the final answer must be sent at the latest.
        pub(crate) deadline: Instant,
        /// How far the request has come.
        pub(crate) stage: Stage,
        /// The floor: the least log position that a server must have to serve the request, so that
        /// the session doesn't fall behind what it has seen; none while that is not yet known.
        pub(crate) floor: Option<TermPosition>,
        /// Whether only the primary can serve the request.
        pub(crate) needs_primary: bool,
        /// Whether a copy of the request may have had an effect, since its answer was lost at a
        /// server where it could write or its outcome could not be confirmed.
        pub(crate) may_have_run: bool,
        /// Whether the server that the request was last sent to may have been the primary then.
        pub(crate) could_write: bool,
        /// When a keyed write is abandoned to learn whether it ran; none for requests for which
        /// that can't be learnt from a key.
        pub(crate) resolve_at: Option<Instant>,
        /// The earliest time at which the request may be sent.
        pub(crate) not_before: Instant,
        /// When the group may be probed again for the request; none before the first probe.
        pub(crate) next_probe: Option<Instant>,
        /// The servers at which the request was lost; a read is not sent there again.
        pub(crate) failed_on: Vec<ServerId>,
        /// The progress of a keyed write; none for a request without a key.
        pub(crate) keyed: Option<KeyedWrite>,
        /// The bytes of the answer that are held back.
        buffer: Vec<u8>,
        /// How many parts of the answer have been sent.
        parts: u32,
    }

    /// How far a request has come.
    pub(crate) enum Stage {
        /// The request waits for a connection.
        Queued,
        /// The request is at a server, on this connection.
        Running(ConnectionId),
        /// The request is done at its server and waits until a majority holds its log record.
        Acknowledging {
            /// The log record that a majority must hold.
            record: TermPosition,
            /// What the client is told once a majority holds the record.
            verdict: Verdict,
        },
    }
}

key! {
    /// What has to be assumed of a request whose answer is lost.
    pub(crate) enum LossClass {
        /// The request was rolled back or could not write.
        NotRun,
        /// The request looks like a read, but was at a server where a function that it calls could
        /// have written.
        Doubtful,
        /// The request may have run.
        Unknown,
    }
}

impl Job {
    /// Returns the state of a request that arrives now.
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

    /// Returns the session that sent the request.
    pub(crate) fn session_key(&self) -> SessionKey {
        SessionKey {
            entry: self.request.id.entry.clone(),
            incarnation: self.request.id.incarnation,
            session: self.request.session,
        }
    }

    /// Returns whether the group must be probed for the floor before the request may run.
    ///
    /// A write needs no floor: it is acknowledged only in the term of a primary with a majority.
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

    /// Records the proof that no copy of the request has run or ever will.
    pub(crate) fn note_never_runs(&mut self) {
        self.may_have_run = false;
        self.request.resent = false;
    }

    /// Returns whether a part of the answer has been sent.
    pub(crate) const fn has_answered(&self) -> bool {
        self.parts > 0
    }

    /// Returns what the loss of the connection means for the request; `may_write` says whether it
    /// was at a server where it could write.
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

    /// Adds a part of the server's answer, and sends all that is held back if it exceeds the limit.
    /// Within a transaction only the answer to a commit is held back: other statements can't be
    /// retried and don't wait for a majority.
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

    /// Replaces the part of the answer that is held back.
    pub(crate) fn replace_buffer(&mut self, answer: Vec<u8>) {
        self.buffer = answer;
    }

    /// Sends what is held back of the answer, with its end if there is one.
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
    /// An open transaction of a session, to which a connection is pinned.
    pub(crate) struct Transaction {
        /// The connection that only this transaction uses.
        pub(crate) connection: ConnectionId,
        /// The transaction status that the server last reported.
        pub(crate) status: TransactionStatus,
        /// When the transaction's last statement ended.
        pub(crate) last_statement_ended: Instant,
    }

    /// A time at which a request is checked again.
    #[derive(Ord, PartialOrd)]
    pub(crate) struct Timer {
        /// When the request is checked.
        pub(crate) at: Instant,
        /// The request.
        pub(crate) id: RequestId,
    }
}
