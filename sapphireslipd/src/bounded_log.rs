//! Log lines to the standard output that never hold up the daemon: a thread writes them, and what
//! does not fit a budget is left out and counted.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Level;

use crate::whole_lines;

/// The most lines below warnings in a second: about four a statement at 75 statements a second.
const LINES_A_SECOND: u32 = 300;

/// The most lines in a second, warnings included.
const LINES_A_SECOND_MAX: u32 = 500;

/// The most bytes that wait for a reader of the output.
const BUFFER_MAX_BYTES: usize = 1 << 20;

/// How often the thread writes what waits.
const WRITE_EVERY: Duration = Duration::from_millis(200);

/// How long the last lines may take to be written.
const LAST_WRITE_MAX: Duration = Duration::from_millis(100);

/// The budget and the lines that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct BoundedLog(Arc<Mutex<Lines>>);

#[derive(Debug, Default)]
struct Lines {
    waiting: Vec<u8>,
    second: Option<Instant>,
    taken: u32,
    left_out: u64,
}

impl BoundedLog {
    /// Starts the thread that writes to the standard output.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub(crate) fn start() -> io::Result<Self> {
        let log = Self::default();
        let lines = log.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                while lines.flush().is_ok() {
                    std::thread::sleep(WRITE_EVERY);
                }
            })?;
        Ok(log)
    }

    /// Returns whether a line of this level fits the budget.
    pub(crate) fn admits(&self, level: Level, now: Instant) -> bool {
        let mut lines = self.lines();
        let begins = lines
            .second
            .is_none_or(|second| now - second >= Duration::from_secs(1));
        if begins {
            lines.second = Some(now);
            lines.taken = 0;
            lines.tell_left_out();
        }
        let most = if level <= Level::Warn {
            LINES_A_SECOND_MAX
        } else {
            LINES_A_SECOND
        };
        let fits = lines.taken < most && lines.waiting.len() < BUFFER_MAX_BYTES;
        if fits {
            lines.taken += 1;
        } else {
            lines.left_out += 1;
        }
        fits
    }

    /// Writes what waits; a reader that does not read blocks only the calling thread.
    pub(crate) fn flush(&self) -> io::Result<()> {
        let waiting = std::mem::take(&mut self.lines().waiting);
        let mut output = io::stdout().lock();
        for lines in whole_lines(&waiting) {
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
        let _unread = rx.recv_timeout(LAST_WRITE_MAX);
    }

    fn lines(&self) -> std::sync::MutexGuard<'_, Lines> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lines {
    fn tell_left_out(&mut self) {
        if self.left_out > 0 {
            let line = format!(
                "{{\"event\":\"lines_left_out\",\"level\":\"WARN\",\"count\":{}}}\n",
                self.left_out
            );
            self.waiting.extend_from_slice(line.as_bytes());
            self.left_out = 0;
        }
    }
}

impl Write for BoundedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.lines().waiting.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
