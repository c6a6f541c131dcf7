//! Relay slots, the gateway role and the links between data centres. See `docs/design.md`,
//! section 5.3.

use std::time::{Duration, Instant};

use apricotfold_model::{DataCentreName, EventCode, RelayEntry, keys};
use apricotfold_schema::peer::{RecordKind, RelayBody};
use compact_str::format_compact;
use log::Level;
use rand::{RngExt, rngs::StdRng};

use crate::{
    ControlConfig, RecordBody, RecordTable, RecordVersion, RequestId, StoreReply, StoreRequest,
    action::ActionQueue, member_ring::MemberRing, relay_view::RelayView,
};

/// Slots of one data centre.
pub(crate) const SLOTS_PER_DATA_CENTRE: u32 = 2;
/// Best-ranked members that contend for a free slot, so that a lost relay does not make every
/// member call the store.
const MAX_CONTENDERS: usize = 4;
/// Life of a slot's lease.
pub(crate) const SLOT_TTL: Duration = Duration::from_secs(5);
/// Three renewals fit into the lease, so that one lost answer does not end it.
const RENEW_INTERVAL: Duration = Duration::from_millis(1500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Wait before the first attempt, in which existing relays are heard.
const START_DELAY: Duration = Duration::from_millis(500);
/// Between the first attempts of two ranks, so that usually one attempt per slot is enough.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Between two attempts to take a slot that was occupied or while the store is away.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// A role as relay.
#[derive(Debug)]
struct HeldSlot {
    slot: u32,
    /// Revision of the slot's key; 0 for a stand-in without a lease.
    fence: i64,
    /// Lease of the slot; nothing for a stand-in.
    lease: Option<i64>,
    /// Until then no other node can hold the slot, as far as this node's clock tells.
    valid_until: Instant,
    next_renewal: Instant,
    next_heartbeat: Instant,
    /// Version of the latest record of this role.
    published: RecordVersion,
}

/// What the relay's decisions depend on.
pub(crate) struct RelayContext<'a> {
    pub(crate) config: &'a ControlConfig,
    pub(crate) table: &'a RecordTable,
    pub(crate) ring: &'a MemberRing,
    pub(crate) draining: bool,
    pub(crate) now: Instant,
    pub(crate) rng: &'a mut StdRng,
    pub(crate) queue: &'a mut ActionQueue,
}

/// A relay record that has to be published.
pub(crate) struct RelayUpdate {
    pub(crate) version: RecordVersion,
    pub(crate) body: RelayBody,
    pub(crate) removed: bool,
}

/// This node's part in the relay role.
#[derive(Debug)]
pub(crate) struct RelayRole {
    started: Instant,
    held: Option<HeldSlot>,
    /// Attempt on a slot that is on its way, with the slot and the time of sending.
    pending_attempt: Option<(RequestId, u32, Instant)>,
    /// Renewal that is on its way, with the time of sending.
    pending_renewal: Option<(RequestId, Instant)>,
    next_try: Instant,
    store_unavailable: bool,
    answer_time: Duration,
}

