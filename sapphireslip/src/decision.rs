//! Decisions of daemons, parsed from their logs.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sapphireslipd::unix_to_ntp;
use serde::{Deserialize, Serialize};

use crate::{Error, TimelineLine};

/// A decision as a daemon writes it to its log, one JSON object per line.
#[derive(Deserialize)]
struct RawDecision {
    /// The time in seconds since the Unix epoch.
    time: f64,
    /// The VM on which the daemon runs.
    vm: String,
    /// The kind of decision.
    event: String,
    /// The cause and the outcome.
    message: String,
    /// The client's identifier of the request; empty if the decision concerns no request.
    #[serde(default)]
    request: String,
    /// The number of the session at its daemon; 0 if the decision concerns no session.
    #[serde(default)]
    session: u64,
    /// The name of the service; empty if the decision concerns no service.
    #[serde(default)]
    service: String,
    /// The identifier of the backend server; empty if the decision concerns no server.
    #[serde(default)]
    server: String,
}

/// A decision of a daemon, such as the refusal of a request or the promotion of a server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// The time in microseconds since the Unix epoch, by the clock of the daemon's VM.
    pub unix_micros: u64,
    /// The VM on which the daemon runs.
    pub vm: String,
    /// The kind of decision, such as `request_refused`.
    pub event: String,
    /// The client's identifier of the request that the decision concerns.
    pub request: Option<String>,
    /// The number of the session at its daemon.
    pub session: Option<u64>,
    /// The service that the decision concerns.
    pub service: Option<String>,
    /// The backend server that the decision concerns.
    pub server: Option<String>,
    /// The cause and the outcome.
    pub message: String,
}

/// The decisions of one or more log files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionLog {
    /// The decisions, ordered by time once all logs are read.
    pub decisions: Vec<Decision>,
    /// The number of lines that hold no decision.
    pub skipped_lines: usize,
}

impl From<RawDecision> for Decision {
    fn from(raw: RawDecision) -> Self {
        let non_empty = |text: String| Some(text).filter(|text| !text.is_empty());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time since 1970; a negative one becomes zero"
        )]
        let unix_micros = (raw.time * 1e6) as u64;
        Self {
            unix_micros,
            vm: raw.vm,
            event: raw.event,
            request: non_empty(raw.request),
            session: Some(raw.session).filter(|session| *session > 0),
            service: non_empty(raw.service),
            server: non_empty(raw.server),
            message: raw.message,
        }
    }
}

impl DecisionLog {
    /// Reads log files, or standard input if `paths` is empty.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] if a file or standard input can't be read.
    pub fn read(paths: &[PathBuf]) -> Result<Self, Error> {
        let mut log = Self::default();
        if paths.is_empty() {
            let mut bytes = Vec::new();
            let read = std::io::stdin().lock().read_to_end(&mut bytes);
            read.map_err(|err| Error::Read(Path::new("standard input").into(), err))?;
            log.add(&bytes);
        }
        for path in paths {
            let bytes = fs::read(path).map_err(|err| Error::Read(path.clone(), err))?;
            log.add(&bytes);
        }
        log.decisions.sort_by_key(|line| line.unix_micros);
        Ok(log)
    }

    /// Adds the decisions of a log. Text before the first `{` of a line, such as the prefix of a
    /// log collector, is ignored.
    ///
    /// ```
    /// let mut log = sapphireslip::DecisionLog::default();
    /// log.add(br#"vm-1 | {"time":1.5,"vm":"vm-1","event":"drain","message":"grace 6000 ms"}"#);
    /// log.add(b"not a line of a log");
    /// assert_eq!((log.decisions.len(), log.skipped_lines), (1, 1));
    /// ```
    pub fn add(&mut self, bytes: &[u8]) {
        let lines = bytes.split(|byte| *byte == b'\n');
        for line in lines.filter(|line| !line.trim_ascii().is_empty()) {
            match parse_decision(line) {
                Some(line) => self.decisions.push(line),
                None => self.skipped_lines += 1,
            }
        }
    }
}

/// Parses the decision in a line of a log; `None` if the line holds none.
pub(crate) fn parse_decision(line: &[u8]) -> Option<Decision> {
    let start = line.iter().position(|byte| *byte == b'{')?;
    let raw: RawDecision = serde_json::from_slice(&line[start..]).ok()?;
    Some(raw.into())
}

impl From<&Decision> for TimelineLine {
    fn from(line: &Decision) -> Self {
        Self {
            number: 0,
            // NTP timestamps as in timeline entries, so that both kinds of entries can be merged.
            time: unix_to_ntp(Duration::from_micros(line.unix_micros)).to_string(),
            unix_micros: line.unix_micros,
            vm: line.vm.clone(),
            zone: String::new(),
            incarnation: 0,
            kind: line.event.clone(),
            request: line.request.clone(),
            session: line.session,
            database: line.service.clone(),
            server: line.server.clone(),
            peer: None,
            term: None,
            detail: line.message.clone(),
        }
    }
}
