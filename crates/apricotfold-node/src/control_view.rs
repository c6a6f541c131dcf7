//! Builds the call path's view and the node's status from the control plane's core.

use std::time::Instant;

use apricotfold_control::{ControlCore, WaitReason};
use compact_str::CompactString;

use crate::state::{ControlStatus, NodeState};
use crate::view::{EndpointInfo, MeshView};

/// Builds the view of all members. Addresses and slots for calls come from the live endpoints.
pub fn read_view(core: &ControlCore) -> MeshView {
    let mut view = MeshView::default();
    for member in core.members() {
        let info = EndpointInfo {
            node: member.node.clone(),
            region: member.region,
            data_centre: member.data_centre,
            control_address: member.control_address,
            service: member.service,
            profile: member.profile,
            admin_address: member.admin_address,
            applied_version: member.applied_version,
            lag_reason: member.lag_reason,
            draining: member.draining,
            ..EndpointInfo::default()
        };
        view.members.insert(member.node, info);
    }
    for endpoint in core.live_endpoints() {
        if let Some(info) = view.members.get_mut(&endpoint.node) {
            info.mesh_address = endpoint.mesh_address;
            info.slots = endpoint.slots;
            info.draining = endpoint.draining;
            info.live = true;
        }
    }
    view
}

/// Builds the status of the control plane on this node.
pub fn read_status(core: &ControlCore, state: &NodeState, now: Instant) -> ControlStatus {
    let target = state.target();
    let head = target
        .as_ref()
        .and_then(|target| core.head(&target.profile));
    let waiting = core.waiting_for();
    let applied = state.snapshot.load().version;
    let head_version = head.map_or(0, |head| head.version);
    let lagging = head_version > applied;
    let reason = waiting.map(|reason| reason.to_string()).unwrap_or_default();
    ControlStatus {
        head_version,
        relay: core.is_relay(),
        gateway: core.is_gateway(now),
        lag_reason: if lagging {
            reason.into()
        } else {
            CompactString::default()
        },
        ready: !matches!(
            waiting,
            Some(WaitReason::NoSource | WaitReason::SecondSource)
        ),
        acting_relay: core.acting_relay(now),
    }
}
