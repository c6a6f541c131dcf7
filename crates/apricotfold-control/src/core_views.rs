//! Read access to the control state for the daemon.

use std::time::Instant;

use apricotfold_model::ServiceName;
use apricotfold_schema::peer::{HeadBody, Hello, RecordKind, StatusBody};

use crate::{
    ControlCore, LiveEndpoint, MemberInfo, RecordBody, RecordTable, RelayInfo, WaitReason,
};

impl ControlCore {
    /// Returns the `Hello` to send first on a new stream.
    #[must_use]
    pub fn hello(&self) -> Hello {
        Hello {
            node: self.config.node.to_string(),
            region: self.config.region.to_string(),
            data_centre: self.config.data_centre.to_string(),
            incarnation: self.config.incarnation,
            control_address: self.config.control_address.to_string(),
        }
    }

    /// Returns the current incarnation, which grows when the node refutes a suspicion.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.config.incarnation
    }

    /// Returns the live targets of all services in all data centres, including draining ones.
    #[must_use]
    pub fn live_endpoints(&self) -> Vec<LiveEndpoint> {
        let live = self.members_view().iter();
        live.filter(|(_, body)| !body.service.is_empty())
            .map(|(version, body)| LiveEndpoint {
                node: body.node.as_str().into(),
                region: body.region.as_str().into(),
                data_centre: body.data_centre.as_str().into(),
                mesh_address: body.mesh_address.as_str().into(),
                service: body.service.as_str().into(),
                slots: body.slots,
                draining: body.draining,
                incarnation: version.epoch,
            })
            .collect()
    }

    /// Returns the live targets of a service, including draining ones.
    #[must_use]
    pub fn service_endpoints(&self, service: &ServiceName) -> Vec<LiveEndpoint> {
        let mut endpoints = self.live_endpoints();
        endpoints.retain(|endpoint| endpoint.service == *service);
        endpoints
    }

    /// Returns the known head of a profile with its compressed bundle.
    #[must_use]
    pub fn head(&self, profile: &str) -> Option<&HeadBody> {
        match self.table.body(RecordKind::Head, profile)? {
            RecordBody::Head(head) => Some(head),
            _ => None,
        }
    }

    /// Returns every known node, including those considered gone until their records are removed.
    #[must_use]
    pub fn members(&self) -> Vec<MemberInfo> {
        let members = self.members_view();
        members
            .known()
            .map(|(version, body)| (version, body, self.status_of(&body.node)))
            .map(|(version, body, status)| MemberInfo {
                node: body.node.as_str().into(),
                region: body.region.as_str().into(),
                data_centre: body.data_centre.as_str().into(),
                control_address: body.control_address.as_str().into(),
                admin_address: body.admin_address.as_str().into(),
                service: body.service.as_str().into(),
                profile: body.profile.as_str().into(),
                applied_version: status.map(|status| status.applied_version),
                lag_reason: status.map_or("", |status| &status.lag_reason).into(),
                draining: body.draining,
                live: members.is_live(version, body),
            })
            .collect()
    }

    /// Status of a node of the local data centre; `None` for nodes of other data centres.
    fn status_of(&self, node: &str) -> Option<&StatusBody> {
        match self.table.body(RecordKind::Status, node)? {
            RecordBody::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Returns every known relay, live or not.
    #[must_use]
    pub fn relays(&self, now: Instant) -> Vec<RelayInfo> {
        self.relay_view.all_relays(now)
    }

    /// Returns the acting relay of this node's data centre, which handles claims.
    #[must_use]
    pub fn acting_relay(&self, now: Instant) -> Option<RelayInfo> {
        let mut relays = self.relays(now).into_iter();
        relays.find(|relay| relay.acting && relay.data_centre == self.config.data_centre)
    }

    /// Returns true if this node holds a relay slot, with a lease or provisionally while the store
    /// is unavailable.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relay.is_relay()
    }

    /// Returns true if this node is the gateway of its region.
    #[must_use]
    pub fn is_gateway(&self, now: Instant) -> bool {
        self.relay_view.is_gateway(&self.config, now)
    }

    /// Returns this node's slot and fencing number for claim transactions, or `None` unless its
    /// lease is certainly valid.
    #[must_use]
    pub fn write_fence(&self, now: Instant) -> Option<(u32, i64)> {
        self.relay.write_fence(now)
    }

    /// Returns why no profile version is in force. Returns `None` once one is, or if the service
    /// selected no profile and uses the built-in default.
    #[must_use]
    pub fn waiting_for(&self) -> Option<WaitReason> {
        if let Some(reason) = self.floor.waiting_for() {
            return Some(reason);
        }
        let Some(target) = &self.target else {
            return Some(WaitReason::NoTarget);
        };
        if target.profile.is_empty() || self.floor.applied(&target.profile) > 0 {
            return None;
        }
        if self.head(&target.profile).is_none() {
            return Some(WaitReason::NoHead);
        }
        Some(WaitReason::NotApplied)
    }

    /// Returns the number of open peer streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.overlay.links.len()
    }

    /// Returns the table of replicated records.
    #[must_use]
    pub fn records(&self) -> &RecordTable {
        &self.table
    }
}
