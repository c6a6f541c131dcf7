//! Tests of streams between nodes and of the limits of a single message.

mod mesh;

use std::time::{Duration, Instant};

use apricotfold_control::{
    ControlAction, ControlConfig, ControlCore, ControlEvent, MessageBody, RecordKey,
    StreamDirection, StreamId,
};
use apricotfold_schema::peer::{
    BucketIds, HeadBody, Hello, PeerMessage, Pull, Push, Record, RecordId, RecordKind,
};
use mesh::{Mesh, TICK};
use prost::Message;

fn lone_core(contacts: &[&str], now: Instant) -> ControlCore {
    let config = ControlConfig {
        node: "own".into(),
        region: "north".into(),
        data_centre: "n-a".into(),
        control_address: "own".into(),
        mesh_address: "own".into(),
        admin_address: "own".into(),
        incarnation: 1,
        contacts: contacts.iter().map(|name| (*name).into()).collect(),
        seed: 5,
    };
    ControlCore::new(config, now)
}

fn inbound(number: u64) -> ControlEvent {
    ControlEvent::StreamOpened {
        stream: StreamId(number),
        hello: Hello {
            node: format!("peer-{number}"),
            region: "north".into(),
            data_centre: "n-a".into(),
            incarnation: 1,
            control_address: format!("peer-{number}"),
        },
        direction: StreamDirection::Inbound,
    }
}

/// Guards against nodes with too few streams, against stream counts that grow linearly with the
/// number of members, and against a small mesh that keeps opening streams.
#[test]
fn stream_numbers() {
    for (count, least, most) in [(1, 0, 0), (2, 1, 1), (3, 2, 2), (40, 6, 12)] {
        let mut mesh = Mesh::new(1);
        let names = mesh.start_many(count, ("north", "n-a"));
        mesh.run(Duration::from_secs(30));
        for node in &names {
            let streams = mesh.cores[node].stream_count();
            assert!(
                (least..=most).contains(&streams),
                "{streams} of {node}, {count} nodes"
            );
        }
        let opened = mesh.opened;
        mesh.run(Duration::from_secs(10));
        assert!(
            mesh.opened - opened <= count.max(6),
            "{count} nodes: {} new streams",
            mesh.opened - opened
        );
    }
}

/// Guards against accepting a reconnect storm all at once, and against refusals without a retry
/// delay.
#[test]
fn join_limit() {
    let start = Instant::now();
    let mut core = lone_core(&[], start);
    let mut refuse = |number: u64, after: u64| {
        let actions = core.handle(inbound(number), start + Duration::from_millis(after));
        actions.into_iter().find_map(|action| match action {
            ControlAction::RefuseStream { retry_after, .. } => Some(retry_after),
            _ => None,
        })
    };
    for number in 0..32 {
        assert_eq!(refuse(number, 10 * number), None, "stream {number}");
    }
    assert_eq!(refuse(40, 400), Some(Duration::from_millis(600)));
    assert_eq!(refuse(41, 1005), None, "a second after the first");
    assert!(refuse(42, 1006).is_some());
}

/// Guards against reconnects in a tight loop, against synchronized retries of all nodes, and
/// against delays of more than 5 s after a long outage.
#[test]
fn reconnect_delays() {
    let start = Instant::now();
    let mut core = lone_core(&["gone"], start);
    let mut times = Vec::new();
    for step in 0..2400 {
        let now = start + TICK * step;
        for action in core.handle(ControlEvent::Tick, now) {
            if let ControlAction::OpenStream { address } = action {
                times.push(now);
                let event = ControlEvent::StreamFailed {
                    address,
                    refused: false,
                    retry_after: None,
                };
                core.handle(event, now);
            }
        }
    }
    // 120 s with a mean delay that grows to 2.5 s.
    assert!(
        (25..=100).contains(&times.len()),
        "{} attempts",
        times.len()
    );
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest.expect("attempts") <= Duration::from_millis(5100));
}

