//! Records and summaries of the calls of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_model::{CallOutcome, WorkClass};
use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Largest latency that the histogram records; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Precision of recorded latencies in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Planned arrival, relative to the start of the load.
    pub planned: Duration,
    /// Work class of the call.
    pub class: WorkClass,
    /// Time from the planned arrival until the call was sent, which is the delay of the generator.
    pub send_lag: Duration,
    /// Time from the planned arrival to the end of the response or to the failure.
    pub latency: Duration,
    /// Outcome of the response; `None` when the call failed without a usable one.
    pub outcome: Option<CallOutcome>,
    /// Reason of a refusal or kind of failure; empty for answered calls.
    pub reason: CompactString,
}

impl CallRecord {
    /// Returns whether a target answered the call.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.outcome == Some(CallOutcome::Ran)
    }

    /// Returns whether the mesh refused the call, which means that it has an outcome other than
    /// `ran`.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.outcome.is_some() && !self.is_answered()
    }

    /// Returns the end of the response, relative to the start of the load.
    #[must_use]
    pub fn ended(&self) -> Duration {
        self.planned + self.latency
    }
}

/// Percentiles of a set of latencies.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of recorded latencies.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: f64,
    /// Maximum in milliseconds.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarizes latencies. All figures are 0 when there are none.
    ///
    /// # Panics
    ///
    /// Does not panic in practice: the bounds of the histogram are valid constants.
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

/// Summary of a load.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadResult {
    /// Number of calls that were planned and sent.
    pub offered: u64,
    /// Number of calls that a target answered.
    pub answered: u64,
    /// Number of calls that the mesh refused.
    pub refused: u64,
    /// Number of calls without a complete response or a known outcome.
    pub failed: u64,
    /// Number of calls by outcome; failed calls count as `unknown`.
    pub by_outcome: BTreeMap<CompactString, u64>,
    /// Number of refused calls by reason.
    pub refused_by_reason: BTreeMap<CompactString, u64>,
    /// Number of failed calls by kind of failure.
    pub failed_by_kind: BTreeMap<CompactString, u64>,
    /// Latency of answered calls by work class; classes without answered calls are absent.
    pub answered_latency: BTreeMap<CompactString, LatencySummary>,
    /// Latency of refused calls.
    pub refusal_latency: LatencySummary,
    /// Delay of the generator between the planned arrival and sending, over all calls.
    pub send_lag: LatencySummary,
    /// Answered calls per second, averaged over the planned duration of the load.
    pub goodput_per_second: f64,
    /// Number of answered calls by the second in which their response ended, relative to the start
    /// of the load.
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

    /// Returns the latency of answered calls of the short class; zeros when there are none.
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
