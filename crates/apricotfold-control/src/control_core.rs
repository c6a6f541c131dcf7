//! Joins the parts of the control plane behind one entry point.

use std::time::Instant;

use apricotfold_schema::peer::{HeadBody, Hello};

use crate::{
    ControlAction, ControlConfig, ControlEvent, LiveEndpoint, MemberInfo, RelayInfo, WaitReason,
};

/// All control state of one node.
#[derive(Debug)]
pub struct ControlCore {
    config: ControlConfig,
    actions: Vec<ControlAction>,
}

impl ControlCore {
    /// Starts a node that knows nothing but its own settings.
    #[must_use]
    pub fn new(config: ControlConfig, _now: Instant) -> Self {
        let actions = Vec::new();
        Self { config, actions }
    }

    /// Takes one event and returns what the daemon has to do, in order.
    pub fn handle(&mut self, _event: ControlEvent, _now: Instant) -> Vec<ControlAction> {
        std::mem::take(&mut self.actions)
    }

    /// First message for a new stream.
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

    /// Current incarnation; it grows when the node refutes a suspicion.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.config.incarnation
    }

    /// Live targets of every service in all data centres, draining ones included.
    #[must_use]
    pub fn live_endpoints(&self) -> Vec<LiveEndpoint> {
        Vec::new()
    }

    /// Known head of a profile, with its compressed bundle.
    #[must_use]
    pub fn head(&self, _profile: &str) -> Option<&HeadBody> {
        None
    }

    /// Every known node, gone ones included until their records are removed.
    #[must_use]
    pub fn members(&self) -> Vec<MemberInfo> {
        Vec::new()
    }

    /// Every known relay.
    #[must_use]
    pub fn relays(&self, _now: Instant) -> Vec<RelayInfo> {
        Vec::new()
    }

    /// The relay that acts for this node's data centre, for claims.
    #[must_use]
    pub fn acting_relay(&self, now: Instant) -> Option<RelayInfo> {
        self.relays(now)
            .into_iter()
            .find(|relay| relay.acting && relay.data_centre == self.config.data_centre)
    }

    /// Whether this node holds a relay slot, or fills the role while the store is away.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        false
    }

    /// Whether this node is the gateway of its region.
    #[must_use]
    pub fn is_gateway(&self, _now: Instant) -> bool {
        false
    }

    /// Why no profile version is in force; nothing once one is.
    #[must_use]
    pub fn waiting_for(&self) -> Option<WaitReason> {
        None
    }
}
