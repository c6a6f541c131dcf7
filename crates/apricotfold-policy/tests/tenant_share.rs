//! Fair shares of one target among tenants.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use apricotfold_model::{CallPriority, ProfileLimits, RetrySafety, TenantName, WorkClass};
use apricotfold_policy::{
    Admission, AdmissionEvent, AdmissionId, AdmissionLimits, AdmissionPolicy, AdmissionRequest,
    CallStanding, DeadlineQueue,
};
use rand::RngExt;
use support::{ms, seeded};

const SLOTS: u32 = 9;
const SERVICE: Duration = Duration::from_millis(140);
/// Time for which an answer is useful.
const USEFUL_TIME: Duration = Duration::from_millis(700);
const LENGTH: Duration = Duration::from_secs(20);
/// Ordinary tenants; the hot one has the index after them.
const ORDINARY: usize = 20;

/// Counts of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TenantCount {
    offered: u32,
    served: u32,
    /// Refusals after more than an eighth of the useful time.
    late_refusals: u32,
}

impl TenantCount {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

/// Offers requests of all tenants, `demand` times the capacity in sum, of which the hot tenant has
/// `factor` times as many as each other one. `named` returns the tenant of an index.
fn simulate(
    demand: f64,
    factor: f64,
    seed: u64,
    named: impl Fn(usize) -> Option<TenantName>,
) -> Vec<TenantCount> {
    let mut random = seeded(seed);
    let limits = AdmissionLimits::new(&ProfileLimits::default(), SLOTS);
    let mut queue = DeadlineQueue::new(limits);
    let mut counts = vec![TenantCount::default(); ORDINARY + 1];
    let mut arrived: BTreeMap<AdmissionId, (Instant, usize)> = BTreeMap::new();
    let mut ends: BTreeSet<(Instant, AdmissionId)> = BTreeSet::new();
    let start = Instant::now();
    let gap = SERVICE.div_f64(f64::from(SLOTS) * demand);
    let weights = 20.0 + factor;
    let (mut next, mut id) = (start, 0);
    while next < start + LENGTH || !ends.is_empty() {
        let first_end = ends.first().map(|(at, _)| *at);
        let is_arrival = next < start + LENGTH && first_end.is_none_or(|end| next <= end);
        let expiry = queue.next_expiry();
        let due = if is_arrival { Some(next) } else { first_end };
        let (now, events) = if let Some(at) = expiry.filter(|at| due.is_none_or(|due| *at < due)) {
            let now = at + Duration::from_nanos(1);
            (now, queue.expire(now))
        } else if is_arrival {
            let now = next;
            next += gap.mul_f64(-random.random_range(0.001_f64..1.0).ln());
            id += 1;
            let drawn = random.random_range(0.0..weights);
            let tenant = (0..ORDINARY).find(|index| drawn < upper_end(*index));
            let tenant = tenant.unwrap_or(ORDINARY);
            counts[tenant].offered += 1;
            arrived.insert(id, (now, tenant));
            let request = AdmissionRequest {
                class: WorkClass::Short,
                priority: CallPriority::Normal,
                standing: CallStanding::New,
                useful_until: now + USEFUL_TIME,
                deadline: now + USEFUL_TIME * 2,
                tenant: named(tenant),
                repeat: RetrySafety::Idempotent,
            };
            let (admission, mut events) = queue.offer(id, &request, now);
            if admission == Admission::Run {
                events.push(AdmissionEvent::Start(id));
            }
            (now, events)
        } else {
            let (now, ended) = ends.pop_first().expect("a request is running");
            let (since, tenant) = arrived[&ended];
            counts[tenant].served += u32::from(now - since <= USEFUL_TIME);
            (now, queue.release(ended, now))
        };
        for event in events {
            match event {
                AdmissionEvent::Start(id) => {
                    let work = SERVICE.mul_f64(random.random_range(0.6..1.4));
                    ends.insert((now + work, id));
                }
                AdmissionEvent::Refuse(id, _) => {
                    let (since, tenant) = arrived[&id];
                    let late = now - since > USEFUL_TIME / 8;
                    counts[tenant].late_refusals += u32::from(late);
                }
            }
        }
    }
    counts
}

/// Upper end of an ordinary tenant's part of the demand.
fn upper_end(index: usize) -> f64 {
    f64::from(u32::try_from(index + 1).expect("small"))
}

fn name(index: usize) -> TenantName {
    format!("tenant-{index}").into()
}

fn sum(counts: &[TenantCount]) -> TenantCount {
    let mut sum = TenantCount::default();
    for count in counts {
        sum.offered += count.offered;
        sum.served += count.served;
        sum.late_refusals += count.late_refusals;
    }
    sum
}

/// Guards against a tenant with 7 times its usual demand that takes slots from twenty ordinary ones,
/// against one that is hardly served itself, and against holding its requests until they are refused.
#[test]
fn hot_tenant() {
    for seed in 0..5 {
        // The capacity is 1.1 times the usual demand of all 21 tenants.
        let demand = 27.0 / (1.1 * 21.0);
        let counts = simulate(demand, 7.0, seed, |index| Some(name(index)));
        let unnamed = simulate(demand, 7.0, seed, |_| None);
        let (all, ordinary, hot) = (sum(&counts), sum(&counts[..ORDINARY]), counts[ORDINARY]);
        let before = sum(&unnamed[..ORDINARY]);
        println!(
            "seed {seed}: ordinary {:.3} (without tenants {:.3}), hot {:.3}, all {:.3} (without {:.3}), late refusals {}",
            ordinary.share(),
            before.share(),
            hot.share(),
            all.share(),
            sum(&unnamed).share(),
            all.late_refusals
        );
        assert!(ordinary.share() >= 0.97, "{}", ordinary.share());
        let least = counts.iter().map(|count| count.share()).fold(1.0, f64::min);
        assert!(least >= 0.25 * all.share(), "{least}");
        assert!(all.share() >= 0.95 * sum(&unnamed).share(), "{all:?}");
        let late = f64::from(all.late_refusals) / f64::from(all.offered);
        assert!(late <= 0.03, "{late}");
    }
}

/// Guards against shares that drift apart among tenants of equal demand at twice the capacity.
#[test]
fn equal_tenants() {
    for seed in 0..5 {
        let counts = simulate(2.0, 1.0, seed, |index| Some(name(index)));
        let all = sum(&counts).share();
        let least = counts.iter().map(|count| count.share()).fold(1.0, f64::min);
        println!("seed {seed}: least {least:.3}, all {all:.3}");
        assert!(least >= 0.6 * all, "{least} of {all}");
    }
}

/// Guards against a change of decisions in meshes without tenants: a single tenant has nobody to
/// share with, so that its requests start by arrival like those without a tenant.
#[test]
fn single_tenant() {
    for seed in 0..5 {
        for demand in [0.8, 1.2, 2.5] {
            let without = simulate(demand, 7.0, seed, |_| None);
            let single = simulate(demand, 7.0, seed, |_| Some("only".into()));
            assert_eq!(without, single, "seed {seed} demand {demand}");
        }
    }
}

/// Guards against calls of running requests that change places with requests of tenants.
#[test]
fn nested_without_tenant() {
    let start = Instant::now();
    let limits = AdmissionLimits::new(&ProfileLimits::default(), 1);
    let mut queue = DeadlineQueue::new(limits);
    let request = |tenant: Option<&str>, standing| AdmissionRequest {
        class: WorkClass::Short,
        priority: CallPriority::Normal,
        standing,
        useful_until: start + USEFUL_TIME,
        deadline: start + USEFUL_TIME,
        tenant: tenant.map(TenantName::from),
        repeat: RetrySafety::Idempotent,
    };
    let (new, nested) = (CallStanding::New, CallStanding::Nested);
    queue.offer(1, &request(Some("first"), new), start);
    for (id, tenant, standing) in [
        (2, Some("first"), new),
        (3, Some("second"), new),
        (4, None, nested),
        (5, None, nested),
    ] {
        let (admission, _) = queue.offer(id, &request(tenant, standing), start);
        assert_eq!(admission, Admission::Wait);
    }
    let order: Vec<AdmissionId> = [1, 4, 5, 3]
        .into_iter()
        .zip(1..)
        .flat_map(|(id, turn)| queue.release(id, start + ms(50) * turn))
        .map(|event| match event {
            AdmissionEvent::Start(id) => id,
            AdmissionEvent::Refuse(id, _) => panic!("{id} refused"),
        })
        .collect();
    assert_eq!(order, [4, 5, 3, 2]);
}
