//! Log lines to the standard output that never hold up the daemon: a thread writes them, and what
//! does not fit a budget is left out and counted.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Metadata;
use sapphireslip_core::{Text, VmId};
use serde_json::json;

use crate::clock::unix_now;
use crate::{LogBudget, whole_lines};

/// The most bytes that wait for a reader of the output.
const BUFFER_MAX_BYTES: usize = 1 << 20;

/// How often the thread writes what waits.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// How long the last lines may take to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// The budget and the lines that wait.
#[derive(Clone, Debug)]
pub(crate) struct BoundedLog {
    lines: Arc<Mutex<Lines>>,
    vm: Text,
}

#[derive(Debug, Default)]
struct Lines {
    unwritten: Vec<u8>,
    budget: LogBudget,
}

impl BoundedLog {
    /// Starts the thread that writes to the standard output.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
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

    /// Returns whether a line fits the budget.
    pub(crate) fn admits(&self, line: &Metadata<'_>, now: Instant) -> bool {
        let mut lines = self.lines();
        let left_out = lines.budget.begin_second(now);
        lines.report_left_out(&self.vm, left_out);
        let has_room = lines.unwritten.len() < BUFFER_MAX_BYTES;
        lines.budget.admits(line, has_room)
    }

    /// Writes what waits; a reader that does not read blocks only the calling thread.
    pub(crate) fn flush(&self) -> io::Result<()> {
        let unwritten = std::mem::take(&mut self.lines().unwritten);
        let mut output = io::stdout().lock();
        for lines in whole_lines(&unwritten) {
            output.write_all(lines)?;
            output.flush()?;
        }
        Ok(())
    }

    /// Writes what waits at the end of the process, unless nobody reads it.
    pub(crate) fn flush_at_end(&self) {
        let (tx, rx) = flume::bounded(1);
        let log = self.clone();
        std::thread::spawn(move || {
            let written = log.flush();
            // Fails only when the time is over.
            let _late = tx.send(written);
        });
        // Nobody is left to be told if it could not be written.
        let _unread = rx.recv_timeout(FINAL_WRITE_TIMEOUT);
    }

    fn lines(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lines {
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
