//! The outcome of replays: a table for people, JSON, and the values that
//! stated outcomes are compared with.

use std::fmt::Write;

use serde::Serialize;

use crate::measure::{Measures, percentile};
use crate::policies::{Policy, Role};
use crate::trace::{Comparison, Expectation};

/// Percentiles of one measure.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Half of the values are below.
    pub p50: f64,
    /// 95 in 100 values are below.
    pub p95: f64,
    /// 99 in 100 values are below.
    pub p99: f64,
}

impl Percentiles {
    fn of(values: &[f64]) -> Self {
        Self {
            p50: percentile(values, 50.0),
            p95: percentile(values, 95.0),
            p99: percentile(values, 99.0),
        }
    }
}

/// Programs of one customer, or of all.
#[derive(Clone, Debug, Serialize)]
pub struct ProgramRow {
    /// The customer; `all` for all.
    pub customer: String,
    /// Programs that finished.
    pub finished: usize,
    /// Latency of whole programs.
    pub latency_ms: Percentiles,
    /// The same divided by the critical path.
    pub slowdown: Percentiles,
    /// Programs within their deadline.
    pub goodput_percent: f64,
}

/// One policy on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: String,
    /// `baseline`, `ours` or `ablation`.
    pub role: &'static str,
    /// All programs, then those of each customer.
    pub programs: Vec<ProgramRow>,
    /// Time to the first token of each model call.
    pub first_token_ms: Percentiles,
    /// Prefix tokens recomputed, of what a clairvoyant cache had kept.
    pub recomputed_percent: f64,
    /// Token-time held for programs that had ended.
    pub held_ended_percent: f64,
    /// Token-time held in pauses and not used again.
    pub held_unused_percent: f64,
    /// Largest over mean number of calls at an engine.
    pub herding: f64,
    /// Dispatches for each model call.
    pub amplification: f64,
    /// Work that each customer got while all had work, over the fair share;
    /// the least of the customers.
    pub least_share: f64,
    /// Refusals, retries, unknown outcomes and other events.
    pub counts: std::collections::BTreeMap<&'static str, u64>,
    /// Effects that happened twice.
    pub doubled_effects: usize,
    /// Time in steps, of all engines' time until the end.
    pub busy_percent: f64,
    /// When the last program ended.
    pub end_ms: u64,
}

impl Row {
    /// Sums up one replay.
    pub fn new(policy: &Policy, measures: &Measures, engines: usize) -> Self {
        let customers = measures.customers();
        let mut programs = vec![program_row(measures, None)];
        if customers.len() > 1 {
            programs.extend(customers.iter().map(|c| program_row(measures, Some(c))));
        }
        let available_us = measures.end_us * engines as u64;
        Self {
            policy: policy.name.to_owned(),
            role: match policy.role {
                Role::Baseline => "baseline",
                Role::Ours => "ours",
                Role::Ablation => "ablation",
            },
            programs,
            first_token_ms: Percentiles::of(&measures.first_tokens_ms()),
            recomputed_percent: measures.recomputed_percent(),
            held_ended_percent: measures.held_ended_percent(),
            held_unused_percent: measures.held_unused_percent(),
            herding: measures.herding(),
            amplification: measures.amplification(),
            least_share: measures.least_share(),
            counts: measures.counts.clone(),
            doubled_effects: measures.doubled_effects(),
            busy_percent: 100.0 * measures.busy_us as f64 / available_us.max(1) as f64,
            end_ms: measures.end_us / 1_000,
        }
    }

    /// The row of all programs.
    pub fn all(&self) -> &ProgramRow {
        &self.programs[0]
    }

    fn counted(&self, prefix: &str) -> u64 {
        let events = self
            .counts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix));
        events.map(|(_, count)| count).sum()
    }
}

fn program_row(measures: &Measures, customer: Option<&str>) -> ProgramRow {
    let latencies = measures.latencies_ms(customer);
    ProgramRow {
        customer: customer.unwrap_or("all").to_owned(),
        finished: latencies.len(),
        latency_ms: Percentiles::of(&latencies),
        slowdown: Percentiles::of(&measures.slowdowns(customer)),
        goodput_percent: measures.goodput_percent(customer),
    }
}

