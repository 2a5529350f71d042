//! The operator's command.

mod attempt;
mod bench_report;
mod bench_run;
mod bench_session;
mod bench_settings;
mod error;
mod html_page;
mod http;
mod latency;
mod ledger;
mod read_share;
mod workload;

pub use self::{
    attempt::*, bench_report::*, bench_run::*, bench_session::*, bench_settings::*, error::*,
    html_page::*, latency::*, ledger::*, read_share::*, workload::*,
};
