//! Serves readiness checks and metrics.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::call_body::ResponseBody;
use crate::connection::{CallerDisconnected, RequestHandler};
use crate::engine::Engine;

/// Handles readiness checks: 200 while the node is ready for callers, 503 otherwise.
pub struct ReadyHandler(pub Arc<Engine>);

impl RequestHandler for ReadyHandler {
    fn handle(
        self: Arc<Self>,
        _: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, CallerDisconnected>> {
        async move {
            let mut response = Response::new(ResponseBody::whole(Bytes::new()));
            if !self.0.is_ready() {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            Ok(response)
        }
        .boxed()
    }
}

/// Serves the metrics in the Prometheus text format.
pub struct MetricsHandler(pub PrometheusHandle);

impl RequestHandler for MetricsHandler {
    fn handle(
        self: Arc<Self>,
        _: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, CallerDisconnected>> {
        async move { Ok(Response::new(ResponseBody::whole(self.0.render().into()))) }.boxed()
    }
}
