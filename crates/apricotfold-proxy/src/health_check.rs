//! Asks the local target whether it takes work. See `docs/platform.md`, section 4.

use std::time::{Duration, Instant};

use apricotfold_model::InstanceAnnouncement;
use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;

use crate::call_body::{AnswerBody, LinkLease};
use crate::engine::Engine;

/// Longest wait for the answer; announcements are acknowledged within a second.
const CHECK_LIMIT: Duration = Duration::from_millis(300);

/// Tells whether the target says that it takes no work, or whether another target answers at its
/// address. A target that cannot be asked counts as there: it has just announced itself.
pub async fn is_leaving(engine: &Engine, news: &InstanceAnnouncement) -> bool {
    let table = engine.tables.current().table.clone();
    let service = table.service(&news.service);
    let path = service.map_or("", |service| service.health_path.as_str());
    let Ok(uri) = path.parse::<Uri>() else {
        return false;
    };
    let Ok(host) = news.address.to_string().parse() else {
        return false;
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = uri;
    request.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + CHECK_LIMIT;
    let links = &engine.target_links;
    let target = engine.config.load().target_address;
    match links.send(target, request, CHECK_LIMIT, deadline).await {
        Err(failure) => {
            log::debug!("health check of {}: {failure:?}", news.instance);
            false
        }
        Ok((answer, link)) => {
            let head = engine
                .dialect
                .read_answer(answer.status(), answer.headers());
            let other = head.instance.is_some_and(|other| other != news.instance);
            let leaving = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
            let lease = LinkLease::new(links, link);
            drop(AnswerBody::passing(answer.into_body(), lease));
            other || leaving
        }
    }
}
