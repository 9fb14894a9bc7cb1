//! The report of a run: `summary.json` for tools, `report.html` for people.

use crate::cluster::Cluster;
use crate::load::LoadStats;
use hdrhistogram::Histogram;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, WHITE,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

const PLOT_SIZE: (u32, u32) = (760, 320);
const COLORS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];
const PLOT_POINTS: u32 = 200;
/// Shortest pause within a stream that a reader would notice, in microseconds.
const NOTICEABLE_US: u64 = 200_000;

/// Percentiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Percentiles {
    /// Computes the percentiles of a histogram whose values are microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1e3,
        }
    }
}

/// A fault that was injected.
#[derive(Clone, Debug, Serialize)]
pub struct InjectedFault {
    /// Time of the fault, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: String,
    /// Index of the daemon or engine.
    pub target: usize,
}

/// Results of one workload, as seen by its callers.
#[derive(Clone, Debug, Serialize)]
pub struct WorkloadSummary {
    /// Name of the workload.
    pub name: String,
    /// Number of programs whose end was acknowledged.
    pub programs: u64,
    /// Number of calls that were answered.
    pub answered: u64,
    /// Number of refused and failed calls by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Number of retries.
    pub asked_again: u64,
    /// Number of streams that were interrupted or timed out.
    pub broken: u64,
    /// Duration of whole programs, in milliseconds.
    pub program_ms: Percentiles,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Percentiles,
    /// Longest pause within each stream, in milliseconds.
    pub longest_pause_ms: Percentiles,
    /// Longest pause, in milliseconds, only within streams with a pause that a reader would notice (200 ms or more).
    pub noticed_pause_ms: Percentiles,
    /// Prompt tokens of all answers.
    pub prompt_tokens: u64,
    /// Share of the prompt tokens that the engines had cached.
    pub cached_share: f64,
    #[serde(skip)]
    first_token: Histogram<u64>,
}

impl WorkloadSummary {
    /// Summarizes the results of a load.
    pub fn new(name: &str, stats: &LoadStats) -> Self {
        let mut refused = BTreeMap::new();
        for error in &stats.refused {
            *refused.entry(format!("{:?}", error.kind)).or_insert(0) += 1;
        }
        let mut noticeable = stats.pauses.clone();
        noticeable.reset();
        for value in stats.pauses.iter_recorded() {
            if value.value_iterated_to() >= NOTICEABLE_US {
                let _ = noticeable.record_n(value.value_iterated_to(), value.count_at_value());
            }
        }
        Self {
            name: name.to_owned(),
            programs: stats.finished,
            answered: stats.answered,
            refused,
            asked_again: stats.retries,
            broken: stats.interruptions,
            program_ms: Percentiles::of(&stats.program_time),
            first_token_ms: Percentiles::of(&stats.first_token),
            longest_pause_ms: Percentiles::of(&stats.pauses),
            noticed_pause_ms: Percentiles::of(&noticeable),
            prompt_tokens: stats.prompt_tokens,
            cached_share: stats.cached_tokens as f64 / stats.prompt_tokens.max(1) as f64,
            first_token: stats.first_token.clone(),
        }
    }
}

/// Resource usage of one daemon.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonSummary {
    /// IP address and port.
    pub address: String,
    /// Bytes of control traffic (membership, heartbeats, votes) since its start.
    pub control_bytes: u64,
    /// CPU time since its start, in milliseconds.
    pub processor_ms: u64,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
}

/// Results of a run, as written to `summary.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Duration of the load, in milliseconds.
    pub length_ms: u64,
    /// Faults that were injected.
    pub faults: Vec<InjectedFault>,
    /// Results of each workload.
    pub workloads: Vec<WorkloadSummary>,
    /// Longest time until no engine had tokens cached for the ended programs of a workload, in
    /// milliseconds.
    pub release_ms: u64,
    /// Resource usage of each daemon.
    pub daemons: Vec<DaemonSummary>,
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
}

