//! Rows of nodes and what they keep.

use super::*;
use crate::ids::{Cell, Model};
use crate::interface::Headend;

fn plant() -> Plant {
    Plant::of(&Headend {
        seed: 1,
        zone: Zone(0),
        me: 0,
        directors: 1,
        groups: Vec::new(),
        ladder: vec![(100.0, 1.0)],
        places: vec![20.0],
        cells: 3,
        racks: 1,
        link_unit: 1.0,
        uplink: 0.0,
        join: 1.0,
        worst_group: 0.0,
        guard: 0.0,
        notice: Span::ZERO,
        gauges: Vec::new(),
        probe_only: false,
        may_probe: false,
        probe_price: 0.0,
        may_cancel: false,
        retry_after: None,
        setups_per_session: 1,
        ration: None,
        cold_from: 0.5,
        warm_after: Span::from_secs(10.0),
        fall_multiple: 2.0,
        fall_span: Span::from_secs(2.0),
        ask_list_within: None,
    })
}

/// Nodes replaced all day by new ones: rows stay as many as are there at once and one that a session speaks of,
/// and a new node has nothing of the one whose row it got.
#[test]
fn rows_of_nodes_that_are_gone_are_used_again() {
    let (plant, mut fleet) = (plant(), Fleet::default());
    let place = Place { zone: Zone(0), model: Model(0), cell: Cell(0), weight: 1.0, started: None };
    let mut shown = String::new();
    for n in 0..1000u64 {
        fleet.enter(Node(n), place, &plant, |i| i == 2);
        let i = fleet.index[&Node(n)];
        assert_eq!((fleet.good[i], fleet.failed[i]), (0.0, None));
        (fleet.good[i], fleet.failed[i]) = (7.0, Some(Instant::from_ms(1.0)));
        if let Some(old) = n.checked_sub(3) {
            let row = fleet.index[&Node(old)];
            (fleet.ready[row], fleet.gone[row]) = (false, true);
        }
        if n < 8 || n == 999 {
            shown += &format!("{n} in row {i}, {} rows, {} names\n", fleet.node.len(), fleet.index.len());
        }
    }
    expect_test::expect![[r#"
        0 in row 0, 1 rows, 1 names
        1 in row 1, 2 rows, 2 names
        2 in row 2, 3 rows, 3 names
        3 in row 3, 4 rows, 4 names
        4 in row 0, 4 rows, 4 names
        5 in row 1, 4 rows, 4 names
        6 in row 4, 5 rows, 5 names
        7 in row 3, 5 rows, 5 names
        999 in row 3, 5 rows, 5 names
    "#]]
    .assert_eq(&shown);
}
