//! Acquires, renews and releases this node's relay slot. See `docs/design.md`, section 5.3.

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

pub(crate) const SLOTS_PER_DATA_CENTRE: u32 = 2;
/// Number of best-ranked members that contend for a free slot, so that the loss of a relay does
/// not make every member call the store.
const MAX_CONTENDERS: usize = 4;
/// Time to live of a slot's lease.
pub(crate) const SLOT_TTL: Duration = Duration::from_secs(5);
/// Renewal interval of the lease. Three renewals fit into [`SLOT_TTL`], so that one lost reply does
/// not end the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after startup before the first attempt, during which this node hears from existing
/// relays.
const START_DELAY: Duration = Duration::from_millis(500);
/// Additional delay of the first attempt per rank, so that usually one attempt per slot is made.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Minimum delay between two attempts to acquire a slot, after it was occupied or while the store
/// is unavailable.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The relay slot that this node holds.
#[derive(Debug)]
struct HeldSlot {
    slot: u32,
    /// Revision of the slot's key, which is the fencing number; 0 for a provisional relay.
    fence: i64,
    /// Lease of the slot; `None` for a provisional relay, which holds the role without a lease.
    lease: Option<i64>,
    /// Time until which no other node can hold the slot, by this node's clock.
    valid_until: Instant,
    next_renewal: Instant,
    next_heartbeat: Instant,
    /// Version of the relay record that this node published last.
    published: RecordVersion,
}

/// Inputs of the relay role.
pub(crate) struct RelayContext<'a> {
    pub(crate) config: &'a ControlConfig,
    pub(crate) table: &'a RecordTable,
    pub(crate) ring: &'a MemberRing,
    pub(crate) draining: bool,
    pub(crate) now: Instant,
    pub(crate) rng: &'a mut StdRng,
    pub(crate) queue: &'a mut ActionQueue,
}

/// A relay record to publish.
pub(crate) struct RelayUpdate {
    pub(crate) version: RecordVersion,
    pub(crate) body: RelayBody,
    pub(crate) removed: bool,
}

/// State of this node as a relay or as a contender for a slot.
#[derive(Debug)]
pub(crate) struct RelayRole {
    started: Instant,
    held: Option<HeldSlot>,
    /// Attempt to acquire a slot that is in flight: request, slot and send time.
    pending_attempt: Option<(RequestId, u32, Instant)>,
    /// Renewal that is in flight: request and send time.
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

    /// Latency of the store's latest reply to a slot request.
    pub(crate) fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Slot and fencing number with which this node may write to the store; `None` while the lease
    /// may have expired, for example after a pause of this process.
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
            // A late reply to an abandoned attempt makes `answer` release the slot.
            self.pending_attempt = None;
            self.pending_renewal = None;
        }
    }

    /// Processes a store reply. Returns false if it does not belong to a slot request.
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
            // Reply to an abandoned attempt: without a release the slot would be held by no relay
            // until the lease expires.
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
                ctx.queue
                    .log(Level::Info, EventCode::RelayRoleChanged, text);
            }
            StoreReply::Unavailable | StoreReply::Uncertain => self.store_unavailable = true,
            _ => {
                self.store_unavailable = false;
                // Only a provisional relay contends while it has the role; another node holds its
                // slot.
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
            ctx.queue
                .log(Level::Info, EventCode::RelayRoleChanged, text);
        }
        self.pending_renewal = None;
        self.next_try = ctx.now + RETRY_DELAY;
    }

    /// Contends for a slot, or renews the held one and sends its heartbeat. Returns the relay
    /// record to publish, if one is due.
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
        // Another node's newer record wins unless this node's lease is still valid.
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
        // A store restored to an older state hands out lower revisions, and a provisional relay
        // has none. In both cases the version continues above the slot's known version.
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
        ctx.queue
            .log(Level::Info, EventCode::RelayRoleChanged, text);
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

    /// Returns true if an attempt to acquire a slot is due.
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

    /// Assumes the relay role without a lease, for gossip only, while the store is unavailable and
    /// the data centre has no live relay.
    fn become_provisional(&mut self, slot: u32, ctx: &mut RelayContext<'_>) {
        let text = format_compact!("holds slot {slot} provisionally, without a lease");
        ctx.queue
            .log(Level::Warn, EventCode::RelayRoleChanged, text);
        // Only a record newer than the lost relay's last one ends this provisional role.
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

/// Version and body of a slot's record; the body is `None` if the record was removed.
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

/// Key of a slot's relay record.
pub(crate) fn slot_key(data_centre: &str, slot: u32) -> String {
    format!("{data_centre}/{slot}")
}
