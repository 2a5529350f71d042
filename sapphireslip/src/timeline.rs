//! `timeline`: merges the timelines of several daemons.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::decision::parse_decision;
use crate::http::get;
use crate::{Error, Output, TimelineLine, TimelinePage, timeline_html, timeline_text};

/// The arguments of `timeline`.
#[derive(Clone, Debug)]
pub struct TimelineArguments {
    /// The admin addresses of running daemons.
    pub admin: Vec<SocketAddr>,
    /// The paths of daemons' log files.
    pub log: Vec<PathBuf>,
    /// The text that an entry must contain to be printed; `None` to print all entries.
    pub only: Option<String>,
    /// The path of an HTML page to write instead of printing text.
    pub html: Option<PathBuf>,
}

/// Merges timelines in the order of their hybrid logical times, which puts causes before effects.
///
/// # Errors
///
/// [`Error::Call`] if a daemon does not answer, [`Error::UnexpectedFormat`] if its answer can't be
/// decoded, [`Error::Read`] or [`Error::Write`] if a file can't be read or written.
pub async fn timeline(arguments: &TimelineArguments) -> Result<Output, Error> {
    let mut lines = Vec::new();
    for address in &arguments.admin {
        read_daemon(*address, &mut lines).await?;
    }
    for path in &arguments.log {
        read_log(path, &mut lines)?;
    }
    if let Some(only) = &arguments.only {
        lines.retain(|line| line.mentions(only));
    }
    lines.sort_by_key(TimelineLine::order);
    lines.dedup();
    if let Some(path) = &arguments.html {
        fs::write(path, timeline_html(&lines)).map_err(|err| Error::Write(path.clone(), err))?;
        let text = format!("wrote {} entries to `{}`", lines.len(), path.display());
        return Ok(Output::new(text, &lines));
    }
    Ok(Output::new(timeline_text(&lines), &lines))
}

/// Adds all entries that a running daemon still has, page by page.
async fn read_daemon(address: SocketAddr, lines: &mut Vec<TimelineLine>) -> Result<(), Error> {
    let mut since = 0;
    loop {
        let body = get(address, &format!("/timeline?since={since}")).await?;
        let page: TimelinePage = serde_json::from_str(&body)
            .map_err(|err| Error::UnexpectedFormat("a timeline page", err.to_string()))?;
        if page.entries.is_empty() {
            return Ok(());
        }
        since = page.next;
        lines.extend(page.entries);
    }
}

/// A line of a daemon's log that holds a timeline entry.
#[derive(Deserialize)]
struct LogLine {
    /// The timeline entry, as a string of JSON.
    entry: String,
}

/// Adds the timeline entries and the decisions of a log; other lines of the log are ignored.
fn read_log(path: &Path, lines: &mut Vec<TimelineLine>) -> Result<(), Error> {
    let bytes = fs::read(path).map_err(|err| Error::Read(path.to_path_buf(), err))?;
    for line in bytes.split(|byte| *byte == b'\n') {
        let decided = || parse_decision(line).map(|decision| (&decision).into());
        lines.extend(parse_log_entry(line).or_else(decided));
    }
    Ok(())
}

/// Parses the timeline entry in a line of a log; `None` if the line holds none.
fn parse_log_entry(line: &[u8]) -> Option<TimelineLine> {
    let line: LogLine = serde_json::from_slice(line).ok()?;
    serde_json::from_str(&line.entry).ok()
}
