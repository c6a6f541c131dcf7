//! Counts of answers for each route and version.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotfold_model::RouteName;

/// Number of buckets of times. Each is a quarter of an octave wide, so that a factor of four is
/// [`BUCKETS_PER_OCTAVE`] times two buckets; the last one starts at 14 s, beyond all time-outs.
const BUCKETS: TimeBucket = 56;

/// Number of a bucket of times.
pub type TimeBucket = u8;

/// Buckets within a factor of two.
pub(super) const BUCKETS_PER_OCTAVE: TimeBucket = 4;

/// The end of one attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Whether the target answered with an error, or did not answer although it had the request.
    pub failed: bool,
    /// Time that the target took; `None` if it says nothing about the version, as with a cold target.
    pub time: Option<Duration>,
}

/// Answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct VersionCounts {
    /// Attempts that ended.
    pub ended: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// Numbers of times in each bucket that has any, which keeps messages short.
    pub times: BTreeMap<TimeBucket, u32>,
}

impl VersionCounts {
    /// Adds the end of an attempt.
    pub fn record(&mut self, sample: AnswerSample) {
        self.ended += 1;
        self.failed += u32::from(sample.failed);
        if let Some(time) = sample.time.filter(|_| !sample.failed) {
            *self.times.entry(bucket_of(time)).or_default() += 1;
        }
    }

    /// Adds the counts of another node or period.
    pub fn add(&mut self, other: &Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        for (bucket, added) in &other.times {
            let known = self.times.entry(*bucket).or_default();
            *known = known.saturating_add(*added);
        }
    }

    /// Returns what has been added since an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let times = self.times.iter().filter_map(|(bucket, count)| {
            let known = earlier.times.get(bucket).copied().unwrap_or(0);
            let added = count.saturating_sub(known);
            (added > 0).then_some((*bucket, added))
        });
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times.collect(),
        }
    }

    /// Number of times that were measured.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.times.values().sum()
    }

    /// Returns the bucket of the median; `None` without any time.
    pub(super) fn median_bucket(&self) -> Option<TimeBucket> {
        let half = self.timed().div_ceil(2);
        let mut sum = 0;
        let mut buckets = self.times.iter();
        let median = buckets.find(|(_, count)| {
            sum += **count;
            sum >= half
        });
        median.map(|(bucket, _)| *bucket)
    }

    /// Number of times in a bucket and all later ones.
    pub(super) fn timed_from(&self, bucket: TimeBucket) -> u32 {
        self.times.range(bucket..).map(|(_, count)| count).sum()
    }
}

/// Answers of both versions on one route, by the same nodes over the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RouteCounts {
    /// Answers of all versions but the new one.
    pub old: VersionCounts,
    /// Answers of the new version.
    pub new: VersionCounts,
}

/// What a node has counted since it learned of an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct RolloutCounts {
    /// Requests of callers for the service.
    pub requests: u32,
    /// Attempts, also retries and hedges, at targets of the new version.
    pub exposed: u32,
    /// Answers by route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
}

impl RolloutCounts {
    /// Adds the counts of another node or period.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.exposed = self.exposed.saturating_add(other.exposed);
        for (route, counts) in &other.routes {
            let known = self.routes.entry(route.clone()).or_default();
            known.old.add(&counts.old);
            known.new.add(&counts.new);
        }
    }

    /// Returns what has been added since an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let none = RouteCounts::default();
        let routes = self.routes.iter().map(|(route, counts)| {
            let known = earlier.routes.get(route).unwrap_or(&none);
            let added = RouteCounts {
                old: counts.old.since(&known.old),
                new: counts.new.since(&known.new),
            };
            (route.clone(), added)
        });
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            exposed: self.exposed.saturating_sub(earlier.exposed),
            routes: routes.collect(),
        }
    }

    /// Number of answers of the new version on all routes.
    #[must_use]
    pub fn new_answers(&self) -> u32 {
        self.routes.values().map(|counts| counts.new.ended).sum()
    }
}

fn bucket_of(time: Duration) -> TimeBucket {
    // A time of 1 ms or less is in the first bucket.
    let millis = (time.as_secs_f64() * 1_000.0).max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the logarithm of a time is a small positive number"
    )]
    let bucket = (millis.log2() * f64::from(BUCKETS_PER_OCTAVE)) as TimeBucket;
    bucket.min(BUCKETS - 1)
}
