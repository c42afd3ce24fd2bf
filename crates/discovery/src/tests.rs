use ashglade::ids::{CellId, ModelId, ZoneId};
use expect_test::expect;

use super::*;

fn entry(n: u16, standing: NodeState) -> NodeEntry {
    let place = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(n), weight: 1.0, started: None };
    NodeEntry {
        name: format!("n{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        http_address: None,
        id: None,
        info: place,
        state: standing,
    }
}

fn offer(membership: &mut Membership, generation: u64, entries: Vec<NodeEntry>) -> String {
    let told = match membership.update(NodeList { generation, entries }) {
        Ok(None) => "as before".to_string(),
        Ok(Some(c)) => {
            format!("taken: {} new, {} again, {} drain, {} gone", c.added, c.restarted, c.draining, c.removed)
        }
        Err(refusal) => format!("left out: {refusal}"),
    };
    let nodes: Vec<String> = {
        let mut all: Vec<_> = membership.nodes().map(|(_, e)| format!("{} {:?}", e.name, e.state)).collect();
        all.sort();
        all
    };
    format!("{generation}: {told} -> {}\n", nodes.join(", "))
}

#[test]
fn a_list_counts_whole_or_not_at_all_and_drains_outlast_older_lists() {
    use NodeState::*;
    let mut membership = Membership::default();
    let mut trace = String::new();
    trace += &offer(&mut membership, 1, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &offer(&mut membership, 3, vec![entry(1, Draining), entry(2, Ready), entry(3, Ready)]);
    trace += &offer(&mut membership, 2, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &offer(&mut membership, 3, vec![entry(1, Ready), entry(2, Ready)]);
    trace += &offer(&mut membership, 4, vec![entry(1, Ready), entry(4, Ready), entry(4, Ready)]);
    let mut twin = entry(5, Ready);
    twin.address = entry(1, Ready).address;
    trace += &offer(&mut membership, 4, vec![entry(1, Ready), twin]);
    trace += &offer(&mut membership, 4, vec![]);
    let mut restarted = entry(1, Ready);
    restarted.info.started = Some(Instant::from_ms(5.0));
    trace += &offer(&mut membership, 4, vec![restarted]);
    expect![[r#"
        1: taken: 2 new, 0 again, 0 drain, 0 gone -> n1 Ready, n2 Ready
        3: taken: 1 new, 0 again, 1 drain, 0 gone -> n1 Draining, n2 Ready, n3 Ready
        2: left out: generation 2 is older than 3, which is in force -> n1 Draining, n2 Ready, n3 Ready
        3: left out: generation 3 was told before with other entries -> n1 Draining, n2 Ready, n3 Ready
        4: left out: two nodes are named n4 -> n1 Draining, n2 Ready, n3 Ready
        4: left out: n1 and n5 have the same address, 127.0.0.1:9001 -> n1 Draining, n2 Ready, n3 Ready
        4: left out: the list names no node -> n1 Draining, n2 Ready, n3 Ready
        4: taken: 0 new, 1 again, 0 drain, 2 gone -> n1 Ready, n2 Gone, n3 Gone
    "#]]
    .assert_eq(&trace);
}
