//! Request quotas of tenants, shared by all nodes. See `docs/design/quotas.md`.
//!
//! Each tenant has one [`QuotaOwner`], which leases [`QuotaShare`]s of its limit to nodes and hands out
//! single tokens. Each node spends its shares through a [`QuotaHolder`].

mod bucket;
mod division;
mod holder;
mod node;
mod owner;
mod ranking;
mod term;

use std::time::Duration;

use apricotfold_model::TenantName;

pub use division::divide_fairly;
pub use holder::{QuotaHolder, TakeResult};
pub use node::{MessageFault, MessageNumber, OwnerChange, QuotaNode};
pub use owner::QuotaOwner;
pub use ranking::{OwnerCandidates, choose_candidates};
pub use term::OwnerTerm;

/// Time for which a share is valid. A share that was renewed [`RENEWAL_INTERVAL`] before a partition
/// of 9 s must outlast it, because its owner must not lease it again while its holder may still use it.
pub const LEASE_TIME: Duration = Duration::from_secs(15);

/// Time after which a node renews its shares.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Share of a tenant's burst that is used. The rest covers requests that reach targets later than
/// others and so fall into one window with them.
const BURST_SHARE: f64 = 0.9;

/// Requests above the burst that may come at once, out of the slack of 20 in each window. Without it,
/// a tenant of 2 requests per second could not have a token at each of 3 nodes.
const EXTRA_BURST: f64 = 8.0;

/// Factor by which a share exceeds the demand, so that demand can grow without a message.
const DEMAND_MARGIN: f64 = 1.3;

/// A node's part of a tenant's limit. In messages it is a list of two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct QuotaShare {
    /// Requests per second.
    pub rate: f64,
    /// Most tokens that the node may keep.
    pub burst: f64,
}

impl From<(f64, f64)> for QuotaShare {
    fn from((rate, burst): (f64, f64)) -> Self {
        Self { rate, burst }
    }
}

impl From<QuotaShare> for (f64, f64) {
    fn from(share: QuotaShare) -> Self {
        (share.rate, share.burst)
    }
}

/// What a node holds of a tenant's limit, and what it needs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ShareAsk(
    /// Name of the tenant.
    pub TenantName,
    /// Share that the node holds.
    pub QuotaShare,
    /// Time in milliseconds for which it holds that share.
    pub u32,
    /// Requests per second that arrive at the node for the tenant.
    pub f64,
    /// Tokens that the node needs at once.
    pub f64,
);

/// Answer of an owner to a [`ShareAsk`].
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ShareGrant(
    /// Share that replaces the node's; `None` from a node that is not the owner.
    pub Option<QuotaShare>,
    /// Tokens that the node may spend.
    pub f64,
    /// Time in milliseconds for which asking for more tokens is useless.
    pub u32,
    /// Rate of the limit that the share is part of, by the owner's table.
    pub f64,
);

impl ShareAsk {
    /// Returns whether the numbers are ones that a node can send.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let numbers = [self.1.rate, self.1.burst, self.3, self.4];
        numbers.into_iter().all(is_amount)
    }
}

impl ShareGrant {
    /// Returns whether the numbers are ones that an owner can send.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let share = self.0.unwrap_or_default();
        [share.rate, share.burst, self.1, self.3]
            .into_iter()
            .all(is_amount)
    }
}

/// Highest plausible rate or number of tokens in a message.
const MAX_AMOUNT: f64 = 1e10;

fn is_amount(number: f64) -> bool {
    (0.0..=MAX_AMOUNT).contains(&number)
}

/// Rounds down to three decimals, which keeps messages short.
fn round_down(number: f64) -> f64 {
    (number * 1e3).floor() / 1e3
}
