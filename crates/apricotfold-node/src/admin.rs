//! Admin endpoints: the target's announcements, status, drain and metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use apricotfold_model::{FieldErrors, TargetState, log_event, parse_json};
use apricotfold_schema::settings::TargetAnnouncement;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::writing::{Json, Text};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::state::NodeState;

/// Time without an announcement after which the target is considered gone. Targets announce
/// themselves every second, so two announcements may be missed.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(2_500);
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the routes of the admin address.
pub fn router(state: &Arc<NodeState>, metrics: PrometheusHandle) -> Router {
    Router::new()
        .push(Router::with_path("v1/announce").post(AnnounceHandler(state.clone())))
        .push(Router::with_path("v1/leave").post(LeaveHandler(state.clone())))
        .push(Router::with_path("v1/drain").post(DrainHandler(state.clone())))
        .push(Router::with_path("v1/status").get(StatusHandler(state.clone())))
        .push(Router::with_path("v1/version").get(VersionHandler(state.clone())))
        .push(Router::with_path("metrics").get(MetricsHandler(metrics)))
}

/// Removes the target when it stops announcing itself, for example after a crash.
pub async fn expire_target(state: Arc<NodeState>) {
    loop {
        tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        let silent = state
            .last_announcement()
            .is_some_and(|at| at.elapsed() > ANNOUNCEMENT_TTL);
        if silent {
            log_event!(warn, TargetGone, "no announcement for {ANNOUNCEMENT_TTL:?}");
            state.set_target(None);
        }
    }
}

struct AnnounceHandler(Arc<NodeState>);
struct LeaveHandler(Arc<NodeState>);
struct DrainHandler(Arc<NodeState>);
struct StatusHandler(Arc<NodeState>);
struct VersionHandler(Arc<NodeState>);
struct MetricsHandler(PrometheusHandle);

#[async_trait]
impl Handler for AnnounceHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let announced = read_announcement(req).await;
        match announced {
            Ok(target) => {
                self.0.set_target(Some((target, Instant::now())));
                res.render(Json(serde_json::json!({"node": self.0.config.node})));
            }
            Err(errors) => {
                res.status_code(StatusCode::BAD_REQUEST);
                res.render(Json(serde_json::json!({"errors": errors})));
            }
        }
    }
}

async fn read_announcement(req: &mut Request) -> Result<TargetState, FieldErrors> {
    let payload = req.payload().await.cloned().unwrap_or_default();
    let text = String::from_utf8_lossy(&payload);
    let raw: TargetAnnouncement = parse_json(&text)?;
    TargetState::try_from(raw)
}

#[async_trait]
impl Handler for LeaveHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        log_event!(info, TargetGone, "the target left");
        self.0.set_target(None);
        res.render(Json(serde_json::json!({})));
    }
}

#[async_trait]
impl Handler for DrainHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.start_drain();
        let in_flight = self.0.in_flight.count();
        res.render(Json(
            serde_json::json!({"draining": true, "in_flight": in_flight}),
        ));
    }
}

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let snapshot = state.snapshot.load();
        let view = state.view.load();
        let control = state.control.load();
        let target = state.target();
        let members: Vec<_> = view.members.values().collect();
        let inactive: Vec<_> = snapshot
            .inactive
            .iter()
            .map(|route| format!("{}: no {}", route.rule.name, route.missing))
            .collect();
        res.render(Json(serde_json::json!({
            "node": state.config.node,
            "region": state.config.region,
            "data_centre": state.config.data_centre,
            "service": target.as_ref().map(|target| &target.service),
            "profile": target.as_ref().map(|target| &target.profile),
            "applied_version": snapshot.version,
            "head_version": control.head_version,
            "ready": state.ready.load(Ordering::Relaxed),
            "draining": state.draining.load(Ordering::Relaxed),
            "relay": control.relay,
            "gateway": control.gateway,
            "lag_reason": control.lag_reason,
            "in_flight": state.in_flight.count(),
            "inactive_routes": inactive,
            "members": members,
        })));
    }
}

/// Returns only the applied version, for clients that query many nodes often.
#[async_trait]
impl Handler for VersionHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let version = self.0.snapshot.load().version;
        res.render(Json(serde_json::json!({"applied_version": version})));
    }
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(Text::Plain(self.0.render()));
    }
}
