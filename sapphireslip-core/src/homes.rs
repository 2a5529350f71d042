//! The set of databases that have their home at this daemon, and the routing of events to them.

use std::collections::BTreeMap;

use crate::admission::refuse_unknown_database;
use crate::derives::data;
use crate::link::HomeIds;
use crate::placement::is_home;
use crate::{
    BackendEvent, ConnectionId, Cx, DatabaseName, Fleet, Home, Incarnation, PeerMessage, Request,
    RequestId, SessionId, VmId,
};

data! {
    /// All databases of which this daemon is the home, or was until recently and has not yet
    /// finished the work.
    #[derive(Default)]
    pub struct Homes {
        /// The homes that are open or being closed, by database.
        homes: BTreeMap<DatabaseName, Home>,
        /// Allocates the ids of connections and of work for all homes.
        ids: HomeIds,
    }
}

impl Homes {
    /// Opens, updates and closes homes after a change of the documents or of the VMs.
    pub(crate) fn sync(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        for document in fleet.configuration.documents() {
            for spec in &document.databases {
                let is_home = is_home(fleet.membership, spec);
                match self.homes.get_mut(&spec.name) {
                    Some(home) => home.update(cx, spec, is_home),
                    None if is_home => {
                        let home = Home::open(cx, fleet, spec);
                        self.homes.insert(spec.name.clone(), home);
                    }
                    None => {}
                }
            }
        }
        for home in self.homes.values_mut() {
            if fleet.configuration.database(&home.spec.name).is_none() {
                home.begin_close(cx);
                home.refuse_queued(cx);
            }
        }
        self.advance_all(cx, fleet);
    }

    /// Passes a request to the home of its database, or refuses it if no document names the
    /// database.
    pub(crate) fn on_request(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        _from: &VmId,
        request: Request,
    ) {
        let Some(spec) = fleet.configuration.database(&request.database) else {
            refuse_unknown_database(cx, request);
            return;
        };
        // The entry daemon may learn earlier than this one that the home has moved here.
        let home = self
            .homes
            .entry(request.database.clone())
            .or_insert_with(|| Home::open(cx, fleet, spec));
        home.accept(cx, fleet, &mut self.ids, request);
        home.advance(cx, fleet, &mut self.ids);
    }

    /// Cancels a request at whichever home has it.
    pub(crate) fn on_cancel(&mut self, cx: &mut Cx<'_>, request: &RequestId) {
        for home in self.homes.values_mut() {
            home.cancel(cx, request);
        }
        cx.wake_at(cx.now.instant);
    }

    /// Cancels the queued requests and rolls back the transaction of a session that its client
    /// closed; a commit that is running is left to finish.
    pub(crate) fn on_session_closed(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        incarnation: Incarnation,
        session: SessionId,
    ) {
        for home in self.homes.values_mut() {
            home.on_session_closed(cx, from, incarnation, session);
        }
        cx.wake_at(cx.now.instant);
    }

    /// Handles an event of a backend server or of its connections.
    pub(crate) fn on_backend(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>, event: BackendEvent) {
        match event {
            BackendEvent::Connected { connection } => {
                self.with_home_of_connection(cx, fleet, connection, |home, cx, _| {
                    home.on_connected(cx, connection);
                });
            }
            BackendEvent::ConnectFailed {
                connection,
                failure,
            } => self.with_home_of_connection(cx, fleet, connection, |home, cx, _| {
                home.on_connect_failed(cx, connection, failure);
            }),
            BackendEvent::Answered {
                connection,
                work,
                payload,
                end,
            } => self.with_home_of_connection(cx, fleet, connection, |home, cx, ids| {
                home.on_answered(cx, ids, connection, work, &payload, end.as_ref());
            }),
            BackendEvent::Lost { connection } => {
                self.with_home_of_connection(cx, fleet, connection, |home, cx, _| {
                    home.on_connection_lost(cx, connection);
                });
            }
            BackendEvent::GroupReply {
                server,
                call,
                result,
            } => {
                let Self { homes, ids } = self;
                for home in homes.values_mut() {
                    if !home.group.on_reply(cx, fleet, call, &server, &result) {
                        continue;
                    }
                    if result.is_ok() {
                        home.last_group_replies.insert(server, cx.now.instant);
                    }
                    home.queue.wake_conditions.note_group_update();
                    home.advance(cx, fleet, ids);
                    break;
                }
            }
        }
    }

    /// Handles the peer messages `ConfirmSuspicion`, `Suspicion` and `Promoted`, and ignores
    /// others.
    pub(crate) fn on_group_message(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        from: &VmId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::ConfirmSuspicion { database, term } => {
                self.with_home(cx, fleet, &database, |home, cx| {
                    home.group.on_confirm_suspicion(cx, from, term);
                });
            }
            PeerMessage::Suspicion {
                database,
                term,
                confirmed,
            } => self.with_home(cx, fleet, &database, |home, cx| {
                home.group.on_suspicion(cx, fleet, from, term, confirmed);
            }),
            PeerMessage::Promoted { database, term } => {
                self.with_home(cx, fleet, &database, |home, cx| {
                    home.group.on_promoted(cx, term);
                });
            }
            _ => {}
        }
    }

    /// Cleans up after all sessions of an entry daemon that is lost.
    pub(crate) fn on_peer_lost(&mut self, cx: &mut Cx<'_>, vm: &VmId) {
        for home in self.homes.values_mut() {
            home.on_entry_lost(cx, vm);
        }
        cx.wake_at(cx.now.instant);
    }

    /// Does what is due at the present time in all homes.
    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        for home in self.homes.values_mut() {
            home.group.on_tick(cx, fleet);
        }
        self.advance_all(cx, fleet);
    }

    /// Returns whether no home has a request or an open transaction left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.homes.values().all(Home::is_idle)
    }

    /// Returns the homes in the order of their databases, for the operator's view and for tests.
    pub fn homes(&self) -> impl Iterator<Item = &Home> {
        self.homes.values()
    }

    /// Advances all homes and removes those that are closed.
    fn advance_all(&mut self, cx: &mut Cx<'_>, fleet: Fleet<'_>) {
        let Self { homes, ids } = self;
        for home in homes.values_mut() {
            home.advance(cx, fleet, ids);
        }
        homes.retain(|_, home| !home.is_closed());
    }

    /// Calls `then` on the home of a database and advances the home; does nothing without a home.
    fn with_home(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        database: &DatabaseName,
        then: impl FnOnce(&mut Home, &mut Cx<'_>),
    ) {
        if let Some(home) = self.homes.get_mut(database) {
            then(home, cx);
            home.advance(cx, fleet, &mut self.ids);
        }
    }

    /// Calls `then` on the home that has a connection and advances the home; does nothing if no
    /// home has it.
    fn with_home_of_connection(
        &mut self,
        cx: &mut Cx<'_>,
        fleet: Fleet<'_>,
        connection: ConnectionId,
        then: impl FnOnce(&mut Home, &mut Cx<'_>, &mut HomeIds),
    ) {
        let Self { homes, ids } = self;
        let home = homes
            .values_mut()
            .find(|home| home.links.contains_key(&connection));
        if let Some(home) = home {
            then(home, cx, ids);
            home.advance(cx, fleet, ids);
        }
    }
}