impl Summary {
    /// Creates a summary without workloads, daemons and violations.
    pub fn new(name: &str, seed: u64, length: Duration, faults: Vec<InjectedFault>) -> Self {
        Self {
            name: name.to_owned(),
            seed,
            length_ms: length.as_millis() as u64,
            faults,
            workloads: Vec::new(),
            release_ms: 0,
            daemons: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Adds the resource usage of the running daemons.
    pub async fn add_daemons(&mut self, cluster: &Cluster) {
        for daemon in &cluster.daemons {
            let Some(process) = &daemon.process else {
                continue;
            };
            let metrics = cluster.get(&daemon.address, "/metrics").await;
            let text = metrics.map(|response| response.body).unwrap_or_default();
            self.daemons.push(DaemonSummary {
                address: daemon.address.clone(),
                control_bytes: metric(&text, "fieldhook_control_bytes_total") as u64,
                processor_ms: cpu_time_ms(process.id()),
                memory_kb: resident_memory_kb(process.id()),
            });
        }
    }
}

/// Returns the value of a metric without labels from Prometheus text; 0 if it is missing.
pub fn metric(text: &str, name: &str) -> f64 {
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}

/// Returns the CPU time of a process in milliseconds, from `/proc/PID/stat`; 0 if unreadable.
pub fn cpu_time_ms(id: u32) -> u64 {
    const TICK_MS: u64 = 10;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * TICK_MS
}

/// Returns the resident memory of a process in kilobytes, from `/proc/PID/status`; 0 if
/// unreadable.
pub fn resident_memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Writes `summary.json` and `report.html` into a folder.
///
/// # Errors
/// The folder cannot be written.
pub fn write_report(summary: &Summary, folder: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let json = serde_json::to_string_pretty(summary)?;
    std::fs::write(folder.join("summary.json"), &json)?;
    std::fs::write(folder.join("report.html"), render_html(summary)?)?;
    println!("{json}\nreport: {}", folder.join("report.html").display());
    Ok(())
}

fn render_html(summary: &Summary) -> Result<String, Box<dyn Error>> {
    let verdict = if summary.violations.is_empty() {
        "<p class=\"good\">No violations.</p>".to_owned()
    } else {
        let items: String = summary
            .violations
            .iter()
            .map(|text| format!("<li>{}</li>", escape(text)))
            .collect();
        format!("<p class=\"bad\">Violations:</p><ul>{items}</ul>")
    };
    let faults: String = summary
        .faults
        .iter()
        .map(|fault| {
            format!(
                "<li>{} ms: {} {}</li>",
                fault.at_ms, fault.kind, fault.target
            )
        })
        .collect();
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}}\
         table{{border-collapse:collapse}}td,th{{border:1px solid #bbb;padding:.3rem .6rem;\
         text-align:right}}.good{{color:#176117}}.bad{{color:#a11}}svg{{max-width:100%}}</style>\
         <h1>{name}</h1><p>Seed {seed}, {length:.1} s.</p>{verdict}\
         <h2>Workloads</h2>{table}\
         <h2>Time to the first token</h2>{plot}<h2>Faults</h2><ul>{faults}</ul></html>",
        name = escape(&summary.name),
        seed = summary.seed,
        length = summary.length_ms as f64 / 1e3,
        table = render_table(summary),
        plot = render_first_token_plot(summary)?,
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn render_table(summary: &Summary) -> String {
    let rows: String = summary
        .workloads
        .iter()
        .map(|workload| {
            format!(
                "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.0} / {:.0}</td>\
                 <td>{:.1} / {:.1}</td><td>{:.0}</td><td>{:.0}%</td></tr>",
                escape(&workload.name),
                workload.programs,
                workload.answered,
                workload.refused.values().sum::<u64>(),
                workload.program_ms.p50,
                workload.program_ms.p95,
                workload.first_token_ms.p50,
                workload.first_token_ms.p99,
                workload.longest_pause_ms.max,
                workload.cached_share * 100.0,
            )
        })
        .collect();
    format!(
        "<table><tr><th>workload</th><th>programs</th><th>answered</th><th>refused</th>\
         <th>program p50 / p95 ms</th><th>first token p50 / p99 ms</th><th>longest pause ms</th>\
         <th>cached</th></tr>{rows}</table>"
    )
}

/// Plots the share of calls whose first token arrived within a given time, as SVG.
fn render_first_token_plot(summary: &Summary) -> Result<String, Box<dyn Error>> {
    let histograms = summary
        .workloads
        .iter()
        .map(|workload| &workload.first_token);
    let longest_us = histograms
        .map(|item| item.value_at_quantile(0.999))
        .max()
        .unwrap_or(1)
        .max(1);
    let longest_ms = longest_us as f64 / 1e3;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..longest_ms, 0.0..1.0)?;
        chart
            .configure_mesh()
            .x_desc("ms")
            .y_desc("share of calls")
            .draw()?;
        for (index, workload) in summary.workloads.iter().enumerate() {
            let color = COLORS[index % COLORS.len()];
            let points = (0..=PLOT_POINTS).map(|step| {
                let ms = longest_ms * f64::from(step) / f64::from(PLOT_POINTS);
                (ms, workload.first_token.quantile_below((ms * 1e3) as u64))
            });
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(&workload.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
