//! Serves the local target: accepts its announcements.

use std::fmt::Display;
use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceAnnouncement, log_event};
use apricotfold_policy::{AnnouncementEffect, AnnouncementRefusal, TargetIdentity, TargetReply};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::sync::Mutex;

use crate::adapters::{AnnounceMessage, AnnounceProtocol};
use crate::call_body::ResponseBody;
use crate::callers::message_body::collect_body;
use crate::connection::{CallerDisconnected, RequestHandler};
use crate::departure_keeper::keep_departure;
use crate::engine::Engine;
use crate::health_check;
use crate::telemetry;
use crate::throttled_log::ThrottledLog;

/// Largest announcement that is read; typical ones have a few hundred bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 64 * 1024;

/// Longest time for the body of an announcement to arrive. Targets wait a second for the answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the answer to a new target's first announcement waits until the target is in use. The
/// target waits a second for it, of which the check of the target can take up to 0.7 s.
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// Time for which an answer of the known target contradicts the announcements of other ones. A flood of
/// them must not become a flood of checks, each of which takes one of the target's slots.
const REPLY_LIFETIME: Duration = Duration::from_millis(250);

/// Interval at which a table is looked for that names the path for asking the target.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of announcements that wait for such a table. A target starts a few times at most until then.
const MAX_UNASKED: usize = 4;

/// Announcements that could not be checked, oldest first.
type UnaskedList = SmallVec<[InstanceAnnouncement; MAX_UNASKED]>;

/// Handles the local target's announcements.
pub struct AnnounceHandler {
    engine: Arc<Engine>,
    protocol: Arc<dyn AnnounceProtocol>,
    refusals: ThrottledLog,
    /// When the known target last contradicted an announcement. One check runs at a time.
    contradicted: Mutex<Option<Instant>>,
    /// Announcements whose target could not be asked, because no table names the path for that.
    unasked: std::sync::Mutex<UnaskedList>,
}

