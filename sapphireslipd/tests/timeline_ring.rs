//! Tests of the timeline ring: the fields of records, pages, and the removal of the oldest entries.

use std::net::{Ipv4Addr, SocketAddr};

use sapphireslip_core::{
    Incarnation, Local, RequestId, RequestNumber, TimelineEntry, TimelineKind, VmId, ZoneName,
};
use sapphireslipd::{TIMELINE_ENTRIES_MAX, TIMELINE_PAGE_ENTRIES, TimelineRing};

fn local() -> Local {
    Local {
        vm: VmId::try_from("vm-1").expect("name"),
        zone: ZoneName::try_from("a").expect("name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000)),
        incarnation: Incarnation(9),
    }
}

fn entry() -> TimelineEntry {
    TimelineEntry {
        kind: TimelineKind::RequestSent,
        request: Some(RequestId {
            entry: local().vm,
            incarnation: Incarnation(9),
            number: RequestNumber(4),
        }),
        session: None,
        database: None,
        server: None,
        peer: None,
        term: None,
        detail: "".into(),
    }
}

#[test]
fn record_time_and_process() {
    let ring = TimelineRing::default();
    let record = ring.record(&local(), 5 << 32, &entry());
    assert_eq!(record.number, 1);
    assert_eq!(record.time, (5u64 << 32).to_string());
    assert_eq!(record.unix_micros, 5_000_000);
    assert_eq!((record.vm.as_str(), record.zone.as_str()), ("vm-1", "a"));
    assert_eq!(record.kind, "RequestSent");
    assert_eq!(record.request.as_deref(), Some("vm-1/9/4"));
}

#[test]
fn page_after_page() {
    let ring = TimelineRing::default();
    for _ in 0..TIMELINE_PAGE_ENTRIES + 1 {
        ring.record(&local(), 0, &entry());
    }
    let first = ring.page(0);
    assert_eq!(first.entries.len(), TIMELINE_PAGE_ENTRIES);
    let second = ring.page(first.next);
    assert_eq!(second.entries.len(), 1);
    assert_eq!(second.entries[0].number, first.next);
    let third = ring.page(second.next);
    assert!(third.entries.is_empty());
    assert_eq!(third.next, second.next);
}

#[test]
fn ring_drops_the_oldest_entries() {
    let ring = TimelineRing::default();
    for _ in 0..TIMELINE_ENTRIES_MAX + 10 {
        ring.record(&local(), 0, &entry());
    }
    assert_eq!(
        ring.page(0).entries[0].number,
        11,
        "the first ten entries were removed"
    );
}
