//! Figures of one measure, as they are stored and rendered.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::machine::Conditions;

/// Load average above which figures count as trials: other work competes for the processors.
const MAX_LOAD_AVERAGE: f64 = 4.0;

/// All figures of one measure.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BenchmarkResults {
    /// Name of the measure.
    pub measure: String,
    /// What was done.
    pub setup: String,
    /// Conditions at the start.
    pub conditions: Conditions,
    /// Command that runs the measure again.
    pub command: String,
    /// Why the figures are trials; empty if they are not.
    pub trial: String,
    /// One row for each deployment and choice.
    pub rows: Vec<ResultRow>,
    /// Targets and whether they are met.
    pub verdicts: Vec<Verdict>,
    /// Curves to plot.
    pub plots: Vec<PlotData>,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultRow {
    /// Deployment that was measured.
    pub deployment: String,
    /// `target_choice` of its nodes, or another name of the variant.
    pub variant: String,
    /// Load average of the last minute at the end of the run.
    pub load_average: f64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Complete results of the loads by name.
    pub raw: BTreeMap<String, serde_json::Value>,
}

/// A target and what was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Verdict {
    /// Deployment that was measured.
    pub deployment: String,
    /// The target with its bound.
    pub target: String,
    /// The measured figure.
    pub measured: f64,
    /// Whether the figure is within the bound.
    pub met: bool,
}

/// Curves of one diagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlotData {
    /// File name without extension.
    pub file: String,
    /// Title.
    pub title: String,
    /// Label of the horizontal axis.
    pub x_label: String,
    /// Label of the vertical axis.
    pub y_label: String,
    /// Name and points of each curve.
    pub curves: Vec<(String, Vec<(f64, f64)>)>,
}

impl BenchmarkResults {
    /// Starts an empty sheet.
    pub fn new(measure: &str) -> Self {
        Self {
            measure: measure.to_owned(),
            ..Self::default()
        }
    }

    /// Adds the figures of a run.
    pub fn add_row(&mut self, row: ResultRow) {
        println!("{} {} {:?}", row.deployment, row.variant, row.figures);
        self.rows.push(row);
    }

    /// Compares a figure with an upper bound.
    pub fn check_at_most(&mut self, deployment: &str, target: &str, measured: f64, bound: f64) {
        self.add_verdict(deployment, target, measured, measured <= bound);
    }

    /// Compares a figure with a lower bound.
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

    /// Figure of a row; not a number if there is none.
    pub fn figure(&self, deployment: &str, variant: &str, name: &str) -> f64 {
        let row = self
            .rows
            .iter()
            .find(|row| row.deployment == deployment && row.variant == variant);
        row.and_then(|row| row.figures.get(name))
            .copied()
            .unwrap_or(f64::NAN)
    }

    /// Notes the conditions.
    pub fn finish(&mut self, conditions: Conditions, seconds: u64, quick: bool) {
        let quick_flag = if quick { " --quick" } else { "" };
        self.command = format!(
            "target/release/apricotfold-bench {} --seconds {seconds}{quick_flag}",
            self.measure
        );
        // The bench's own load counts in later averages, so only the one at the start tells of
        // other work.
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
