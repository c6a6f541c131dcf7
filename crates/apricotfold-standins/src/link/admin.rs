//! Admin endpoints of the link, which let tests change the faults at run time.

use std::sync::Arc;

use apricotfold_model::parse_json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::state::{LinkFaults, LinkState};
use crate::http::{AdminResult, read_text, to_json, write_admin_response};

/// Maximum request body.
const MAX_ADMIN_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy)]
enum AdminCall {
    Faults,
    SetFaults,
    Counts,
}

struct AdminHandler {
    state: Arc<LinkState>,
    call: AdminCall,
}

/// Routes under `/admin`.
pub fn admin_router(state: &Arc<LinkState>) -> Router {
    let handler = |call| AdminHandler {
        state: Arc::clone(state),
        call,
    };
    Router::with_path("admin")
        .push(
            Router::with_path("faults")
                .get(handler(AdminCall::Faults))
                .put(handler(AdminCall::SetFaults)),
        )
        .push(Router::with_path("counts").get(handler(AdminCall::Counts)))
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
            AdminCall::Faults => to_json(&self.state.faults()),
            AdminCall::SetFaults => {
                let text = read_text(request, MAX_ADMIN_BYTES).await?;
                let faults: LinkFaults = parse_json(&text)?;
                let body = to_json(&faults)?;
                self.state.set_faults(faults);
                log::info!("faults are now {}", String::from_utf8_lossy(&body));
                Ok(body)
            }
            AdminCall::Counts => to_json(&self.state.report()),
        }
    }
}
