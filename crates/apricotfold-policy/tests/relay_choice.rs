//! Selection of the nodes that follow the store on behalf of their data centre.

use std::collections::BTreeSet;
use std::time::Duration;

use apricotfold_model::{InstanceRecord, InstanceState, NodeId};
use apricotfold_policy::{
    FollowRole, choose_remote_relays, choose_role, choose_successors, due_successors,
    takeover_delay,
};

fn record(index: usize, data_centre: &str, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        node: format!("{data_centre}-{index}").into(),
        address: ([10, 0, 0, 1], 80).into(),
        node_epoch: 1,
        life: 1,
        data_centre: data_centre.into(),
        instance: format!("i-{index}").into(),
        born: 1,
        number: 1,
        service: "precios".into(),
        slots: 8,
        state,
        announced: None,
        cold_ms: 0,
        link_mbps: 0,
        version: None,
    }
}

fn records(count: usize, data_centre: &str) -> Vec<InstanceRecord> {
    (0..count)
        .map(|index| record(index, data_centre, InstanceState::Ready))
        .collect()
}

fn role(records: &[InstanceRecord], own: &str) -> FollowRole {
    let data_centre = "stgo-norte".into();
    choose_role(&NodeId::from(own), &data_centre, records.iter())
}

/// Guards against a data centre in which no node, or every node, follows the store.
#[test]
fn two_relays() {
    for count in [5, 10, 40] {
        let mut records = records(count, "stgo-norte");
        records.extend(self::records(30, "valpo-puerto"));
        let mut relays = BTreeSet::new();
        let mut direct = 0;
        for index in 0..count {
            match role(&records, &format!("stgo-norte-{index}")) {
                FollowRole::Direct => direct += 1,
                FollowRole::Through(nodes) => {
                    assert!(nodes.iter().all(|node| node.starts_with("stgo-norte")));
                    relays.insert(nodes);
                }
            }
        }
        assert_eq!(direct, 2, "{count}");
        assert_eq!(relays.len(), 1, "{count}");
    }
}

/// Guards against choosing draining nodes as relays, and against relays among only a few nodes.
#[test]
fn few_nodes() {
    let mut records = records(4, "stgo-norte");
    assert_eq!(role(&records, "stgo-norte-0"), FollowRole::Direct);
    for index in 4..8 {
        records.push(record(index, "stgo-norte", InstanceState::Draining));
    }
    assert_eq!(role(&records, "stgo-norte-0"), FollowRole::Direct);
}

/// Guards against relays that change for every node when a node which is not a relay joins or
/// leaves.
#[test]
fn stable_choice() {
    let all = records(20, "stgo-norte");
    let FollowRole::Through(relays) = role(&all, "elsewhere") else {
        panic!("twenty nodes have relays");
    };
    let other = all.iter().find(|record| !relays.contains(&record.node));
    let other = other.expect("more nodes than relays").node.clone();
    let rest: Vec<_> = all
        .into_iter()
        .filter(|record| record.node != other)
        .collect();
    assert_eq!(role(&rest, "elsewhere"), FollowRole::Through(relays));
}

/// Guards against relays with narrow links, which all other nodes of the data centre receive from,
/// while nodes with wide links are there.
#[test]
fn wide_links() {
    let mut records = records(20, "stgo-norte");
    for (index, record) in records.iter_mut().enumerate() {
        record.link_mbps = match index {
            4 | 11 | 17 => 140,
            _ => 7,
        };
    }
    let FollowRole::Through(relays) = role(&records, "elsewhere") else {
        panic!("twenty nodes have relays");
    };
    for relay in &relays {
        let record = records.iter().find(|record| record.node == *relay);
        assert_eq!(record.expect("a known node").link_mbps, 140, "{relays:?}");
    }
}

/// Guards against remote relays that do not follow the store, and against all of them in one data centre.
#[test]
fn remote_relays() {
    let mut all = records(20, "stgo-norte");
    all.extend(records(20, "valpo-puerto"));
    all.extend(records(1, "vina-centro"));
    all.push(record(1, "vina-centro", InstanceState::Draining));
    let remote = choose_remote_relays(&"stgo-norte".into(), all.iter());
    let in_data_centre = |name: &str| remote.iter().filter(|node| node.starts_with(name)).count();
    assert_eq!(in_data_centre("stgo-norte"), 0);
    assert_eq!(in_data_centre("vina-centro"), 1);
    assert_eq!(in_data_centre("valpo-puerto"), 2);
    for node in remote
        .iter()
        .filter(|node| node.starts_with("valpo-puerto"))
    {
        let own_role = choose_role(node, &"valpo-puerto".into(), all.iter());
        assert_eq!(own_role, FollowRole::Direct, "{node}");
    }
}

/// Guards against more than a few nodes of a data centre that follow the store at once when its relays do not
/// answer, and against a data centre of which none does because those chosen do not answer either.
#[test]
fn successors_in_turns() {
    let records = records(20, "stgo-norte");
    let data_centre = "stgo-norte".into();
    let FollowRole::Through(relays) = role(&records, "elsewhere") else {
        panic!("twenty nodes have relays");
    };
    let mut excluded: Vec<NodeId> = relays.to_vec();
    while excluded.len() < records.len() {
        let is_excluded = |node: &NodeId| excluded.contains(node);
        let successors = choose_successors(&data_centre, is_excluded, records.iter());
        let due = due_successors(&successors, Duration::ZERO);
        let delays = records.iter().map(|record| &record.node);
        let delays = delays.filter(|node| !excluded.contains(node));
        let at_once = delays.filter(|node| takeover_delay(node, &successors).is_zero());
        let at_once: BTreeSet<_> = at_once.collect();
        assert_eq!(at_once, due.iter().collect());
        assert_eq!(due.len(), 2);
        assert_eq!(
            due_successors(&successors, Duration::from_secs(5)),
            &successors[..]
        );
        excluded.extend(due.to_vec());
    }
}
