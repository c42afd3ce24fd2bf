//! Gossip in a simulated fleet: rounds and bytes until all directors know a report, a director that restarts,
//! and a network partition and its end.

use std::collections::VecDeque;

use ashglade::time::{Instant, Span};
use ashglade_shared::{FleetConfig, NodeHealth, PeerMessage, PermitPool, SharedState};

const ROUND_MS: f64 = 200.0;

fn config(director_index: usize, director_count: usize) -> FleetConfig {
    FleetConfig {
        director_index,
        zones: (0..director_count).map(|director| (director % 3) as u8).collect(),
        max_voters: 9,
        lease: Span::from_ms(3000.0),
        max_clock_drift: 0.01,
        guard_interval: Span::from_ms(1000.0),
        permit_pools: vec![PermitPool { reserved: 1, leasable: director_count, request_all: true }],
        report_ttl: Span::from_ms(600_000.0),
        gossip_interval: Span::from_ms(ROUND_MS),
        seed: 5 + director_index as u64,
        injected_fault: None,
    }
}

struct Fleet {
    directors: Vec<SharedState>,
    now_ms: f64,
    /// Directors that neither send nor receive anything.
    isolated: Vec<bool>,
    bytes: usize,
    largest: usize,
}

impl Fleet {
    fn new(director_count: usize) -> Fleet {
        let start =
            |director| SharedState::new(config(director, director_count), 1000, Instant::from_ms(0.0));
        let directors = (0..director_count).map(start).collect();
        Fleet { directors, now_ms: 0.0, isolated: vec![false; director_count], bytes: 0, largest: 0 }
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    fn round(&mut self) {
        self.now_ms += ROUND_MS;
        let now = self.now();
        let mut messages: VecDeque<PeerMessage> =
            self.directors.iter_mut().flat_map(|director| director.tick(now)).collect();
        while let Some(message) = messages.pop_front() {
            let size = postcard::to_allocvec(&message).unwrap().len();
            (self.bytes, self.largest) = (self.bytes + size, self.largest.max(size));
            let (from, to) = (usize::from(message.from), usize::from(message.to));
            if !self.isolated[from] && !self.isolated[to] {
                messages.extend(self.directors[to].receive(&message, now));
            }
        }
    }

    fn informed_count(&self) -> usize {
        self.directors.iter().filter(|director| director.health_reports(self.now()).count() > 0).count()
    }

    /// Runs rounds until `count` directors have a report, and returns their number.
    fn rounds_until_informed(&mut self, count: usize) -> usize {
        let mut rounds = 0;
        while self.informed_count() < count {
            self.round();
            rounds += 1;
            assert!(rounds < 1000, "{} of {count} directors have a report", self.informed_count());
        }
        rounds
    }
}

#[test]
fn a_report_reaches_all_in_rounds_logarithmic_in_the_fleet_size() {
    let rounds = [9, 30, 100, 300].map(|directors| {
        let mut fleet = Fleet::new(directors);
        (0..20).for_each(|_| fleet.round());
        let now = fleet.now();
        fleet.directors[4].record_outcome(7, NodeHealth::Silent, now);
        fleet.rounds_until_informed(directors)
    });
    expect_test::expect![[r#"
        rounds: [4, 5, 8, 9]
    "#]]
    .assert_eq(&format!("rounds: {rounds:?}\n"));
}

#[test]
fn a_restarted_director_catches_up_in_a_few_rounds() {
    let mut fleet = Fleet::new(100);
    fleet.isolated[9] = true;
    for node in 0..40 {
        let now = fleet.now();
        fleet.directors[(node * 7) as usize % 9].record_outcome(node, NodeHealth::Failing, now);
        fleet.round();
    }
    (0..100).for_each(|_| fleet.round());
    let known = fleet.directors[0].health_reports(fleet.now()).count();
    // It restarts long after the others stopped pushing the reports.
    let now = fleet.now();
    fleet.directors[9] = SharedState::new(config(9, 100), 2000, now);
    fleet.isolated[9] = false;
    let mut rounds = 0;
    while fleet.directors[9].health_reports(fleet.now()).count() < known {
        fleet.round();
        rounds += 1;
        assert!(rounds < 100);
    }
    expect_test::expect![[r#"
        40 reports in 15 rounds
    "#]]
    .assert_eq(&format!("{known} reports in {rounds} rounds\n"));
}

#[test]
fn message_size_and_rate_are_bounded() {
    let mut fleet = Fleet::new(30);
    for node in 0..3000 {
        let now = fleet.now();
        fleet.directors[node as usize % 30].record_outcome(node, NodeHealth::Failing, now);
    }
    (0..50).for_each(|_| fleet.round());
    assert!(fleet.largest < 4096, "{} bytes", fleet.largest);
    let bytes_per_second = fleet.bytes as f64 / 30.0 / (fleet.now_ms / 1e3);
    assert!(bytes_per_second < 65_536.0, "{bytes_per_second:.0} bytes per second from each");
}

#[test]
fn an_isolated_director_keeps_its_reserved_permits_and_recovers() {
    let mut fleet = Fleet::new(9);
    (0..40).for_each(|_| fleet.round());
    let held = |fleet: &Fleet| fleet.directors[3].snapshot(fleet.now(), Span::ZERO).held[0].numbers.clone();
    let before = held(&fleet);
    fleet.isolated[3] = true;
    let now = fleet.now();
    [1, 2, 4, 5]
        .iter()
        .for_each(|&director| fleet.directors[director].record_outcome(7, NodeHealth::Failing, now));
    (0..20).for_each(|_| fleet.round());
    let (isolated, suspected) =
        (held(&fleet), fleet.directors[3].snapshot(fleet.now(), Span::ZERO).suspected_nodes.len());
    let suspected_by_others = fleet.directors[0].snapshot(fleet.now(), Span::ZERO).suspected_nodes.len();
    fleet.isolated[3] = false;
    (0..40).for_each(|_| fleet.round());
    let healed = (held(&fleet), fleet.directors[3].snapshot(fleet.now(), Span::ZERO).suspected_nodes.len());
    expect_test::expect![[r#"
        held [3, 12], isolated [3] and suspects 0 where others suspect 1; healed ([3, 12], 1)
    "#]]
    .assert_eq(&format!(
        "held {before:?}, isolated {isolated:?} and suspects {suspected} where others suspect {suspected_by_others}; healed {healed:?}\n"
    ));
}
