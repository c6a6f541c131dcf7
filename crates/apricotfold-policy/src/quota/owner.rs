//! Leases shares of tenants' limits to nodes.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use apricotfold_model::{NodeId, TenantName, TenantQuota, saturating_millis};

use super::bucket::TokenBucket;
use super::{
    BURST_SHARE, DEMAND_MARGIN, EXTRA_BURST, LEASE_TIME, QuotaShare, ShareAsk, ShareGrant,
    divide_fairly, round_down,
};

/// Time in which a former owner may go on leasing, since nodes learn of a new one at different times.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Part of what nobody holds that a new owner leases in this time although it knows all shares.
const SETTLING_SHARE: f64 = 0.6;

/// Factor by which the part of the limit that silent nodes may hold exceeds their part of the nodes:
/// a tenant's requests enter at some nodes more than at others.
const SILENT_FACTOR: f64 = 2.0;

/// Part of the limit, as far as nobody is known to hold it, that a new owner leases before it knows all
/// shares. With the whole limit in use elsewhere, and another node standing in for the owner, 1.28
/// times the rate stays under the bound of a window.
const CAUTIOUS_SHARE: f64 = 0.2;

/// Requests per second that a new owner may lease in any case, out of the slack of 20 in each window.
const CAUTIOUS_RATE: f64 = 1.0;

/// Share of the rate, and requests per second, that a node hands out for an owner that does not answer.
/// The owner may go on leasing the whole limit.
const STANDBY_SHARE: f64 = 0.08;
const STANDBY_RATE: f64 = 0.8;

/// Tokens with which an owner starts, so that the first requests of a small tenant need not wait.
const FIRST_TOKENS: f64 = 2.0;

/// Most tokens that a node keeps on behalf of an owner that does not answer.
const STANDBY_TOKENS: f64 = 2.0;

/// Part of the burst that nodes may keep. The rest is handed out as single tokens to nodes that hold no
/// share.
const LEASED_BURST: f64 = 0.75;

/// Limits in requests per second, and the parts of such limits and higher ones that are leased. The rest
/// is handed out as single tokens, so that demand which moves or comes at random finds some at once:
/// the smaller a limit, the more of its demand is chance. The last part is more than the usual demand,
/// which is 0.6 of the limit.
const LEASED_PARTS: [(f64, f64); 2] = [(10.0, 0.5), (100.0, 0.75)];

/// Seconds of its rate that a node with a share may keep. More would lie idle where demand is steady, and
/// be missing where it rises.
const BURST_TIME: f64 = 0.5;

/// Tokens that a node may keep if its demand is more than that in a second, so that random arrivals rarely
/// need a message.
const STEADY_BURST: f64 = 6.0;

/// Least tokens that a node with a share keeps. With less, the node could never have one.
const MIN_BURST: f64 = 1.0;

/// Least rate of a share in requests per second.
const MIN_RATE: f64 = 0.1;

/// Shortest and longest time after which a node may ask for more tokens.
const HOLD_TIMES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// Share of a node as the owner knows it.
#[derive(Clone, Copy, Debug)]
struct NodeLease {
    share: QuotaShare,
    expires: Instant,
    demand: f64,
}

/// A tenant whose limit this node leases.
#[derive(Debug)]
struct OwnedTenant {
    quota: TenantQuota,
    since: Instant,
    /// Rate of the shares that another owner, or an earlier process, has leased.
    inherited: f64,
    leases: BTreeMap<NodeId, NodeLease>,
    /// What no node holds.
    rest: TokenBucket,
}

/// Decides which node gets which share of the limits that this node owns, and hands out some tokens for
/// those that it does not.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    owned: HashMap<TenantName, OwnedTenant>,
    standby: HashMap<TenantName, TokenBucket>,
    /// Part of the nodes that have reported their shares.
    heard: f64,
}

impl QuotaOwner {
    /// Sets the tenants whose limits this node owns. Returns whether there are any that it did not own
    /// before; the shares of all nodes must then be reported again.
    pub fn set_owned<'a>(
        &mut self,
        owned: impl Iterator<Item = (&'a TenantName, TenantQuota)>,
        now: Instant,
    ) -> bool {
        let mut former = std::mem::take(&mut self.owned);
        let mut grown = false;
        for (name, quota) in owned {
            let mut tenant = former.remove(name).unwrap_or_else(|| {
                grown = true;
                OwnedTenant::new(quota, now)
            });
            tenant.quota = quota;
            self.owned.insert(name.clone(), tenant);
        }
        if grown {
            self.heard = 0.0;
        }
        grown
    }

