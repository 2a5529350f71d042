//! Renders a merged timeline as an HTML page with a column for each daemon and a row for each
//! request.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::timeline_group::{TimelineGroup, TimelineTopic, groups};
use crate::{TimelineLine, escape_html, html_page};

/// The shortest time without an entry that the page shows as a gap, in microseconds.
const GAP_MIN_MICROS: u64 = 100_000;

/// The most requests of a timeline that the page shows expanded at first.
const EXPANDED_REQUESTS_MAX: usize = 12;

/// The style sheet of the page.
const STYLE: &str = include_str!("timeline_page.css");

/// The script of the page, which filters and folds the entries.
const SCRIPT: &str = include_str!("timeline_page.js");

/// Returns a timeline as a self-contained HTML page: a column for each daemon, time from top to
/// bottom, the entries of a request folded into one row, and a filter.
///
/// ```
/// assert!(sapphireslip::timeline_html(&[]).contains("no entries"));
/// ```
#[must_use]
pub fn timeline_html(lines: &[TimelineLine]) -> String {
    let title = "sapphireslip timeline";
    let Some(first) = lines.first() else {
        return html_page(title, "<p>no entries</p>");
    };
    let groups = groups(lines);
    let requests = groups.iter().filter(|group| group.lines.len() > 1).count();
    let mut page = Page {
        start: first.unix_micros,
        lanes: lanes(lines),
        expands_requests: requests <= EXPANDED_REQUESTS_MAX,
        html: format!("<style>{STYLE}</style>"),
    };
    page.controls(lines.len(), requests);
    page.head();
    let mut previous = first.unix_micros;
    for group in &groups {
        page.gap(previous, group.start());
        page.group(group);
        previous = previous.max(group.end());
    }
    page.html.push_str("</main>");
    let _fits = write!(page.html, "<script>{SCRIPT}</script>");
    html_page(title, &page.html)
}

/// A column of the page: a daemon, given by its availability zone and VM.
type Lane<'a> = (&'a str, &'a str);

/// Returns the columns for all daemons of a timeline, ordered by availability zone and VM.
fn lanes(lines: &[TimelineLine]) -> Vec<Lane<'_>> {
    let lanes: BTreeSet<Lane<'_>> = lines
        .iter()
        .map(|line| (line.zone.as_str(), line.vm.as_str()))
        .collect();
    lanes.into_iter().collect()
}

/// A page that is being rendered.
struct Page<'a> {
    /// The time of the first entry in microseconds since the Unix epoch.
    start: u64,
    /// The columns from left to right.
    lanes: Vec<Lane<'a>>,
    /// Whether the page shows requests expanded at first.
    expands_requests: bool,
    /// The HTML rendered so far.
    html: String,
}

