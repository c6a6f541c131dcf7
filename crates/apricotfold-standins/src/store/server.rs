//! HTTP server of the store: decodes calls, applies faults and writes responses.

use std::net::SocketAddr;
use std::sync::Arc;

use apricotfold_model::StoreStandinConfig;
use salvo::http::{ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::admin::admin_router;
use super::call::{CallKind, StoreCall};
use super::error::GatewayError;
use super::message::WatchCreateRequest;
use super::service::{CallResponse, StoreService, encode};
use super::watch_stream::watch_lines;
use crate::http::{BoundServer, abort_connection, set_json};

/// Maximum request body; allows a transaction with several base64 values of maximum size.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Store stand-in that is bound to its address.
pub struct StoreServer {
    server: BoundServer,
    service: Arc<StoreService>,
}

impl StoreServer {
    /// Binds the configured address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(config: &StoreStandinConfig) -> eyre::Result<Self> {
        let server = BoundServer::bind("address", config.address).await?;
        let service = Arc::new(StoreService::new(config));
        Ok(Self { server, service })
    }

    /// Bound address, with the actual port if the settings have port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Serves until `stop` completes, then closes open calls and watches.
    ///
    /// # Errors
    ///
    /// Returns the server's error.
    pub async fn run(self, stop: impl Future<Output = ()> + Send) -> eyre::Result<()> {
        let router = store_router(&self.service);
        let service = Arc::clone(&self.service);
        tokio::select! {
            served = self.server.serve(router) => served,
            () = service.expire_leases() => Ok(()),
            () = stop => Ok(()),
        }
    }
}

fn store_router(service: &Arc<StoreService>) -> Router {
    let calls = [
        ("v3/kv/range", CallKind::Range),
        ("v3/kv/put", CallKind::Put),
        ("v3/kv/deleterange", CallKind::DeleteRange),
        ("v3/kv/txn", CallKind::Txn),
        ("v3/lease/grant", CallKind::LeaseGrant),
        ("v3/lease/keepalive", CallKind::LeaseKeepAlive),
        ("v3/lease/revoke", CallKind::LeaseRevoke),
        ("v3/kv/lease/revoke", CallKind::LeaseRevoke),
        ("v3/watch", CallKind::Watch),
    ];
    let mut router = Router::new();
    for (path, kind) in calls {
        let service = Arc::clone(service);
        router = router.push(Router::with_path(path).post(CallHandler { service, kind }));
    }
    router.push(admin_router(service))
}

struct CallHandler {
    service: Arc<StoreService>,
    kind: CallKind,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        self.service.count(self.kind);
        let call = self.read_call(request).await;
        // During an outage, the store does not report errors in calls either.
        let keys = call.as_ref().map(StoreCall::keys).unwrap_or_default();
        if !self.service.wait_for_faults(&keys).await {
            log::info!("{:?} call dropped after an outage", self.kind);
            return abort_connection(flow).await;
        }
        match call.and_then(|call| self.execute(&call)) {
            Ok(HandlerResponse::Body(body)) => set_json(response, StatusCode::OK, body),
            Ok(HandlerResponse::Watch(body)) => {
                set_json(response, StatusCode::OK, Vec::new());
                response.replace_body(body);
            }
            Ok(HandlerResponse::Lost) => {
                log::info!("response to {:?} call dropped", self.kind);
                abort_connection(flow).await;
            }
            Err(error) => write_error(response, &error),
        }
    }
}

enum HandlerResponse {
    Body(Vec<u8>),
    Watch(ResBody),
    Lost,
}

impl CallHandler {
    async fn read_call(&self, request: &mut Request) -> Result<StoreCall, GatewayError> {
        let body = request
            .payload_with_max_size(MAX_BODY_BYTES)
            .await
            .map_err(|error| GatewayError::InvalidArgument(error.to_string()))?;
        StoreCall::parse(self.kind, body)
    }

    fn execute(&self, call: &StoreCall) -> Result<HandlerResponse, GatewayError> {
        self.service.admit(call)?;
        if let StoreCall::Watch(watch) = call {
            let Some(create) = &watch.create_request else {
                let text = "create_request: found nothing, expected a watch to create";
                return Err(GatewayError::InvalidArgument(text.to_owned()));
            };
            return Ok(HandlerResponse::Watch(self.watch_body(create)));
        }
        let response = match self.service.run(call)? {
            CallResponse::Body(body) => HandlerResponse::Body(body),
            CallResponse::Lost => HandlerResponse::Lost,
        };
        Ok(response)
    }

    fn watch_body(&self, create: &WatchCreateRequest) -> ResBody {
        let guard = self.service.open_watch();
        ResBody::stream(watch_lines(guard, create))
    }
}

fn write_error(response: &mut Response, error: &GatewayError) {
    log::debug!("call rejected: {error}");
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let body = encode(&error.body()).unwrap_or_default();
    set_json(response, status, body);
}
