//! The operator's command, as a library.

mod accepted_state;
mod apply;
mod arguments;
mod attempt;
mod bench_report;
mod bench_run;
mod bench_session;
mod bench_settings;
mod check;
mod decision;
mod error;
mod explain;
mod explain_cause;
mod html_page;
mod http;
mod latency;
mod ledger;
mod output;
mod platform_client;
mod read_document;
mod read_share;
mod run;
mod show;
mod statement_latencies;
mod status;
mod timeline;
mod timeline_group;
mod timeline_page;
mod timeline_view;
mod verifier;
mod workload;

pub use self::{
    apply::*, arguments::*, attempt::*, bench_report::*, bench_run::*, bench_session::*,
    bench_settings::*, check::*, decision::*, error::*, explain::*, html_page::*, latency::*,
    ledger::*, output::*, read_share::*, run::*, show::*, statement_latencies::*, status::*,
    timeline::*, timeline_page::*, timeline_view::*, verifier::*, workload::*,
};

pub use sapphireslipd::{TimelineOrder, TimelinePage, TimelineRecord as TimelineLine};
