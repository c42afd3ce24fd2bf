//! Invariants of the admission controller under random input: no request waits beyond its bound, each request
//! gets exactly one decision, memory is bounded, and no capacity stays unused while requests wait. A second
//! test simulates several independent controllers in front of the same nodes.

use std::collections::{BTreeMap, VecDeque};

use ashglade::ids::{GroupId, SessionId};
use ashglade::time::{Instant, Span};
use ashglade_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
};
use expect_test::expect;

fn config(groups: usize, seed: u64) -> AdmissionConfig {
    AdmissionConfig {
        seed,
        groups: (0..groups).map(|g| (1.0 + g as f64, 1.0)).collect(),
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(1.0),
        max_retry_after: Some(Span::from_secs(6.0)),
        max_waiting: 50,
        concurrency_limits: (4.0, 1.0, 64.0),
    }
}

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

fn request(n: u64, group: usize, client: u64) -> AdmissionRequest {
    let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
    AdmissionRequest {
        session: SessionId(n),
        group: GroupId(group),
        tenant: 0,
        client,
        start_target,
        setup_timeout,
    }
}

#[test]
fn random_input_keeps_the_invariants() {
    for seed in 0..150 {
        let mut random = oorandom::Rand64::new(seed);
        let mut controller = AdmissionController::new(config(3, seed as u64), at(0.0));
        // By session: time of the request, number of decisions, and whether it was cancelled.
        let mut requests: BTreeMap<SessionId, (f64, usize, bool)> = BTreeMap::new();
        let mut in_flight: Vec<SessionId> = Vec::new();
        let (mut t, mut n) = (0.0, 0);
        for _ in 0..600 {
            // Mostly small steps; sometimes the clock does not advance, or jumps by two seconds.
            t += match random.rand_range(0..100) {
                0 => 2.0,
                1..=19 => 0.0,
                20..=49 => 0.001,
                50..=79 => 0.01,
                _ => 0.05,
            };
            for _ in 0..random.rand_range(0..12) {
                n += 1;
                // Group 3 does not exist: its requests are rejected, not lost.
                let group = random.rand_range(0..4) as usize;
                controller.offer(request(n, group, random.rand_range(0..30)), at(t));
                requests.insert(SessionId(n), (t, 0, false));
            }
            if random.rand_float() < 0.2 && n > 0 {
                let session = SessionId(random.rand_range(1..n + 1));
                if controller.cancel(session) {
                    requests.get_mut(&session).expect("a request").2 = true;
                }
            }
            let completed = random.rand_range(0..6) as usize;
            for session in in_flight.drain(..completed.min(in_flight.len())) {
                let outcome =
                    [SetupOutcome::Started, SetupOutcome::Started, SetupOutcome::Busy, SetupOutcome::Other]
                        [random.rand_range(0..4) as usize];
                controller.complete(session, outcome, at(t));
            }
            let polled_at = t;
            for decision in controller.poll(at(t)) {
                let (session, admitted) = match decision {
                    AdmissionDecision::Admit { session, waited } => {
                        in_flight.push(session);
                        // Half a second, and the two seconds by which the clock may jump while the request
                        // waits.
                        assert!(waited.as_ms() <= 2500.0, "seed {seed}: {session:?} waited {waited:?}");
                        (session, true)
                    }
                    AdmissionDecision::Reject { session, retry_after, .. } => {
                        assert!(
                            retry_after
                                .is_some_and(|after| after <= Span::from_secs(6.0) && after > Span::ZERO)
                        );
                        (session, false)
                    }
                };
                let entry = requests.get_mut(&session).expect("a decision on a request");
                entry.1 += 1;
                assert!(entry.1 == 1 && !entry.2, "seed {seed}: {session:?} admitted: {admitted}, {entry:?}");
            }
            let (waiting, started) = controller.waiting_and_in_flight();
            assert!(waiting <= 50 && started == in_flight.len(), "seed {seed}");
            // Work conserving: no request waits below the limit, unless the set-ups in flight take too long.
            assert!(
                waiting == 0
                    || started as f64 >= controller.limit()
                    || (controller.is_paused() && started > 1),
                "seed {seed}: {waiting} wait, {started} in flight"
            );
            // After a poll, no request is left whose wait has expired.
            let overdue = requests.values().filter(|(requested_at, decisions, cancelled)| {
                *decisions == 0 && !cancelled && polled_at - requested_at > 0.5
            });
            assert_eq!(overdue.count(), 0, "seed {seed}");
        }
    }
}

