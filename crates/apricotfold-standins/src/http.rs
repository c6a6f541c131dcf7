//! Helpers shared by the HTTP servers of the stand-ins.

use std::net::SocketAddr;

use apricotfold_model::{FieldError, FieldErrors};
use eyre::WrapErr as _;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderValue, ResBody, StatusCode, header};
use salvo::server::ServerHandle;
use salvo::{FlowCtrl, Request, Response, Router, Server};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// HTTP server that is bound to its address but does not serve yet.
pub struct BoundServer {
    acceptor: TcpAcceptor,
    address: SocketAddr,
    max_connections: usize,
}

impl BoundServer {
    /// Binds an address; port 0 selects a free port. `field` is the name of the setting, for errors and
    /// the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(field: &str, address: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listening on {field} {address}"))?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        log::info!("{field} is {address}");
        Ok(Self {
            acceptor,
            address,
            max_connections: Semaphore::MAX_PERMITS,
        })
    }

    /// Bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Limits the number of concurrent connections. Further ones wait in the kernel's accept queue.
    #[must_use]
    pub fn with_max_connections(mut self, limit: usize) -> Self {
        self.max_connections = limit;
        self
    }

    /// Serves until the future is dropped, which closes all connections.
    ///
    /// # Errors
    ///
    /// Returns the server's error.
    pub async fn serve(self, router: Router) -> eyre::Result<()> {
        self.serve_with_handle(router).1.await
    }

    /// Serves until the future is dropped or the handle stops the server.
    pub fn serve_with_handle(
        self,
        router: Router,
    ) -> (ServerHandle, impl Future<Output = eyre::Result<()>> + Send) {
        let server = Server::new(self.acceptor)
            .disable_fuse()
            .max_connections(self.max_connections);
        let handle = server.handle();
        let address = self.address;
        let serving = async move {
            server
                .try_serve(router)
                .await
                .wrap_err_with(|| format!("serving on {address}"))
        };
        (handle, serving)
    }
}

/// Closes the connection of a request without a response.
pub async fn abort_connection(flow: &FlowCtrl) {
    flow.conn().abort();
    // The server drops this future together with the connection.
    std::future::pending::<()>().await;
}

/// Sets the status and a body that is already encoded as JSON.
pub fn set_json(response: &mut Response, status: StatusCode, body: Vec<u8>) {
    response.status_code(status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.replace_body(ResBody::Once(body.into()));
}

/// Result of an admin endpoint: a JSON body, or the invalid fields of the request.
pub type AdminResult = Result<Vec<u8>, FieldErrors>;

/// Writes the response of an admin endpoint: status 200, or 400 with the errors as JSON.
pub fn write_admin_response(response: &mut Response, result: AdminResult) {
    match result {
        Ok(body) => set_json(response, StatusCode::OK, body),
        Err(errors) => {
            let body = serde_json::to_vec(&errors).unwrap_or_default();
            set_json(response, StatusCode::BAD_REQUEST, body);
        }
    }
}

/// Serialises a value as JSON.
///
/// # Errors
///
/// Returns the serializer's error as an error of the field `.`.
pub fn to_json<T: Serialize>(value: &T) -> AdminResult {
    serde_json::to_vec(value)
        .map_err(|error| FieldError::new(".", error, "a value that JSON can hold").into())
}

/// Reads a request body of at most `limit` bytes as text.
///
/// # Errors
///
/// Returns an error if the body is too large, truncated or not UTF-8.
pub async fn read_text(request: &mut Request, limit: usize) -> Result<String, FieldErrors> {
    let body = request
        .payload_with_max_size(limit)
        .await
        .map_err(|error| FieldError::new(".", error, format!("at most {limit} bytes")))?;
    let text =
        std::str::from_utf8(body).map_err(|error| FieldError::new(".", error, "UTF-8 text"))?;
    Ok(text.to_owned())
}
