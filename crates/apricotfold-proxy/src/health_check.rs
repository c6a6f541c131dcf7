//! Health check of the local target. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::InstanceAnnouncement;
use apricotfold_policy::TargetReply;
use http::header::HOST;
use http::{Method, Request, StatusCode, Uri};

use crate::call_body::{ConnectionLease, ResponseBody};
use crate::callers::body_pieces::BodyPieces;
use crate::engine::Engine;
use crate::gated_body::GatedBody;

/// Timeout of the check; announcements are acknowledged within a second.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the check waits for the route table, which names the path.
const TABLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which the check looks for the route table.
const TABLE_INTERVAL: Duration = Duration::from_millis(20);

/// Asks the target that announces itself whether it accepts work.
pub async fn ask_target(engine: &Engine, announcement: &InstanceAnnouncement) -> TargetReply {
    let started = Instant::now();
    while engine.tables.version() == 0 && started.elapsed() < TABLE_TIMEOUT {
        tokio::time::sleep(TABLE_INTERVAL).await;
    }
    let table = engine.tables.current().table.clone();
    let service = table.service(&announcement.service);
    let path = service.map_or("", |service| service.health_path.as_str());
    let Ok(uri) = path.parse::<Uri>() else {
        return TargetReply::Unasked;
    };
    let Ok(host) = announcement.address.to_string().parse() else {
        return TargetReply::Unasked;
    };
    let body = GatedBody::ungated(BodyPieces::default().to_sent());
    let mut request = Request::new(body);
    *request.method_mut() = Method::GET;
    *request.uri_mut() = uri;
    request.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + CHECK_TIMEOUT;
    let pool = &engine.target_connections;
    let target = engine.config.load().target_address;
    engine.admission.count_request();
    match pool.send(target, request, CHECK_TIMEOUT, deadline).await {
        Err(failure) => {
            log::debug!("health check of {}: {failure:?}", announcement.instance);
            TargetReply::Silent
        }
        Ok((answer, connection)) => {
            let head = engine
                .protocol
                .read_answer(answer.status(), answer.headers());
            let answering = head.instance.as_ref();
            let other = answering.is_some_and(|other| *other != announcement.instance);
            let known = engine.current_incarnation();
            let is_known = known.is_some_and(|known| answering == Some(&known.instance));
            let other_slots = head.slots.is_some_and(|slots| slots != announcement.slots);
            // Only answers to requests show that a limit has ended.
            if !other && head.rate_limit.is_some() {
                engine.record_rate_limit(&announcement.instance, head.rate_limit);
            }
            let leaving = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
            let lease = ConnectionLease::new(pool, connection);
            drop(ResponseBody::streaming(answer.into_body(), lease));
            if (other && is_known) || (!other && other_slots) {
                TargetReply::Contradicts
            } else if other || leaving {
                TargetReply::Refuses
            } else {
                TargetReply::Accepts
            }
        }
    }
}
