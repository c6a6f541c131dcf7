//! Spends a node's shares of tenants' limits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotfold_model::{TenantName, TenantQuota};

use super::bucket::TokenBucket;
use super::{
    DEMAND_MARGIN, LEASE_TIME, QuotaShare, RENEWAL_INTERVAL, ShareAsk, ShareGrant, round_down,
};
use crate::decay::DecayingSum;

/// Time over which demand is averaged. Shares must follow demand that moves within one or two seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Time over which sudden demand is measured, as far as it exceeds chance.
const SURGE_WINDOW: Duration = Duration::from_millis(500);

/// Demand in requests per second below which a node gives its share up.
const MIN_DEMAND: f64 = 0.02;

/// Part of the limit that a node must be able to spare to give it up before it renews its share.
/// Smaller parts would cost more messages than they are worth.
const SPARE_SHARE: f64 = 0.05;

/// Part of the limit from which an owner is told at once that the node has applied a smaller share. Until
/// then, the owner cannot lease the rest to others.
const FREED_SHARE: f64 = 0.02;

/// Time after the last message from which a share is renewed along with others.
const EARLY_RENEWAL: Duration = Duration::from_secs(2);

/// Seconds of the demand for which a node asks when it has no token.
const SPARE_TIME: f64 = 0.5;

/// Result of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// The request may be sent.
    Taken,
    /// There is no token here; the owner may have one.
    AskOwner,
    /// There is no token here, and the owner has none either until about this time from now.
    Exhausted(Duration),
}

/// What a node has of one tenant's limit.
#[derive(Debug)]
struct HeldShare {
    share: QuotaShare,
    /// Limit that the share was part of.
    limit: TenantQuota,
    expires: Instant,
    bucket: TokenBucket,
    demand: DecayingSum,
    surge: DecayingSum,
    /// Time until which the owner has no tokens.
    hold_until: Instant,
    /// Requests that wait for a token.
    waiting: u32,
    /// When the owner was last asked.
    asked: Option<Instant>,
    /// Whether the owner should be told soon that the share is smaller.
    smaller: bool,
}

/// Shares of all tenants at this node.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    held: BTreeMap<TenantName, HeldShare>,
}

impl QuotaHolder {
    /// Counts a request and takes a token for it.
    pub fn take(&mut self, tenant: &TenantName, quota: TenantQuota, now: Instant) -> TakeResult {
        let held = self
            .held
            .entry(tenant.clone())
            .or_insert_with(|| HeldShare::new(quota, now));
        held.demand.add(1.0, now);
        held.surge.add(1.0, now);
        held.take(quota, now)
    }

    /// Takes a token for a request that was counted before.
    pub fn take_again(
        &mut self,
        tenant: &TenantName,
        quota: TenantQuota,
        now: Instant,
    ) -> TakeResult {
        let held = self.held.get_mut(tenant);
        held.map_or(TakeResult::AskOwner, |held| held.take(quota, now))
    }

    /// Returns a token whose request has not run.
    pub fn give_back(&mut self, tenant: &str, now: Instant) {
        if let Some(held) = self.held.get_mut(tenant) {
            held.bucket.refill(now);
            held.bucket.add(1.0);
            held.bucket.trim();
        }
    }

    /// Counts requests that begin or end to wait for a token.
    pub fn set_waiting(&mut self, tenant: &str, begins: bool) {
        if let Some(held) = self.held.get_mut(tenant) {
            held.waiting = if begins {
                held.waiting + 1
            } else {
                held.waiting.saturating_sub(1)
            };
        }
    }

    /// Gives up what is no longer needed, and returns the tenants whose owners are to be asked now.
    pub fn due(&mut self, now: Instant) -> Vec<TenantName> {
        self.held
            .retain(|_, held| held.is_used(now) || held.share != QuotaShare::default());
        let mut due = Vec::new();
        for (name, held) in &mut self.held {
            if held.is_due(now) {
                due.push(name.clone());
            }
        }
        due
    }

    /// Returns what to send to the owner of these tenants: those that are due, have requests waiting, or
    /// are due soon.
    pub fn asks<'a>(
        &mut self,
        tenants: impl Iterator<Item = &'a TenantName>,
        now: Instant,
    ) -> Vec<ShareAsk> {
        let mut asks = Vec::new();
        for name in tenants {
            if let Some(held) = self.held.get_mut(name)
                && held.is_due_soon(now)
            {
                asks.push(held.ask(name, now));
            }
        }
        asks
    }

    /// Returns the names of all tenants that the node has a share of or demand for.
    pub fn tenants(&self) -> impl Iterator<Item = &TenantName> {
        self.held.keys()
    }

    /// Returns what the node holds of all tenants' limits, for a new owner.
    pub fn report(&mut self, now: Instant) -> Vec<ShareAsk> {
        let mut asks = Vec::new();
        for (name, held) in &mut self.held {
            held.update(held.limit, now);
            if held.share != QuotaShare::default() {
                asks.push(held.report(name, now));
            }
        }
        asks
    }

    /// Applies the owner's answer. `sent` is when the node sent its message: the owner counts the share
    /// from a later time on.
    pub fn apply(
        &mut self,
        tenant: &str,
        grant: &ShareGrant,
        quota: TenantQuota,
        sent: Instant,
        now: Instant,
    ) {
        let Some(held) = self.held.get_mut(tenant) else {
            return;
        };
        held.update(quota, now);
        if let Some(share) = grant.0 {
            // The owner may not have heard of a lower limit yet, or not when it answered.
            let part = part_left(quota.rate, grant.3);
            let share = QuotaShare {
                rate: round_down((share.rate * part).min(quota.rate)),
                burst: round_down((share.burst * part).min(quota.burst + super::EXTRA_BURST)),
            };
            let freed = held.share.rate - share.rate;
            held.smaller = freed > quota.rate * FREED_SHARE;
            held.share = share;
            held.expires = sent + LEASE_TIME;
            held.bucket.set(share.rate, share.burst, now);
        }
        // Tokens for waiting requests may exceed what the node may keep; they are spent at once.
        let waiting = f64::from(held.waiting);
        let kept = (held.share.burst - held.bucket.tokens()).max(0.0);
        held.bucket.add(grant.1.min(waiting + kept));
        held.hold_until = now + Duration::from_millis(grant.2.into()).min(RENEWAL_INTERVAL);
    }

    /// Drops tokens that requests which have left did not take.
    pub fn trim(&mut self, tenant: &str) {
        if let Some(held) = self.held.get_mut(tenant)
            && held.waiting == 0
        {
            held.bucket.trim();
        }
    }

    /// Forgets everything, when no tenant has a quota any more.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}

