//! Handler of all requests outside the admin endpoints.

use std::sync::Arc;
use std::time::{Duration, Instant};

use apricotfold_model::{CallOutcome, RefusalReason, WorkClass, headers};
use bytes::Bytes;
use salvo::http::{HeaderValue, ResBody, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::download::{DownloadPlan, download_chunks};
use super::journal::RequestInfo;
use super::runtime::{RunningRequest, TargetRuntime};
use crate::http::abort_connection;
use crate::timer::wait_until;

/// Maximum request body.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of a download, so that a mistyped size does not fill a disk.
const MAX_DOWNLOAD_BYTES: u64 = 16 * 1024 * 1024 * 1024;
/// Path prefix of admin endpoints. Known ones are routed elsewhere; others are rejected here.
const ADMIN_PREFIX: &str = "/admin";
/// Path prefix of requests of the long class.
const LONG_PREFIX: &str = "/long";
/// Request header that is copied to the journal to identify the request.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header that makes the target abort while it runs the request.
const CRASH_HEADER: &str = "x-crash";
/// Response header with the name of the target.
const SERVED_BY_HEADER: &str = "x-served-by";

enum WorkKind {
    Echo(Bytes),
    Download(DownloadPlan),
    Text(String),
}

/// A parsed request.
struct WorkRequest {
    kind: WorkKind,
    duration: Duration,
    deadline: Option<Instant>,
    crashes: bool,
    info: RequestInfo,
}

/// Reason for an error response instead of the result of the request.
enum WorkFailure {
    BadRequest(String),
    Shed,
    DeadlineBeforeStart,
    DeadlineWhileRunning,
}

/// Runs requests on paths outside `/admin`.
pub struct WorkHandler {
    /// State shared with the admin endpoints.
    pub runtime: Arc<TargetRuntime>,
}

#[async_trait]
impl Handler for WorkHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        // The request starts only after its whole body has arrived: a truncated request must not count as
        // run.
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await else {
            return abort_connection(flow).await;
        };
        let body = body.clone();
        if let Ok(name) = HeaderValue::from_str(&self.runtime.name()) {
            response.headers_mut().insert(SERVED_BY_HEADER, name);
        }
        let result = match self.parse_request(request, body) {
            Ok(work) => self.run(work).await,
            Err(failure) => Err(failure),
        };
        match result {
            Ok(body) => write_response(response, body),
            Err(failure) => write_refusal(response, &failure),
        }
    }
}

impl WorkHandler {
    fn parse_request(&self, request: &Request, body: Bytes) -> Result<WorkRequest, WorkFailure> {
        let path = request.uri().path();
        if path.starts_with(ADMIN_PREFIX) {
            let method = request.method();
            let text = format!("path: found {method} {path}, expected a known admin call");
            return Err(WorkFailure::BadRequest(text));
        }
        let (kind, duration) = match path {
            "/echo" => (WorkKind::Echo(body), self.sample_service_time(request)),
            "/work" => {
                let base = read_milliseconds(request, "ms")?;
                (
                    WorkKind::Text(self.text(path)),
                    self.runtime.scale_service_time(base),
                )
            }
            "/download" => {
                let bytes = read_number(request, "bytes")?.min(MAX_DOWNLOAD_BYTES);
                let duration = self
                    .runtime
                    .scale_service_time(read_milliseconds(request, "ms")?);
                let plan = DownloadPlan::new(bytes, duration);
                (WorkKind::Download(plan), Duration::ZERO)
            }
            _ => (
                WorkKind::Text(self.text(path)),
                self.sample_service_time(request),
            ),
        };
        Ok(WorkRequest {
            kind,
            duration,
            deadline: read_deadline(request)?,
            crashes: read_header(request, CRASH_HEADER).is_some_and(|value| value == "1"),
            info: request_info(request),
        })
    }

    fn sample_service_time(&self, request: &Request) -> Duration {
        self.runtime.sample_service_time(work_class(request))
    }

    fn text(&self, path: &str) -> String {
        format!("{} {path}\n", self.runtime.name())
    }