impl RelayRole {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started: now,
            held: None,
            pending_attempt: None,
            pending_renewal: None,
            next_try: now + START_DELAY,
            store_unavailable: false,
            answer_time: Duration::ZERO,
        }
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.held.is_some()
    }

    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.store_unavailable
    }

    /// How long the store took for its latest answer.
    pub(crate) fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Slot and fencing number with which this node may write to the store. Nothing while
    /// the lease may have ended, for example after a pause of this process.
    pub(crate) fn write_fence(&self, now: Instant) -> Option<(u32, i64)> {
        let held = self.held.as_ref()?;
        let may_write = held.lease.is_some() && now < held.valid_until && !self.store_unavailable;
        may_write.then_some((held.slot, held.fence))
    }

    pub(crate) fn store_changed(&mut self, unavailable: bool, now: Instant) {
        self.store_unavailable = unavailable;
        if !unavailable {
            self.next_try = self.next_try.min(now);
        }
        if unavailable {
            // A late answer then releases the slot again.
            self.pending_attempt = None;
            self.pending_renewal = None;
        }
    }

    /// Takes the answer to one of its requests; false when the request is not its own.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        reply: &StoreReply,
        ctx: &mut RelayContext<'_>,
    ) -> bool {
        if let Some((asked, slot, sent)) = self.pending_attempt
            && asked == id
        {
            self.pending_attempt = None;
            self.answer_time = ctx.now.saturating_duration_since(sent);
            self.slot_answered(slot, sent, reply, ctx);
            return true;
        }
        if let Some((kept, sent)) = self.pending_renewal
            && kept == id
        {
            self.pending_renewal = None;
            self.answer_time = ctx.now.saturating_duration_since(sent);
            self.renewal_answered(sent, reply, ctx);
            return true;
        }
        if let StoreReply::SlotAcquired { lease, .. } = reply {
            // The answer to an abandoned attempt; without this the slot would stay taken by nobody.
            ctx.queue
                .send_store_request(StoreRequest::ReleaseSlot { lease: *lease });
            return true;
        }
        false
    }

    fn slot_answered(
        &mut self,
        slot: u32,
        sent: Instant,
        reply: &StoreReply,
        ctx: &mut RelayContext<'_>,
    ) {
        let jitter = RETRY_DELAY.mul_f64(ctx.rng.random_range(0.0..0.5));
        self.next_try = ctx.now + RETRY_DELAY + jitter;
        match reply {
            StoreReply::SlotAcquired { revision, lease } => {
                self.store_unavailable = false;
                self.held = Some(HeldSlot {
                    slot,
                    fence: *revision,
                    lease: Some(*lease),
                    valid_until: sent + SLOT_TTL,
                    next_renewal: sent + RENEW_INTERVAL,
                    next_heartbeat: ctx.now,
                    published: RecordVersion::default(),
                });
                let text = format_compact!("holds slot {slot} with fence {revision}");
                ctx.queue.log(Level::Info, EventCode::RelayChanged, text);
            }
            StoreReply::Unavailable | StoreReply::Uncertain => self.store_unavailable = true,
            _ => {
                self.store_unavailable = false;
                // Only a stand-in asks while it has a role, and its slot is taken after all.
                self.give_up_role("the store has another holder", ctx);
            }
        }
    }

    fn renewal_answered(&mut self, sent: Instant, reply: &StoreReply, ctx: &mut RelayContext<'_>) {
        match reply {
            StoreReply::SlotRenewed => {
                self.store_unavailable = false;
                if let Some(held) = &mut self.held {
                    held.valid_until = sent + SLOT_TTL;
                }
            }
            StoreReply::SlotLost => {
                self.store_unavailable = false;
                self.give_up_role("the lease has ended", ctx);
                self.next_try = ctx.now;
            }
            _ => self.store_unavailable = true,
        }
    }

    fn give_up_role(&mut self, reason: &str, ctx: &mut RelayContext<'_>) {
        if let Some(held) = self.held.take() {
            let text = format_compact!("gives up slot {}: {reason}", held.slot);
            ctx.queue.log(Level::Info, EventCode::RelayChanged, text);
        }
        self.pending_renewal = None;
        self.next_try = ctx.now + RETRY_DELAY;
    }

    /// Contends, renews and sends the heartbeat. Returns a record to publish.
    pub(crate) fn tick(
        &mut self,
        view: &RelayView,
        ctx: &mut RelayContext<'_>,
    ) -> Option<RelayUpdate> {
        if self.held.is_some() {
            return self.tick_held(ctx);
        }
        if !ctx.draining {
            self.contend(view, ctx);
        }
        None
    }

    fn tick_held(&mut self, ctx: &mut RelayContext<'_>) -> Option<RelayUpdate> {
        if ctx.draining {
            return self.release(ctx);
        }
        let held = self.held.as_ref()?;
        let known = known_slot(ctx.table, &ctx.config.data_centre, held.slot);
        let is_other = known.is_some_and(|(version, body)| {
            body.is_some_and(|body| body.node != ctx.config.node.as_str())
                && version > held.published
        });
        // Another node's newer record wins unless the store has confirmed this node's lease.
        let is_confirmed = held.lease.is_some() && ctx.now < held.valid_until;
        if is_other && !is_confirmed {
            let text = format_compact!("slot {} was taken by another node", held.slot);
            ctx.queue.log(Level::Warn, EventCode::StaleFence, text);
            self.give_up_role("another node holds it", ctx);
            return None;
        }
        let known_version = known.map(|(version, _)| version).unwrap_or_default();
        let (slot, is_provisional) = (held.slot, held.lease.is_none());
        if is_provisional && self.is_attempt_due(ctx.now) {
            self.acquire_slot(slot, ctx);
        }
        self.renew(ctx);
        self.heartbeat(known_version, ctx)
    }

    fn renew(&mut self, ctx: &mut RelayContext<'_>) {
        let Some(held) = &mut self.held else {
            return;
        };
        let Some(lease) = held.lease else {
            return;
        };
        if ctx.now < held.next_renewal {
            return;
        }
        held.next_renewal = ctx.now + RENEW_INTERVAL;
        let id = ctx
            .queue
            .send_store_request(StoreRequest::RenewSlot { lease });
        self.pending_renewal = Some((id, ctx.now));
    }

    fn heartbeat(
        &mut self,
        known: RecordVersion,
        ctx: &mut RelayContext<'_>,
    ) -> Option<RelayUpdate> {
        let held = self.held.as_mut()?;
        if ctx.now < held.next_heartbeat {
            return None;
        }
        held.next_heartbeat = ctx.now + HEARTBEAT_INTERVAL;
        let fence = u64::try_from(held.fence).unwrap_or_default();
        // A store restored to an older state gives out lower revisions, and a stand-in has none;
        // both go on above the slot's known version.
        held.published = if known.epoch >= fence {
            RecordVersion::new(known.epoch, known.sequence + 1)
        } else {
            RecordVersion::new(fence, held.published.sequence + 1)
        };
        Some(RelayUpdate {
            version: held.published,
            body: relay_body(held, ctx.config),
            removed: false,
        })
    }

    fn release(&mut self, ctx: &mut RelayContext<'_>) -> Option<RelayUpdate> {
        let held = self.held.take()?;
        if let Some(lease) = held.lease {
            ctx.queue
                .send_store_request(StoreRequest::ReleaseSlot { lease });
        }
        let text = format_compact!("releases slot {} to drain", held.slot);
        ctx.queue.log(Level::Info, EventCode::RelayChanged, text);
        let version = held.published;
        Some(RelayUpdate {
            version: RecordVersion::new(version.epoch, version.sequence + 1),
            body: relay_body(&held, ctx.config),
            removed: true,
        })
    }

    fn contend(&mut self, view: &RelayView, ctx: &mut RelayContext<'_>) {
        if !self.is_attempt_due(ctx.now) {
            return;
        }
        let own = &ctx.config.data_centre;
        let free = (0..SLOTS_PER_DATA_CENTRE).find(|slot| view.is_free(*slot, ctx.config, ctx.now));
        let Some(slot) = free else {
            return;
        };
        let ranked = ctx.ring.ranked(own);
        let rank = ranked.iter().position(|node| **node == ctx.config.node);
        let Some(rank) = rank.filter(|rank| *rank < MAX_CONTENDERS) else {
            return;
        };
        let first = self.started + START_DELAY + RANK_DELAY * u32::try_from(rank).unwrap_or(0);
        if ctx.now < first {
            return;
        }
        if self.store_unavailable && rank == 0 && !view.has_live(own, ctx.now) {
            self.become_provisional(slot, ctx);
        }
        self.acquire_slot(slot, ctx);
    }

    /// True when the next attempt to take a slot is due.
    fn is_attempt_due(&mut self, now: Instant) -> bool {
        let is_overdue = |sent: Instant| now.saturating_duration_since(sent) >= SLOT_TTL;
        if self
            .pending_attempt
            .is_some_and(|(_, _, sent)| is_overdue(sent))
        {
            self.pending_attempt = None;
        }
        self.pending_attempt.is_none() && now >= self.next_try
    }

    fn acquire_slot(&mut self, slot: u32, ctx: &mut RelayContext<'_>) {
        let config = ctx.config;
        let entry = RelayEntry {
            node: config.node.clone(),
            data_centre: config.data_centre.clone(),
            region: config.region.clone(),
            control_address: config.control_address.clone(),
        };
        let key = keys::relay(&config.data_centre, slot).into();
        let id = ctx.queue.send_store_request(StoreRequest::AcquireSlot {
            key,
            entry,
            ttl: SLOT_TTL,
        });
        self.pending_attempt = Some((id, slot, ctx.now));
    }

    /// Takes the role for gossip only, while the store is away and the relays are lost.
    fn become_provisional(&mut self, slot: u32, ctx: &mut RelayContext<'_>) {
        let text = format_compact!("stands in for slot {slot} without a lease");
        ctx.queue.log(Level::Warn, EventCode::RelayChanged, text);
        // Only a record that is newer than the lost relay's last one ends this role.
        let known = known_slot(ctx.table, &ctx.config.data_centre, slot);
        let published = known.map(|(version, _)| version).unwrap_or_default();
        self.held = Some(HeldSlot {
            slot,
            fence: 0,
            lease: None,
            valid_until: ctx.now,
            next_renewal: ctx.now,
            next_heartbeat: ctx.now,
            published,
        });
    }
}

fn relay_body(held: &HeldSlot, config: &ControlConfig) -> RelayBody {
    RelayBody {
        data_centre: config.data_centre.to_string(),
        slot: held.slot,
        node: config.node.to_string(),
        region: config.region.to_string(),
        control_address: config.control_address.to_string(),
        fence: u64::try_from(held.fence).unwrap_or_default(),
        heartbeat: held.published.sequence,
    }
}

/// Version and body of a slot's record; no body when it was removed.
fn known_slot<'a>(
    table: &'a RecordTable,
    data_centre: &DataCentreName,
    slot: u32,
) -> Option<(RecordVersion, Option<&'a RelayBody>)> {
    let stored = table.get(RecordKind::Relay, &slot_key(data_centre, slot))?;
    let body = match &stored.body {
        RecordBody::Relay(body) => Some(body),
        _ => None,
    };
    Some((stored.version, body))
}

/// Key of a slot's record.
pub(crate) fn slot_key(data_centre: &str, slot: u32) -> String {
    format!("{data_centre}/{slot}")
}