    /// Adopts changed limits of tenants that this node owns.
    pub fn set_limits(&mut self, limits: &HashMap<TenantName, TenantQuota>) {
        for (name, tenant) in &mut self.owned {
            if let Some(limit) = limits.get(name) {
                tenant.quota = *limit;
            }
        }
    }

    /// Returns the names of the tenants that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &TenantName> {
        self.owned.keys()
    }

    /// Returns whether this node owns a tenant's limit.
    #[must_use]
    pub fn owns(&self, tenant: &str) -> bool {
        self.owned.contains_key(tenant)
    }

    /// Records which part of the nodes, from 0 to 1, have reported their shares.
    pub fn record_survey(&mut self, heard: f64) {
        self.heard = heard;
    }

    /// Records what a node holds, without granting anything.
    pub fn learn(&mut self, node: &NodeId, ask: &ShareAsk, now: Instant) {
        let heard = self.heard;
        if let Some(tenant) = self.owned.get_mut(&ask.0) {
            tenant.settle(heard, now);
            if !tenant.leases.contains_key(node) {
                tenant.learn(node, ask, now);
            }
            tenant.settle(heard, now);
        }
    }

    /// Answers a node. `quota` is the tenant's limit by this node's table.
    pub fn answer(
        &mut self,
        node: &NodeId,
        ask: &ShareAsk,
        quota: TenantQuota,
        now: Instant,
    ) -> ShareGrant {
        if let Some(tenant) = self.owned.get_mut(&ask.0) {
            return tenant.answer(node, ask, self.heard, now);
        }
        // It starts empty: when all nodes restart, many may take each other's places for a moment.
        let bucket = self
            .standby
            .entry(ask.0.clone())
            .or_insert_with(|| TokenBucket::new(now));
        let rate = (STANDBY_SHARE * quota.rate + STANDBY_RATE).min(quota.rate);
        bucket.set(rate, STANDBY_TOKENS.max(rate / 2.0), now);
        let tokens = bucket.take_up_to(ask.4.ceil(), now);
        let hold = hold_millis(tokens >= ask.4, rate);
        ShareGrant(None, tokens, hold, quota.rate)
    }
}

impl OwnedTenant {
    fn new(quota: TenantQuota, now: Instant) -> Self {
        let mut rest = TokenBucket::new(now);
        rest.add(FIRST_TOKENS);
        Self {
            quota,
            since: now,
            inherited: 0.0,
            leases: BTreeMap::new(),
            rest,
        }
    }

    /// Returns the rate that may be leased.
    fn rate(&self, heard: f64, now: Instant) -> f64 {
        let limit = self.quota.rate;
        let age = now.saturating_duration_since(self.since);
        if age >= LEASE_TIME {
            return limit;
        }
        let settling = if age < SETTLING_TIME {
            SETTLING_SHARE
        } else {
            1.0
        };
        let heard = 1.0 - SILENT_FACTOR * (1.0 - heard);
        let share = (heard * settling).max(CAUTIOUS_SHARE);
        let inherited = self.inherited.min(limit);
        let cautious = ((limit - inherited) * share).max(CAUTIOUS_RATE);
        (inherited + cautious).min(limit)
    }

    /// Returns the tokens that may be kept at all nodes together.
    fn burst(&self) -> f64 {
        self.quota.burst * BURST_SHARE + EXTRA_BURST
    }

    /// Returns the sum of the shares, except that of one node.
    fn leased(&self, except: Option<&NodeId>) -> QuotaShare {
        let others = self.leases.iter().filter(|(node, _)| Some(*node) != except);
        others.fold(QuotaShare::default(), |sum, (_, lease)| QuotaShare {
            rate: sum.rate + lease.share.rate,
            burst: sum.burst + lease.share.burst,
        })
    }

    /// Drops expired shares and sets what is left for tokens.
    fn settle(&mut self, heard: f64, now: Instant) {
        self.rest.refill(now);
        self.leases.retain(|_, lease| lease.expires > now);
        let leased = self.leased(None);
        let rate = self.rate(heard, now) - leased.rate;
        self.rest.set(rate, self.burst() - leased.burst, now);
    }

