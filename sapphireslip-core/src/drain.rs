//! The graceful stop of this daemon.

use std::time::Duration;

use crate::derives::data;
use crate::{Cx, Instant};

data! {
    /// How far a graceful stop has come.
    #[derive(Default)]
    pub struct Drain {
        until: Option<Instant>,
    }
}

impl Drain {
    /// Returns whether a stop has begun.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.until.is_some()
    }

    /// Begins the stop; open transactions may go on for `bound`.
    pub(crate) fn begin(&mut self, _cx: &mut Cx<'_>, _bound: Duration) {}

    /// Ends the stop once nothing is left to do or the bound has passed.
    pub(crate) fn on_tick(&mut self, _cx: &mut Cx<'_>, _is_idle: bool) {}
}
