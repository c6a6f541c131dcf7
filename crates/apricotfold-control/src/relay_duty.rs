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
pub(crate) const SLOTS: u32 = 2;
/// Best-ranked members that contend for a free slot, so that a lost relay does not make every
/// member call the store.
const CONTENDERS: usize = 4;
/// Life of a slot's lease.
pub(crate) const SLOT_TTL: Duration = Duration::from_secs(5);
/// Three renewals fit into the lease, so that one lost answer does not end it.
const KEEP_INTERVAL: Duration = Duration::from_millis(1500);
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
    next_keep: Instant,
    next_heartbeat: Instant,
    /// Version of the latest record of this role.
    published: RecordVersion,
}

/// What the relay's decisions depend on.
pub(crate) struct RelayTurn<'a> {
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
pub(crate) struct RelayDuty {
    started: Instant,
    held: Option<HeldSlot>,
    /// Attempt on a slot that is on its way, with the slot and the time of sending.
    asked: Option<(RequestId, u32, Instant)>,
    /// Renewal that is on its way, with the time of sending.
    kept: Option<(RequestId, Instant)>,
    next_try: Instant,
    store_away: bool,
    answer_time: Duration,
}

impl RelayDuty {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started: now,
            held: None,
            asked: None,
            kept: None,
            next_try: now + START_DELAY,
            store_away: false,
            answer_time: Duration::ZERO,
        }
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.held.is_some()
    }

    pub(crate) fn is_store_away(&self) -> bool {
        self.store_away
    }

    /// How long the store took for its latest answer.
    pub(crate) fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Slot and fencing number with which this node may write to the store. Nothing while
    /// the lease may have ended, for example after a pause of this process.
    pub(crate) fn write_fence(&self, now: Instant) -> Option<(u32, i64)> {
        let held = self.held.as_ref()?;
        let may_write = held.lease.is_some() && now < held.valid_until && !self.store_away;
        may_write.then_some((held.slot, held.fence))
    }

    pub(crate) fn store_changed(&mut self, away: bool, now: Instant) {
        self.store_away = away;
        if !away {
            self.next_try = self.next_try.min(now);
        }
        if away {
            // A late answer then releases the slot again.
            self.asked = None;
            self.kept = None;
        }
    }

    /// Takes the answer to one of its requests; false when the request is not its own.
    pub(crate) fn answer(
        &mut self,
        id: RequestId,
        reply: &StoreReply,
        turn: &mut RelayTurn<'_>,
    ) -> bool {
        if let Some((asked, slot, sent)) = self.asked
            && asked == id
        {
            self.asked = None;
            self.answer_time = turn.now.saturating_duration_since(sent);
            self.slot_answered(slot, sent, reply, turn);
            return true;
        }
        if let Some((kept, sent)) = self.kept
            && kept == id
        {
            self.kept = None;
            self.answer_time = turn.now.saturating_duration_since(sent);
            self.keep_answered(sent, reply, turn);
            return true;
        }
        if let StoreReply::SlotAcquired { lease, .. } = reply {
            // The answer to an abandoned attempt; without this the slot would stay taken by nobody.
            turn.queue
                .ask_store(StoreRequest::ReleaseSlot { lease: *lease });
            return true;
        }
        false
    }

    fn slot_answered(
        &mut self,
        slot: u32,
        sent: Instant,
        reply: &StoreReply,
        turn: &mut RelayTurn<'_>,
    ) {
        let jitter = RETRY_DELAY.mul_f64(turn.rng.random_range(0.0..0.5));
        self.next_try = turn.now + RETRY_DELAY + jitter;
        match reply {
            StoreReply::SlotAcquired { revision, lease } => {
                self.store_away = false;
                self.held = Some(HeldSlot {
                    slot,
                    fence: *revision,
                    lease: Some(*lease),
                    valid_until: sent + SLOT_TTL,
                    next_keep: sent + KEEP_INTERVAL,
                    next_heartbeat: turn.now,
                    published: RecordVersion::default(),
                });
                let text = format_compact!("holds slot {slot} with fence {revision}");
                turn.queue
                    .log(Level::Info, EventCode::RelayRoleChanged, text);
            }
            StoreReply::Unavailable | StoreReply::Uncertain => self.store_away = true,
            _ => {
                self.store_away = false;
                // Only a stand-in asks while it has a role, and its slot is taken after all.
                self.drop_role("the store has another holder", turn);
            }
        }
    }

    fn keep_answered(&mut self, sent: Instant, reply: &StoreReply, turn: &mut RelayTurn<'_>) {
        match reply {
            StoreReply::SlotRenewed => {
                self.store_away = false;
                if let Some(held) = &mut self.held {
                    held.valid_until = sent + SLOT_TTL;
                }
            }
            StoreReply::SlotLost => {
                self.store_away = false;
                self.drop_role("the lease has ended", turn);
                self.next_try = turn.now;
            }
            _ => self.store_away = true,
        }
    }

    fn drop_role(&mut self, reason: &str, turn: &mut RelayTurn<'_>) {
        if let Some(held) = self.held.take() {
            let text = format_compact!("gives up slot {}: {reason}", held.slot);
            turn.queue
                .log(Level::Info, EventCode::RelayRoleChanged, text);
        }
        self.kept = None;
        self.next_try = turn.now + RETRY_DELAY;
    }

    /// Contends, renews and sends the heartbeat. Returns a record to publish.
    pub(crate) fn tick(
        &mut self,
        view: &RelayView,
        turn: &mut RelayTurn<'_>,
    ) -> Option<RelayUpdate> {
        if self.held.is_some() {
            return self.tick_held(turn);
        }
        if !turn.draining {
            self.contend(view, turn);
        }
        None
    }

    fn tick_held(&mut self, turn: &mut RelayTurn<'_>) -> Option<RelayUpdate> {
        if turn.draining {
            return self.release(turn);
        }
        let held = self.held.as_ref()?;
        let known = known_slot(turn.table, &turn.config.data_centre, held.slot);
        let is_other = known.is_some_and(|(version, body)| {
            body.is_some_and(|body| body.node != turn.config.node.as_str())
                && version > held.published
        });
        // Another node's newer record wins unless the store has confirmed this node's lease.
        let is_confirmed = held.lease.is_some() && turn.now < held.valid_until;
        if is_other && !is_confirmed {
            let text = format_compact!("slot {} was taken by another node", held.slot);
            turn.queue.log(Level::Warn, EventCode::StaleFence, text);
            self.drop_role("another node holds it", turn);
            return None;
        }
        let known_version = known.map(|(version, _)| version).unwrap_or_default();
        let (slot, is_stand_in) = (held.slot, held.lease.is_none());
        if is_stand_in && self.may_ask(turn.now) {
            self.take_slot(slot, turn);
        }
        self.keep(turn);
        self.heartbeat(known_version, turn)
    }

    fn keep(&mut self, turn: &mut RelayTurn<'_>) {
        let Some(held) = &mut self.held else {
            return;
        };
        let Some(lease) = held.lease else {
            return;
        };
        if turn.now < held.next_keep {
            return;
        }
        held.next_keep = turn.now + KEEP_INTERVAL;
        let id = turn.queue.ask_store(StoreRequest::RenewSlot { lease });
        self.kept = Some((id, turn.now));
    }

    fn heartbeat(&mut self, known: RecordVersion, turn: &mut RelayTurn<'_>) -> Option<RelayUpdate> {
        let held = self.held.as_mut()?;
        if turn.now < held.next_heartbeat {
            return None;
        }
        held.next_heartbeat = turn.now + HEARTBEAT_INTERVAL;
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
            body: relay_body(held, turn.config),
            removed: false,
        })
    }

    fn release(&mut self, turn: &mut RelayTurn<'_>) -> Option<RelayUpdate> {
        let held = self.held.take()?;
        if let Some(lease) = held.lease {
            turn.queue.ask_store(StoreRequest::ReleaseSlot { lease });
        }
        let text = format_compact!("releases slot {} to drain", held.slot);
        turn.queue
            .log(Level::Info, EventCode::RelayRoleChanged, text);
        let version = held.published;
        Some(RelayUpdate {
            version: RecordVersion::new(version.epoch, version.sequence + 1),
            body: relay_body(&held, turn.config),
            removed: true,
        })
    }

    fn contend(&mut self, view: &RelayView, turn: &mut RelayTurn<'_>) {
        if !self.may_ask(turn.now) {
            return;
        }
        let own = &turn.config.data_centre;
        let free = (0..SLOTS).find(|slot| view.is_free(*slot, turn.config, turn.now));
        let Some(slot) = free else {
            return;
        };
        let ranked = turn.ring.ranked(own);
        let rank = ranked.iter().position(|node| **node == turn.config.node);
        let Some(rank) = rank.filter(|rank| *rank < CONTENDERS) else {
            return;
        };
        let first = self.started + START_DELAY + RANK_DELAY * u32::try_from(rank).unwrap_or(0);
        if turn.now < first {
            return;
        }
        if self.store_away && rank == 0 && !view.has_live(own, turn.now) {
            self.stand_in(slot, turn);
        }
        self.take_slot(slot, turn);
    }

    /// True when the next attempt to take a slot is due.
    fn may_ask(&mut self, now: Instant) -> bool {
        let is_overdue = |sent: Instant| now.saturating_duration_since(sent) >= SLOT_TTL;
        if self.asked.is_some_and(|(_, _, sent)| is_overdue(sent)) {
            self.asked = None;
        }
        self.asked.is_none() && now >= self.next_try
    }

    fn take_slot(&mut self, slot: u32, turn: &mut RelayTurn<'_>) {
        let config = turn.config;
        let entry = RelayEntry {
            node: config.node.clone(),
            data_centre: config.data_centre.clone(),
            region: config.region.clone(),
            control_address: config.control_address.clone(),
        };
        let key = keys::relay(&config.data_centre, slot).into();
        let id = turn.queue.ask_store(StoreRequest::AcquireSlot {
            key,
            entry,
            ttl: SLOT_TTL,
        });
        self.asked = Some((id, slot, turn.now));
    }

    /// Takes the role for gossip only, while the store is away and the relays are lost.
    fn stand_in(&mut self, slot: u32, turn: &mut RelayTurn<'_>) {
        let text = format_compact!("stands in for slot {slot} without a lease");
        turn.queue
            .log(Level::Warn, EventCode::RelayRoleChanged, text);
        // Only a record that is newer than the lost relay's last one ends this role.
        let known = known_slot(turn.table, &turn.config.data_centre, slot);
        let published = known.map(|(version, _)| version).unwrap_or_default();
        self.held = Some(HeldSlot {
            slot,
            fence: 0,
            lease: None,
            valid_until: turn.now,
            next_keep: turn.now,
            next_heartbeat: turn.now,
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
