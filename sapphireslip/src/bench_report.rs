//! The report of a benchmark run, as text or as a self-contained HTML page with a plot.

use std::fmt::Write;

use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, PathElement, RGBColor,
    SVGBackend, SeriesLabelPosition, TRANSPARENT, WHITE,
};

use plotters::style::Color;

use crate::{BenchResult, Error, html_page};

/// The width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// The smallest latency on the plot's logarithmic axis, in milliseconds.
const PLOT_MIN_MS: f64 = 0.05;

/// Returns the result as human-readable text.
#[must_use]
pub fn bench_text(result: &BenchResult) -> String {
    let verdict = &result.verdict;
    let mut text = format!(
        "workload {}  seed {}  {} operations/s for {:.1} s  not offered {}\n",
        result.workload, result.seed, result.rate, result.seconds, result.not_offered
    );
    let _fits = writeln!(
        text,
        "writes  acknowledged {}  not run {}  unknown {}\nreads   answered {}  refused {}\nbroken  lost {}  doubled {}  refused but run {}  stale {}",
        verdict.acknowledged,
        verdict.not_run,
        verdict.unknown,
        verdict.reads,
        verdict.reads_refused,
        verdict.lost,
        verdict.doubled,
        verdict.ran_after_all,
        verdict.stale
    );
    let _fits = writeln!(
        text,
        "longest write gap {:.0} ms",
        result.longest_write_gap_ms
    );
    if let Some(share) = result.replica_read_share {
        let _fits = writeln!(text, "reads by replicas {:.1} %", share * 100.0);
    }
    for latency in &result.latencies {
        let summary = latency.summary;
        let _fits = writeln!(
            text,
            "{:<12} {:>8}  p50 {:>8.2} ms  p90 {:>8.2} ms  p99 {:>8.2} ms  max {:>8.2} ms",
            latency.operation,
            summary.count,
            summary.p50_ms,
            summary.p90_ms,
            summary.p99_ms,
            summary.max_ms
        );
    }
    text
}

/// The colours of the plot's lines, dark enough to read on a white page.
const LINE_COLORS: [RGBColor; 4] = [
    RGBColor(43, 108, 176),
    RGBColor(197, 48, 48),
    RGBColor(47, 133, 90),
    RGBColor(107, 70, 193),
];

/// Returns the result as a self-contained HTML page.
///
/// # Errors
///
/// [`Error::Plot`] if the plot can't be drawn.
pub fn bench_html(result: &BenchResult) -> Result<String, Error> {
    let plot = latency_plot(result).map_err(Error::Plot)?;
    let body = format!("<pre>{}</pre>\n{plot}", bench_text(result));
    Ok(html_page("sapphireslip bench", &body))
}

/// Draws the latency of each kind of operation by percentile and returns the plot as SVG.
#[expect(clippy::cast_precision_loss, reason = "a percentage is at most 100")]
fn latency_plot(result: &BenchResult) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|err| err.to_string())?;
        let highest = result
            .latencies
            .iter()
            .map(|latency| latency.summary.max_ms);
        let highest = highest.fold(PLOT_MIN_MS * 10.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption("latency from the intended start", ("sans-serif", 18))
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0_f64..100.0, (PLOT_MIN_MS..highest).log_scale())
            .map_err(|err| err.to_string())?;
        chart
            .configure_mesh()
            .x_desc("percent of operations")
            .y_desc("ms")
            .label_style(("sans-serif", 13))
            .light_line_style(TRANSPARENT)
            .bold_line_style(BLACK.mix(0.12))
            .draw()
            .map_err(|err| err.to_string())?;
        for (at, latency) in result.latencies.iter().enumerate() {
            let color = LINE_COLORS[at % LINE_COLORS.len()];
            let points = latency.percentiles_ms.iter().enumerate();
            let points = points.map(|(percent, ms)| (percent as f64, ms.max(PLOT_MIN_MS)));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(|err| err.to_string())?
                .label(latency.operation.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .label_font(("sans-serif", 13))
            .background_style(WHITE)
            .draw()
            .map_err(|err| err.to_string())?;
        area.present().map_err(|err| err.to_string())?;
    }
    Ok(svg)
}
