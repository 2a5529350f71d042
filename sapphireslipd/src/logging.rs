//! Writes the log as JSON lines, to the standard error stream or to a bounded standard output.

use std::io;
use std::time::Instant;

use log::kv::{Error as KeyValueError, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use sapphireslip_core::VmId;
use serde_json::{Map, Value as Json};

use crate::Error;
use crate::bounded_log::BoundedLog;
use crate::clock::unix_now;

/// Installs a logger that writes JSON lines to the standard error stream.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn start_logging(vm: &VmId, level: LevelFilter) -> Result<(), Error> {
    make_dispatch(vm, level)
        .chain(io::stderr())
        .apply()
        .map_err(Error::Logger)
}

/// Installs a logger that writes JSON lines to the standard output and never blocks the process.
///
/// # Errors
///
/// Returns an error if the process has a logger already, or if the writing thread can't be started.
pub(crate) fn start_bounded_logging(vm: &VmId, level: LevelFilter) -> Result<BoundedLog, Error> {
    let bounded = BoundedLog::start(vm).map_err(Error::LogThread)?;
    let budget = bounded.clone();
    let output: Box<dyn io::Write + Send> = Box::new(bounded.clone());
    make_dispatch(vm, level)
        .filter(move |metadata| budget.admits(metadata, Instant::now()))
        .chain(output)
        .apply()
        .map_err(Error::Logger)?;
    Ok(bounded)
}

/// Returns a dispatch that formats lines as JSON.
///
/// The daemon and its timeline log at `level`, all other crates at warning level.
fn make_dispatch(vm: &VmId, level: LevelFilter) -> fern::Dispatch {
    let vm = vm.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("sapphireslipd", level)
        .level_for("timeline", level)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{}",
                json_line(&vm, &message.to_string(), record)
            ));
        })
}

/// Formats a log record as a JSON object; `incomplete` marks one with fields that can't be read.
fn json_line(vm: &VmId, message: &str, record: &Record<'_>) -> Json {
    let now = unix_now();
    let mut fields = Map::new();
    fields.insert("time".to_owned(), now.as_secs_f64().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("target".to_owned(), record.target().into());
    fields.insert("vm".to_owned(), vm.as_str().into());
    fields.insert("message".to_owned(), message.into());
    let mut visitor = FieldCollector(fields);
    if record.key_values().visit(&mut visitor).is_err() {
        visitor.0.insert("incomplete".to_owned(), true.into());
    }
    Json::Object(visitor.0)
}

/// Collects the key-value pairs of a log record as JSON fields.
struct FieldCollector(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KeyValueError> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