impl Page<'_> {
    /// Appends formatted HTML.
    fn write(&mut self, html: std::fmt::Arguments<'_>) {
        let _fits = self.html.write_fmt(html);
    }

    /// Writes the filter, the topics with their colours and the number of entries.
    fn controls(&mut self, entries: usize, requests: usize) {
        self.write(format_args!(
            "<header><input id=\"filter\" type=\"search\" placeholder=\"filter: request, server, \
             VM, kind, text\"><button id=\"fold\">expand or collapse all</button>"
        ));
        for topic in TimelineTopic::ALL {
            self.write(format_args!(
                "<label class=\"{0}\"><input type=\"checkbox\" value=\"{0}\" checked><i></i>{1}\
                 </label>",
                topic.class(),
                topic.title()
            ));
        }
        self.write(format_args!(
            "<p>{entries} entries, {requests} requests, {} daemons. Times count from the first \
             entry.</p></header>",
            self.lanes.len()
        ));
    }

    /// Writes the row with the headings of the columns.
    fn head(&mut self) {
        let lanes = self.lanes.len();
        self.write(format_args!(
            "<main style=\"--lanes:{lanes}\"><div class=\"row head\"><span>time</span>"
        ));
        for at in 0..lanes {
            let (zone, vm) = self.lanes[at];
            self.write(format_args!(
                "<span class=\"lane\"><b>{}</b><br>zone {}</span>",
                escape_html(vm),
                escape_html(zone)
            ));
        }
        self.html.push_str("<span>what happened</span></div>");
    }

    /// Writes a gap if the time between two entries is long enough; both in microseconds since the
    /// Unix epoch.
    fn gap(&mut self, previous: u64, next: u64) {
        let micros = next.saturating_sub(previous);
        if micros >= GAP_MIN_MICROS {
            let text = millis(micros);
            self.write(format_args!(
                "<div class=\"gap\">{text} without an entry</div>"
            ));
        }
    }

    /// Writes the entries of a group, folded under a summary if there are several.
    fn group(&mut self, group: &TimelineGroup<'_>) {
        let class = group.topic().class();
        let texts: Vec<String> = group.lines.iter().map(|line| filter_text(line)).collect();
        let text = escape_html(&texts.join(" ").to_lowercase());
        self.write(format_args!(
            "<section class=\"item {class}\" data-text=\"{text}\">"
        ));
        if let [line] = group.lines[..] {
            self.entry(line, &line.subject());
        } else {
            let open = if self.expands_requests { " open" } else { "" };
            self.write(format_args!("<details{open}><summary>"));
            self.summary(group);
            self.html.push_str("</summary>");
            for line in &group.lines {
                self.entry(line, &line.subject_without_request());
            }
            self.html.push_str("</details>");
        }
        self.html.push_str("</section>");
    }

    /// Writes the summary row of a request: where it came from, where it ran, how it ended and how
    /// long it took.
    fn summary(&mut self, group: &TimelineGroup<'_>) {
        let vms: BTreeSet<&str> = group.lines.iter().map(|line| line.vm.as_str()).collect();
        self.begin_row(group.start(), |vm| vms.contains(vm));
        let find = |field: fn(&TimelineLine) -> Option<&String>| {
            group.lines.iter().find_map(|line| field(line))
        };
        let request = find(|line| line.request.as_ref()).map_or("", String::as_str);
        let server = find(|line| line.server.as_ref());
        let database = find(|line| line.database.as_ref());
        let last = group.lines.last().map_or("", |line| line.kind.as_str());
        let database = database.map_or("", String::as_str);
        let server = server.map_or(String::new(), |server| format!(" on {server}"));
        let detail = find(|line| Some(&line.detail).filter(|detail| !detail.is_empty()));
        let detail = detail.map_or("", String::as_str);
        let took = millis(group.end().saturating_sub(group.start()));
        self.write(format_args!(
            "<span class=\"what\" title=\"{}\"><b>{}</b> {}{}: <em>{}</em> {took} {}</span></div>",
            escape_html(request),
            escape_html(&short_request(request)),
            escape_html(database),
            escape_html(&server),
            escape_html(&last.trim_start_matches("Request").to_lowercase()),
            escape_html(detail),
        ));
    }

    /// Writes the row of a single entry.
    fn entry(&mut self, line: &TimelineLine, subject: &str) {
        let class = TimelineTopic::of(line).class();
        self.write(format_args!("<div class=\"{class}\">"));
        self.begin_row(line.unix_micros, |vm| vm == line.vm);
        self.write(format_args!(
            "<span class=\"what\"><b>{}</b> {}</span></div></div>",
            escape_html(&line.kind),
            escape_html(subject)
        ));
    }

    /// Writes the time, in microseconds since the Unix epoch, and the columns of a row, with a mark
    /// in those whose VM fulfils the condition.
    fn begin_row(&mut self, time: u64, is_marked: impl Fn(&str) -> bool) {
        let time = millis(time.saturating_sub(self.start));
        self.write(format_args!(
            "<div class=\"row\"><span class=\"time\">{time}</span>"
        ));
        for at in 0..self.lanes.len() {
            let mark = if is_marked(self.lanes[at].1) {
                "<i></i>"
            } else {
                ""
            };
            self.write(format_args!("<span class=\"lane\">{mark}</span>"));
        }
    }
}

/// Returns the text of an entry that the filter searches.
fn filter_text(line: &TimelineLine) -> String {
    format!("{} {} {} {}", line.zone, line.vm, line.kind, line.subject())
}

/// Returns the daemon and number of a request `ENTRY/INCARNATION/NUMBER`, without the incarnation.
fn short_request(request: &str) -> String {
    let mut parts = request.split('/');
    match (parts.next(), parts.next_back()) {
        (Some(entry), Some(number)) => format!("{entry} request {number}"),
        _ => request.to_owned(),
    }
}

/// Formats microseconds as milliseconds with three decimals.
fn millis(micros: u64) -> String {
    format!("{}.{:03} ms", micros / 1_000, micros % 1_000)
}
