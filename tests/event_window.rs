//! The sliding windows in which the policy counts events.

use ashglade::state::EventWindow;
use ashglade::time::{Instant, Span};

/// Guards against memory and time that grow with the rate at which requests arrive: each request was an entry of
/// its own for as long as the retry budget's window.
#[test]
fn a_window_stays_small_at_any_rate_and_never_counts_an_event_for_too_long() {
    let window = Span::from_secs(5.0);
    let mut events = EventWindow::default();
    let event_count = 500_000;
    let at = |index: usize| Instant::from_ms(1000.0 + index as f64 * 0.02);
    for index in 0..event_count {
        events.record(at(index), window);
        assert!(events.entry_count() <= 8193, "{} entries", events.entry_count());
    }
    // 250,000 events lie in the window; each may be forgotten too early by one part in 4,096 of it.
    let counted = events.count(at(event_count - 1), window);
    assert!((249_900.0..=250_001.0).contains(&counted), "{counted} events");
}

#[test]
fn a_window_with_few_events_is_exact() {
    let window = Span::from_secs(1.0);
    let mut events = EventWindow::default();
    (0..4000).for_each(|ms| events.record(Instant::from_ms(f64::from(ms)), window));
    assert_eq!(events.count(Instant::from_ms(3999.0), window), 1001.0);
}
