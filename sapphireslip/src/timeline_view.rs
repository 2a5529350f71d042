//! A merged time line as text and as an HTML page with a lane for each process.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::{TimelineLine, escape_html, html_page};

/// The width of a lane on the page, in pixels.
const LANE_WIDTH: usize = 190;

/// The width of the column of times, in pixels.
const TIME_WIDTH: usize = 100;

/// The height of an entry, in pixels.
const ROW_HEIGHT: usize = 22;

/// The height of the names of the lanes, in pixels.
const HEAD_HEIGHT: usize = 40;

/// Colours of entries by what they are about.
const STYLE: &str = "<style>svg text { font: 11px sans-serif; } .lane { stroke: #ddd; } \
    .request { fill: #2b6cb0; } .group { fill: #c05621; } .other { fill: #4a5568; } \
    .refused { fill: #c53030; } .time { fill: #888; }</style>";

/// Returns a time line as text, one entry a line, with the time since the first.
///
/// ```
/// assert_eq!(sapphireslip::timeline_text(&[]), "no entries");
/// ```
#[must_use]
pub fn timeline_text(lines: &[TimelineLine]) -> String {
    let Some(first) = lines.first() else {
        return "no entries".to_owned();
    };
    let mut text = String::new();
    for line in lines {
        let _fits = writeln!(
            text,
            "{:>12}  {:<8} {:<12} {:<20} {}",
            offset(first, line),
            line.zone,
            line.vm,
            line.kind,
            line.subject()
        );
    }
    text.truncate(text.trim_end().len());
    text
}

fn offset(first: &TimelineLine, line: &TimelineLine) -> String {
    let micros = line.unix_micros.saturating_sub(first.unix_micros);
    format!("{}.{:03} ms", micros / 1_000, micros % 1_000)
}

/// Returns a time line as one page that needs no other file: a lane for each process, entries from
/// top to bottom in causal order, with the whole entry under the pointer.
///
/// ```
/// assert!(sapphireslip::timeline_html(&[]).contains("<svg"));
/// ```
#[must_use]
pub fn timeline_html(lines: &[TimelineLine]) -> String {
    let lanes: BTreeSet<(&str, &str)> = lines
        .iter()
        .map(|line| (line.zone.as_str(), line.vm.as_str()))
        .collect();
    let lanes: Vec<(&str, &str)> = lanes.into_iter().collect();
    let width = TIME_WIDTH + lanes.len() * LANE_WIDTH;
    let height = HEAD_HEIGHT + lines.len() * ROW_HEIGHT + ROW_HEIGHT;
    let mut svg = format!("{STYLE}<svg width=\"{width}\" height=\"{height}\">");
    for (at, (zone, vm)) in lanes.iter().enumerate() {
        let x = lane_x(at);
        let _fits = write!(
            svg,
            "<line class=\"lane\" x1=\"{x}\" y1=\"{HEAD_HEIGHT}\" x2=\"{x}\" y2=\"{height}\"/>\
             <text x=\"{x}\" y=\"20\" font-weight=\"bold\">{} / {}</text>",
            escape_html(zone),
            escape_html(vm)
        );
    }
    for (row, line) in lines.iter().enumerate() {
        let lane = lanes.iter().position(|(_, vm)| *vm == line.vm).unwrap_or(0);
        write_entry(&mut svg, &lines[0], line, row, lane);
    }
    svg.push_str("</svg>");
    html_page("sapphireslip time line", &svg)
}

const fn lane_x(lane: usize) -> usize {
    TIME_WIDTH + lane * LANE_WIDTH + 10
}

fn write_entry(
    svg: &mut String,
    first: &TimelineLine,
    line: &TimelineLine,
    row: usize,
    lane: usize,
) {
    let x = lane_x(lane);
    let y = HEAD_HEIGHT + row * ROW_HEIGHT + ROW_HEIGHT / 2;
    let class = class(&line.kind);
    let subject = escape_html(&line.subject());
    let kind = escape_html(&line.kind);
    let _fits = write!(
        svg,
        "<text class=\"time\" x=\"0\" y=\"{}\">{}</text><g class=\"{class}\"><title>{kind}  \
         {subject}</title><circle cx=\"{x}\" cy=\"{y}\" r=\"4\"/><text x=\"{}\" y=\"{}\">{kind}\
         </text></g>",
        y + 4,
        offset(first, line),
        x + 9,
        y + 4
    );
}

fn class(kind: &str) -> &'static str {
    match kind {
        "RequestRefused" => "refused",
        "PrimarySuspected" | "TermFenced" | "PrimaryPromoted" | "WritesOpened" => "group",
        kind if kind.starts_with("Request") => "request",
        _ => "other",
    }
}
