//! Tests of merging, expiry and digests in the record table.

use std::time::{Duration, Instant};

use apricotfold_control::{MergeOutcome, RECORD_TTL, RecordScope, RecordTable};
use apricotfold_schema::peer::{CrashBody, Record, RecordId, RecordKind};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

fn crash(key: &str, sequence: u64, removed: bool) -> Record {
    let body = CrashBody {
        fingerprint: key.into(),
        node: "n".into(),
        crashes: 1,
    };
    Record {
        id: Some(RecordId {
            kind: RecordKind::Crash.into(),
            key: key.into(),
            epoch: 0,
            sequence,
        }),
        body: if removed {
            Vec::new().into()
        } else {
            body.encode_to_vec().into()
        },
        removed,
        ..Record::default()
    }
}

fn content(table: &RecordTable) -> Vec<String> {
    let records = table.range(RecordKind::Crash, "");
    records
        .map(|(key, stored)| format!("{key} {:?} {:?}", stored.version, stored.body))
        .collect()
}

/// Guards against tables that differ after the same updates because these arrived in a different
/// order or more than once.
#[test]
fn merge_order_independent() {
    let now = Instant::now();
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut records: Vec<Record> = (0..60)
            .map(|_| {
                let key = format!("k{}", rng.random_range(0..8));
                crash(&key, rng.random_range(1..5), rng.random_bool(0.3))
            })
            .collect();
        let mut tables = [RecordTable::default(), RecordTable::default()];
        for table in &mut tables {
            records.shuffle(&mut rng);
            for record in records.iter().chain(&records[..20]) {
                table.merge(record.clone(), now);
            }
        }
        let [one, other] = &tables;
        assert_eq!(content(one), content(other), "seed {seed}");
        assert_eq!(
            one.digest(RecordScope::All),
            other.digest(RecordScope::All),
            "seed {seed}"
        );
    }
}

/// Guards against a stale update that undoes a removal, and against a removal that is ignored
/// because its version equals the record's.
#[test]
fn removal_wins() {
    let now = Instant::now();
    let mut table = RecordTable::default();
    assert_eq!(table.merge(crash("k", 2, false), now), MergeOutcome::Newer);
    assert_eq!(table.merge(crash("k", 2, true), now), MergeOutcome::Newer);
    assert_eq!(table.merge(crash("k", 2, false), now), MergeOutcome::Older);
    assert_eq!(table.merge(crash("k", 1, false), now), MergeOutcome::Older);
    assert_eq!(table.merge(crash("k", 2, true), now), MergeOutcome::Same);
}

/// Guards against records that never expire because nodes keep sending them back to each other
/// with a reset age.
#[test]
fn expiry_is_final() {
    let start = Instant::now();
    let mut tables = [RecordTable::default(), RecordTable::default()];
    tables[0].merge(crash("k", 1, false), start);
    let key = apricotfold_control::RecordKey::new(RecordKind::Crash, "k");
    for step in 0..1400 {
        let now = start + Duration::from_millis(500) * step;
        for (from, to) in [(0, 1), (1, 0)] {
            if let Some(record) = tables[from].export(&key, now) {
                tables[to].merge(record, now);
            }
            tables[from].expire(now);
        }
    }
    assert!(RECORD_TTL < Duration::from_millis(500) * 1400);
    assert!(tables.iter().all(RecordTable::is_empty));
}

/// Guards against votes and suspicions that leave their data centre through anti-entropy.
#[test]
fn scoped_digest() {
    let now = Instant::now();
    let mut table = RecordTable::default();
    let mut record = crash("subject/monitor", 1, true);
    if let Some(id) = &mut record.id {
        id.kind = RecordKind::Suspicion.into();
    }
    table.merge(record, now);
    let buckets: Vec<u32> = (0..64).collect();
    assert!(table.bucket_ids(RecordScope::All, &buckets).is_empty());
    assert_eq!(table.bucket_ids(RecordScope::DataCentre, &buckets).len(), 1);
    assert_eq!(table.digest(RecordScope::All), &[0; 64]);
    assert_ne!(table.digest(RecordScope::DataCentre), &[0; 64]);
}

/// Guards against a panic, or an undecodable record that is stored, when a peer sends invalid
/// bytes.
#[test]
fn unreadable_record() {
    let now = Instant::now();
    let mut table = RecordTable::default();
    let mut broken = crash("k", 9, false);
    broken.body = vec![0xff; 7].into();
    assert_eq!(table.merge(broken, now), MergeOutcome::Invalid);
    let mut unknown = crash("k", 9, false);
    if let Some(id) = &mut unknown.id {
        id.kind = 99;
    }
    assert_eq!(table.merge(unknown, now), MergeOutcome::Invalid);
    assert_eq!(table.merge(Record::default(), now), MergeOutcome::Invalid);
    assert!(table.is_empty());
}
