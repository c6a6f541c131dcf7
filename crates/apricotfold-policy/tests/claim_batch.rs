//! Batching of claims at the acting relay.

mod support;

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use apricotfold_model::ClaimEntry;
use apricotfold_policy::{ClaimBatch, ClaimRequest};
use rand::RngExt;
use support::{SEEDS, ms, seeded};

fn request(ticket: u64, key: u64) -> ClaimRequest {
    ClaimRequest {
        ticket,
        service: if key < 50 {
            "press-room"
        } else {
            "parish-desk"
        }
        .into(),

        key: format!("k{}", key % 50).into(),
        entry: ClaimEntry {
            claim_id: format!("c{ticket}").into(),
            node: "n1".into(),
            incarnation: 1,
        },
    }
}

fn tickets(batch: Option<Vec<ClaimRequest>>) -> Vec<u64> {
    let batch = batch.unwrap_or_default();
    batch.iter().map(|request| request.ticket).collect()
}

/// Guards against one store write per claim, and against claims that wait indefinitely for a batch
/// to fill.
#[test]
fn batch_is_due_when_full_or_old() {
    let now = Instant::now();
    let mut batch = ClaimBatch::new();
    batch.add(request(1, 1), now);
    batch.add(request(2, 2), now + ms(15));
    assert_eq!(batch.next_due(), Some(now + ms(20)));
    assert_eq!(batch.take_due(now + ms(19)), None);
    assert_eq!(tickets(batch.take_due(now + ms(20))), [1, 2]);
    for ticket in 0..65 {
        batch.add(request(ticket, ticket), now);
    }
    assert_eq!(tickets(batch.take_due(now)).len(), 64);
    assert_eq!(tickets(batch.take_due(now + ms(20))), [64]);
}

/// With random histories, guards against two claims of one order in one transaction, which would
/// both succeed, against a second claim that is written before the first, and against claims that
/// are lost, repeated, or deferred because of another service's claim with the same key.
#[test]
fn order_appears_once_per_batch() {
    for seed in SEEDS {
        let mut random = seeded(seed);
        let mut now = Instant::now();
        let mut batch = ClaimBatch::new();
        let mut latest = HashMap::new();
        let mut count = 0;
        for ticket in 0..600 {
            now += ms(random.random_range(0..3));
            if ticket < 500 {
                batch.add(request(ticket, random.random_range(0..100)), now);
            }
            while let Some(taken) = batch.take_due(now) {
                assert!(taken.len() <= 64, "seed {seed}");
                count += taken.len();
                let mut orders = HashSet::new();
                for known in taken {
                    let order = (known.service, known.key);
                    assert!(orders.insert(order.clone()), "seed {seed}: {order:?} twice");
                    let before = latest.insert(order, known.ticket);
                    assert!(before < Some(known.ticket), "seed {seed}: out of order");
                }
            }
        }
        assert_eq!((count, batch.next_due()), (500, None), "seed {seed}");
    }
}
