//! What became of the calls of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_model::{CallOutcome, WorkClass};
use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Largest recorded latency in microseconds; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How one call ended.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Planned arrival, counted from the start of the load.
    pub planned: Duration,
    /// Length of the work.
    pub class: WorkClass,
    /// Time from the planned arrival until the call was sent: the generator's own delay.
    pub send_lag: Duration,
    /// Time from the planned arrival to the end of the answer.
    pub latency: Duration,
    /// What the answer says; `None` without an answer.
    pub outcome: Option<CallOutcome>,
    /// Why no target answered; empty for answered calls.
    pub reason: CompactString,
}

impl CallRecord {
    /// Tells whether a target answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.outcome == Some(CallOutcome::Ran)
    }

    /// Tells whether the mesh refused the call.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.outcome.is_some() && !self.is_answered()
    }

    /// End of the answer, counted from the start of the load.
    #[must_use]
    pub fn ended(&self) -> Duration {
        self.planned + self.latency
    }
}

/// Percentiles of some latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarizes latencies.
    ///
    /// # Panics
    ///
    /// Does not panic: the constant bounds of the histogram are valid.
    #[must_use]
    pub fn new(latencies: impl IntoIterator<Item = Duration>) -> Self {
        let histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        let mut histogram = histogram.expect("the bounds are valid");
        for latency in latencies {
            let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(microseconds);
        }
        let value = |quantile| milliseconds(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50_ms: value(0.5),
            p90_ms: value(0.9),
            p99_ms: value(0.99),
            p999_ms: value(0.999),
            max_ms: milliseconds(histogram.max()),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "bounded by the histogram")]
fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}

/// Result of a load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadResult {
    /// Calls that were planned and sent.
    pub offered: u64,
    /// Calls that a target answered.
    pub answered: u64,
    /// Calls that the mesh refused.
    pub refused: u64,
    /// Calls without an answer.
    pub failed: u64,
    /// Number of calls by outcome; `unknown` without an answer.
    pub by_outcome: BTreeMap<CompactString, u64>,
    /// Number of refused calls by reason.
    pub refused_by_reason: BTreeMap<CompactString, u64>,
    /// Number of failed calls by kind of failure.
    pub failed_by_kind: BTreeMap<CompactString, u64>,
    /// Latency of answered calls by class.
    pub answered_latency: BTreeMap<CompactString, LatencySummary>,
    /// Latency of refused calls.
    pub refusal_latency: LatencySummary,
    /// Delay of the generator itself.
    pub send_lag: LatencySummary,
    /// Answered calls per second of the load's planned duration.
    pub goodput_per_second: f64,
    /// Answered calls by the second in which their answers ended.
    pub goodput_by_second: Vec<u64>,
}

impl LoadResult {
    /// Summarizes the calls of a load of the given duration.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a rate")]
    pub fn new(records: &[CallRecord], duration: Duration) -> Self {
        let mut result = Self::default();
        for record in records {
            result.count(record);
        }
        for class in [WorkClass::Short, WorkClass::Long] {
            let answered = records.iter().filter(|call| call.is_answered());
            let of_class = answered.filter(|call| call.class == class);
            let latency = LatencySummary::new(of_class.map(|call| call.latency));
            if latency.count > 0 {
                result.answered_latency.insert(name_of(class), latency);
            }
        }
        let refused = records.iter().filter(|call| call.is_refused());
        result.refusal_latency = LatencySummary::new(refused.map(|call| call.latency));
        result.send_lag = LatencySummary::new(records.iter().map(|call| call.send_lag));
        if !duration.is_zero() {
            result.goodput_per_second = result.answered as f64 / duration.as_secs_f64();
        }
        result
    }

    /// Latency of answered short calls.
    #[must_use]
    pub fn short(&self) -> LatencySummary {
        let short = self.answered_latency.get("short");
        short.copied().unwrap_or_default()
    }

    fn count(&mut self, record: &CallRecord) {
        self.offered += 1;
        let outcome = record.outcome.map_or("unknown", Into::into);
        *self.by_outcome.entry(outcome.into()).or_default() += 1;
        let reason = record.reason.clone();
        if record.is_answered() {
            self.answered += 1;
            self.count_second(record.ended());
        } else if record.is_refused() {
            self.refused += 1;
            *self.refused_by_reason.entry(reason).or_default() += 1;
        } else {
            self.failed += 1;
            *self.failed_by_kind.entry(reason).or_default() += 1;
        }
    }

    fn count_second(&mut self, ended: Duration) {
        let second = usize::try_from(ended.as_secs()).unwrap_or(usize::MAX);
        if self.goodput_by_second.len() <= second {
            self.goodput_by_second.resize(second + 1, 0);
        }
        self.goodput_by_second[second] += 1;
    }
}

fn name_of(class: WorkClass) -> CompactString {
    CompactString::const_new(class.into())
}
