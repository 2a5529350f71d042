//! Decisions of daemons, read from their logs.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sapphireslipd::ntp_of;
use serde::{Deserialize, Serialize};

use crate::{Error, TimelineLine};

/// A line of a daemon's log that tells of a decision, as it is written.
#[derive(Deserialize)]
struct RawDecision {
    /// Seconds since the Unix epoch.
    time: f64,
    vm: String,
    event: String,
    message: String,
    #[serde(default)]
    request: String,
    /// Zero where no session is concerned.
    #[serde(default)]
    session: u64,
    #[serde(default)]
    service: String,
    #[serde(default)]
    server: String,
}

/// A decision of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// When, in microseconds since the Unix epoch, by the clock of its VM.
    pub unix_micros: u64,
    /// The VM.
    pub vm: String,
    /// The kind, such as `request_refused`.
    pub event: String,
    /// The caller's identifier of the statement.
    pub request: Option<String>,
    /// The session's number at its daemon.
    pub session: Option<u64>,
    /// The service.
    pub service: Option<String>,
    /// The backend server.
    pub server: Option<String>,
    /// What decided it, and the outcome.
    pub message: String,
}

/// What logs have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionLog {
    /// The decisions, in the order of their times.
    pub decisions: Vec<Decision>,
    /// How many other lines there were.
    pub skipped_lines: usize,
}

impl From<RawDecision> for Decision {
    fn from(raw: RawDecision) -> Self {
        let named = |text: String| Some(text).filter(|text| !text.is_empty());
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
            request: named(raw.request),
            session: Some(raw.session).filter(|session| *session > 0),
            service: named(raw.service),
            server: named(raw.server),
            message: raw.message,
        }
    }
}

impl DecisionLog {
    /// Reads log files; standard input if none is named.
    ///
    /// # Errors
    ///
    /// A file or the standard input can't be read.
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

    /// Adds the decisions of a log; what stands before a line's first `{`, as a collector of logs
    /// puts it there, is passed over.
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
            match decision(line) {
                Some(line) => self.decisions.push(line),
                None => self.skipped_lines += 1,
            }
        }
    }
}

/// Returns the decision that a line tells of, if it does.
pub(crate) fn decision(line: &[u8]) -> Option<Decision> {
    let start = line.iter().position(|byte| *byte == b'{')?;
    let raw: RawDecision = serde_json::from_slice(&line[start..]).ok()?;
    Some(raw.into())
}

impl From<&Decision> for TimelineLine {
    fn from(line: &Decision) -> Self {
        Self {
            number: 0,
            // The scale of the time line, so that both kinds of entries can be merged.
            time: ntp_of(Duration::from_micros(line.unix_micros)).to_string(),
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
