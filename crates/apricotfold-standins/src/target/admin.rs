//! Admin endpoints of the target stand-in, which let tests read its journal and change its behaviour.

use std::sync::Arc;

use apricotfold_model::{FieldError, FieldErrors, parse_json};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Deserialize;

use super::runtime::TargetRuntime;
use super::service_time::MAX_FACTOR;
use crate::http::{AdminResult, read_text, to_json, write_admin_response};

/// Maximum request body.
const MAX_ADMIN_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy)]
enum AdminCall {
    Journal,
    Status,
    Slow,
    PauseReports,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SlowRequest {
    factor: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PauseRequest {
    paused: bool,
}

struct AdminHandler {
    runtime: Arc<TargetRuntime>,
    call: AdminCall,
}

/// Routes under `/admin`.
pub fn admin_router(runtime: &Arc<TargetRuntime>) -> Router {
    let handler = |call| AdminHandler {
        runtime: Arc::clone(runtime),
        call,
    };
    Router::with_path("admin")
        .push(Router::with_path("journal").get(handler(AdminCall::Journal)))
        .push(Router::with_path("status").get(handler(AdminCall::Status)))
        .push(Router::with_path("slow").post(handler(AdminCall::Slow)))
        .push(Router::with_path("pause-reports").post(handler(AdminCall::PauseReports)))
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let result = self.run(request).await;
        write_admin_response(response, result);
    }
}

impl AdminHandler {
    async fn run(&self, request: &mut Request) -> AdminResult {
        match self.call {
            AdminCall::Journal => return to_json(&self.runtime.journal.report()),
            AdminCall::Status => {}
            AdminCall::Slow => {
                let text = read_text(request, MAX_ADMIN_BYTES).await?;
                self.runtime.set_slow_factor(read_factor(&text)?);
            }
            AdminCall::PauseReports => {
                let text = read_text(request, MAX_ADMIN_BYTES).await?;
                let pause: PauseRequest = parse_json(&text)?;
                self.runtime.pause_reports(pause.paused);
            }
        }
        to_json(&self.runtime.status())
    }
}

fn read_factor(text: &str) -> Result<u32, FieldErrors> {
    let slow: SlowRequest = parse_json(text)?;
    if (1..=MAX_FACTOR).contains(&slow.factor) {
        return Ok(slow.factor);
    }
    let expected = format!("a whole number from 1 to {MAX_FACTOR}");
    Err(FieldError::new("factor", slow.factor, expected).into())
}
