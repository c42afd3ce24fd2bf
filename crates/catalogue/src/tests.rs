use super::*;

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn missing(most: usize) -> Missing {
    Missing::new(most, Span::from_secs(60.0))
}

#[test]
fn it_is_believed_of_one_title_until_its_node_starts_again_or_time_has_passed() {
    let mut m = missing(100);
    m.told(NodeId(1), TitleId(7), at(0.0));
    m.told(NodeId(1), TitleId(8), at(0.0));
    m.told(NodeId(2), TitleId(7), at(30.0));
    assert!(m.lacks(NodeId(1), TitleId(7), at(59.9)) && !m.lacks(NodeId(1), TitleId(7), at(60.0)));
    assert!(!m.lacks(NodeId(1), TitleId(9), at(1.0)) && !m.lacks(NodeId(3), TitleId(7), at(1.0)));
    // Told again it is believed anew; a session that plays there proves it wrong.
    m.told(NodeId(1), TitleId(7), at(50.0));
    assert!(m.lacks(NodeId(1), TitleId(7), at(100.0)));
    m.forget(NodeId(2), TitleId(7));
    assert!(!m.lacks(NodeId(2), TitleId(7), at(31.0)));
    m.started(NodeId(1));
    assert!(m.is_empty());
}

#[test]
fn the_table_is_bounded_and_agrees_with_a_plain_one() {
    for seed in 0..50 {
        let mut random = oorandom::Rand32::new(seed);
        let mut m = missing(16);
        let mut plain: Vec<(Instant, NodeId, TitleId)> = Vec::new();
        let mut now = 0.0;
        for _ in 0..400 {
            now += f64::from(random.rand_range(0..5));
            let (node, title) =
                (NodeId(random.rand_range(0..6).into()), TitleId(random.rand_range(0..6).into()));
            plain.retain(|(until, ..)| *until > at(now));
            m.tidy(at(now));
            match random.rand_range(0..8) {
                0 => {
                    m.started(node);
                    plain.retain(|(_, n, _)| *n != node);
                }
                1 => {
                    m.forget(node, title);
                    plain.retain(|(_, n, t)| (*n, *t) != (node, title));
                }
                _ => {
                    m.told(node, title, at(now));
                    plain.retain(|(_, n, t)| (*n, *t) != (node, title));
                    plain.sort();
                    let over = (plain.len() + 1).saturating_sub(16);
                    plain.drain(..over);
                    plain.push((at(now) + Span::from_secs(60.0), node, title));
                }
            }
            assert!(m.len() <= 16 && m.until.len() == m.order.len(), "seed {seed}");
            for n in 0..6 {
                for t in 0..6 {
                    let known =
                        plain.iter().any(|&(_, node, title)| (node, title) == (NodeId(n), TitleId(t)));
                    assert_eq!(m.lacks(NodeId(n), TitleId(t), at(now)), known, "seed {seed}");
                }
            }
        }
    }
}
