//! Entries of the time line about VMs, documents and stops.

use crate::{Cx, Text, TimelineEntry, TimelineKind, VmId};

/// Adds an entry that is about no request.
pub(crate) fn record(cx: &mut Cx<'_>, kind: TimelineKind, peer: Option<VmId>, detail: Text) {
    cx.record(TimelineEntry {
        kind,
        request: None,
        session: None,
        database: None,
        server: None,
        peer,
        term: None,
        detail,
    });
}
