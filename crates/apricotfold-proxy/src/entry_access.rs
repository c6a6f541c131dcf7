//! Checks the API key of a caller's request. See `docs/design/multi-tenant-traffic.md`.

use std::sync::Arc;

use apricotfold_model::{ApiKeyDigest, RefusalReason, RouteTable, TableRoute, Tenant};
use apricotfold_policy::STORE_SILENCE;

use crate::adapters::CallHead;
use crate::engine::Engine;

/// The tenant that a request belongs to, and the key that shows it.
#[derive(Clone, Debug)]
pub struct TenantAccess {
    /// The tenant, as the table said when the request arrived.
    pub tenant: Arc<Tenant>,
    key: ApiKeyDigest,
}

impl TenantAccess {
    /// Finds the tenant of a request. Returns `None` if the request needs no key and has no valid one.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request must not run.
    pub fn find(
        engine: &Engine,
        table: &RouteTable,
        route: &TableRoute,
        head: &CallHead,
    ) -> Result<Option<Self>, RefusalReason> {
        let Some(tenants) = &table.tenants else {
            return Ok(None);
        };
        let found = head
            .api_key
            .and_then(|key| Some((key, tenants.find_by_key(&key)?)));
        if let Some((key, tenant)) = found {
            let tenant = tenant.clone();
            return Ok(Some(Self { tenant, key }));
        }
        if route.public {
            return Ok(None);
        }
        let parent = head.request_id.as_deref();
        let parent = parent.and_then(|id| engine.protocol.parent_id(id));
        match parent.filter(|_| head.api_key.is_none()) {
            // Calls of running requests come from inside and carry no key.
            Some(parent) if engine.runs().find(parent).is_some() => Ok(None),
            // It may be a call of a request that an earlier process of this node has passed on.
            Some(_) => Err(RefusalReason::KeyUnverified),
            None if is_outdated(engine) => Err(RefusalReason::KeyUnverified),
            None => Err(RefusalReason::UnknownKey),
        }
    }

    /// Returns whether a table still gives the key to the tenant.
    pub fn is_valid(&self, table: &RouteTable) -> bool {
        let Some(tenants) = &table.tenants else {
            return true;
        };
        let holder = tenants.find_by_key(&self.key);
        holder.is_some_and(|holder| holder.name == self.tenant.name)
    }
}

/// Returns whether this node's table may be out of date, because nothing has shown lately that the
/// store would have sent a newer one.
fn is_outdated(engine: &Engine) -> bool {
    let age = engine.store_health.age();
    age.is_none_or(|age| age > STORE_SILENCE)
}
