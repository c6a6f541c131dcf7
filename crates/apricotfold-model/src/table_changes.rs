//! Differences between two route tables in the words of an operator. See `guide/check.md`.

use compact_str::{CompactString, ToCompactString, format_compact};
use strum::{Display, IntoStaticStr};

use crate::{RawCallerLimits, RawTableRoute, RouteTable, TableRoute, Tenant, TenantDirectory};

/// How an entry differs.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the later table has it.
    Added,
    /// Only the former table has it.
    Removed,
    /// It differs.
    Changed,
}

/// A difference between two tables.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableChange {
    /// What differs, such as `route shop.example/orders/`.
    pub subject: CompactString,
    /// How it differs.
    pub kind: ChangeKind,
    /// Fields that differ with their former and later values, without keys.
    pub detail: CompactString,
}

/// Name of a field and its two values.
type FieldPair = (&'static str, CompactString, CompactString);

/// Returns what differs between two tables by meaning: the order of entries, and names of hosts
/// written in other cases, make no difference. The result is sorted.
#[must_use]
pub fn table_changes(former: &RouteTable, later: &RouteTable) -> Vec<TableChange> {
    let delta = later.delta_from(former);
    let mut changes = Vec::new();
    let mut add = |subject, kind, detail| {
        changes.push(TableChange {
            subject,
            kind,
            detail,
        });
    };
    for route in &delta.routes {
        let subject = format_compact!("route {}{}", route.host, route.prefix);
        match former.route(&route.host, &route.prefix) {
            None => add(subject, ChangeKind::Added, route.name.clone()),
            Some(known) => add(subject, ChangeKind::Changed, route_detail(known, route)),
        }
    }
    for (host, prefix) in &delta.removed_routes {
        let subject = format_compact!("route {host}{prefix}");
        add(subject, ChangeKind::Removed, CompactString::default());
    }
    for service in &delta.services {
        let subject = format_compact!("service {}", service.name);
        let path = &service.health_path;
        match former.service(&service.name) {
            None => add(subject, ChangeKind::Added, CompactString::default()),
            Some(known) => {
                let pair = ("health-path", known.health_path.clone(), path.clone());
                add(subject, ChangeKind::Changed, describe([pair]));
            }
        }
    }
    for name in &delta.removed_services {
        let subject = format_compact!("service {name}");
        add(subject, ChangeKind::Removed, CompactString::default());
    }
    let limits = limits_detail(RawCallerLimits::from(former.limits), delta.limits);
    if !limits.is_empty() {
        add("limits".into(), ChangeKind::Changed, limits);
    }
    match (&former.tenants, &later.tenants) {
        (None, Some(tenants)) => {
            let detail = format_compact!("API keys become necessary; {} tenants", tenants.len());
            add("tenants".into(), ChangeKind::Added, detail);
        }
        (Some(_), None) => {
            let detail = "API keys are no longer necessary".into();
            add("tenants".into(), ChangeKind::Removed, detail);
        }
        (Some(former), Some(later)) => {
            for change in tenant_changes(former, later) {
                add(change.subject, change.kind, change.detail);
            }
        }
        (None, None) => {}
    }
    changes.sort();
    changes
}

fn tenant_changes(former: &TenantDirectory, later: &TenantDirectory) -> Vec<TableChange> {
    let subject = |tenant: &Tenant| format_compact!("tenant {}", tenant.name);
    let added_or_changed = later.iter().filter_map(|tenant| {
        let (kind, detail) = match former.get(&tenant.name) {
            Some(known) if known == tenant => return None,
            Some(known) => (ChangeKind::Changed, tenant_detail(known, tenant)),
            None => (ChangeKind::Added, CompactString::default()),
        };
        let subject = subject(tenant);
        Some(TableChange {
            subject,
            kind,
            detail,
        })
    });
    let removed = former
        .iter()
        .filter(|tenant| later.get(&tenant.name).is_none());
    let removed = removed.map(|tenant| TableChange {
        subject: subject(tenant),
        kind: ChangeKind::Removed,
        detail: CompactString::default(),
    });
    added_or_changed.chain(removed).collect()
}

fn route_detail(former: &TableRoute, later: &RawTableRoute) -> CompactString {
    let later = TableRoute::from(later.clone());
    let parts = |route: &TableRoute| {
        let parts = route.parts.iter();
        let texts: Vec<_> = parts
            .map(|part| format!("{} {}", part.service, part.weight))
            .collect();
        CompactString::from(texts.join(" + "))
    };
    let millis = |time: std::time::Duration| time.as_millis().to_compact_string();
    let text = |value: &dyn std::fmt::Display| value.to_compact_string();
    describe([
        ("name", former.name.clone(), later.name.clone()),
        ("parts", parts(former), parts(&later)),
        ("repeat", text(&former.repeat), text(&later.repeat)),
        ("class", text(&former.class), text(&later.class)),
        ("timeout-ms", millis(former.timeout), millis(later.timeout)),
        (
            "target-latency-ms",
            millis(former.target_latency),
            millis(later.target_latency),
        ),
        ("priority", text(&former.priority), text(&later.priority)),
        (
            "max-attempts",
            text(&former.max_attempts),
            text(&later.max_attempts),
        ),
        ("public", text(&former.public), text(&later.public)),
    ])
}

fn limits_detail(former: RawCallerLimits, later: RawCallerLimits) -> CompactString {
    let text = |value: u64| value.to_compact_string();
    describe([
        (
            "header-bytes",
            text(former.header_bytes as u64),
            text(later.header_bytes as u64),
        ),
        (
            "body-bytes",
            text(former.body_bytes),
            text(later.body_bytes),
        ),
        (
            "header-time-ms",
            text(former.header_time_ms),
            text(later.header_time_ms),
        ),
        (
            "idle-time-ms",
            text(former.idle_time_ms),
            text(later.idle_time_ms),
        ),
    ])
}

fn tenant_detail(former: &Tenant, later: &Tenant) -> CompactString {
    let priority = |tenant: &Tenant| {
        let text = |priority: crate::CallPriority| priority.to_compact_string();
        tenant.priority.map_or("of the route".into(), text)
    };
    let quota = |tenant: &Tenant| {
        tenant.quota.map_or("none".into(), |quota| {
            format_compact!("{} a second, burst {}", quota.rate, quota.burst)
        })
    };
    // Keys are counted, not shown, and neither are their digests.
    let kept = later.shared_keys(former);
    let fields = describe([
        ("priority", priority(former), priority(later)),
        ("quota", quota(former), quota(later)),
    ]);
    let (withdrawn, added) = (former.key_count() - kept, later.key_count() - kept);
    if withdrawn == 0 && added == 0 {
        return fields;
    }
    let separator = if fields.is_empty() { "" } else { ", " };
    format_compact!("{fields}{separator}keys: {added} added, {withdrawn} withdrawn, {kept} kept")
}

fn describe(pairs: impl IntoIterator<Item = FieldPair>) -> CompactString {
    let differing = pairs
        .into_iter()
        .filter(|(_, former, later)| former != later);
    let texts: Vec<_> = differing
        .map(|(name, former, later)| format!("{name} {former} -> {later}"))
        .collect();
    CompactString::from(texts.join(", "))
}
