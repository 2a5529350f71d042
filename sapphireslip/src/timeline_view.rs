//! Renders a merged timeline as text.

use std::fmt::Write;

use crate::TimelineLine;

/// The shortest time without an entry that the text shows as a gap, in microseconds.
const GAP_MIN_MICROS: u64 = 100_000;

/// Returns a timeline as text: one entry per line with its time since the first entry, and a line
/// for each gap.
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
    let mut previous = first;
    for line in lines {
        let gap = line.unix_micros.saturating_sub(previous.unix_micros);
        if gap >= GAP_MIN_MICROS {
            let _fits = writeln!(text, "{:>12}  {} ms without an entry", "...", gap / 1_000);
        }
        previous = line;
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

/// Formats the time from the first entry to another one in milliseconds with three decimals.
fn offset(first: &TimelineLine, line: &TimelineLine) -> String {
    let micros = line.unix_micros.saturating_sub(first.unix_micros);
    format!("{}.{:03} ms", micros / 1_000, micros % 1_000)
}
