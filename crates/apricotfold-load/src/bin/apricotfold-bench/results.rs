//! Results of a benchmark, as they are stored and rendered.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::machine::Conditions;

/// Load average at the start above which results count as trials, because other work competes for
/// the CPUs.
const MAX_LOAD_AVERAGE: f64 = 4.0;

/// Results of one benchmark.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BenchmarkResults {
    /// Name of the benchmark.
    pub measure: String,
    /// Description of the setup and the load, shown on the page.
    pub setup: String,
    /// Conditions at the start of the benchmark.
    pub conditions: Conditions,
    /// Command that repeats the benchmark.
    pub command: String,
    /// Reason why the results count as trials; empty if they do not.
    pub trial: String,
    /// Figures of each run, one row for each deployment and variant.
    pub rows: Vec<ResultRow>,
    /// Comparisons of figures with their targets.
    pub verdicts: Vec<Verdict>,
    /// Plots that are shown on the page.
    pub plots: Vec<PlotData>,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultRow {
    /// Deployment that was measured.
    pub deployment: String,
    /// Load-balancing policy of the nodes, or another name of the variant.
    pub variant: String,
    /// Load average over one minute at the end of the run.
    pub load_average: f64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Complete results of the loads, by name of the load.
    pub raw: BTreeMap<String, serde_json::Value>,
}

/// Comparison of a figure with its target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Verdict {
    /// Deployment that was measured.
    pub deployment: String,
    /// Description of the target and its bound.
    pub target: String,
    /// Measured figure.
    pub measured: f64,
    /// Whether the target is met.
    pub met: bool,
}

/// Data of one plot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlotData {
    /// File name without extension.
    pub file: String,
    /// Title of the plot.
    pub title: String,
    /// Label of the horizontal axis.
    pub x_label: String,
    /// Label of the vertical axis.
    pub y_label: String,
    /// Name of each curve and its points.
    pub curves: Vec<(String, Vec<(f64, f64)>)>,
}

impl BenchmarkResults {
    /// Creates empty results for a benchmark.
    pub fn new(measure: &str) -> Self {
        Self {
            measure: measure.to_owned(),
            ..Self::default()
        }
    }

    /// Adds the figures of a run and prints them.
    pub fn add_row(&mut self, row: ResultRow) {
        println!("{} {} {:?}", row.deployment, row.variant, row.figures);
        self.rows.push(row);
    }

    /// Records whether a figure is at most `bound`.
    pub fn check_at_most(&mut self, deployment: &str, target: &str, measured: f64, bound: f64) {
        self.add_verdict(deployment, target, measured, measured <= bound);
    }

    /// Records whether a figure is at least `bound`.
    pub fn check_at_least(&mut self, deployment: &str, target: &str, measured: f64, bound: f64) {
        self.add_verdict(deployment, target, measured, measured >= bound);
    }

    fn add_verdict(&mut self, deployment: &str, target: &str, measured: f64, met: bool) {
        println!("{deployment}: {target}: {measured:.3}, met: {met}");
        self.verdicts.push(Verdict {
            deployment: deployment.to_owned(),
            target: target.to_owned(),
            measured,
            met,
        });
    }

    /// Returns a figure of a row; NaN if there is none.
    pub fn figure(&self, deployment: &str, variant: &str, name: &str) -> f64 {
        let row = self
            .rows
            .iter()
            .find(|row| row.deployment == deployment && row.variant == variant);
        row.and_then(|row| row.figures.get(name))
            .copied()
            .unwrap_or(f64::NAN)
    }

    /// Records the conditions and the command, and whether the results count as trials.
    pub fn finish(&mut self, conditions: Conditions, seconds: u64, quick: bool) {
        let quick_flag = if quick { " --quick" } else { "" };
        self.command = format!(
            "target/release/apricotfold-bench {} --seconds {seconds}{quick_flag}",
            self.measure
        );
        // Later load averages include the benchmark's own load, so only the one at the start shows
        // other work on the machine.
        if conditions.load_average > MAX_LOAD_AVERAGE {
            self.trial = format!("the load average was {:.2}", conditions.load_average);
        } else if quick {
            "short loads".clone_into(&mut self.trial);
        } else if !conditions.release {
            "not a release build".clone_into(&mut self.trial);
        }
        self.conditions = conditions;
    }
}
