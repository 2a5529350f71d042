//! The timeline as text and as a page: order, grouping by request, gaps and escaping.

use rstest::rstest;
use sapphireslip::{TimelineLine, timeline_html, timeline_text};

/// Returns an entry at a time in microseconds since the Unix epoch.
fn line(micros: u64, vm: &str, kind: &str, request: Option<&str>) -> TimelineLine {
    TimelineLine {
        number: micros,
        time: micros.to_string(),
        unix_micros: micros,
        vm: vm.to_owned(),
        zone: "a".to_owned(),
        incarnation: 1,
        kind: kind.to_owned(),
        request: request.map(str::to_owned),
        session: None,
        database: None,
        server: None,
        peer: None,
        term: None,
        detail: String::new(),
    }
}

/// Returns the interleaved entries of two requests, and a suspected primary 900 ms later.
fn lines() -> Vec<TimelineLine> {
    vec![
        line(1_000, "vm-0", "RequestReceived", Some("vm-0/7/1")),
        line(1_500, "vm-0", "RequestReceived", Some("vm-0/7/2")),
        line(2_000, "vm-1", "RequestSent", Some("vm-0/7/1")),
        line(3_250, "vm-0", "RequestFinished", Some("vm-0/7/1")),
        line(4_000, "vm-0", "RequestRefused", Some("vm-0/7/2")),
        line(904_000, "vm-1", "PrimarySuspected", None),
    ]
}

#[test]
fn text_offsets_and_gap() {
    let text = timeline_text(&lines());
    let texts: Vec<&str> = text.lines().map(str::trim).collect();
    assert_eq!(texts.len(), 7);
    assert!(texts[0].starts_with("0.000 ms  a        vm-0"), "{text}");
    assert_eq!(texts[5], "...  900 ms without an entry");
    assert!(texts[6].starts_with("903.000 ms"), "{text}");
}

#[rstest]
#[case::one_group_a_request("<details", 2)]
#[case::one_item_a_group("<section class=\"item ", 3)]
#[case::refusal_coloured("<section class=\"item refusal\"", 1)]
#[case::lanes("<span class=\"lane\"><b>vm-", 2)]
#[case::gap("900.000 ms without an entry", 1)]
#[case::request_duration("<em>finished</em> 2.250 ms", 1)]
#[case::other_files("http", 0)]
#[case::other_scripts("src=", 0)]
fn page_has(#[case] html: &str, #[case] times: usize) {
    assert_eq!(timeline_html(&lines()).matches(html).count(), times);
}

#[test]
fn page_escapes_text() {
    let mut lines = lines();
    lines[0].detail = "<script>\"".to_owned();
    lines[0].vm = "<b>".to_owned();
    let page = timeline_html(&lines);
    assert!(!page.contains("<script>\""), "{page}");
    assert!(!page.contains("<b><b>"), "{page}");
    assert!(page.contains("&lt;script&gt;&quot;"), "{page}");
}

#[test]
fn page_folds_many_requests() {
    let entries = |number: u64| {
        let request = format!("vm-0/7/{number}");
        ["RequestReceived", "RequestFinished"]
            .map(|kind| line(number, "vm-0", kind, Some(&request)))
    };
    let many: Vec<_> = (0..200).flat_map(entries).collect();
    assert!(!timeline_html(&many).contains("<details open"));
    assert!(timeline_html(&many[..8]).contains("<details open"));
}
