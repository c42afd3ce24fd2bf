//! Health reports merge to the same result in any order, with duplicates, and when forwarded by others; and a
//! single source has little influence.

use ashglade::time::{Instant, Span};
use ashglade_shared::health::HealthStore;
use ashglade_shared::{HealthReport, NodeHealth};
use proptest::prelude::*;

const REPORT_TTL_MS: f64 = 10_000.0;

fn store(director_index: usize) -> HealthStore {
    HealthStore::new(director_index, Span::from_ms(REPORT_TTL_MS), 0)
}

fn now() -> Instant {
    Instant::from_ms(1e9)
}

/// Returns a report whose health depends on its key, as there is only one report of each version. The ages of
/// its copies may differ.
fn report(source: u16, node: u64, version: u64, age_ms: u32) -> HealthReport {
    let health = [NodeHealth::Well, NodeHealth::Failing, NodeHealth::Silent]
        [(source as u64 + node + version) as usize % 3];
    HealthReport { source, node, version, health, setups: 2, age_ms }
}

fn reports() -> impl Strategy<Value = Vec<HealthReport>> {
    let report = (0u16..6, 0u64..4, 0u64..5, 0u32..40_000).prop_map(|(s, n, v, a)| report(s, n, v, a));
    proptest::collection::vec(report, 0..40)
}

fn merged(reports: impl IntoIterator<Item = HealthReport>) -> Vec<HealthReport> {
    let mut store = store(9);
    for report in reports {
        store.merge(&report, now());
    }
    store.reports(now()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn order_does_not_matter(reports in reports(), seed in any::<u64>()) {
        let mut other = reports.clone();
        let mut random = oorandom::Rand64::new(u128::from(seed));
        for i in (1..other.len()).rev() {
            other.swap(i, random.rand_range(0..i as u64 + 1) as usize);
        }
        prop_assert_eq!(merged(reports), merged(other));
    }

    #[test]
    fn duplication_does_not_matter(reports in reports()) {
        prop_assert_eq!(merged(reports.clone()), merged(reports.iter().chain(&reports).copied()));
    }

    #[test]
    fn forwarding_merged_reports_does_not_matter(a in reports(), b in reports(), c in reports()) {
        let left = merged(merged(a.iter().chain(&b).copied()).into_iter().chain(c.clone()));
        let right = merged(a.into_iter().chain(merged(b.into_iter().chain(c))));
        prop_assert_eq!(left, right);
    }
}

/// Zones of nine directors.
const ZONES: [u8; 9] = [0, 1, 2, 0, 1, 2, 0, 1, 2];

fn report_from(source: u16, node: u64, health: NodeHealth) -> HealthReport {
    HealthReport { source, node, version: 1, health, setups: 3, age_ms: 100 }
}

fn suspected_nodes(reports: &[HealthReport]) -> Vec<u64> {
    let mut store = store(0);
    for report in reports {
        store.merge(report, now());
    }
    store.suspected_nodes(&ZONES, now()).into_keys().collect()
}

#[test]
fn a_node_is_suspected_on_three_reports_from_the_own_zone_or_two_others() {
    use NodeHealth::{Failing, Silent, Well};
    assert_eq!(
        suspected_nodes(&[report_from(1, 7, Failing), report_from(2, 7, Silent)]),
        [0u64; 0],
        "two sources"
    );
    assert_eq!(
        suspected_nodes(&[
            report_from(1, 7, Failing),
            report_from(4, 7, Failing),
            report_from(7, 7, Failing)
        ]),
        [0u64; 0],
        "one zone"
    );
    assert_eq!(
        suspected_nodes(&[
            report_from(0, 7, Failing),
            report_from(3, 7, Failing),
            report_from(6, 7, Failing)
        ]),
        [7],
        "the own zone, with the own report"
    );
    let three = [report_from(1, 7, Failing), report_from(4, 7, Failing), report_from(2, 7, Failing)];
    assert_eq!(suspected_nodes(&three), [7]);
    let healthy = [report_from(3, 7, Well), report_from(5, 7, Well), report_from(6, 7, Well)];
    assert_eq!(suspected_nodes(&[three, healthy].concat()), [0u64; 0], "as many healthy reports");
    // A node that answers this director is not suspected, and expired reports don't count.
    assert_eq!(suspected_nodes(&[&three[..], &[report_from(0, 7, Well)]].concat()), [0u64; 0]);
    assert_eq!(
        suspected_nodes(&three.map(|report| HealthReport { age_ms: 3 * REPORT_TTL_MS as u32, ..report })),
        [0u64; 0]
    );
}

#[test]
fn a_director_with_a_broken_link_does_not_cause_suspicion() {
    // Director 1 reports all nodes, and two others report the same one: only two sources count.
    let isolated: Vec<HealthReport> = (0..20).map(|node| report_from(1, node, NodeHealth::Silent)).collect();
    assert_eq!(suspected_nodes(&isolated), [0u64; 0]);
    let with_two_others =
        [&isolated[..], &[report_from(2, 3, NodeHealth::Failing), report_from(4, 3, NodeHealth::Failing)]]
            .concat();
    assert_eq!(suspected_nodes(&with_two_others), [0u64; 0], "the report of a faulty source does not count");
    let with_three_others = [&with_two_others[..], &[report_from(3, 3, NodeHealth::Failing)]].concat();
    assert_eq!(suspected_nodes(&with_three_others), [3], "three other sources suffice");
}

#[test]
fn reports_expire_at_different_times_at_different_directors() {
    let mut expiries = Vec::new();
    for director_index in 0..9 {
        let mut store = store(director_index);
        for source in (0..9).filter(|&s| usize::from(s) != director_index) {
            store.merge(&report_from(source, 7, NodeHealth::Failing), now());
        }
        let expiry = (0..300)
            .find(|&k| store.suspected_nodes(&ZONES, now() + Span::from_ms(f64::from(k) * 100.0)).is_empty());
        expiries.push(expiry.expect("reports expire"));
    }
    expiries.sort_unstable();
    assert!(expiries[0] >= 99 && expiries[8] <= 200, "{expiries:?}");
    assert!(expiries[8] - expiries[0] > 30, "{expiries:?}");
}

#[test]
fn own_setups_are_reported_at_a_limited_rate() {
    let mut store = store(2);
    let at = |ms: f64| now() + Span::from_ms(ms);
    let mut outcome = |node, health, ms| {
        store
            .record_outcome(node, health, at(ms))
            .map(|report| (report.version, report.health, report.setups))
    };
    assert_eq!(outcome(5, NodeHealth::Well, 0.0), None, "health is not reported unasked");
    assert_eq!(outcome(5, NodeHealth::Failing, 10.0), Some((1, NodeHealth::Failing, 1)));
    assert_eq!(outcome(5, NodeHealth::Silent, 20.0), None, "reported recently");
    assert_eq!(outcome(5, NodeHealth::Silent, 3000.0), Some((2, NodeHealth::Silent, 3)));
    assert_eq!(
        outcome(5, NodeHealth::Well, 3100.0),
        Some((3, NodeHealth::Well, 1)),
        "contradicts the last report"
    );
    assert_eq!(outcome(5, NodeHealth::Well, 3200.0), None);
}
