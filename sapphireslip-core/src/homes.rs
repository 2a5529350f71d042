//! The databases of which this daemon is the home.

use crate::derives::data;
use crate::{
    BackendEvent, Cx, Fleet, Incarnation, PeerMessage, Request, RequestId, SessionId, VmId,
};

data! {
    /// All databases of which this daemon is, or lately was, the home.
    #[derive(Default)]
    pub struct Homes {}
}

impl Homes {
    /// Follows changes of documents and of VMs: opens and closes homes.
    pub(crate) fn sync(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>) {}

    pub(crate) fn on_request(
        &mut self,
        _cx: &mut Cx<'_>,
        _fleet: Fleet<'_>,
        _from: &VmId,
        _request: Request,
    ) {
    }

    pub(crate) fn on_cancel(&mut self, _cx: &mut Cx<'_>, _request: &RequestId) {}

    pub(crate) fn on_session_closed(
        &mut self,
        _cx: &mut Cx<'_>,
        _from: &VmId,
        _incarnation: Incarnation,
        _session: SessionId,
    ) {
    }

    pub(crate) fn on_backend(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>, _event: BackendEvent) {
    }

    /// Takes `ConfirmSuspicion`, `Suspicion` and `Promoted`.
    pub(crate) fn on_group_message(
        &mut self,
        _cx: &mut Cx<'_>,
        _fleet: Fleet<'_>,
        _from: &VmId,
        _message: PeerMessage,
    ) {
    }

    pub(crate) fn on_peer_lost(&mut self, _cx: &mut Cx<'_>, _vm: &VmId) {}

    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>) {}

    /// Returns whether no request and no open transaction is left here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }
}
