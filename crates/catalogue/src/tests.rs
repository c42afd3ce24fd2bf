use super::*;

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn missing_titles(capacity: usize) -> MissingTitles {
    MissingTitles::new(capacity, Span::from_secs(60.0))
}

#[test]
fn an_entry_covers_one_title_until_it_expires_or_its_node_restarts() {
    let mut missing = missing_titles(100);
    missing.record(NodeId(1), TitleId(7), at(0.0));
    missing.record(NodeId(1), TitleId(8), at(0.0));
    missing.record(NodeId(2), TitleId(7), at(30.0));
    assert!(
        missing.is_missing(NodeId(1), TitleId(7), at(59.9))
            && !missing.is_missing(NodeId(1), TitleId(7), at(60.0))
    );
    assert!(
        !missing.is_missing(NodeId(1), TitleId(9), at(1.0))
            && !missing.is_missing(NodeId(3), TitleId(7), at(1.0))
    );
    // Recording an entry again restarts its time to live; a session that plays there removes it.
    missing.record(NodeId(1), TitleId(7), at(50.0));
    assert!(missing.is_missing(NodeId(1), TitleId(7), at(100.0)));
    missing.forget(NodeId(2), TitleId(7));
    assert!(!missing.is_missing(NodeId(2), TitleId(7), at(31.0)));
    missing.node_started(NodeId(1));
    assert!(missing.is_empty());
}

/// Compares the table with a plain list under random operations.
#[test]
fn the_table_is_bounded_and_agrees_with_a_simple_model() {
    for seed in 0..50 {
        let mut random = oorandom::Rand32::new(seed);
        let mut missing = missing_titles(16);
        let mut model: Vec<(Instant, NodeId, TitleId)> = Vec::new();
        let mut now = 0.0;
        for _ in 0..400 {
            now += f64::from(random.rand_range(0..5));
            let (node, title) =
                (NodeId(random.rand_range(0..6).into()), TitleId(random.rand_range(0..6).into()));
            model.retain(|(expiry, ..)| *expiry > at(now));
            missing.remove_expired(at(now));
            match random.rand_range(0..8) {
                0 => {
                    missing.node_started(node);
                    model.retain(|(_, n, _)| *n != node);
                }
                1 => {
                    missing.forget(node, title);
                    model.retain(|(_, n, t)| (*n, *t) != (node, title));
                }
                _ => {
                    missing.record(node, title, at(now));
                    model.retain(|(_, n, t)| (*n, *t) != (node, title));
                    model.sort();
                    let excess = (model.len() + 1).saturating_sub(16);
                    model.drain(..excess);
                    model.push((at(now) + Span::from_secs(60.0), node, title));
                }
            }
            assert!(missing.len() <= 16 && missing.expiries.len() == missing.by_expiry.len(), "seed {seed}");
            for n in 0..6 {
                for t in 0..6 {
                    let known =
                        model.iter().any(|&(_, node, title)| (node, title) == (NodeId(n), TitleId(t)));
                    assert_eq!(missing.is_missing(NodeId(n), TitleId(t), at(now)), known, "seed {seed}");
                }
            }
        }
    }
}
