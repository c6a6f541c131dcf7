//! Comparison of a new version with the old one.

use super::evidence::{BUCKETS_PER_OCTAVE, RolloutCounts, RouteCounts};

/// Answers of the old version on a route without which its usual share of bad answers is unknown.
const MIN_OLD_ANSWERS: u32 = 10;

/// Answers of the old version on a route within a period below which its answers since the order are
/// used: with fewer, the uncertainty of its share would hide a bad version.
const MIN_PERIOD_ANSWERS: u32 = 40;

/// Share of bad answers that is assumed for an old version with too few answers.
const ASSUMED_BAD_SHARE: f64 = 0.2;

/// Margin on the old version's share of bad answers, so that single failures of a sound version do not
/// count.
const BAD_SHARE_MARGIN: f64 = 0.02;

/// Standard deviations by which the old version's share may be underestimated.
const DEVIATIONS: f64 = 2.0;

/// Share of bad answers below which a version is not bad, however many there are. About half of the
/// answers of a bad version are bad. A sound one on a machine of 0.6 of the usual speed has up to a
/// fifth of answers that are four times as slow as the median of the old one.
const MIN_BAD_SHARE: f64 = 0.22;

/// Factor by which a slow answer is slower than the median of the old version on the same route, in
/// octaves. Bad versions are 8 times slower, which machines of 1.6 times the usual speed hide in part;
/// cold or slow machines are up to 2.7 times slower.
const SLOW_OCTAVES: u8 = 2;

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Nothing speaks against the new version.
    Sound,
    /// The new version has clearly more bad answers than the old one.
    Bad,
}

/// Bad answers of the new version on a route, and those that the old one would have had at most.
#[derive(Clone, Copy, Debug, Default)]
struct BadAnswers {
    ended: f64,
    bad: f64,
    excess: f64,
}

impl BadAnswers {
    fn on_route(counts: &RouteCounts, usual: &RouteCounts) -> Self {
        // The old version may have few answers within a short time, or none once it is loaded little.
        let old = if counts.old.ended >= MIN_PERIOD_ANSWERS {
            &counts.old
        } else {
            &usual.old
        };
        let median = old.median_bucket();
        let slow_from = median
            .filter(|_| old.timed() >= MIN_OLD_ANSWERS)
            .map(|bucket| bucket + SLOW_OCTAVES * BUCKETS_PER_OCTAVE);
        let slow_new = slow_from.map_or(0, |bucket| counts.new.timed_from(bucket));
        let slow_old = slow_from.map_or(0, |bucket| old.timed_from(bucket));
        let ended = f64::from(counts.new.ended);
        let bad = f64::from(counts.new.failed + slow_new);
        let usual_share = if old.ended < MIN_OLD_ANSWERS {
            ASSUMED_BAD_SHARE
        } else {
            let total = f64::from(old.ended);
            let share = (f64::from(old.failed + slow_old) / total).min(1.0);
            let deviation = (share * (1.0 - share) / total).sqrt();
            (share + DEVIATIONS * deviation + BAD_SHARE_MARGIN).min(1.0)
        };
        Self {
            ended,
            bad,
            excess: bad - ended * usual_share,
        }
    }

    fn is_clear(&self, min_excess: f64) -> bool {
        self.excess >= min_excess && self.bad >= self.ended * MIN_BAD_SHARE
    }
}

/// Compares both versions within a period, on each route and on all of them together. `usual` has the
/// counts since the order, which are used where the old version has few answers. `min_excess` is the
/// number of bad answers beyond the old version's that shows a bad version.
#[must_use]
pub fn compare_versions(
    period: &RolloutCounts,
    usual: &RolloutCounts,
    min_excess: f64,
) -> VersionVerdict {
    let none = RouteCounts::default();
    let mut all = BadAnswers::default();
    for (route, counts) in &period.routes {
        let usual = usual.routes.get(route).unwrap_or(&none);
        let answers = BadAnswers::on_route(counts, usual);
        if answers.is_clear(min_excess) {
            return VersionVerdict::Bad;
        }
        all.ended += answers.ended;
        all.bad += answers.bad;
        all.excess += answers.excess;
    }
    if all.is_clear(min_excess) {
        VersionVerdict::Bad
    } else {
        VersionVerdict::Sound
    }
}
