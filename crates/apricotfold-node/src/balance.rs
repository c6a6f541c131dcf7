//! Balancers by service and work class, each with the retry and hedge budgets and the hedge timer
//! of its calls.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use apricotfold_model::{
    DataCentreName, LoadBalancingPolicy, NodeConfig, NodeId, RefusalReason, RegionName,
    RetryPolicy, ServiceName, WorkClass, log_event,
};
use apricotfold_policy::{
    AttemptResult, CallBudgets, CallPlan, HedgeTimer, LoadReport, LocalityTier, PlanActions,
    PlanEvent, ServiceBalancer, TargetChange, TargetChoice, TargetEntry,
};

use crate::view::MeshView;

/// Balancers of all services that this node has called.
pub struct BalancerSet {
    calls: Mutex<HashMap<CallKind, ServiceCalls>>,
    kind: LoadBalancingPolicy,
    seed: u64,
    region: RegionName,
    data_centre: DataCentreName,
}

/// Service and work class of a call. Downloads have their own balancer: their latency would make a
/// fast target look slow for short requests.
pub type CallKind = (ServiceName, WorkClass);

struct ServiceCalls {
    balancer: ServiceBalancer,
    budgets: CallBudgets,
    hedge: Option<(u32, HedgeTimer)>,
}

impl BalancerSet {
    /// Creates an empty set; the first call of a service and class adds its balancer.
    pub fn new(config: &NodeConfig, seed: u64) -> Self {
        Self {
            calls: Mutex::new(HashMap::new()),
            kind: config.target_choice,
            seed,
            region: config.region.clone(),
            data_centre: config.data_centre.clone(),
        }
    }

    /// Updates the targets of every balancer from the view.
    pub fn update(&self, view: &MeshView, now: Instant) {
        let mut known = self.calls.lock().expect("no panic while locked");
        for ((service, _), calls) in known.iter_mut() {
            calls
                .balancer
                .update_targets(self.target_entries(view, service), now);
        }
    }

    /// Chooses a target that is not in `excluded` and counts an attempt as in flight there until
    /// [`finish`](Self::finish).
    ///
    /// # Errors
    ///
    /// Returns the reason why no target can be chosen.
    pub fn pick(
        &self,
        kind: &CallKind,
        excluded: &[NodeId],
        view: &MeshView,
        now: Instant,
    ) -> Result<TargetChoice, RefusalReason> {
        let in_other_classes = self.in_flight_of_other_classes(kind, view);
        self.with_calls(kind, view, now, |calls| {
            let count = |node: &NodeId| in_other_classes.get(node).copied().unwrap_or_default();
            calls.balancer.set_other_class_in_flight(count);
            let choice = calls.balancer.pick(excluded, now)?;
            calls.balancer.start_attempt(&choice.node, now);
            Ok(choice)
        })
    }

    /// Counts this node's in-flight requests of the service's other work classes by target, because
    /// all classes share the target's slots.
    fn in_flight_of_other_classes(&self, kind: &CallKind, view: &MeshView) -> HashMap<NodeId, u32> {
        let known = self.calls.lock().expect("no panic while locked");
        let mut counts = HashMap::new();
        let others = known
            .iter()
            .filter(|(other, _)| other.0 == kind.0 && other.1 != kind.1);
        for (_, calls) in others {
            for target in view.targets(&kind.0) {
                let count = calls.balancer.in_flight(&target.node);
                *counts.entry(target.node.clone()).or_default() += count;
            }
        }
        counts
    }

    /// Records the end of an attempt that [`pick`](Self::pick) started. `latency` is the time to
    /// the response head, or to the end of the attempt if no head arrived.
    pub fn finish(
        &self,
        kind: &CallKind,
        node: &NodeId,
        result: AttemptResult,
        latency: Duration,
        load: Option<LoadReport>,
    ) {
        let now = Instant::now();
        let mut known = self.calls.lock().expect("no panic while locked");
        let Some(calls) = known.get_mut(kind) else {
            return;
        };
        match calls
            .balancer
            .finish_attempt(node, result, latency, load, now)
        {
            Some(TargetChange::Quarantined { until }) => {
                let time = until.saturating_duration_since(now);
                log_event!(
                    warn,
                    TargetQuarantined,
                    "{node} for {time:?} after {result:?}"
                );
            }
            Some(TargetChange::Released) => log_event!(info, TargetQuarantined, "{node} released"),
            None => {}
        }
        if let Some((_, timer)) = &mut calls.hedge {
            timer.record(latency, now);
        }
    }

    /// Returns the time after which a call is hedged; `None` if the rule sets no hedge percentile
    /// or too few recent latencies are known.
    pub fn hedge_delay(
        &self,
        kind: &CallKind,
        rule: &RetryPolicy,
        view: &MeshView,
        now: Instant,
    ) -> Option<Duration> {
        let percentile = rule.hedge_percentile?;
        self.with_calls(kind, view, now, |calls| {
            let known = calls.hedge.take().filter(|(known, _)| *known == percentile);
            let (_, timer) = calls
                .hedge
                .insert(known.unwrap_or_else(|| (percentile, HedgeTimer::new(percentile))));
            timer.delay(now)
        })
    }

    /// Starts a call's plan with the budgets of its service and work class.
    pub fn start_plan(
        &self,
        kind: &CallKind,
        rule: &RetryPolicy,
        plan: &mut CallPlan,
        view: &MeshView,
        now: Instant,
    ) -> PlanActions {
        self.with_calls(kind, view, now, |calls| {
            calls.budgets.set_rule(rule);
            plan.start(&mut calls.budgets, now)
        })
    }

    /// Advances a call's plan by an event, with the budgets of its service and work class.
    pub fn advance_plan(
        &self,
        kind: &CallKind,
        plan: &mut CallPlan,
        event: PlanEvent,
        view: &MeshView,
        now: Instant,
    ) -> PlanActions {
        self.with_calls(kind, view, now, |calls| {
            plan.handle(event, &mut calls.budgets, now)
        })
    }

    fn with_calls<T>(
        &self,
        kind: &CallKind,
        view: &MeshView,
        now: Instant,
        run: impl FnOnce(&mut ServiceCalls) -> T,
    ) -> T {
        let mut known = self.calls.lock().expect("no panic while locked");
        if let Some(calls) = known.get_mut(kind) {
            return run(calls);
        }
        let mut balancer = ServiceBalancer::new(self.kind, self.seed).for_class(kind.1);
        balancer.update_targets(self.target_entries(view, &kind.0), now);
        let calls = known.entry(kind.clone()).or_insert(ServiceCalls {
            balancer,
            budgets: CallBudgets::new(&RetryPolicy::default()),
            hedge: None,
        });
        run(calls)
    }

    fn target_entries(&self, view: &MeshView, service: &str) -> Vec<TargetEntry> {
        let entry = |info: &crate::view::EndpointInfo| TargetEntry {
            node: info.node.clone(),
            tier: self.tier(&info.region, &info.data_centre),
            slots: info.slots,
            draining: info.draining,
        };
        view.targets(service).map(entry).collect()
    }

    fn tier(&self, region: &str, data_centre: &str) -> LocalityTier {
        if self.data_centre == data_centre {
            return LocalityTier::SameDataCentre;
        }
        if self.region == region {
            return LocalityTier::SameRegion;
        }
        LocalityTier::Remote
    }
}
