//! Fair shares of a target's slots among tenants, so that a tenant with many times its usual demand
//! takes nothing from the others. See `docs/design/overload.md`, section 1.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use apricotfold_model::TenantName;

use crate::decay::DecayingSum;

/// Time constant of the decaying slot time per tenant. Over 3 s, a target with ten slots starts a
/// few requests of each of some eighty tenants, so that counts can be compared.
const TENANT_WINDOW: Duration = Duration::from_secs(3);

/// Multiple of the mean slot time per tenant above which requests of tenants with less are assumed
/// to overtake those of a tenant for as long as they arrive. Smaller differences are chance: with
/// some ten starts per tenant, a standard deviation is a third of the mean.
const OVER_SHARE_FACTOR: f64 = 1.75;

/// Number of tenants above which those without recent slot time are removed.
const PRUNE_ABOVE: usize = 256;

/// Slot time in seconds below which a tenant can be removed.
const NEGLIGIBLE: f64 = 1e-3;

/// Service time in seconds that is assumed before the first measurement.
const MIN_SERVICE: f64 = 1e-3;

/// Slot time that each tenant had lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantShares {
    used: BTreeMap<TenantName, DecayingSum>,
}

impl TenantShares {
    /// Adds slot time of a tenant in seconds. A negative amount corrects an estimate that was
    /// charged before.
    pub(crate) fn charge(&mut self, tenant: &TenantName, seconds: f64, now: Instant) {
        if self.used.len() > PRUNE_ABOVE {
            self.used
                .retain(|_, used| used.value_at(now).abs() > NEGLIGIBLE);
        }
        let window = DecayingSum::new(TENANT_WINDOW);
        let used = self.used.entry(tenant.clone()).or_insert(window);
        used.add(seconds, now);
    }

    /// Returns the slot time that a tenant had lately, in seconds.
    pub(crate) fn used(&self, tenant: &TenantName, now: Instant) -> f64 {
        let used = self.used.get(tenant);
        used.map_or(0.0, |used| used.value_at(now).max(0.0))
    }

    /// Returns the number of queued requests that start before a new one of `tenant`, if all have
    /// the same rank. `queued` holds the tenants of the queued requests.
    ///
    /// A request counts the slot time of its tenant and of the tenant's requests before it; the one
    /// with the least starts first. Queued requests of a tenant that had more than its share are
    /// therefore not ahead of one that is below it.
    pub(crate) fn ahead<'a>(
        &self,
        tenant: &TenantName,
        queued: impl Iterator<Item = Option<&'a TenantName>>,
        service: Duration,
        now: Instant,
    ) -> usize {
        let service = service.as_secs_f64().max(MIN_SERVICE);
        let mut without_tenant = 0;
        let mut counts: BTreeMap<&TenantName, u32> = BTreeMap::new();
        for name in queued {
            match name {
                None => without_tenant += 1,
                Some(name) => *counts.entry(name).or_default() += 1,
            }
        }
        let own = counts.remove(tenant).unwrap_or(0);
        let reached = self.used(tenant, now) + f64::from(own) * service;
        let others: u32 = counts
            .into_iter()
            .map(|(name, count)| {
                let used = self.used(name, now);
                let before =
                    (0..count).take_while(|index| used + f64::from(*index) * service <= reached);
                u32::try_from(before.count()).unwrap_or(u32::MAX)
            })
            .sum();
        without_tenant + own as usize + others as usize
    }

    /// Estimates the share of slots that goes to tenants which had much less, and whose requests
    /// overtake queued ones of `tenant`.
    pub(crate) fn overtaking_share(&self, tenant: &TenantName, now: Instant) -> f64 {
        let own = self.used(tenant, now);
        let (mut total, mut less, mut tenants) = (0.0, 0.0, 0.0);
        for used in self.used.values() {
            let used = used.value_at(now).max(0.0);
            total += used;
            tenants += f64::from(u8::from(used > NEGLIGIBLE));
            if used < own {
                less += used;
            }
        }
        if own * tenants > total * OVER_SHARE_FACTOR {
            less / total
        } else {
            0.0
        }
    }
}