    async fn run(&self, work: WorkRequest) -> Result<ResBody, WorkFailure> {
        let load = self.runtime.admit().ok_or(WorkFailure::Shed)?;
        let starting = self.runtime.start(load, work.info);
        let running = with_deadline(work.deadline, starting)
            .await
            .ok_or(WorkFailure::DeadlineBeforeStart)?;
        if work.crashes {
            match &work.kind {
                // The body is being sent when the process ends.
                WorkKind::Download(plan) => drop(tokio::spawn(crash_halfway(plan.duration()))),
                WorkKind::Echo(_) | WorkKind::Text(_) => crash_halfway(work.duration).await,
            }
        }
        let plan = match work.kind {
            WorkKind::Download(plan) => plan,
            WorkKind::Echo(body) => {
                return finish_after(work.duration, work.deadline, running, body.into()).await;
            }
            WorkKind::Text(text) => {
                return finish_after(work.duration, work.deadline, running, text.into()).await;
            }
        };
        Ok(ResBody::stream(download_chunks(
            plan,
            work.deadline,
            running,
        )))
    }
}

/// Waits for the service time, records the request as complete and returns the response body.
async fn finish_after(
    duration: Duration,
    deadline: Option<Instant>,
    running: RunningRequest,
    body: ResBody,
) -> Result<ResBody, WorkFailure> {
    with_deadline(deadline, wait_until(Instant::now() + duration))
        .await
        .ok_or(WorkFailure::DeadlineWhileRunning)?;
    running.finish();
    Ok(body)
}

/// Aborts the process after half of the service time.
async fn crash_halfway(duration: Duration) {
    tokio::time::sleep(duration / 2).await;
    log::error!("aborting as requested by header {CRASH_HEADER}");
    std::process::abort();
}

/// Output of a future; `None` if the deadline passes first.
async fn with_deadline<T>(deadline: Option<Instant>, future: impl Future<Output = T>) -> Option<T> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), future).await.ok(),
        None => Some(future.await),
    }
}

fn work_class(request: &Request) -> WorkClass {
    let long_header = read_header(request, headers::CLASS).is_some_and(|class| class == "long");
    if long_header || request.uri().path().starts_with(LONG_PREFIX) {
        WorkClass::Long
    } else {
        WorkClass::Short
    }
}

fn read_header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn request_info(request: &Request) -> RequestInfo {
    let path = request.uri().path_and_query();
    RequestInfo {
        method: request.method().as_str().into(),
        path: path.map_or("/", |path| path.as_str()).into(),
        idempotency_key: read_header(request, headers::IDEMPOTENCY_KEY).map(Into::into),
        request_id: read_header(request, REQUEST_ID_HEADER).map(Into::into),
    }
}

fn read_deadline(request: &Request) -> Result<Option<Instant>, WorkFailure> {
    let Some(value) = request.headers().get(headers::DEADLINE_MS) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u32>().ok());
    let milliseconds = parsed.ok_or_else(|| {
        let name = headers::DEADLINE_MS;
        WorkFailure::BadRequest(format!("{name}: found {value:?}, expected milliseconds"))
    })?;
    Ok(Some(
        Instant::now() + Duration::from_millis(milliseconds.into()),
    ))
}

fn read_milliseconds(request: &Request, name: &str) -> Result<Duration, WorkFailure> {
    let milliseconds = read_number(request, name)?.min(u32::MAX.into());
    Ok(Duration::from_millis(milliseconds))
}

/// Parses a number in the query; 0 if it is missing.
fn read_number(request: &Request, name: &str) -> Result<u64, WorkFailure> {
    let Some(text) = request.queries().get(name) else {
        return Ok(0);
    };
    text.parse().map_err(|_| {
        WorkFailure::BadRequest(format!("{name}: found {text:?}, expected a whole number"))
    })
}

fn write_response(response: &mut Response, body: ResBody) {
    response.status_code(StatusCode::OK);
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response.replace_body(body);
}

fn write_refusal(response: &mut Response, failure: &WorkFailure) {
    let (status, outcome, reason) = match failure {
        WorkFailure::BadRequest(_) => (
            StatusCode::BAD_REQUEST,
            CallOutcome::NotRun,
            RefusalReason::BadRequest,
        ),
        WorkFailure::Shed => (
            StatusCode::SERVICE_UNAVAILABLE,
            CallOutcome::NotRun,
            RefusalReason::Overloaded,
        ),
        WorkFailure::DeadlineBeforeStart => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::NotRun,
            RefusalReason::DeadlinePassed,
        ),
        WorkFailure::DeadlineWhileRunning => (
            StatusCode::GATEWAY_TIMEOUT,
            CallOutcome::MayHaveRun,
            RefusalReason::DeadlinePassed,
        ),
    };
    let text = match failure {
        WorkFailure::BadRequest(text) => text.clone(),
        _ => reason.to_string(),
    };
    write_response(response, ResBody::from(text));
    response.status_code(status);
    let outcome = HeaderValue::from_static(outcome.into());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    let reason = HeaderValue::from_static(reason.into());
    response.headers_mut().insert(headers::REASON, reason);
}
