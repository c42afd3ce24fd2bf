use ashglade::ids::{CellId, ModelId, ZoneId};
use expect_test::expect;

use super::*;

fn entry(n: u16, state: NodeState) -> NodeEntry {
    let info = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    NodeEntry {
        name: format!("n{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        http_address: None,
        id: None,
        info,
        state,
    }
}

/// Offers a list, and returns the result and the state of all nodes after it.
fn update(membership: &mut Membership, generation: u64, entries: Vec<NodeEntry>) -> String {
    let result = match membership.update(NodeList { generation, entries }) {
        Ok(None) => "unchanged".to_string(),
        Ok(Some(c)) => {
            format!(
                "accepted: {} added, {} restarted, {} draining, {} removed",
                c.added, c.restarted, c.draining, c.removed
            )
        }
        Err(error) => format!("rejected: {error}"),
    };
    let nodes: Vec<String> = {
        let mut all: Vec<_> = membership.nodes().map(|(_, e)| format!("{} {:?}", e.name, e.state)).collect();
        all.sort();
        all
    };
    format!("{generation}: {result} -> {}\n", nodes.join(", "))
}

/// An invalid or older list must change nothing; in particular it must not revoke a drain.
#[test]
fn list_is_accepted_or_rejected_as_a_whole_and_older_lists_revoke_no_drain() {
    use NodeState::*;
    let mut membership = Membership::default();
    let mut trace = String::new();
    trace += &update(&mut membership, 1, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &update(&mut membership, 3, vec![entry(1, Draining), entry(2, Ready), entry(3, Ready)]);
    trace += &update(&mut membership, 2, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &update(&mut membership, 3, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &update(&mut membership, 4, vec![entry(1, Ready), entry(4, Ready), entry(4, Ready)]);
    let mut same_address = entry(5, Ready);
    same_address.address = entry(1, Ready).address;
    trace += &update(&mut membership, 4, vec![entry(1, Ready), same_address]);
    trace += &update(&mut membership, 4, vec![]);
    let mut restarted = entry(1, Ready);
    restarted.info.started = Some(Instant::from_ms(5.0));
    trace += &update(&mut membership, 4, vec![restarted]);
    expect![[r#"
        1: accepted: 2 added, 0 restarted, 0 draining, 0 removed -> n1 Ready, n2 Ready
        3: accepted: 1 added, 0 restarted, 1 draining, 0 removed -> n1 Draining, n2 Ready, n3 Ready
        2: rejected: generation 2 is older than 3, which is in force -> n1 Draining, n2 Ready, n3 Ready
        3: rejected: generation 3 was already received with other entries -> n1 Draining, n2 Ready, n3 Ready
        4: rejected: two nodes are named n4 -> n1 Draining, n2 Ready, n3 Ready
        4: rejected: n1 and n5 have the same address, 127.0.0.1:9001 -> n1 Draining, n2 Ready, n3 Ready
        4: rejected: the list contains no nodes -> n1 Draining, n2 Ready, n3 Ready
        4: accepted: 0 added, 1 restarted, 0 draining, 2 removed -> n1 Ready, n2 Gone, n3 Gone
    "#]]
    .assert_eq(&trace);
}
