//! The accounts of sessions: who a client is by its key, and what follows when a configuration no
//! longer names the key.

use sapphireslip_core::{AccountName, SessionId};

use crate::job::Stage;
use crate::session::Opening;
use crate::state::State;
use crate::{Catalog, Effect, ErrorCode, Failure, KeyDigest, Record, RecordKind, Route};

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
        let Some(accounts) = accounts.filter(|accounts| accounts.are_required()) else {
            return Ok(None);
        };
        match key.and_then(|key| accounts.by_key(&key)) {
            Some(account) => Ok(Some(account.name.clone())),
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
    /// A session whose database has no route any more is not refused for its key.
    pub(crate) fn identify_session(&self, id: SessionId) -> Result<Option<AccountName>, Failure> {
        let Some(session) = self.sessions.get(&id) else {
            return Ok(None);
        };
        match self.route_to(&session.database) {
            Some(route) => self.identify(session.key, route),
            None => Ok(None),
        }
    }

    /// Returns the account of a session; none if it has none.
    pub(crate) fn account_of(&self, id: SessionId) -> Option<AccountName> {
        self.identify_session(id).ok().flatten()
    }

    /// Closes the sessions whose key a new configuration no longer names.
    ///
    /// A statement that waits is refused, and an idle transaction is rolled back. A statement that
    /// runs at a server is answered first.
    pub(crate) fn close_revoked_sessions(&mut self) {
        let served: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in served {
            if let Err(failure) = self.identify_session(id) {
                self.revoke_session(id, failure);
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
