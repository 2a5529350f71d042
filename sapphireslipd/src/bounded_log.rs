//! Log output that never blocks the daemon: a thread writes the lines to the standard output, and
//! lines beyond a budget are dropped and counted.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Metadata;
use sapphireslip_core::{Text, VmId};
use serde_json::json;

use crate::clock::unix_now;
use crate::{LogBudget, whole_lines};

/// The most bytes of log lines that are buffered while nobody reads the output.
const BUFFER_MAX_BYTES: usize = 1 << 20;

/// How often the log thread writes the buffered lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// How long the process waits at its end for the last lines to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A log whose lines are buffered in memory and written by a thread of its own.
#[derive(Clone, Debug)]
pub(crate) struct BoundedLog {
    lines: Arc<Mutex<Lines>>,
    /// The VM that the lines name.
    vm: Text,
}

/// The lines that are not yet written, and the budget for further ones.
#[derive(Debug, Default)]
struct Lines {
    /// The text of the lines that the thread has yet to write.
    unwritten: Vec<u8>,
    /// Decides which lines are dropped.
    budget: LogBudget,
}

impl BoundedLog {
    /// Starts the thread that writes the log of this VM's daemon to the standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(vm: &VmId) -> io::Result<Self> {
        let log = Self {
            lines: Arc::default(),
            vm: vm.as_str().into(),
        };
        let lines = log.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while lines.flush().is_ok() {
                    std::thread::sleep(WRITE_INTERVAL);
                }
            })?;
        Ok(log)
    }

    /// Returns whether a line fits the budget, and counts it; at the start of a second first
    /// appends a line that says how many were dropped before.
    pub(crate) fn admits(&self, line: &Metadata<'_>, now: Instant) -> bool {
        let mut lines = self.lines();
        let left_out = lines.budget.begin_second(now);
        lines.report_left_out(&self.vm, left_out);
        let has_room = lines.unwritten.len() < BUFFER_MAX_BYTES;
        lines.budget.admits(line, has_room)
    }

    /// Writes the buffered lines. An output that nobody reads blocks only the calling thread.
    pub(crate) fn flush(&self) -> io::Result<()> {
        let unwritten = std::mem::take(&mut self.lines().unwritten);
        let mut output = io::stdout().lock();
        for lines in whole_lines(&unwritten) {
            output.write_all(lines)?;
            output.flush()?;
        }
        Ok(())
    }

    /// Writes the buffered lines at the end of the process; gives up after `FINAL_WRITE_TIMEOUT`,
    /// as when nobody reads the output.
    pub(crate) fn flush_at_end(&self) {
        let (tx, rx) = flume::bounded(1);
        let log = self.clone();
        std::thread::spawn(move || {
            let written = log.flush();
            // Fails only if the timeout has passed.
            let _late = tx.send(written);
        });
        // The process is ending: a failure or a timeout can't be reported any more.
        let _unread = rx.recv_timeout(FINAL_WRITE_TIMEOUT);
    }

    fn lines(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lines {
    /// Appends a line that says how many lines were dropped, if any were.
    fn report_left_out(&mut self, vm: &str, count: u64) {
        if count > 0 {
            let line = json!({
                "time": unix_now().as_secs_f64(),
                "level": "WARN",
                "vm": vm,
                "event": "lines_left_out",
                "count": count,
            });
            self.unwritten
                .extend_from_slice(format!("{line}\n").as_bytes());
        }
    }
}

impl Write for BoundedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lines().unwritten.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
