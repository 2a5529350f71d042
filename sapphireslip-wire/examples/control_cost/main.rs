//! Measures what the control plane (membership, configuration and calls about server groups) costs
//! one daemon in a fleet of a given size, and how the cost grows with the size.
//!
//! The example runs the reducer of one daemon with a simulated clock. A minimal loop stands in for
//! peers, backend servers and the platform and answers everything with success, so that this
//! measures costs but does not simulate a fleet. Messages are counted with their encoded size.
//!
//! Run with `cargo run --release -p sapphireslip-wire --example control_cost`; it prints one line
//! of JSON for each measured size and one for each fitted line.

mod fit;
mod heap;
mod meter;
mod size;

use serde::Serialize;

use crate::fit::{Fit, Point};
use crate::meter::{Report, measure};
use crate::size::Size;

/// A series of measurements in which one quantity of the size varies.
struct Sweep {
    /// The name of the quantity in the output.
    name: &'static str,
    /// The values that the quantity takes.
    values: [usize; 5],
    /// Sets the quantity in a size.
    set: fn(&mut Size, usize),
}

/// A measured quantity: its name in the output, and the function that takes it from a report.
type Measure = (&'static str, fn(&Report) -> f64);

/// The varied quantities; all others stay at their values in [`Size::DESIGN`].
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

/// The measured quantities to which lines are fitted.
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

/// The growth of a measured quantity with a varied one, as printed.
#[derive(Serialize)]
struct Slope {
    /// The name of the varied quantity.
    by: &'static str,
    /// The name of the measured quantity.
    of: &'static str,
    /// The line fitted to the measurements.
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
