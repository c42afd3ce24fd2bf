//! Reuse of rows in the node table.

use super::*;
use crate::ids::{CellId, ModelId};
use crate::interface::DirectorConfig;

fn params() -> PolicyParams {
    PolicyParams::new(&DirectorConfig {
        seed: 1,
        zone: ZoneId(0),
        director_index: 0,
        director_count: 1,
        groups: Vec::new(),
        ladder: vec![(100.0, 1.0)],
        max_streams: vec![20.0],
        cell_count: 3,
        rack_count: 1,
        link_kb_per_s_per_weight: 1.0,
        uplink_kb_per_s: 0.0,
        live_join_fraction: 1.0,
        worst_group_weight: 0.0,
        full_link_demand: 0.0,
        report_delay: Span::ZERO,
        load_metrics: Vec::new(),
        probe_only: false,
        may_probe: false,
        probe_cost: 0.0,
        may_cancel: false,
        max_retry_after: None,
        max_setups_per_session: 1,
        retry_budget: None,
        slow_start_initial_fraction: 0.5,
        slow_start_duration: Span::from_secs(10.0),
        overload_multiple: 2.0,
        overload_window: Span::from_secs(2.0),
        node_list_max_age: None,
    })
}

/// Guards against a node table that grows without bound as nodes are replaced, and against a new node that
/// inherits the state of the one whose row it takes over. The table keeps as many rows as there are nodes at
/// once, and one that a session references.
#[test]
fn rows_of_removed_nodes_are_reused() {
    let (params, mut nodes) = (params(), NodeTable::default());
    let info = NodeInfo { zone: ZoneId(0), model: ModelId(0), cell: CellId(0), weight: 1.0, started: None };
    let mut trace = String::new();
    for n in 0..1000u64 {
        nodes.update(NodeId(n), info, &params, |i| i == 2);
        let i = nodes.rows[&NodeId(n)];
        assert_eq!((nodes.successes[i], nodes.unanswered_at[i]), (0.0, None));
        (nodes.successes[i], nodes.unanswered_at[i]) = (7.0, Some(Instant::from_ms(1.0)));
        if let Some(old) = n.checked_sub(3) {
            let row = nodes.rows[&NodeId(old)];
            (nodes.ready[row], nodes.removed[row]) = (false, true);
        }
        if n < 8 || n == 999 {
            trace += &format!("{n} in row {i}, {} rows, {} names\n", nodes.id.len(), nodes.rows.len());
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
    .assert_eq(&trace);
}
