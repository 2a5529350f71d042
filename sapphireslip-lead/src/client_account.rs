//! The accounts of sessions: who a client is by its key, and what follows when a configuration no
//! longer names the key or gives it to another account.

use sapphireslip_core::{AccountName, ConnectionId, SessionId};

use crate::job::{JobId, Stage};
use crate::session::Opening;
use crate::state::State;
use crate::{Accounts, Catalog, Effect, ErrorCode, Failure, KeyDigest, Record, RecordKind, Route};

/// Why a transaction ends when a configuration gives the key of its client to another account.
pub(crate) const KEY_MOVED: &str = "the key of the client belongs to another account";

impl State {
    /// Returns the account of a client by its key, or the failure if the route needs an account and
    /// the key belongs to none.
    ///
    /// The account is none if clients need no key, as the deployment has no accounts, or if the route is
    /// public and the key is unknown.
    pub(crate) fn identify(
        &self,
        key: Option<KeyDigest>,
        route: &Route,
    ) -> Result<Option<AccountName>, Failure> {
        let accounts = self.catalog.as_ref().map(|catalog| &catalog.accounts);
        if !accounts.is_some_and(Accounts::are_required) {
            return Ok(None);
        }
        match self.account_by_key(key) {
            Some(account) => Ok(Some(account.clone())),
            None if route.is_public => Ok(None),
            None => {
                let text = "the key belongs to no account";
                Err(Failure::new(ErrorCode::NoAccount, text))
            }
        }
    }

    /// Returns the state of a daemon whose settings say that clients need keys, whatever its
    /// configurations lack.
    #[must_use]
    pub fn with_required_accounts(mut self) -> Self {
        self.requires_accounts = true;
        self
    }

    /// Has clients need keys by a new configuration if they did by an earlier one or by the settings: a
    /// list of accounts that is missing names nobody, and does not let everybody in.
    pub(crate) fn keep_accounts_required(&mut self, catalog: &mut Catalog) {
        self.requires_accounts |= catalog.accounts.are_required();
        if !self.requires_accounts {
            return;
        }
        catalog.accounts.require();
        if catalog.accounts.all().next().is_none() {
            let detail = "the configuration names no account; clients need a key all the same";
            self.log(Record::new(RecordKind::AccountIgnored, detail.into()));
        }
    }

    /// Returns the account of a session by the present configuration, as [`Self::identify`].
    ///
    /// If the session's database has no route any more, its transaction's route decides whether an account is
    /// needed; without a transaction, the session is not refused for its key.
    pub(crate) fn identify_session(&self, id: SessionId) -> Result<Option<AccountName>, Failure> {
        let Some(session) = self.sessions.get(&id) else {
            return Ok(None);
        };
        let transaction = session.transaction.as_ref();
        let route = self
            .route_to(&session.database)
            .or(transaction.map(|transaction| &transaction.route));
        match route {
            Some(route) => self.identify(session.key, route),
            None => Ok(self.account_by_key(session.key).cloned()),
        }
    }

    /// Returns the account that a key belongs to in the present configuration.
    fn account_by_key(&self, key: Option<KeyDigest>) -> Option<&AccountName> {
        let account = self.catalog.as_ref()?.accounts.by_key(&key?)?;
        Some(&account.name)
    }

    /// Returns the account of a session; none if it has none.
    pub(crate) fn account_of(&self, id: SessionId) -> Option<AccountName> {
        self.identify_session(id).ok().flatten()
    }

    /// Applies the accounts of a new configuration to the sessions.
    ///
    /// Sessions whose key belongs to no account any more are closed, and what those do whose key belongs
    /// to another account than before is ended or done for the new one. A statement that waits is refused
    /// or counts against the new account, and an idle transaction is rolled back. A statement that runs at
    /// a server is answered first.
    pub(crate) fn apply_accounts(&mut self, earlier: Option<&Accounts>) {
        let served: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in served {
            match self.identify_session(id) {
                Err(failure) => self.revoke_session(id, failure),
                Ok(account) => {
                    let key = self.sessions.get(&id).and_then(|session| session.key);
                    let before = key.zip(earlier).and_then(|(key, all)| all.by_key(&key));
                    if before.map(|before| &before.name) != account.as_ref() {
                        self.change_account(id);
                    }
                }
            }
        }
        let is_revoked = |client: &Opening| {
            let route = self.route_to(&client.database);
            route.is_some_and(|route| self.identify(client.key, route).is_err())
        };
        for id in self.relays.opened_with(is_revoked) {
            self.relays.mark_closing(id);
            self.effects.push(Effect::CloseWhenIdle { session: id });
        }
    }

    /// Ends what a session does for an account that its key belonged to, or does it for the present one.
    fn change_account(&mut self, id: SessionId) {
        self.note_session_account(id);
        let running = self.sessions.get(&id).and_then(|session| session.running);
        match running.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, queued)) if queued.stage == Stage::Queued => {
                if let Some(queue) = self.queues.get_mut(&queued.service) {
                    queue.remove(job);
                }
                if self.take_present_account(job) {
                    self.enqueue(job);
                }
            }
            Some(_) => {}
            None => self.end_transaction_of_earlier_account(id),
        }
    }

    /// Has a statement that is about to wait run for the present account of its session.
    ///
    /// Returns false if the statement can't wait, as its key belongs to no account, its transaction has begun
    /// for another account, or the limit of the account is reached: then it has been answered.
    pub(crate) fn take_present_account(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let account = match self.identify_session(job.session) {
            Ok(account) => account,
            Err(failure) => {
                self.fail(id, failure);
                return false;
            }
        };
        if job.account == account {
            return true;
        }
        if self.bound_connection(job).is_some() {
            self.fail(id, Failure::new(ErrorCode::Aborted, KEY_MOVED));
            return false;
        }
        if let Some(mut job) = self.jobs.remove(&id) {
            self.withdraw_token(&job);
            (job.account, job.needs_token) = (account, false);
            self.jobs.insert(id, job);
        }
        self.admit_by_limit(id)
    }

    /// Rolls back the transaction of a session, which runs no statement, if it is open on a connection of
    /// another account than the session's present one.
    pub(crate) fn end_transaction_of_earlier_account(&mut self, id: SessionId) {
        let session = self.sessions.get(&id);
        let transaction = session.and_then(|session| session.transaction.as_ref());
        let connection = transaction.and_then(|transaction| transaction.connection);
        if connection.is_some_and(|connection| !self.serves_account_of(connection, id)) {
            self.abort_transaction(id, KEY_MOVED);
        }
    }

    /// Returns whether a connection serves the present account of a session.
    pub(crate) fn serves_account_of(&self, connection: ConnectionId, id: SessionId) -> bool {
        let at = self.pool.get(connection);
        at.is_none_or(|at| at.account() == self.account_of(id).as_ref())
    }

    /// Ends the work of a session whose key was taken away, and closes it.
    fn revoke_session(&mut self, id: SessionId, failure: Failure) {
        let running = self.sessions.get(&id).and_then(|session| session.running);
        match running.and_then(|job| Some((job, self.jobs.get(&job)?))) {
            Some((job, queued)) if queued.stage == Stage::Queued => self.fail(job, failure),
            Some(_) => {}
            None => self.abort_transaction(id, "the key of the client was taken away"),
        }
        self.close_when_idle(id);
    }
}
