//! View of all relays: which are live, which act for their data centre and which are gateways.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use apricotfold_model::{DataCentreName, NodeId, RegionName, RelayEntry};
use apricotfold_schema::peer::{RecordKind, RelayBody};
use compact_str::CompactString;

use crate::{
    ControlConfig, RecordBody, RecordTable, RelayInfo, relay_role::SLOT_TTL, relay_role::slot_key,
};

/// Time without a heartbeat after which a relay no longer counts as live.
const RELAY_SILENT_AFTER: Duration = Duration::from_secs(3);

/// Latest relay record of a slot and the time of its arrival.
#[derive(Debug)]
struct SlotState {
    body: RelayBody,
    heard: Instant,
    removed: bool,
}

/// Heartbeats of all relay slots, and the slot entries of the store, which provide addresses.
#[derive(Debug, Default)]
pub(crate) struct RelayView {
    slots: BTreeMap<(DataCentreName, u32), SlotState>,
    listed: BTreeMap<CompactString, RelayEntry>,
}

impl RelayView {
    /// Updates a slot after a newer relay record was merged into the table.
    pub(crate) fn update(&mut self, key: &str, table: &RecordTable, now: Instant) {
        let Some(stored) = table.get(RecordKind::Relay, key) else {
            return;
        };
        if let RecordBody::Relay(body) = &stored.body {
            let slot = (body.data_centre.as_str().into(), body.slot);
            let state = SlotState {
                body: body.clone(),
                heard: now,
                removed: false,
            };
            self.slots.insert(slot, state);
            return;
        }
        for ((data_centre, slot), state) in &mut self.slots {
            state.removed |= slot_key(data_centre, *slot) == key;
        }
    }

    /// Restarts all heartbeat timers after a pause of this process.
    pub(crate) fn resumed(&mut self, now: Instant) {
        for state in self.slots.values_mut() {
            state.heard = now;
        }
    }

    /// Replaces the slot entries known from the store.
    pub(crate) fn set_listed(&mut self, listed: BTreeMap<CompactString, RelayEntry>) {
        self.listed = listed;
    }

    pub(crate) fn set_entry(&mut self, key: CompactString, entry: RelayEntry) {
        self.listed.insert(key, entry);
    }

    pub(crate) fn remove_entry(&mut self, key: &str) {
        self.listed.remove(key);
    }

    fn is_live(state: &SlotState, now: Instant) -> bool {
        !state.removed && now.saturating_duration_since(state.heard) < RELAY_SILENT_AFTER
    }

    /// Returns true if this node may try to acquire a slot: no holder is known, the slot was held
    /// by this node itself, or its holder has sent no heartbeat for the duration of a lease.
    pub(crate) fn is_free(&self, slot: u32, config: &ControlConfig, now: Instant) -> bool {
        let state = self.slots.get(&(config.data_centre.clone(), slot));
        state.is_none_or(|state| {
            state.removed
                || state.body.node == config.node.as_str()
                || now.saturating_duration_since(state.heard) >= SLOT_TTL
        })
    }

    pub(crate) fn has_live(&self, data_centre: &DataCentreName, now: Instant) -> bool {
        self.acting(data_centre, now).is_some()
    }

    /// Live relay with the lowest slot of a data centre.
    fn acting(&self, data_centre: &DataCentreName, now: Instant) -> Option<&RelayBody> {
        self.slots
            .iter()
            .filter(|((name, _), state)| name == data_centre && Self::is_live(state, now))
            .map(|(_, state)| &state.body)
            .next()
    }

    /// Gateway of a region: the acting relay of its first data centre, by name, with a live relay.
    fn gateway(&self, region: &str, now: Instant) -> Option<&RelayBody> {
        self.slots
            .values()
            .filter(|state| state.body.region == region && Self::is_live(state, now))
            .map(|state| &state.body)
            .next()
    }

    pub(crate) fn is_acting(&self, config: &ControlConfig, now: Instant) -> bool {
        self.acting(&config.data_centre, now)
            .is_some_and(|body| body.node == config.node.as_str())
    }

