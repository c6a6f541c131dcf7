//! Traffic split of weighted routes. See `docs/platform.md`, section 5.

use std::collections::HashMap;

use apricotfold_model::{RouteName, ServiceName, TableVersion, WeightedService};
use rand::RngExt;
use rand::rngs::StdRng;
use smallvec::SmallVec;

type PartCredits = SmallVec<[f64; 2]>;

/// Distributes the requests of weighted routes over their services in proportion to the weights by
/// smooth weighted round robin, so that the shares also hold over short times and at low rates.
///
/// The choice does not depend on the load of a service: operators use weights to try out a service
/// with a known share of the traffic, and requests that it has no room for are refused and not
/// moved to another service.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    version: TableVersion,
    credits: HashMap<RouteName, PartCredits>,
}

impl TrafficSplit {
    /// Returns the service of the next request of a route, or `None` if the route has no services.
    /// Nodes start with random credits, so that their first requests do not all go to the same
    /// service.
    pub fn next_service<'a>(
        &mut self,
        version: TableVersion,
        route: &RouteName,
        parts: &'a [WeightedService],
        random: &mut StdRng,
    ) -> Option<&'a ServiceName> {
        if let [only] = parts {
            return Some(&only.service);
        }
        if self.version != version {
            self.version = version;
            self.credits.clear();
        }
        let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
        let credits = self.credits.entry(route.clone()).or_insert_with(|| {
            let start = |part: &WeightedService| f64::from(part.weight) * random.random::<f64>();
            parts.iter().map(start).collect()
        });
        for (credit, part) in credits.iter_mut().zip(parts) {
            *credit += f64::from(part.weight);
        }
        let highest = credits
            .iter()
            .enumerate()
            .max_by(|(_, left), (_, right)| left.total_cmp(right));
        let index = highest.map(|(index, _)| index)?;
        credits[index] -= total;
        parts.get(index).map(|part| &part.service)
    }
}