/// All policies on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct TraceReport {
    /// The trace.
    pub trace: String,
    /// Engine time needed with all history warm, of what there is.
    pub load_percent: f64,
    /// The policies.
    pub rows: Vec<Row>,
}

impl TraceReport {
    /// The row of what the processes run.
    pub fn ours(&self) -> Option<&Row> {
        self.rows.iter().find(|row| row.role == "ours")
    }

    /// The baseline with the least program p95.
    pub fn best_baseline(&self) -> Option<&Row> {
        let baselines = self.rows.iter().filter(|row| row.role == "baseline");
        baselines.min_by(|a, b| a.all().latency_ms.p95.total_cmp(&b.all().latency_ms.p95))
    }

    /// The value of a measure that outcomes are stated for.
    pub fn subject(&self, name: &str) -> Option<f64> {
        let ours = self.ours()?;
        let value = match name {
            "finished" => ours.all().finished as f64,
            "p95-ms" => ours.all().latency_ms.p95,
            "p95-slowdown" => ours.all().slowdown.p95,
            "p95-over-best-baseline" => {
                ours.all().latency_ms.p95 / self.best_baseline()?.all().latency_ms.p95
            }
            "goodput-percent" => ours.all().goodput_percent,
            "goodput-over-best-baseline" => {
                ours.all().goodput_percent / self.best_baseline()?.all().goodput_percent
            }
            "recomputed-percent" => ours.recomputed_percent,
            "held-ended-percent" => ours.held_ended_percent,
            "least-share" => ours.least_share,
            "herding" => ours.herding,
            "amplification" => ours.amplification,
            "doubled-effects" => ours.doubled_effects as f64,
            "unknown" => ours.counted("unknown") as f64,
            // Calls that were lost at an endpoint.
            "cut-calls" => (ours.counted("unknown") + ours.counted("retried-endpoint-down")) as f64,
            "ended-by-limit" => ours.counted("ended-by-limit") as f64,
            _ => return None,
        };
        Some(value)
    }

    /// Whether a stated outcome holds, and the value found; none when the
    /// measure is not known.
    pub fn check(&self, expectation: &Expectation) -> Option<(bool, f64)> {
        let value = self.subject(&expectation.subject)?;
        let holds = match expectation.comparison {
            Comparison::AtMost => value <= expectation.value,
            Comparison::AtLeast => value >= expectation.value,
            Comparison::Equal => value == expectation.value,
        };
        Some((holds, value))
    }

    /// The table for people.
    pub fn table(&self) -> String {
        let mut out = format!("trace {}, load {:.0} %\n", self.trace, self.load_percent);
        let head = "| policy | p50 s | p95 s | p99 s | slow p50 | slow p95 | slow p99 \
            | first p95 ms | in time % | recomputed % | unused % | ended % | refused | retried \
            | unknown | herding | amplif. | share | busy % |\n|---|";
        out.push_str(head);
        out.push_str(&"--:|".repeat(18));
        out.push('\n');
        for row in &self.rows {
            for program in &row.programs {
                write_row(&mut out, row, program).expect("writing to a string does not fail");
            }
        }
        out
    }
}

fn write_row(out: &mut String, row: &Row, program: &ProgramRow) -> std::fmt::Result {
    let latency = &program.latency_ms;
    let slow = &program.slowdown;
    let seconds = |ms: f64| ms / 1_000.0;
    if program.customer == "all" {
        write!(out, "| {} |", row.policy)?;
    } else {
        write!(out, "| {}: {} |", row.policy, program.customer)?;
    }
    write!(
        out,
        " {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} |",
        seconds(latency.p50),
        seconds(latency.p95),
        seconds(latency.p99),
        slow.p50,
        slow.p95,
        slow.p99
    )?;
    if program.customer != "all" {
        return writeln!(
            out,
            " | {:.1} | | | | | | | | | | |",
            program.goodput_percent
        );
    }
    writeln!(
        out,
        " {:.0} | {:.1} | {:.1} | {:.2} | {:.3} | {} | {} | {} | {:.2} | {:.3} | {:.2} | {:.0} |",
        row.first_token_ms.p95,
        program.goodput_percent,
        row.recomputed_percent,
        row.held_unused_percent,
        row.held_ended_percent,
        row.counted("refused"),
        row.counted("retried"),
        row.counted("unknown"),
        row.herding,
        row.amplification,
        row.least_share,
        row.busy_percent,
    )
}
