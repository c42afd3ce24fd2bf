//! Promises that hold in any world: nobody waits beyond its bound, each request has one verdict, memory is bounded, no
//! room stays empty while somebody waits. And a fleet of doors before the same nodes, none of which knows the others.

use std::collections::{BTreeMap, VecDeque};

use ashglade::ids::{GroupId, SessionId};
use ashglade::time::{Instant, Span};
use ashglade_admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
};
use expect_test::expect;

fn terms(groups: usize, seed: u64) -> AdmissionConfig {
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
fn any_world_keeps_the_bounds() {
    for seed in 0..150 {
        let mut random = oorandom::Rand64::new(seed);
        let mut door = AdmissionController::new(terms(3, seed as u64), at(0.0));
        // By session: when it came, and its verdicts.
        let mut known: BTreeMap<SessionId, (f64, usize, bool)> = BTreeMap::new();
        let mut inside: Vec<SessionId> = Vec::new();
        let (mut t, mut n) = (0.0, 0);
        for _ in 0..600 {
            // Mostly small steps; sometimes the clock stands still, or two seconds are lost at once.
            t += match random.rand_range(0..100) {
                0 => 2.0,
                1..=19 => 0.0,
                20..=49 => 0.001,
                50..=79 => 0.01,
                _ => 0.05,
            };
            for _ in 0..random.rand_range(0..12) {
                n += 1;
                // A group that there is none of is sent away, not lost.
                let group = random.rand_range(0..4) as usize;
                door.offer(request(n, group, random.rand_range(0..30)), at(t));
                known.insert(SessionId(n), (t, 0, false));
            }
            if random.rand_float() < 0.2 && n > 0 {
                let session = SessionId(random.rand_range(1..n + 1));
                if door.cancel(session) {
                    known.get_mut(&session).expect("a request").2 = true;
                }
            }
            let ended = random.rand_range(0..6) as usize;
            for session in inside.drain(..ended.min(inside.len())) {
                let how =
                    [SetupOutcome::Started, SetupOutcome::Started, SetupOutcome::Busy, SetupOutcome::Other]
                        [random.rand_range(0..4) as usize];
                door.complete(session, how, at(t));
            }
            let before = t;
            for verdict in door.poll(at(t)) {
                let (session, came_in) = match verdict {
                    AdmissionDecision::Admit { session, waited } => {
                        inside.push(session);
                        // Two seconds may be lost while it waits; nothing is held on purpose.
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
                let entry = known.get_mut(&session).expect("a verdict on a request");
                entry.1 += 1;
                assert!(entry.1 == 1 && !entry.2, "seed {seed}: {session:?} in: {came_in}, {entry:?}");
            }
            let (waiting, held) = door.waiting_and_in_flight();
            assert!(waiting <= 50 && held == inside.len(), "seed {seed}");
            // Work conserving: nobody waits while there is room, but where what is in hand takes too long.
            assert!(
                waiting == 0 || held as f64 >= door.limit() || (door.is_paused() && held > 1),
                "seed {seed}: {waiting} wait, {held} inside"
            );
            // After a round nobody is left that has waited its time.
            let overdue = known
                .values()
                .filter(|(came, verdicts, left)| *verdicts == 0 && !left && before - came > 0.5);
            assert_eq!(overdue.count(), 0, "seed {seed}");
        }
    }
}

/// Directors before nodes that handle `at_once` set-ups in a tenth of a second each; requests a second at each
/// director. What each served a second in time over the last two thirds, and the sum of limits at its least and most.
fn fleet(rates: &[f64], at_once: usize, secs: f64) -> (Vec<f64>, (f64, f64)) {
    let mut random = oorandom::Rand64::new(11);
    let mut doors: Vec<AdmissionController> = (0..rates.len())
        .map(|d| {
            AdmissionController::new(AdmissionConfig { max_waiting: 400, ..terms(1, d as u64) }, at(0.0))
        })
        .collect();
    let mut came: BTreeMap<SessionId, (f64, usize)> = BTreeMap::new();
    let mut queue: VecDeque<SessionId> = VecDeque::new();
    let mut serving: Vec<(f64, SessionId)> = Vec::new();
    let mut served = vec![0; rates.len()];
    let mut next: Vec<f64> = vec![0.0; rates.len()];
    let (mut t, mut n, mut limits) = (0.0, 0, (f64::INFINITY, 0.0f64));
    while t < secs {
        t += 0.005;
        for (d, door) in doors.iter_mut().enumerate() {
            while next[d] <= t {
                next[d] += -(1.0 - random.rand_float()).ln() / rates[d];
                n += 1;
                came.insert(SessionId(n), (t, d));
                door.offer(request(n, 0, n), at(t));
            }
        }
        serving.retain(|&(until, session)| {
            if until <= t {
                let (since, d) = came[&session];
                doors[d].complete(session, SetupOutcome::Started, at(t));
                served[d] += usize::from(t > secs / 3.0 && t - since <= 1.0);
            }
            until > t
        });
        for door in &mut doors {
            for verdict in door.poll(at(t)) {
                if let AdmissionDecision::Admit { session, .. } = verdict {
                    queue.push_back(session);
                }
            }
        }
        while serving.len() < at_once
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + 0.1, session));
        }
        if t > secs / 3.0 {
            let sum = doors.iter().map(AdmissionController::limit).sum();
            limits = (limits.0.min(sum), limits.1.max(sum));
        }
    }
    (served.iter().map(|&n| f64::from(n as u32) / (secs * 2.0 / 3.0)).collect(), limits)
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    sum * sum / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>())
}

#[test]
fn a_fleet_that_knows_nothing_of_each_other_neither_starves_one_nor_wastes_the_nodes() {
    let mut told = String::new();
    for (name, rates, at_once) in [
        ("ten directors, all flooded", vec![40.0; 10], 20),
        ("two, one gets all the flood", vec![5.0, 200.0], 4),
        ("forty, all flooded", vec![20.0; 40], 40),
    ] {
        let (served, (low, high)) = fleet(&rates, at_once, 60.0);
        let all: f64 = served.iter().sum();
        let least = served.iter().copied().fold(f64::INFINITY, f64::min);
        told += &format!(
            "{name}: {all:.0} a second of {}, least {least:.1}, Jain {:.2}, limits {low:.0} to {high:.0} in all\n",
            at_once * 10,
            jain(&served)
        );
    }
    expect![[r#"
        ten directors, all flooded: 197 a second of 200, least 12.1, Jain 0.95, limits 32 to 104 in all
        two, one gets all the flood: 39 a second of 40, least 5.4, Jain 0.65, limits 6 to 11 in all
        forty, all flooded: 395 a second of 400, least 4.3, Jain 0.93, limits 71 to 186 in all
    "#]]
    .assert_eq(&told);
}
