//! Runs one case: `world CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod drill;
mod drill_recovery;
mod fleet;
mod json;
mod late_configuration;
mod late_promotion;
mod members;
mod short_sessions;
mod stale_status;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A temporary folder that is removed at the end.
pub struct Temp(PathBuf);

impl Temp {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Temp(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.0).ok();
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: world CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = Temp::new();
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "drill" => drill::run(trouble, folder, &temp),
        "late-configuration" => late_configuration::run(trouble, folder, &temp),
        "late-promotion" => late_promotion::run(trouble, folder, &temp),
        "short-sessions" => short_sessions::run(trouble, folder, &temp),
        "drill-recovery" => drill_recovery::run(trouble, folder, &temp),
        "stale-status" => stale_status::run(trouble, folder, &temp),
        _ => None,
    };
    match result {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
