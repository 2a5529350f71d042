//! Logs as JSON lines on the standard error stream.

use std::io;
use std::time::Instant;

use log::kv::{Error as KeyValueError, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use sapphireslip_core::VmId;
use serde_json::{Map, Value as Json};

use crate::Error;
use crate::bounded_log::BoundedLog;
use crate::clock::unix_now;

/// Sets the process's logger.
///
/// # Errors
///
/// The process has a logger already.
pub fn start_logging(vm: &VmId, level: LevelFilter) -> Result<(), Error> {
    make_dispatch(vm, level)
        .chain(io::stderr())
        .apply()
        .map_err(Error::Logger)
}

/// Sets the process's logger to lines on the standard output that never hold the process up.
///
/// # Errors
///
/// The process has a logger already, or can't start the thread that writes.
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
