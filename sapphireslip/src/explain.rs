//! `explain`: finds the cause of a request's outcome in the logs of all daemons.

use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

use crate::explain_cause::{EvidenceSource, evidence_sources};
use crate::{Decision, DecisionLog, Error, Output};

/// How long before the deciding line its causes are searched for: longer than a permission lasts
/// and a silent server stays unnoticed, together.
const LOOKBACK: Duration = Duration::from_secs(15);

/// How long after the deciding line its causes are searched for: another daemon may notice them
/// later, and clocks of VMs differ.
const LOOKAHEAD: Duration = Duration::from_secs(3);

/// The most lines that are shown for one evidence source.
const LINES_PER_SOURCE_MAX: usize = 3;

/// How long before the end of all logs a daemon's last line must be for the daemon to count as
/// gone.
const DAEMON_GONE_AFTER: Duration = Duration::from_secs(2);

/// The start of the message of a statement that succeeded.
const COMPLETE: &str = "complete";

/// The arguments of `explain`.
#[derive(Clone, Debug)]
pub struct ExplainArguments {
    /// The client's identifier of the request.
    pub request: String,
    /// The paths of daemons' log files; standard input is read if there are none.
    pub log: Vec<PathBuf>,
}

/// The outcome of a request, with its cause and the evidence for it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The client's identifier of the request.
    pub request: String,
    /// How the request ended, and at which daemon.
    pub outcome: String,
    /// The cause that its daemon logged.
    pub cause: String,
    /// Decisions of all daemons that led to the cause.
    pub because: Vec<Decision>,
    /// All decisions about the request, ordered by time.
    pub lines: Vec<Decision>,
}

/// Explains the outcome of a request from log files.
///
/// # Errors
///
/// [`Error::Read`] if a log can't be read, [`Error::NoRequest`] if no line names the request.
pub fn explain(arguments: &ExplainArguments) -> Result<Output, Error> {
    let log = DecisionLog::read(&arguments.log)?;
    let found = explanation(&log.decisions, &arguments.request);
    let found = found.ok_or_else(|| {
        let lines = log.decisions.len() + log.skipped_lines;
        Error::NoRequest(arguments.request.clone(), lines)
    })?;
    Ok(Output::new(found.text(), &found))
}

/// Explains the outcome of a request from decisions ordered by time; `None` if no decision names
/// the request.
///
/// ```
/// assert_eq!(sapphireslip::explanation(&[], "5c0e"), None);
/// ```
#[must_use]
pub fn explanation(decisions: &[Decision], request: &str) -> Option<Explanation> {
    let of_request = |line: &&Decision| line.request.as_deref() == Some(request);
    let lines: Vec<Decision> = decisions.iter().filter(of_request).cloned().collect();
    let last = lines.last()?;
    let decided = deciding_line(&lines);
    let (outcome, cause) = match decided {
        Some(line) => (outcome(line, last), cause(decisions, line)),
        None => unanswered(decisions, last),
    };
    let decided = decided.unwrap_or(last);
    let sources = evidence_sources(&cause).iter();
    let because = sources.flat_map(|source| evidence(decisions, *source, decided, &lines));
    Some(Explanation {
        request: request.to_owned(),
        outcome,
        cause,
        because: because.collect(),
        lines,
    })
}

/// Returns the line that tells why the request ended, if there is one.
///
/// When the daemon itself fails a request, it logs the cause in a line before the answer.
fn deciding_line(lines: &[Decision]) -> Option<&Decision> {
    let decides = |line: &&Decision| match line.event.as_str() {
        "request_refused" | "request_unknown" => true,
        "request_answered" => line.message.starts_with(COMPLETE) || daemon_failure(line).is_some(),
        _ => false,
    };
    let is_answer = |line: &&Decision| line.event == "request_answered";
    let decided = lines.iter().rev().find(decides);
    decided.or_else(|| lines.iter().rev().find(is_answer))
}

/// Returns the text of a failure that the daemon itself, not a server, gave in its answer.
fn daemon_failure(line: &Decision) -> Option<&str> {
    let aborted = line.message.starts_with("Aborted");
    let text = line.message.split_once(": ").map(|(_, text)| text);
    text.or_else(|| aborted.then_some("the transaction was aborted"))
}

