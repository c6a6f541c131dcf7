//! Request rate that a target accepts.

use crate::FieldError;

/// Requests per second that a target accepts from all nodes together, as it states in its answers.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the requests per second; finite and not negative.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = FieldError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            // Negative zero is as good as zero, and prints like it.
            return Ok(Self(per_second.abs()));
        }
        let expected = "a finite number of requests per second, at least 0";
        Err(FieldError::new("rate_limit", per_second, expected))
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

impl std::fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}
