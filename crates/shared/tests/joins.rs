//! Health reports merge to the same result in any order, with duplicates, and when forwarded by others; and a
//! single source has little influence.

use ashglade::time::{Instant, Span};
use ashglade_shared::judgements::Judgements;
use ashglade_shared::{Judgement, Verdict};
use proptest::prelude::*;

const FADE: f64 = 10_000.0;

fn store(me: usize) -> Judgements {
    Judgements::new(me, Span::from_ms(FADE), 0)
}

fn now() -> Instant {
    Instant::from_ms(1e9)
}

/// Returns a report whose health depends on its key, as there is only one report of each version. The ages of
/// its copies may differ.
fn word(source: u16, node: u64, version: u64, age_ms: u32) -> Judgement {
    let verdict =
        [Verdict::Well, Verdict::Failing, Verdict::Silent][(source as u64 + node + version) as usize % 3];
    Judgement { source, node, version, verdict, setups: 2, age_ms }
}

fn words() -> impl Strategy<Value = Vec<Judgement>> {
    let one = (0u16..6, 0u64..4, 0u64..5, 0u32..40_000).prop_map(|(s, n, v, a)| word(s, n, v, a));
    proptest::collection::vec(one, 0..40)
}

fn merged(words: impl IntoIterator<Item = Judgement>) -> Vec<Judgement> {
    let mut store = store(9);
    for word in words {
        store.merge(&word, now());
    }
    store.words(now()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn order_does_not_matter(words in words(), by in any::<u64>()) {
        let mut other = words.clone();
        let mut random = oorandom::Rand64::new(u128::from(by));
        for i in (1..other.len()).rev() {
            other.swap(i, random.rand_range(0..i as u64 + 1) as usize);
        }
        prop_assert_eq!(merged(words), merged(other));
    }

    #[test]
    fn doubling_does_not_matter(words in words()) {
        prop_assert_eq!(merged(words.clone()), merged(words.iter().chain(&words).copied()));
    }

    #[test]
    fn told_on_by_one_that_merged_before_is_the_same(a in words(), b in words(), c in words()) {
        let left = merged(merged(a.iter().chain(&b).copied()).into_iter().chain(c.clone()));
        let right = merged(a.into_iter().chain(merged(b.into_iter().chain(c))));
        prop_assert_eq!(left, right);
    }
}

/// Zones of nine directors.
const ZONES: [u8; 9] = [0, 1, 2, 0, 1, 2, 0, 1, 2];

fn says(source: u16, node: u64, verdict: Verdict) -> Judgement {
    Judgement { source, node, version: 1, verdict, setups: 3, age_ms: 100 }
}

fn left(words: &[Judgement]) -> Vec<u64> {
    let mut store = store(0);
    for word in words {
        store.merge(word, now());
    }
    store.left(&ZONES, now()).into_keys().collect()
}

#[test]
fn a_node_is_left_on_the_word_of_three_from_our_zone_or_two_others() {
    use Verdict::{Failing, Silent, Well};
    assert_eq!(left(&[says(1, 7, Failing), says(2, 7, Silent)]), [0u64; 0], "two");
    assert_eq!(left(&[says(1, 7, Failing), says(4, 7, Failing), says(7, 7, Failing)]), [0u64; 0], "one zone");
    assert_eq!(
        left(&[says(0, 7, Failing), says(3, 7, Failing), says(6, 7, Failing)]),
        [7],
        "our zone, us among them"
    );
    let three = [says(1, 7, Failing), says(4, 7, Failing), says(2, 7, Failing)];
    assert_eq!(left(&three), [7]);
    let as_many = [says(3, 7, Well), says(5, 7, Well), says(6, 7, Well)];
    assert_eq!(left(&[three, as_many].concat()), [0u64; 0], "as many do well there");
    // A node that answers this director is not suspected, and expired reports don't count.
    assert_eq!(left(&[&three[..], &[says(0, 7, Well)]].concat()), [0u64; 0]);
    assert_eq!(left(&three.map(|word| Judgement { age_ms: 3 * FADE as u32, ..word })), [0u64; 0]);
}

#[test]
fn one_whose_own_link_is_cut_takes_no_node_from_the_others() {
    // Director 1 reports all nodes, and two others report the same one: only two sources count.
    let cut: Vec<Judgement> = (0..20).map(|node| says(1, node, Verdict::Silent)).collect();
    assert_eq!(left(&cut), [0u64; 0]);
    let with_others = [&cut[..], &[says(2, 3, Verdict::Failing), says(4, 3, Verdict::Failing)]].concat();
    assert_eq!(left(&with_others), [0u64; 0], "a sick one is no witness");
    let with_more = [&with_others[..], &[says(3, 3, Verdict::Failing)]].concat();
    assert_eq!(left(&with_more), [3], "three others are");
}

#[test]
fn words_fade_at_readers_at_times_of_their_own() {
    let mut readers = Vec::new();
    for me in 0..9 {
        let mut store = store(me);
        for source in (0..9).filter(|&s| usize::from(s) != me) {
            store.merge(&says(source, 7, Verdict::Failing), now());
        }
        let until =
            (0..300).find(|&k| store.left(&ZONES, now() + Span::from_ms(f64::from(k) * 100.0)).is_empty());
        readers.push(until.expect("words fade"));
    }
    readers.sort_unstable();
    assert!(readers[0] >= 99 && readers[8] <= 200, "{readers:?}");
    assert!(readers[8] - readers[0] > 30, "{readers:?}");
}

#[test]
fn what_is_said_of_own_setups() {
    let mut store = store(2);
    let at = |ms: f64| now() + Span::from_ms(ms);
    let mut said =
        |node, verdict, ms| store.saw(node, verdict, at(ms)).map(|w| (w.version, w.verdict, w.setups));
    assert_eq!(said(5, Verdict::Well, 0.0), None, "well is the usual");
    assert_eq!(said(5, Verdict::Failing, 10.0), Some((1, Verdict::Failing, 1)));
    assert_eq!(said(5, Verdict::Silent, 20.0), None, "said just now");
    assert_eq!(said(5, Verdict::Silent, 3000.0), Some((2, Verdict::Silent, 3)));
    assert_eq!(said(5, Verdict::Well, 3100.0), Some((3, Verdict::Well, 1)), "against what was said");
    assert_eq!(said(5, Verdict::Well, 3200.0), None);
}
