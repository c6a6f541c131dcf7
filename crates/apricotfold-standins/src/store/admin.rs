//! Admin endpoints of the store stand-in, which let tests inject faults at run time.

use std::sync::Arc;

use apricotfold_model::{FieldErrors, ScriptedStoreFault, parse_json};
use apricotfold_schema::settings::StoreFault;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::message::StoreSnapshot;
use super::service::StoreService;
use crate::http::{AdminResult, read_text, to_json, write_admin_response};

/// Maximum request body; allows the snapshot of a whole store.
const MAX_ADMIN_BYTES: usize = 256 * 1024 * 1024;

#[derive(Clone, Copy)]
enum AdminCall {
    Counts,
    ResetCounts,
    AddFaults,
    ClearFaults,
    Snapshot,
    Restore,
}

struct AdminHandler {
    service: Arc<StoreService>,
    call: AdminCall,
}

/// Routes under `/admin`.
pub fn admin_router(service: &Arc<StoreService>) -> Router {
    let handler = |call| AdminHandler {
        service: Arc::clone(service),
        call,
    };
    Router::with_path("admin")
        .push(Router::with_path("counts").get(handler(AdminCall::Counts)))
        .push(Router::with_path("counts/reset").post(handler(AdminCall::ResetCounts)))
        .push(
            Router::with_path("faults")
                .post(handler(AdminCall::AddFaults))
                .delete(handler(AdminCall::ClearFaults)),
        )
        .push(Router::with_path("snapshot").get(handler(AdminCall::Snapshot)))
        .push(Router::with_path("restore").post(handler(AdminCall::Restore)))
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
            AdminCall::Counts => to_json(&self.service.counts()),
            AdminCall::ResetCounts => {
                self.service.reset_counts();
                to_json(&self.service.counts())
            }
            AdminCall::AddFaults => {
                let text = read_text(request, MAX_ADMIN_BYTES).await?;
                self.service.add_faults(read_faults(&text)?);
                to_json(&())
            }
            AdminCall::ClearFaults => {
                self.service.clear_faults();
                to_json(&())
            }
            AdminCall::Snapshot => to_json(&self.service.snapshot()),
            AdminCall::Restore => {
                let text = read_text(request, MAX_ADMIN_BYTES).await?;
                let snapshot: StoreSnapshot = parse_json(&text)?;
                log::info!("store restored to revision {}", snapshot.revision);
                self.service.restore(snapshot);
                to_json(&())
            }
        }
    }
}

fn read_faults(text: &str) -> Result<Vec<ScriptedStoreFault>, FieldErrors> {
    let faults: Vec<StoreFault> = parse_json(text)?;
    faults
        .into_iter()
        .map(ScriptedStoreFault::try_from)
        .collect()
}
