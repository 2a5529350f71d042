//! `timeline`: merges the time lines of several processes.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::decision::decision;
use crate::http::get;
use crate::{Error, Output, TimelineLine, TimelinePage, timeline_html, timeline_text};

/// What `timeline` is asked.
#[derive(Clone, Debug)]
pub struct TimelineArguments {
    /// The admin addresses of running daemons.
    pub admin: Vec<SocketAddr>,
    /// Log files of daemons.
    pub log: Vec<PathBuf>,
    /// Only entries that name this text.
    pub only: Option<String>,
    /// Where to write a page.
    pub html: Option<PathBuf>,
}

/// Merges time lines in the order of their hybrid logical times, which keeps causes before effects.
///
/// # Errors
///
/// A daemon does not answer, or a file can't be read or written.
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

async fn read_daemon(address: SocketAddr, lines: &mut Vec<TimelineLine>) -> Result<(), Error> {
    let mut since = 0;
    loop {
        let body = get(address, &format!("/timeline?since={since}")).await?;
        let page: TimelinePage = serde_json::from_str(&body)
            .map_err(|err| Error::UnexpectedFormat("a page of the time line", err.to_string()))?;
        if page.entries.is_empty() {
            return Ok(());
        }
        since = page.next;
        lines.extend(page.entries);
    }
}

/// A line of a daemon's log that has an entry of the time line, as JSON in a text.
#[derive(Deserialize)]
struct LogLine {
    entry: String,
}

/// Takes the entries of the time line and the decisions out of a log; other lines of the log are passed over.
fn read_log(path: &Path, lines: &mut Vec<TimelineLine>) -> Result<(), Error> {
    let bytes = fs::read(path).map_err(|err| Error::Read(path.to_path_buf(), err))?;
    for line in bytes.split(|byte| *byte == b'\n') {
        let decided = || decision(line).map(|decision| (&decision).into());
        lines.extend(log_entry(line).or_else(decided));
    }
    Ok(())
}

fn log_entry(line: &[u8]) -> Option<TimelineLine> {
    let line: LogLine = serde_json::from_slice(line).ok()?;
    serde_json::from_str(&line.entry).ok()
}