    fn learn(&mut self, node: &NodeId, ask: &ShareAsk, now: Instant) {
        let held_for = Duration::from_millis(ask.2.into()).min(LEASE_TIME);
        let share = QuotaShare {
            rate: ask.1.rate.min(self.quota.rate),
            burst: ask.1.burst.min(self.burst()),
        };
        if !self.leases.contains_key(node) {
            self.inherited += share.rate;
        }
        let lease = NodeLease {
            share,
            expires: now + held_for,
            demand: ask.3,
        };
        self.leases.insert(node.clone(), lease);
    }

    fn answer(&mut self, node: &NodeId, ask: &ShareAsk, heard: f64, now: Instant) -> ShareGrant {
        self.settle(heard, now);
        self.learn(node, ask, now);
        let share = if ask.3 > 0.0 {
            self.divide(node, heard, now)
        } else {
            QuotaShare::default()
        };
        if ask.3 > 0.0 {
            let lease = self.leases.get_mut(node).expect("inserted above");
            // A smaller share counts once the node reports it, since the answer may be lost.
            lease.share.rate = lease.share.rate.max(share.rate);
            lease.share.burst = lease.share.burst.max(share.burst);
            lease.expires = now + LEASE_TIME;
        } else {
            self.leases.remove(node);
        }
        self.settle(heard, now);
        let tokens = self.rest.take_up_to(ask.4.ceil(), now);
        let rest = self.rate(heard, now) - self.leased(None).rate;
        // About half of the nodes lack tokens at a time, and each of them gets its turn.
        let nodes = f64::from(u32::try_from(self.leases.len()).unwrap_or(u32::MAX));
        let hold = hold_millis(tokens >= ask.4, rest * 2.0 / nodes.max(1.0));
        ShareGrant(Some(share), tokens, hold, self.quota.rate)
    }

    /// Returns the fair share of a node, as far as others leave it free.
    fn divide(&self, node: &NodeId, heard: f64, now: Instant) -> QuotaShare {
        let limit = self.rate(heard, now);
        let nodes: Vec<_> = self.leases.iter().collect();
        let index = nodes.iter().position(|(other, _)| *other == node);
        let Some(index) = index else {
            return QuotaShare::default();
        };
        let mut parts = LEASED_PARTS.iter().rev();
        let part = parts.find(|(least, _)| self.quota.rate >= *least);
        let part = part.map_or(0.0, |(_, part)| *part);
        // Without a leased rate, what a node may keep is not refilled by itself, and lacks in the rest.
        let steady = if part > 0.0 { STEADY_BURST } else { MIN_BURST };
        let wanted_rates: Vec<f64> = nodes
            .iter()
            .map(|(_, lease)| (lease.demand * DEMAND_MARGIN).max(MIN_RATE))
            .collect();
        let wanted_bursts: Vec<f64> = wanted_rates
            .iter()
            .map(|rate| (rate * BURST_TIME).max(rate.clamp(MIN_BURST, steady)))
            .collect();
        let others = self.leased(Some(node));
        let burst = self.burst();
        let fair_burst = divide_fairly(burst * LEASED_BURST, &wanted_bursts)[index];
        // Below one token, a share would be of no use.
        let burst = fair_burst.max(1.0).min(burst * LEASED_BURST - others.burst);
        if burst < 1.0 {
            return QuotaShare::default();
        }
        let leasable = limit * part;
        let fair_rate = divide_fairly(leasable, &wanted_rates)[index];
        QuotaShare {
            rate: round_down(fair_rate.min(leasable - others.rate).max(0.0)),
            burst: round_down(burst),
        }
    }
}

/// Returns the time in milliseconds for which it is useless to ask again; `rate` is that at which tokens
/// are handed out.
fn hold_millis(satisfied: bool, rate: f64) -> u32 {
    if satisfied {
        return 0;
    }
    let [shortest, longest] = HOLD_TIMES;
    let due = Duration::try_from_secs_f64(1.0 / rate.max(1e-3)).unwrap_or(longest);
    let hold = saturating_millis(due.clamp(shortest, longest));
    u32::try_from(hold).unwrap_or(u32::MAX)
}
