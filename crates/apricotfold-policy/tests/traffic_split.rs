//! Traffic shares of weighted routes.

use std::collections::BTreeMap;

use apricotfold_model::{RouteName, WeightedService};
use apricotfold_policy::TrafficSplit;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ROUTE: RouteName = RouteName::const_new("almanac");

fn parts(weights: &[u32]) -> Vec<WeightedService> {
    weights
        .iter()
        .enumerate()
        .map(|(index, weight)| WeightedService {
            service: format!("service-{index}").into(),
            weight: *weight,
        })
        .collect()
}

/// Guards against shares that deviate over short times, including when many nodes distribute few
/// requests each and start at the same moment.
#[test]
fn shares_hold() {
    for weights in [vec![90, 10], vec![1, 1, 2], vec![0, 5], vec![3, 97]] {
        let parts = parts(&weights);
        let total: u32 = weights.iter().sum();
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for node in 0..12 {
            let mut random = StdRng::seed_from_u64(node);
            let mut split = TrafficSplit::default();
            for _ in 0..25 {
                let service = split.next_service(1, &ROUTE, &parts, &mut random);
                *counts.entry(service.expect("a service")).or_default() += 1;
            }
        }
        for part in &parts {
            let got = f64::from(counts.get(part.service.as_str()).copied().unwrap_or(0)) / 300.0;
            let wanted = f64::from(part.weight) / f64::from(total);
            assert!(
                (got - wanted).abs() <= 0.05,
                "{weights:?}: share {got}, expected {wanted}"
            );
        }
    }
}

/// Guards against credits of an older table version that distort the shares of a new one.
#[test]
fn version_changes() {
    let mut random = StdRng::seed_from_u64(1);
    let mut split = TrafficSplit::default();
    for _ in 0..99 {
        split.next_service(1, &ROUTE, &parts(&[1, 99]), &mut random);
    }
    let rotated = parts(&[99, 1]);
    let first = (0..100)
        .filter(|_| {
            split
                .next_service(2, &ROUTE, &rotated, &mut random)
                .is_some_and(|service| service == "service-0")
        })
        .count();
    assert!(first >= 98, "{first}");
}