impl AnnounceHandler {
    /// Creates the handler.
    pub fn new(engine: Arc<Engine>, protocol: Arc<dyn AnnounceProtocol>) -> Self {
        Self {
            engine,
            protocol,
            refusals: ThrottledLog::default(),
            contradicted: Mutex::default(),
            unasked: std::sync::Mutex::default(),
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallerDisconnected> {
        let (parts, incoming) = request.into_parts();
        let deadline = Instant::now() + BODY_TIMEOUT;
        let memory = &self.engine.held_memory;
        let body = collect_body(incoming, memory, MAX_ANNOUNCEMENT_BYTES, deadline);
        let body = body.await.map_err(|error| {
            log_event!(warn, AnnouncementIgnored, "reading failed: {error}");
            CallerDisconnected
        })?;
        let call = match self.protocol.read(&parts, &body.to_bytes()) {
            Ok(call) => call,
            Err(errors) => {
                self.refuse(AnnouncementRefusal::Unreadable, &errors);
                return Ok(self.acknowledge());
            }
        };
        let instance = match call {
            AnnounceMessage::Announce(announcement) => {
                let instance = announcement.instance.clone();
                self.announce(announcement).await;
                instance
            }
            AnnounceMessage::Leave { instance, born } => {
                let (ended, changed) = {
                    let mut local = self.engine.local();
                    let before = local.announced();
                    (local.leave(&instance, born), local.announced() != before)
                };
                if ended {
                    log_event!(info, TargetGone, "{instance} announced its departure");
                }
                if changed {
                    self.engine.change_registration();
                }
                instance
            }
            AnnounceMessage::Unknown => return Ok(empty_response(StatusCode::NOT_FOUND)),
        };
        if !keep_departure(&self.engine, &instance).await {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        Ok(self.acknowledge())
    }
}

impl AnnounceHandler {
    fn acknowledge(&self) -> Response<ResponseBody> {
        self.protocol.acknowledge().map(ResponseBody::whole)
    }

    /// Counts and logs a message that changes nothing.
    fn refuse(&self, refusal: AnnouncementRefusal, detail: &impl Display) {
        telemetry::count_refused_announcement(refusal);
        if let Some(more) = self.refusals.admit(refusal.into()) {
            log_event!(
                warn,
                AnnouncementIgnored,
                "{refusal}: {detail}, {more} more before"
            );
        }
    }

    /// Applies an announcement of the local target. If it is not of the known incarnation, the target is
    /// asked, because it may be a delayed one of a target that has left.
    async fn announce(self: &Arc<Self>, announcement: InstanceAnnouncement) {
        let identity = {
            let config = self.engine.config.load();
            TargetIdentity {
                service: config.service.clone(),
                address: config.target_address,
            }
        };
        let text = format!(
            "{} service {} address {} slots {} number {}",
            announcement.instance,
            announcement.service,
            announcement.address,
            announcement.slots,
            announcement.number
        );
        if let Err(refusal) = identity.check(&announcement) {
            self.refuse(refusal, &text);
            return;
        }
        let unconfirmed = self.engine.local().needs_confirmation(&announcement);
        if unconfirmed {
            let reply = self.ask_target(&announcement).await;
            let mut local = self.engine.local();
            if !local.is_confirmed(&announcement, reply, Instant::now()) {
                local.keep_unconfirmed(announcement.clone());
                drop(local);
                if reply == TargetReply::Unasked {
                    self.check_later(announcement);
                }
                let detail = format!("{text}, the target {reply}");
                self.refuse(AnnouncementRefusal::Unconfirmed, &detail);
                return;
            }
        }
        if self.engine.announce(announcement) == AnnouncementEffect::Outdated {
            self.refuse(AnnouncementRefusal::Outdated, &text);
        }
        if unconfirmed {
            self.engine.departures.wait_settled(SETTLE_WAIT).await;
        }
    }

    fn lock_unasked(&self) -> std::sync::MutexGuard<'_, UnaskedList> {
        self.unasked.lock().expect("no panic while locked")
    }

    /// Keeps an announcement until a table names the path for asking the target: it may be the last one for
    /// a while.
    fn check_later(self: &Arc<Self>, announcement: InstanceAnnouncement) {
        let mut unasked = self.lock_unasked();
        let waits = !unasked.is_empty();
        unasked.retain(|known| known.incarnation() != announcement.incarnation());
        if unasked.len() == MAX_UNASKED {
            unasked.remove(0);
        }
        unasked.push(announcement);
        if !waits {
            tokio::spawn(self.clone().check_unasked());
        }
    }

    /// Waits for a table that names the node's service, and checks the announcements again.
    fn check_unasked(self: Arc<Self>) -> BoxFuture<'static, ()> {
        async move {
            let named = || {
                let service = &self.engine.config.load().service;
                let table = self.engine.tables.current();
                table.table.service(service).is_some()
            };
            while !named() {
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            let unasked = std::mem::take(&mut *self.lock_unasked());
            for announcement in unasked {
                self.announce(announcement).await;
            }
        }
        .boxed()
    }

    /// Asks the target whether an announcement is its own.
    async fn ask_target(&self, announcement: &InstanceAnnouncement) -> TargetReply {
        let mut contradicted = self.contradicted.lock().await;
        let is_recent = |at: Instant| at.elapsed() < REPLY_LIFETIME;
        let known = self.engine.current_incarnation();
        let is_other = known.is_some_and(|known| known.instance != announcement.instance);
        if is_other && contradicted.is_some_and(is_recent) {
            return TargetReply::Contradicts;
        }
        let reply = health_check::ask_target(&self.engine, announcement).await;
        *contradicted = (is_other && reply == TargetReply::Contradicts).then(Instant::now);
        reply
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

impl RequestHandler for AnnounceHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, CallerDisconnected>> {
        async move { self.answer(request).await }.boxed()
    }
}
