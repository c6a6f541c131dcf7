//! Shares of a route's requests among its services. See `docs/platform.md`, section 5.

use std::collections::HashMap;

use apricotfold_model::{RouteName, ServiceName, TableVersion, WeightedService};
use rand::RngExt;
use rand::rngs::StdRng;
use smallvec::SmallVec;

type PartCredits = SmallVec<[f64; 2]>;

/// Deals the requests of weighted routes out in proportion to the weights (smooth weighted round
/// robin), so that the shares hold over short times and at low rates, too.
///
/// The choice does not depend on the load of a service: operators use weights to try out a service
/// with a known share, and work that does not fit there is refused and not moved.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    version: TableVersion,
    credits: HashMap<RouteName, PartCredits>,
}

impl TrafficSplit {
    /// Chooses the service of the next request of a route. Nodes start at random points, so that
    /// their first requests do not all go to the same service.
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
        let richest = credits
            .iter()
            .enumerate()
            .max_by(|(_, left), (_, right)| left.total_cmp(right));
        let index = richest.map(|(index, _)| index)?;
        credits[index] -= total;
        parts.get(index).map(|part| &part.service)
    }
}