    pub(crate) fn is_gateway(&self, config: &ControlConfig, now: Instant) -> bool {
        self.gateway(&config.region, now)
            .is_some_and(|body| body.node == config.node.as_str())
    }

    /// Returns all known slots except removed ones.
    pub(crate) fn all_relays(&self, now: Instant) -> Vec<RelayInfo> {
        let info = |state: &SlotState| {
            let body = &state.body;
            let name: DataCentreName = body.data_centre.as_str().into();
            RelayInfo {
                acting: self
                    .acting(&name, now)
                    .is_some_and(|acting| acting.node == body.node),
                gateway: self
                    .gateway(&body.region, now)
                    .is_some_and(|gateway| gateway.node == body.node),
                data_centre: name,
                region: body.region.as_str().into(),
                slot: body.slot,
                node: body.node.as_str().into(),
                control_address: body.control_address.as_str().into(),
                fence: body.fence,
                live: Self::is_live(state, now),
            }
        };
        let present = self.slots.values().filter(|state| !state.removed);
        present.map(info).collect()
    }

    /// Peers that a relay has to stay connected to: the gateway of its region; for a gateway also
    /// the gateways of the other regions; and silent relays, since a partition may have ended.
    pub(crate) fn links(
        &self,
        config: &ControlConfig,
        now: Instant,
    ) -> Vec<(NodeId, CompactString)> {
        let is_gateway = self.is_gateway(config, now);
        let mut links = Vec::new();
        for region in self.regions(config) {
            if region != config.region && !is_gateway {
                continue;
            }
            if let Some(gateway) = self.gateway(&region, now) {
                links.push((
                    gateway.node.as_str().into(),
                    gateway.control_address.as_str().into(),
                ));
            }
            links.extend(self.silent_relays(&region, config, now));
        }
        links.retain(|(node, _)| *node != config.node);
        links
    }

    fn regions(&self, config: &ControlConfig) -> Vec<RegionName> {
        let heard = self.slots.values().map(|state| &state.body.region);
        let mut regions: Vec<RegionName> = heard
            .map(|name| name.as_str().into())
            .chain(self.listed.values().map(|entry| entry.region.clone()))
            .chain(std::iter::once(config.region.clone()))
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Relays of data centres without a live relay. Those of another region are included only while
    /// it has no live relay at all, because a live gateway connects the whole region.
    fn silent_relays(
        &self,
        region: &RegionName,
        config: &ControlConfig,
        now: Instant,
    ) -> Vec<(NodeId, CompactString)> {
        if *region != config.region && self.gateway(region, now).is_some() {
            return Vec::new();
        }
        let known = self.slots.values().filter(|state| !state.removed);
        let heard = known.map(|state| {
            let body = &state.body;
            (
                &body.region,
                &body.data_centre,
                &body.node,
                &body.control_address,
            )
        });
        let mut silent_relays: Vec<(NodeId, CompactString)> = heard
            .filter(|(name, ..)| name.as_str() == region)
            .filter(|(_, data_centre, ..)| !self.has_live(&data_centre.as_str().into(), now))
            .map(|(_, _, node, address)| (node.as_str().into(), address.as_str().into()))
            .collect();
        let listed = self
            .listed
            .values()
            .filter(|entry| entry.region == *region && !self.has_live(&entry.data_centre, now))
            .map(|entry| (entry.node.clone(), entry.control_address.clone()));
        silent_relays.extend(listed);
        silent_relays.sort_unstable();
        silent_relays.dedup();
        silent_relays
    }

    /// Addresses of this data centre's relays according to the store, for a node that gets no
    /// answer from its contacts.
    pub(crate) fn listed_addresses(&self, config: &ControlConfig) -> Vec<CompactString> {
        self.listed
            .values()
            .filter(|entry| entry.data_centre == config.data_centre && entry.node != config.node)
            .map(|entry| entry.control_address.clone())
            .collect()
    }
}
