//! Tenants of a mesh: who may call, with which keys, at which priority and rate. See
//! `docs/design/multi-tenant-traffic.md`.

use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use compact_str::CompactString;
use sha2::{Digest, Sha256};

use crate::{CallPriority, FieldError, FieldErrors};

/// Name of a tenant.
pub type TenantName = CompactString;

/// Highest rate and burst of a quota. A larger number is a mistake in the configuration.
const MAX_QUOTA: f64 = 1e9;

/// SHA-256 digest of an API key. Keys themselves are kept nowhere, so that none reaches a log line
/// or another node, and the time of a look-up does not depend on how much of a key is right.
#[derive(Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ApiKeyDigest({}..)", hex::encode(&self.0[..4]))
    }
}

impl From<ApiKeyDigest> for String {
    fn from(digest: ApiKeyDigest) -> Self {
        hex::encode(digest.0)
    }
}

impl TryFrom<String> for ApiKeyDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest)?;
        Ok(Self(digest))
    }
}

/// A tenant as configured, before validation.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawTenant {
    /// Name that targets receive with the tenant's requests.
    pub name: TenantName,
    /// Digests of its keys; a tenant without any cannot call.
    pub keys: Vec<ApiKeyDigest>,
    /// Priority of its requests; `None` leaves that to the route.
    pub priority: Option<CallPriority>,
    /// Requests per second at all nodes together; 0 means no limit.
    pub rate: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

/// Request rate that all nodes together allow a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Requests per second; above 0.
    pub rate: f64,
    /// Requests above the rate that may come at once; at least 0.
    pub burst: f64,
}

/// A validated tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name that targets receive with the tenant's requests.
    pub name: TenantName,
    /// Priority of its requests; `None` leaves that to the route.
    pub priority: Option<CallPriority>,
    /// Its request rate; `None` if it is not limited.
    pub quota: Option<TenantQuota>,
    keys: Vec<ApiKeyDigest>,
}

impl Tenant {
    /// Returns the number of its keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the number of keys that it has in common with another state of the tenant.
    #[must_use]
    pub fn shared_keys(&self, other: &Self) -> usize {
        let shared = self.keys.iter().filter(|key| other.keys.contains(key));
        shared.count()
    }
}

impl Hash for Tenant {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let quota = self.quota.map(|quota| (quota.rate, quota.burst));
        let quota = quota.map(|(rate, burst)| (rate.to_bits(), burst.to_bits()));
        (&self.name, self.priority, quota, &self.keys).hash(state);
    }
}

impl From<&Tenant> for RawTenant {
    fn from(tenant: &Tenant) -> Self {
        Self {
            name: tenant.name.clone(),
            keys: tenant.keys.clone(),
            priority: tenant.priority,
            rate: tenant.quota.map_or(0.0, |quota| quota.rate),
            burst: tenant.quota.map_or(0.0, |quota| quota.burst),
        }
    }
}

impl From<RawTenant> for Tenant {
    fn from(raw: RawTenant) -> Self {
        let (rate, burst) = (raw.rate, raw.burst);
        let mut keys = raw.keys;
        // The digest of a table must not depend on the order in which an operator lists the keys.
        keys.sort_unstable_by_key(|key| key.0);
        Self {
            name: raw.name,
            priority: raw.priority,
            quota: (rate > 0.0).then_some(TenantQuota { rate, burst }),
            keys,
        }
    }
}

/// The tenants of a route table, found by name or by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantDirectory {
    tenants: HashMap<TenantName, Arc<Tenant>>,
    by_key: HashMap<ApiKeyDigest, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Returns the tenant that holds a key.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns a tenant by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(name)
    }

    /// Returns all tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the directory after changes: `changed` tenants are new or replaced, `removed` ones
    /// are gone. Keys that a changed tenant no longer has are withdrawn.
    #[must_use]
    pub fn with_changes(&self, changed: &[RawTenant], removed: &[TenantName]) -> Self {
        let mut tenants = self.tenants.clone();
        for name in removed {
            tenants.remove(name);
        }
        for raw in changed {
            tenants.insert(raw.name.clone(), Arc::new(Tenant::from(raw.clone())));
        }
        Self::index(tenants)
    }

    fn index(tenants: HashMap<TenantName, Arc<Tenant>>) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants.values() {
            by_key.extend(tenant.keys.iter().map(|key| (*key, tenant.clone())));
        }
        Self { tenants, by_key }
    }
}

impl TryFrom<Vec<RawTenant>> for TenantDirectory {
    type Error = FieldErrors;

    fn try_from(raw: Vec<RawTenant>) -> Result<Self, Self::Error> {
        let mut errors = FieldErrors::default();
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        let empty = ApiKeyDigest::of(b"");
        for (index, tenant) in raw.iter().enumerate() {
            let field = |name: &str| format!("tenants[{index}].{name}");
            errors.check(!tenant.name.is_empty(), || {
                FieldError::new(field("name"), &tenant.name, "a name")
            });
            errors.check(names.insert(&tenant.name), || {
                let expected = "a name that no other tenant has";
                FieldError::new(field("name"), &tenant.name, expected)
            });
            for key in &tenant.keys {
                errors.check(*key != empty, || {
                    FieldError::new(field("keys"), "", "keys that are not empty")
                });
                // Names the tenant instead of the key, which must not appear in logs.
                errors.check(keys.insert(*key), || {
                    let expected = "keys that no tenant has twice or shares with another";
                    FieldError::new(field("keys"), &tenant.name, expected)
                });
            }
            for (name, value) in [("rate", tenant.rate), ("burst", tenant.burst)] {
                errors.check((0.0..=MAX_QUOTA).contains(&value), || {
                    FieldError::new(field(name), value, "a number from 0 to 1000000000")
                });
            }
        }
        let tenants = raw.into_iter().map(Tenant::from);
        let tenants = tenants.map(|tenant| (tenant.name.clone(), Arc::new(tenant)));
        let directory = Self::index(tenants.collect());
        errors.finish(directory)
    }
}
