//! The plot of a report: program latency of each policy, as SVG bars.

use std::fmt::Write;

use crate::report::{Row, TraceReport};

const ROW_PX: usize = 18;
const LABEL_PX: usize = 170;
const BAR_PX: f64 = 520.0;
const WIDTH_PX: usize = 780;

/// Draws p50, p95 and p99 of each policy on each trace.
pub fn svg(reports: &[TraceReport]) -> String {
    let rows: usize = reports.iter().map(|report| report.rows.len() + 3).sum();
    let height = rows * ROW_PX + ROW_PX;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PX}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let mut top = ROW_PX;
    for report in reports {
        draw_trace(&mut out, report, top).expect("writing to a string does not fail");
        top += (report.rows.len() + 3) * ROW_PX;
    }
    out.push_str("</svg>\n");
    out
}

fn draw_trace(out: &mut String, report: &TraceReport, top: usize) -> std::fmt::Result {
    let largest = report.rows.iter().map(|row| row.all().latency_ms.p99);
    let largest = largest.fold(1.0, f64::max);
    writeln!(
        out,
        "<text x=\"8\" y=\"{}\" font-weight=\"bold\">{}, load {:.0} %: program latency \
         (p50 dark, p95, p99 light; full width {:.0} s)</text>",
        top + ROW_PX,
        report.trace,
        report.load_percent,
        largest / 1_000.0
    )?;
    for (index, row) in report.rows.iter().enumerate() {
        draw_row(out, row, largest, top + (index + 2) * ROW_PX)?;
    }
    Ok(())
}

fn draw_row(out: &mut String, row: &Row, largest: f64, bottom: usize) -> std::fmt::Result {
    let colour = match row.role {
        "ours" => "#1b7837",
        "baseline" => "#762a83",
        _ => "#4393c3",
    };
    writeln!(out, "<text x=\"8\" y=\"{bottom}\">{}</text>", row.policy)?;
    let latency = &row.all().latency_ms;
    for (value, opacity) in [(latency.p99, 0.3), (latency.p95, 0.6), (latency.p50, 1.0)] {
        writeln!(
            out,
            "<rect x=\"{LABEL_PX}\" y=\"{}\" width=\"{:.1}\" height=\"12\" fill=\"{colour}\" \
             fill-opacity=\"{opacity}\"/>",
            bottom - 11,
            value / largest * BAR_PX
        )?;
    }
    writeln!(
        out,
        "<text x=\"{:.0}\" y=\"{bottom}\">{:.1} s</text>",
        LABEL_PX as f64 + BAR_PX + 8.0,
        latency.p95 / 1_000.0
    )
}
