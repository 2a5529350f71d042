//! Measures what control costs one daemon at a given size, and how the cost grows with it.
//!
//! One real state is driven by a hand-driven clock. Peers, backend servers and the platform are
//! answered by a minimal loop that agrees with everything: this is a cost meter, not a simulator of
//! a fleet. Messages to peers are encoded as they go over the wire.
//!
//! Run with `cargo run --release -p sapphireslip-wire --example control_cost`; it prints one JSON
//! line a point and one a slope.

mod fit;
mod heap;
mod meter;
mod size;

use serde::Serialize;

use crate::fit::{Fit, Point};
use crate::meter::{Report, measure};
use crate::size::Size;

/// One varied quantity: its name, its values, and how a value changes the size.
struct Sweep {
    name: &'static str,
    values: [usize; 5],
    set: fn(&mut Size, usize),
}

/// What is fitted of a report.
type Measure = (&'static str, fn(&Report) -> f64);

const SWEEPS: [Sweep; 5] = [
    Sweep {
        name: "homes",
        values: [0, 6, 13, 26, 52],
        set: |size, value| size.homes = value,
    },
    Sweep {
        name: "zone_daemons",
        values: [8, 32, 64, 96, 127],
        set: |size, value| size.zone_daemons = value,
    },
    Sweep {
        name: "other_daemons",
        values: [0, 190, 380, 570, 763],
        set: |size, value| size.other_daemons = value,
    },
    Sweep {
        name: "sessions",
        values: [0, 1_400, 2_800, 4_200, 5_600],
        set: |size, value| size.sessions = value,
    },
    Sweep {
        name: "documents",
        values: [100, 400, 800, 1_200, 1_600],
        set: |size, value| size.documents = value,
    },
];

const MEASURES: [Measure; 9] = [
    ("processor_percent", |report| report.processor_percent),
    ("peer_messages_a_second", |report| report.sent.messages),
    ("peer_bytes_sent_a_second", |report| report.sent.bytes),
    ("peer_bytes_received_a_second", |report| {
        report.received.bytes
    }),
    ("group_calls_a_second", |report| report.group_calls),
    ("state_bytes", |report| report.state_bytes),
    ("document_change_us", |report| report.document_change_us),
    ("membership_change_us", |report| report.membership_change_us),
    ("session_open_us", |report| report.session_open_us),
];

#[derive(Serialize)]
struct Slope {
    by: &'static str,
    of: &'static str,
    #[serde(flatten)]
    fit: Fit,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let design = measure(Size::DESIGN)?;
    println!("{}", serde_json::to_string(&design)?);
    let relay = Size {
        relay: true,
        ..Size::DESIGN
    };
    println!("{}", serde_json::to_string(&measure(relay)?)?);
    for sweep in &SWEEPS {
        let mut reports = Vec::new();
        for value in sweep.values {
            let mut size = Size::DESIGN;
            (sweep.set)(&mut size, value);
            let report = measure(size)?;
            println!("{}", serde_json::to_string(&report)?);
            reports.push((value, report));
        }
        for (of, get) in MEASURES {
            let point = |(value, report): &(usize, Report)| Point {
                x: f64::from(u32::try_from(*value).unwrap_or(u32::MAX)),
                y: get(report),
            };
            let points: Vec<_> = reports.iter().map(point).collect();
            let by = sweep.name;
            let fit = Fit::of(&points);
            println!("{}", serde_json::to_string(&Slope { by, of, fit })?);
        }
    }
    Ok(())
}
