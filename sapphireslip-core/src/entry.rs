//! The sessions of callers at this daemon, and their requests.

use crate::derives::data;
use crate::{Answer, CallerEvent, Cx, Fleet, VmId};

data! {
    /// All sessions at this daemon.
    #[derive(Default)]
    pub struct Entry {}
}

impl Entry {
    pub(crate) fn on_caller(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>, _event: CallerEvent) {}

    pub(crate) fn on_answer(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>, _answer: Answer) {}

    pub(crate) fn on_peer_lost(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>, _vm: &VmId) {}

    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>, _fleet: Fleet<'_>) {}

    /// Closes idle sessions and lets the others end.
    pub(crate) fn begin_drain(&mut self, _cx: &mut Cx<'_>) {}

    /// Returns whether no session is left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }
}