/// Describes how the request ended, at which daemon and with which answer.
fn outcome(decided: &Decision, last: &Decision) -> String {
    let how = match decided.event.as_str() {
        "request_refused" => "refused, not run",
        "request_unknown" => "it is unknown whether it ran",
        _ => "answered",
    };
    let at = &decided.vm;
    let said = if last.event == "request_answered" {
        &last.message
    } else {
        &decided.message
    };
    format!("{how}, by `{at}`: {said}")
}

/// Returns the cause that a deciding line gives.
fn cause(decisions: &[Decision], decided: &Decision) -> String {
    if decided.event == "request_answered" {
        let code = decided.message.split(',').next().unwrap_or_default();
        return match daemon_failure(decided) {
            _ if code == COMPLETE => decided.message.clone(),
            None => format!("the server answered {code}"),
            Some(text) => abort_reason(decisions, decided).unwrap_or_else(|| text.to_owned()),
        };
    }
    let (cause, _) = decided
        .message
        .split_once(';')
        .unwrap_or((&decided.message, ""));
    cause.to_owned()
}

/// Returns why the transaction was rolled back that an aborted statement belonged to.
fn abort_reason(decisions: &[Decision], decided: &Decision) -> Option<String> {
    let of_session = |line: &&Decision| {
        line.event == "transaction_aborted"
            && (&line.vm, line.session) == (&decided.vm, decided.session)
            && line.unix_micros <= decided.unix_micros
    };
    let line = decisions.iter().rev().find(of_session)?;
    Some(line.message.clone())
}

/// Returns the outcome and the cause of a request for which no answer was logged.
fn unanswered(decisions: &[Decision], last: &Decision) -> (String, String) {
    let end = decisions.iter().rev().find(|line| line.vm == last.vm);
    let silent_since = end.map_or(last.unix_micros, |line| line.unix_micros);
    let newest = decisions.last().map_or(0, |line| line.unix_micros);
    let outcome = format!(
        "no answer is in the log; last seen at `{}`: {}",
        last.vm, last.event
    );
    let is_gone = newest.saturating_sub(silent_since) >= micros(DAEMON_GONE_AFTER);
    let cause = if is_gone {
        format!("`{}` wrote nothing more: it stopped or was lost", last.vm)
    } else {
        "the client disconnected, or the log line was left out: see `lines_left_out`".to_owned()
    };
    (outcome, cause)
}

/// Returns the lines of an evidence source around the deciding line: the last ones before it and
/// the first one after it, at most [`LINES_PER_SOURCE_MAX`].
fn evidence(
    decisions: &[Decision],
    source: EvidenceSource,
    decided: &Decision,
    lines: &[Decision],
) -> Vec<Decision> {
    let from = decided.unix_micros.saturating_sub(micros(LOOKBACK));
    let until = decided.unix_micros + micros(LOOKAHEAD);
    let service = lines.iter().rev().find_map(|line| line.service.as_ref());
    let server = lines.iter().rev().find_map(|line| line.server.as_ref());
    let concerns = |line: &&Decision| {
        line.event == source.event
            && (from..=until).contains(&line.unix_micros)
            && source.scope.concerns(line, &decided.vm, service, server)
    };
    let found: Vec<Decision> = decisions.iter().filter(concerns).cloned().collect();
    let before = found.partition_point(|line| line.unix_micros <= decided.unix_micros);
    let end = (before + 1).min(found.len());
    let start = end.saturating_sub(LINES_PER_SOURCE_MAX);
    found[start..end].to_vec()
}

/// Returns a time in microseconds.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the times are a few seconds"
)]
const fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

impl Explanation {
    /// Returns the explanation as text; times are relative to the last line of the request.
    fn text(&self) -> String {
        let mut text = vec![
            format!("request  {}", self.request),
            format!("outcome  {}", self.outcome),
            format!("cause    {}", self.cause),
        ];
        let ended = self.lines.last().map_or(0, |line| line.unix_micros);
        let shown = |line: &Decision| {
            let server = line.server.as_deref().unwrap_or_default();
            let after = (i128::from(line.unix_micros) - i128::from(ended)) / 1_000;
            let subject = [line.service.as_deref().unwrap_or_default(), server].join(" ");
            format!(
                "{after:>+7} ms  {}  {}  {}  {}",
                line.vm,
                line.event,
                subject.trim(),
                line.message
            )
        };
        if !self.because.is_empty() {
            text.push("because".to_owned());
            text.extend(self.because.iter().map(shown));
        }
        text.push("lines of the request".to_owned());
        text.extend(self.lines.iter().map(shown));
        text.join("\n")
    }
}
