//! The drain of this daemon: its graceful stop.

use std::time::Duration;

use crate::derives::data;
use crate::{Cx, Effect, Instant, TimelineEntry, TimelineKind};

/// The minimum time between the announcement to peers and the exit, during which peers may still
/// send requests. A drain with a shorter bound exits earlier.
pub const DRAIN_NOTICE: Duration = Duration::from_millis(500);

data! {
    /// The state of a drain: the daemon accepts no new connections, finishes what is running and
    /// exits.
    #[derive(Default)]
    pub struct Drain {
        /// The earliest time of the exit; `None` before the drain begins.
        earliest_exit: Option<Instant>,
        /// The latest time of the exit, even if work is left; `None` before the drain begins.
        latest_exit: Option<Instant>,
        /// Whether the drain has ended and the daemon was told to exit.
        is_finished: bool,
    }
}

impl Drain {
    /// Returns whether a drain has begun.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.latest_exit.is_some()
    }

    /// Returns whether the bound has passed, so that the remaining sessions must be closed.
    pub(crate) fn is_past_bound(&self, now: Instant) -> bool {
        self.latest_exit
            .is_some_and(|latest_exit| latest_exit <= now)
    }

    /// Begins the drain; open transactions may continue for `bound`. Later calls have no effect.
    ///
    /// ```
    /// use sapphireslip_core::{Cx, Drain, Incarnation, Local, Now, Random, VmId, ZoneName};
    /// use std::time::Duration;
    /// let local = Local {
    ///     vm: VmId::try_from("vm-1")?,
    ///     zone: ZoneName::try_from("a")?,
    ///     address: "10.0.0.1:7000".parse()?,
    ///     incarnation: Incarnation(1),
    /// };
    /// let mut drain = Drain::default();
    /// drain.begin(
    ///     &mut Cx {
    ///         now: Now::default(),
    ///         local: &local,
    ///         random: &mut Random::new(1),
    ///         next_call: &mut sapphireslip_core::CallId(0),
    ///         effects: &mut Vec::new(),
    ///         outgoing: &mut Vec::new(),
    ///     },
    ///     Duration::from_secs(5),
    /// );
    /// assert!(drain.is_draining());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn begin(&mut self, cx: &mut Cx<'_>, bound: Duration) {
        if self.is_draining() {
            return;
        }
        let latest_exit = cx.now.instant + bound;
        let earliest_exit = latest_exit.min(cx.now.instant + DRAIN_NOTICE);
        self.latest_exit = Some(latest_exit);
        self.earliest_exit = Some(earliest_exit);
        cx.effects.push(Effect::Ready(false));
        let detail = format!("bound {bound:?}");
        cx.record(TimelineEntry::of(TimelineKind::DrainStarted).detail(&detail));
        cx.wake_at(earliest_exit);
        cx.wake_at(latest_exit);
    }

    /// Ends the drain once the bound has passed, or once nothing is left to do (`is_idle`) and
    /// [`DRAIN_NOTICE`] has passed.
    ///
    /// ```
    /// # use sapphireslip_core::{Cx, Drain, Effect};
    /// fn step(drain: &mut Drain, cx: &mut Cx<'_>) -> bool {
    ///     drain.on_tick(cx, true);
    ///     cx.effects.contains(&Effect::Exit)
    /// }
    /// ```
    pub fn on_tick(&mut self, cx: &mut Cx<'_>, is_idle: bool) {
        let (Some(earliest_exit), Some(latest_exit)) = (self.earliest_exit, self.latest_exit)
        else {
            return;
        };
        let now = cx.now.instant;
        let may_leave = now >= latest_exit || (is_idle && now >= earliest_exit);
        if self.is_finished || !may_leave {
            return;
        }
        self.is_finished = true;
        let detail = if is_idle {
            "all work is finished"
        } else {
            "the bound passed with work left"
        };
        cx.record(TimelineEntry::of(TimelineKind::DrainFinished).detail(detail));
        cx.effects.push(Effect::Exit);
    }
}
