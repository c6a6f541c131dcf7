//! Serves the local target: accepts its announcements.

use std::sync::Arc;

use apricotfold_model::{InstanceAnnouncement, log_event};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::adapters::{AnnounceMessage, AnnounceProtocol};
use crate::call_body::ResponseBody;
use crate::connection::{CallerDisconnected, RequestHandler};
use crate::engine::Engine;
use crate::health_check;

/// Largest announcement that is read; typical ones have a few hundred bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

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
        let limited = Limited::new(incoming, MAX_ANNOUNCEMENT_BYTES);
        let body = limited.collect().await.map_err(|error| {
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
        match call {
            AnnounceMessage::Announce(announcement) => self.announce(announcement).await,
            AnnounceMessage::Leave { instance, born } => {
                if self.engine.local().leave(&instance, born) {
                    log_event!(info, TargetGone, "{instance} announced its departure");
                    self.engine.change_registration();
                }
            }
            AnnounceMessage::Unknown => return Ok(empty_response(StatusCode::NOT_FOUND)),
        }
        Ok(self.protocol.acknowledge().map(ResponseBody::whole))
    }
}

impl AnnounceHandler {
    /// Applies an announcement. The first announcement of an instance that this process receives is
    /// checked with a health check of the target, because it may be a delayed one of an instance
    /// that has left.
    async fn announce(&self, announcement: InstanceAnnouncement) {
        let unconfirmed = self.engine.local().needs_confirmation(&announcement);
        if unconfirmed && health_check::is_leaving(&self.engine, &announcement).await {
            let (instance, number) = (&announcement.instance, announcement.number);
            log_event!(
                warn,
                AnnouncementIgnored,
                "{instance} number {number}: the target does not accept work"
            );
            self.engine.local().keep_unconfirmed(announcement);
            return;
        }
        self.engine.announce(announcement);
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