/// Simulates directors in front of nodes that handle `parallel` set-ups at a time, in a tenth of a second
/// each, with the given requests per second at each director. Over the last two thirds of the run, returns
/// the sessions per second that each director set up in time, and the lowest and highest sum of the limits.
fn simulate_fleet(rates: &[f64], parallel: usize, secs: f64) -> (Vec<f64>, (f64, f64)) {
    let mut random = oorandom::Rand64::new(11);
    let mut controllers: Vec<AdmissionController> = (0..rates.len())
        .map(|d| {
            AdmissionController::new(AdmissionConfig { max_waiting: 400, ..config(1, d as u64) }, at(0.0))
        })
        .collect();
    let mut requests: BTreeMap<SessionId, (f64, usize)> = BTreeMap::new();
    let mut queue: VecDeque<SessionId> = VecDeque::new();
    let mut serving: Vec<(f64, SessionId)> = Vec::new();
    let mut served = vec![0; rates.len()];
    let mut next: Vec<f64> = vec![0.0; rates.len()];
    let (mut t, mut n, mut limits) = (0.0, 0, (f64::INFINITY, 0.0f64));
    while t < secs {
        t += 0.005;
        for (d, controller) in controllers.iter_mut().enumerate() {
            while next[d] <= t {
                next[d] += -(1.0 - random.rand_float()).ln() / rates[d];
                n += 1;
                requests.insert(SessionId(n), (t, d));
                controller.offer(request(n, 0, n), at(t));
            }
        }
        serving.retain(|&(until, session)| {
            if until <= t {
                let (requested_at, d) = requests[&session];
                controllers[d].complete(session, SetupOutcome::Started, at(t));
                served[d] += usize::from(t > secs / 3.0 && t - requested_at <= 1.0);
            }
            until > t
        });
        for controller in &mut controllers {
            for decision in controller.poll(at(t)) {
                if let AdmissionDecision::Admit { session, .. } = decision {
                    queue.push_back(session);
                }
            }
        }
        while serving.len() < parallel
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + 0.1, session));
        }
        if t > secs / 3.0 {
            let sum = controllers.iter().map(AdmissionController::limit).sum();
            limits = (limits.0.min(sum), limits.1.max(sum));
        }
    }
    (served.iter().map(|&n| f64::from(n as u32) / (secs * 2.0 / 3.0)).collect(), limits)
}

/// Jain's fairness index: 1 if all shares are equal, 1 / n if one director gets everything.
fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    sum * sum / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>())
}

/// Directors that do not coordinate their limits must neither starve one of them nor leave the nodes idle.
#[test]
fn independent_directors_share_the_nodes_and_use_their_capacity() {
    let mut trace = String::new();
    for (name, rates, parallel) in [
        ("ten directors, all flooded", vec![40.0; 10], 20),
        ("two, one gets all the flood", vec![5.0, 200.0], 4),
        ("forty, all flooded", vec![20.0; 40], 40),
    ] {
        let (served, (low, high)) = simulate_fleet(&rates, parallel, 60.0);
        let all: f64 = served.iter().sum();
        let least = served.iter().copied().fold(f64::INFINITY, f64::min);
        trace += &format!(
            "{name}: {all:.0} a second of {}, least {least:.1}, Jain {:.2}, limits {low:.0} to {high:.0} in all\n",
            parallel * 10,
            jain_index(&served)
        );
    }
    expect![[r#"
        ten directors, all flooded: 197 a second of 200, least 12.1, Jain 0.95, limits 32 to 104 in all
        two, one gets all the flood: 39 a second of 40, least 5.4, Jain 0.65, limits 6 to 11 in all
        forty, all flooded: 395 a second of 400, least 4.3, Jain 0.93, limits 71 to 186 in all
    "#]]
    .assert_eq(&trace);
}
