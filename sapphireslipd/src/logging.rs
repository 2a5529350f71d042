//! Logs as JSON lines on the standard error stream.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error as KeyValueError, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use sapphireslip_core::VmId;
use serde_json::{Map, Value as Json};

use crate::Error;

/// Sets the process's logger.
///
/// # Errors
///
/// The process has a logger already.
pub fn start_logging(vm: &VmId, level: LevelFilter) -> Result<(), Error> {
    let vm = vm.clone();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("sapphireslipd", level)
        .level_for("timeline", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&vm, &message.to_string(), record)));
        })
        .chain(io::stderr())
        .apply()
        .map_err(Error::Logger)
}

fn line(vm: &VmId, message: &str, record: &Record<'_>) -> Json {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("time".to_owned(), now.as_secs_f64().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("target".to_owned(), record.target().into());
    fields.insert("vm".to_owned(), vm.as_str().into());
    fields.insert("message".to_owned(), message.into());
    let mut visitor = Fields(fields);
    if record.key_values().visit(&mut visitor).is_err() {
        visitor.0.insert("incomplete".to_owned(), true.into());
    }
    Json::Object(visitor.0)
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
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