impl HeldShare {
    fn new(limit: TenantQuota, now: Instant) -> Self {
        Self {
            share: QuotaShare::default(),
            limit,
            expires: now,
            bucket: TokenBucket::new(now),
            demand: DecayingSum::new(DEMAND_WINDOW),
            surge: DecayingSum::new(SURGE_WINDOW),
            hold_until: now,
            waiting: 0,
            asked: None,
            smaller: false,
        }
    }

    /// Ends an expired share, and reduces it with the tenant's limit.
    fn update(&mut self, limit: TenantQuota, now: Instant) {
        self.bucket.refill(now);
        if now >= self.expires && self.share != QuotaShare::default() {
            self.set_share(QuotaShare::default(), now);
        }
        if limit != self.limit {
            let rate = part_left(limit.rate, self.limit.rate);
            let burst = part_left(limit.burst, self.limit.burst);
            self.limit = limit;
            self.set_share(
                QuotaShare {
                    rate: self.share.rate * rate,
                    burst: self.share.burst * burst.min(rate),
                },
                now,
            );
        }
    }

    fn set_share(&mut self, share: QuotaShare, now: Instant) {
        self.share = QuotaShare {
            rate: round_down(share.rate),
            burst: round_down(share.burst),
        };
        self.bucket.set(self.share.rate, self.share.burst, now);
    }

    fn take(&mut self, limit: TenantQuota, now: Instant) -> TakeResult {
        self.update(limit, now);
        if self.bucket.take_up_to(1.0, now) >= 1.0 {
            return TakeResult::Taken;
        }
        if now >= self.hold_until {
            return TakeResult::AskOwner;
        }
        let asks = self.hold_until.saturating_duration_since(now);
        TakeResult::Exhausted(self.bucket.due_in().unwrap_or(asks))
    }

    fn rate(&self, now: Instant) -> f64 {
        let usual = self.demand.value_at(now) / DEMAND_WINDOW.as_secs_f64();
        // Two standard deviations of random arrivals do not count as a surge.
        let recent = self.surge.value_at(now);
        let surge = (recent - 2.0 * recent.sqrt()) / SURGE_WINDOW.as_secs_f64();
        usual.max(surge)
    }

    fn is_used(&self, now: Instant) -> bool {
        self.waiting > 0 || self.rate(now) >= MIN_DEMAND
    }

    fn asked_ago(&self, now: Instant) -> Duration {
        self.asked
            .map_or(Duration::MAX, |asked| now.saturating_duration_since(asked))
    }

    fn is_due(&mut self, now: Instant) -> bool {
        self.update(self.limit, now);
        if self.share == QuotaShare::default() {
            return false;
        }
        let needed = self.rate(now) * DEMAND_MARGIN;
        let spare = self.share.rate - needed;
        if spare > self.limit.rate * SPARE_SHARE {
            let part = (needed / self.share.rate).clamp(0.0, 1.0);
            let burst = (self.share.burst * part).max(self.share.burst.min(1.0));
            self.set_share(
                QuotaShare {
                    rate: needed,
                    burst,
                },
                now,
            );
            self.smaller = true;
        }
        self.smaller || !self.is_used(now) || self.asked_ago(now) >= RENEWAL_INTERVAL
    }

    fn is_due_soon(&self, now: Instant) -> bool {
        let holds = self.share != QuotaShare::default();
        let waits = self.waiting > 0 && now >= self.hold_until;
        let soon = holds && (self.smaller || self.asked_ago(now) >= EARLY_RENEWAL);
        waits || soon
    }

    fn ask(&mut self, name: &TenantName, now: Instant) -> ShareAsk {
        self.update(self.limit, now);
        self.asked = Some(now);
        self.smaller = false;
        let ask = self.report(name, now);
        if !self.is_used(now) {
            // The owner may lease the share to others from now on.
            self.set_share(QuotaShare::default(), now);
            return ShareAsk(name.clone(), self.share, 0, 0.0, 0.0);
        }
        ask
    }

    fn report(&self, name: &TenantName, now: Instant) -> ShareAsk {
        let left = self.expires.saturating_duration_since(now).as_millis();
        let left = u32::try_from(left).unwrap_or(u32::MAX);
        let missing = f64::from(self.waiting) - self.bucket.tokens().floor();
        let demand = (self.rate(now) * 1e3).ceil() / 1e3;
        // With a share, some more tokens are kept, so that the next requests need not wait.
        let spare = (demand * SPARE_TIME).ceil().min(self.share.burst.floor());
        let needed = if missing > 0.0 { missing + spare } else { 0.0 };
        ShareAsk(name.clone(), self.share, left, demand, needed)
    }
}

/// Returns the part of a share that is left after its limit has changed.
fn part_left(limit: f64, former: f64) -> f64 {
    if former > limit { limit / former } else { 1.0 }
}
