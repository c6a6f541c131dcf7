//! Serves the local target: accepts its announcements.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{InstanceAnnouncement, log_event};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::adapters::{AnnounceMessage, AnnounceProtocol};
use crate::call_body::ResponseBody;
use crate::callers::message_body::collect_body;
use crate::connection::{CallerDisconnected, RequestHandler};
use crate::departure_keeper::keep_departure;
use crate::engine::Engine;
use crate::health_check;

/// Largest announcement that is read; typical ones have a few hundred bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 64 * 1024;

/// Longest time for the body of an announcement to arrive. Targets wait a second for the answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the answer to a new target's first announcement waits until the target is in use. The
/// target waits a second for it, of which the check of the target can take up to 0.7 s.
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// Handles the local target's announcements.
pub struct AnnounceHandler {
    engine: Arc<Engine>,
    protocol: Arc<dyn AnnounceProtocol>,
}

impl AnnounceHandler {
    /// Creates the handler.
    pub fn new(engine: Arc<Engine>, protocol: Arc<dyn AnnounceProtocol>) -> Self {
        Self { engine, protocol }
    }

    async fn answer(
        &self,
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
                log_event!(warn, AnnouncementIgnored, "{errors}");
                return Ok(empty_response(StatusCode::BAD_REQUEST));
            }
        };
        let instance = match call {
            AnnounceMessage::Announce(announcement) => {
                let instance = announcement.instance.clone();
                self.announce(announcement).await;
                instance
            }
            AnnounceMessage::Leave { instance, born } => {
                if self.engine.local().leave(&instance, born) {
                    log_event!(info, TargetGone, "{instance} announced its departure");
                }
                self.engine.change_registration();
                instance
            }
            AnnounceMessage::Unknown => return Ok(empty_response(StatusCode::NOT_FOUND)),
        };
        if !keep_departure(&self.engine, &instance).await {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        Ok(self.protocol.acknowledge().map(ResponseBody::whole))
    }
}

impl AnnounceHandler {
    /// Applies an announcement. If it is not of the known incarnation, the target is asked, because it
    /// may be a delayed one of a target that has left.
    async fn announce(&self, announcement: InstanceAnnouncement) {
        let unconfirmed = self.engine.local().needs_confirmation(&announcement);
        if unconfirmed {
            let reply = health_check::ask_target(&self.engine, &announcement).await;
            let mut local = self.engine.local();
            if !local.is_confirmed(&announcement, reply, Instant::now()) {
                let (instance, number) = (&announcement.instance, announcement.number);
                log_event!(
                    warn,
                    AnnouncementIgnored,
                    "{instance} number {number}: not confirmed, the target {reply}"
                );
                local.keep_unconfirmed(announcement);
                return;
            }
        }
        self.engine.announce(announcement);
        if unconfirmed {
            self.engine.departures.wait_settled(SETTLE_WAIT).await;
        }
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