/// Guards against two streams between the same nodes, and against a late event of an old stream
/// that closes its successor.
#[test]
fn duplicate_stream() {
    let start = Instant::now();
    let mut core = lone_core(&[], start);
    core.handle(inbound(1), start);
    let ControlEvent::StreamOpened { hello, .. } = inbound(1) else {
        panic!("an opened stream");
    };
    let newer = Hello {
        incarnation: 2,
        ..hello.clone()
    };
    let open = |stream, hello: &Hello| ControlEvent::StreamOpened {
        stream: StreamId(stream),
        hello: hello.clone(),
        direction: StreamDirection::Inbound,
    };
    let closed = |actions: &[ControlAction], stream| {
        let stream = StreamId(stream);
        actions.contains(&ControlAction::CloseStream { stream })
    };
    assert!(closed(&core.handle(open(2, &newer), start), 1));
    assert!(
        closed(&core.handle(open(3, &hello), start), 3),
        "an older incarnation"
    );
    core.handle(
        ControlEvent::StreamClosed {
            stream: StreamId(1),
        },
        start,
    );
    assert_eq!(core.stream_count(), 1);
}

fn head(profile: &str, bundle: usize) -> Record {
    let body = HeadBody {
        profile: profile.into(),
        version: 1,
        digest: profile.into(),
        bundle: vec![7; bundle].into(),
        ..HeadBody::default()
    };
    Record {
        id: Some(RecordId {
            kind: RecordKind::Head.into(),
            key: profile.into(),
            epoch: 1,
            sequence: 0,
        }),
        body: body.encode_to_vec().into(),
        ..Record::default()
    }
}

fn message(body: MessageBody) -> ControlEvent {
    ControlEvent::Message {
        stream: StreamId(1),
        message: PeerMessage { body: Some(body) },
    }
}

/// Guards against a message above the transport's limit of 4 MiB when a new peer lacks many large
/// bundles.
#[test]
fn message_size() {
    let start = Instant::now();
    let mut core = lone_core(&[], start);
    core.handle(inbound(1), start);
    let records: Vec<Record> = (0..12)
        .map(|index| head(&format!("p{index}"), 900_000))
        .collect();
    let ids: Vec<RecordId> = records
        .iter()
        .filter_map(|record| record.id.clone())
        .collect();
    for record in records {
        let records = vec![record];
        core.handle(message(MessageBody::Push(Push { records })), start);
    }
    let pull = Pull { ids, graft: false };
    let mut now = start;
    let differing = BucketIds {
        buckets: (0..64).collect(),
        ..BucketIds::default()
    };
    for event in [
        message(MessageBody::Pull(pull)),
        message(MessageBody::BucketIds(differing)),
    ] {
        let mut sent = 0;
        now += Duration::from_secs(10);
        for action in core.handle(event, now) {
            if let ControlAction::Send { message, .. } = action {
                assert!(message.encoded_len() < 4 * 1024 * 1024);
                if let Some(MessageBody::Push(push)) = message.body {
                    let kinds = push.records.iter().filter_map(|record| record.id.as_ref());
                    sent += kinds.filter(|id| id.kind() == RecordKind::Head).count();
                }
            }
        }
        assert_eq!(sent, 12, "every head is sent once");
    }
}

/// Guards against a head that is stored without its bundle, and against one whose bundle is never
/// pulled.
#[test]
fn head_without_bundle() {
    let start = Instant::now();
    let mut core = lone_core(&[], start);
    core.handle(inbound(1), start);
    let records = vec![head("web", 0)];
    let actions = core.handle(message(MessageBody::Push(Push { records })), start);
    assert!(core.head("web").is_none());
    let key = RecordKey::new(RecordKind::Head, "web");
    let pulled = actions.iter().any(|action| match action {
        ControlAction::Send { message, .. } => match &message.body {
            Some(MessageBody::Pull(pull)) => pull.ids.iter().any(|id| id.key == key.key.as_str()),
            _ => false,
        },
        _ => false,
    });
    assert!(pulled);
    let records = vec![head("web", 10)];
    core.handle(message(MessageBody::Push(Push { records })), start);
    assert_eq!(core.head("web").expect("head").bundle.len(), 10);
}
