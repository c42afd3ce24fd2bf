//! A made world before and behind the door: viewers that come, wait, leave and come back as told, and set-ups that
//! take longer the more of them are in hand.

use std::collections::BTreeMap;

use expect_test::expect;

use super::*;

/// Who comes: a group's requests a second, from so many clients, between two times.
#[derive(Clone, Copy)]
struct Crowd {
    group: usize,
    rate: f64,
    clients: u64,
    from: f64,
    to: f64,
}

/// What a day came to, by group.
#[derive(Default, Debug, Clone)]
struct Came1 {
    asked: usize,
    served: usize,
    /// SetupOutcome back as told, and went in within the start target then.
    back: usize,
    back_well: usize,
    away: usize,
    longest_wait: f64,
}

struct Day {
    groups: Vec<Came1>,
    limit: (f64, f64),
    most_held: usize,
    /// Most that came back within a tenth of a second.
    herd: usize,
    by_client: BTreeMap<u64, usize>,
    kept: later::RetryCounters,
}

fn terms(weights: &[f64]) -> AdmissionConfig {
    AdmissionConfig {
        seed: 5,
        groups: weights.iter().map(|&w| (w, 1.0)).collect(),
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(1.0),
        max_retry_after: Some(Span::from_secs(8.0)),
        max_waiting: 400,
        concurrency_limits: (8.0, 2.0, 1000.0),
    }
}

/// Set-ups are served `at_once` at a time, each in `takes` seconds; what is more waits behind them. `fair` off lets
/// everything in as it comes.
fn day(
    terms: AdmissionConfig,
    crowds: &[Crowd],
    secs: f64,
    (at_once, takes): (usize, f64),
    fair: bool,
) -> Day {
    let mut random = oorandom::Rand64::new(9);
    let at = |secs: f64| Instant::from_ms(secs * 1e3);
    let groups = terms.groups.len();
    let mut door = AdmissionController::new(terms, at(0.0));
    // Times at which requests come, with group, client, and whether it came back.
    let mut coming: BTreeMap<(u64, u64), (usize, u64, bool)> = BTreeMap::new();
    let mut number = 0u64;
    for crowd in crowds {
        let mut t = crowd.from;
        loop {
            t += -(1.0 - random.rand_float()).ln() / crowd.rate;
            if t >= crowd.to.min(secs) {
                break;
            }
            number += 1;
            let client = crowd.group as u64 * 1_000_000_000 + random.rand_range(0..crowd.clients);
            coming.insert(((t * 1e6) as u64, number), (crowd.group, client, false));
        }
    }
    let mut day = Day {
        groups: vec![Came1::default(); groups],
        limit: (f64::INFINITY, 0.0),
        most_held: 0,
        herd: 0,
        by_client: BTreeMap::new(),
        kept: later::RetryCounters::default(),
    };
    let mut known: BTreeMap<SessionId, (usize, u64, f64, bool)> = BTreeMap::new();
    let mut queue: std::collections::VecDeque<SessionId> = Default::default();
    let mut serving: Vec<(f64, SessionId)> = Vec::new();
    let mut backs: BTreeMap<u64, usize> = BTreeMap::new();
    let mut t = 0.0;
    while t < secs + 2.0 {
        t += 0.005;
        let now = at(t);
        while let Some((&(when, n), &(group, client, back))) =
            coming.first_key_value().filter(|((w, _), _)| *w as f64 / 1e6 <= t)
        {
            coming.remove(&(when, n));
            let session = SessionId(n);
            known.insert(session, (group, client, t, back));
            day.groups[group].asked += usize::from(!back);
            let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
            door.offer(
                AdmissionRequest {
                    session,
                    group: GroupId(group),
                    tenant: 0,
                    client,
                    start_target,
                    setup_timeout,
                },
                now,
            );
            if !fair {
                queue.push_back(session);
            }
        }
        serving.retain(|&(until, session)| {
            if until <= t {
                door.complete(session, SetupOutcome::Started, now);
                let (group, client, came, back) = known[&session];
                if t - came <= 1.0 {
                    day.groups[group].served += 1;
                    *day.by_client.entry(client).or_default() += 1;
                    day.groups[group].back_well += usize::from(back);
                }
            }
            until > t
        });
        for verdict in door.poll(now) {
            match verdict {
                AdmissionDecision::Admit { session, waited } if fair => {
                    let group = known[&session].0;
                    day.groups[group].longest_wait = day.groups[group].longest_wait.max(waited.as_ms());
                    queue.push_back(session);
                }
                AdmissionDecision::Reject { session, retry_after, .. } if fair => {
                    let (group, client, _, back) = known[&session];
                    day.groups[group].away += 1;
                    if let Some(after) = retry_after.filter(|_| !back) {
                        let when = t + after.as_ms() / 1e3;
                        number += 1;
                        coming.insert(((when * 1e6) as u64, number), (group, client, true));
                        day.groups[group].back += 1;
                        *backs.entry((when * 10.0) as u64).or_default() += 1;
                    }
                }
                _ => {}
            }
        }
        while serving.len() < at_once
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + takes, session));
        }
        if t > secs * 0.3 {
            day.limit = (day.limit.0.min(door.limit()), day.limit.1.max(door.limit()));
        }
        day.most_held = day.most_held.max(door.waiting_and_in_flight().0);
    }
    day.kept = door.status().retries;
    day.herd = backs.values().copied().max().unwrap_or(0);
    day
}

fn shares(day: &Day, secs: f64) -> String {
    let one = |g: &Came1| format!("{:.1} of {:.1} a second", g.served as f64 / secs, g.asked as f64 / secs);
    day.groups.iter().map(one).collect::<Vec<_>>().join(", ")
}

const STEADY: Crowd = Crowd { group: 0, rate: 8.0, clients: 1_000_000, from: 0.0, to: 60.0 };

#[test]
fn a_flood_of_one_group_leaves_the_other_its_share() {
    // 20 a second can be set up; group 0 asks for 8, group 1 for 200.
    let flood = Crowd { group: 1, rate: 200.0, ..STEADY };
    let served = (2, 0.1);
    let mut told =
        format!("alone: {}\n", shares(&day(terms(&[1.0, 1.0]), &[STEADY], 60.0, served, true), 60.0));
    let open = day(terms(&[1.0, 1.0]), &[STEADY, flood], 60.0, served, false);
    told += &format!("first come, first served: {}\n", shares(&open, 60.0));
    let fair = day(terms(&[1.0, 1.0]), &[STEADY, flood], 60.0, served, true);
    told += &format!("fair: {}; {} waited at most\n", shares(&fair, 60.0), fair.most_held);
    let weighted = day(terms(&[1.0, 4.0]), &[Crowd { rate: 50.0, ..STEADY }, flood], 60.0, served, true);
    told += &format!("weights 1 and 4, both flood: {}\n", shares(&weighted, 60.0));
    let waits: Vec<f64> = fair.groups.iter().map(|g| g.longest_wait).collect();
    assert!(waits.iter().all(|&ms| ms <= 510.0), "nobody waits beyond half a start target: {waits:?}");
    expect![[r#"
        alone: 8.6 of 8.6 a second, 0.0 of 0.0 a second
        first come, first served: 0.0 of 8.6 a second, 0.3 of 199.7 a second
        fair: 8.5 of 8.6 a second, 11.8 of 199.7 a second; 105 waited at most
        weights 1 and 4, both flood: 4.1 of 52.1 a second, 16.2 of 200.7 a second
    "#]]
    .assert_eq(&told);
}

#[test]
fn retry_after_comes_true_and_brings_nobody_back_at_once() {
    // Twice what can be set up for ten seconds, half of it after.
    let crowds = [
        Crowd { group: 0, rate: 40.0, clients: 1_000_000, from: 0.0, to: 10.0 },
        Crowd { group: 0, rate: 8.0, clients: 1_000_000, from: 10.0, to: 40.0 },
    ];
    let day = day(terms(&[1.0]), &crowds, 40.0, (2, 0.1), true);
    let g = &day.groups[0];
    let told = format!(
        "{} sent away, {} came back as told, {:.0}% of them then set up in time; at most {} in a tenth of a second; \
         to room set aside {}, {} went in",
        g.away,
        g.back,
        100.0 * g.back_well as f64 / g.back as f64,
        day.herd,
        day.kept.returned_in_slot,
        day.kept.admitted
    );
    expect!["443 sent away, 346 came back as told, 72% of them then set up in time; at most 11 in a tenth of a second; to room set aside 196, 196 went in"].assert_eq(&told);
}

#[test]
fn one_client_of_a_group_does_not_crowd_out_the_others() {
    // A client asks 100 times a second; 500 others ask for 10 a second together.
    let heavy = Crowd { group: 0, rate: 100.0, clients: 1, from: 0.0, to: 30.0 };
    let others = Crowd { group: 0, rate: 10.0, clients: 500, from: 0.0, to: 30.0 };
    // Group 1 is where the many come from, so that client numbers differ.
    let mut world = terms(&[1.0]);
    world.max_retry_after = None;
    let both = day(world, &[heavy, Crowd { clients: 501, ..others }], 30.0, (2, 0.1), true);
    let loud = both.by_client.get(&0).copied().unwrap_or(0);
    let rest: usize = both.by_client.iter().filter(|(client, _)| **client != 0).map(|(_, n)| n).sum();
    let text = format!(
        "the loud one {:.1} a second, the others {:.1} of 10",
        loud as f64 / 30.0,
        rest as f64 / 30.0
    );
    expect!["the loud one 9.2 a second, the others 10.4 of 10"].assert_eq(&text);
}

#[test]
fn the_limit_finds_what_can_be_set_up_at_once() {
    let flood = Crowd { group: 0, rate: 400.0, clients: 1_000_000, from: 0.0, to: 30.0 };
    let mut told = String::new();
    for at_once in [2, 10, 40] {
        let day = day(terms(&[1.0]), &[flood], 30.0, (at_once, 0.1), true);
        let (low, high) = day.limit;
        told += &format!("{at_once} at once: limit {low:.0} to {high:.0}, {}\n", shares(&day, 30.0));
    }
    expect![[r#"
        2 at once: limit 2 to 4, 20.6 of 400.4 a second
        10 at once: limit 16 to 20, 102.1 of 400.4 a second
        40 at once: limit 33 to 72, 364.2 of 400.4 a second
    "#]]
    .assert_eq(&told);
}

#[test]
fn a_million_clients_cost_a_fixed_table_and_hide_no_heavy_one() {
    let mut heavy = Heavy::new(3, Instant::from_ms(0.0));
    let (mut found, mut wrong) = (None, 0);
    for n in 0..1_000_000u64 {
        let now = Instant::from_ms(n as f64 / 100.0);
        wrong += usize::from(heavy.asks(n + 10, now).is_some());
        // One in a hundred requests is the heavy client's.
        if n % 100 == 0 && heavy.asks(1, now).is_some() {
            found = found.or(Some(n / 100 + 1));
        }
    }
    let text =
        format!("{} bytes; heavy known at its request {found:?}; {wrong} others taken for it", heavy.bytes());
    expect!["131072 bytes; heavy known at its request Some(9); 0 others taken for it"].assert_eq(&text);
}

#[test]
fn places_to_wait_are_bounded_and_the_group_over_its_share_gives_them_up() {
    let mut door = AdmissionController::new(
        AdmissionConfig { max_waiting: 10, concurrency_limits: (0.0, 0.0, 0.0), ..terms(&[1.0, 1.0]) },
        Instant::from_ms(0.0),
    );
    let now = Instant::from_ms(1.0);
    let request = |n: u64, group: usize| AdmissionRequest {
        session: SessionId(n),
        group: GroupId(group),
        tenant: 0,
        client: n,
        start_target: Span::from_secs(1.0),
        setup_timeout: Span::from_secs(3.0),
    };
    (0..20).for_each(|n| door.offer(request(n, 0), now));
    (20..23).for_each(|n| door.offer(request(n, 1), now));
    let away: Vec<u64> = door
        .poll(now)
        .iter()
        .map(|v| match v {
            AdmissionDecision::Admit { session, .. } | AdmissionDecision::Reject { session, .. } => session.0,
        })
        .collect();
    assert_eq!((away.len(), door.waiting_and_in_flight()), (13, (10, 0)));
    assert!(away.iter().all(|&n| n < 20), "only the flood gives up places: {away:?}");
    assert!(door.cancel(SessionId(21)) && !door.cancel(SessionId(21)));
    // Whoever waited as long as it may is told then, not at its setup timeout.
    let told = door.poll(Instant::from_ms(502.0)).len();
    assert_eq!((told, door.waiting_and_in_flight()), (9, (0, 0)));
}

/// Viewers that come back every tenth of a second, whatever they are told, unless they heed it. What is served a second
/// of the 10 that come, twenty seconds after a crowd of ten times what can be served; and how many were sent away early.
fn storm(known_again: bool) -> (f64, u64) {
    let at = |secs: f64| Instant::from_ms(secs * 1e3);
    let mut door = AdmissionController::new(terms(&[1.0]), at(0.0));
    let mut number = 0u64;
    let mut known: BTreeMap<SessionId, u64> = BTreeMap::new();
    let mut coming: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    let (mut serving, mut queue): (Vec<(f64, SessionId)>, std::collections::VecDeque<SessionId>) =
        Default::default();
    let (mut t, mut served) = (0.0, 0);
    while t < 30.0 {
        t += 0.005;
        // Half of what can be served, but for a second of ten times that.
        let rate = if (5.0..6.0).contains(&t) { 200.0 } else { 10.0 };
        if ((t * rate) as u64) != (((t - 0.005) * rate) as u64) {
            number += 1;
            coming.insert(((t * 1e6) as u64, number), number);
        }
        while let Some((&(when, n), &client)) =
            coming.first_key_value().filter(|((w, _), _)| *w as f64 / 1e6 <= t)
        {
            coming.remove(&(when, n));
            number += 1;
            known.insert(SessionId(number), client);
            let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
            // Not known again, each retry is taken for somebody new.
            let client = if known_again { client } else { number };
            door.offer(
                AdmissionRequest {
                    session: SessionId(number),
                    group: GroupId(0),
                    tenant: 0,
                    client,
                    start_target,
                    setup_timeout,
                },
                at(t),
            );
        }
        serving.retain(|&(until, session)| {
            if until <= t {
                door.complete(session, SetupOutcome::Started, at(t));
                served += u64::from(t > 20.0);
            }
            until > t
        });
        for verdict in door.poll(at(t)) {
            match verdict {
                AdmissionDecision::Admit { session, .. } => queue.push_back(session),
                AdmissionDecision::Reject { session, .. } => {
                    number += 1;
                    coming.insert((((t + 0.1) * 1e6) as u64, number), known[&session]);
                }
            }
        }
        while serving.len() < 2
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + 0.1, session));
        }
    }
    (served as f64 / 10.0, door.status().retries.rejected_early)
}

#[test]
fn those_that_come_before_they_are_told_gain_nothing_and_feed_no_storm() {
    let told = format!("each retry taken for new: {:?}; known again: {:?}", storm(false), storm(true));
    expect!["each retry taken for new: (14.7, 0); known again: (15.3, 17723)"].assert_eq(&told);
    let mut later = Later::new(Some(Span::from_secs(8.0)), Span::from_secs(1.0), 3, Instant::from_ms(0.0));
    (0..40).for_each(|n| later.served(Instant::from_ms(f64::from(n) * 50.0)));
    let at = |ms: f64| Instant::from_ms(2000.0 + ms);
    let first = later.when(7, false, at(0.0)).unwrap();
    let asked = later.came(7, at(first.as_ms() * 0.2));
    let again = later.when(7, false, at(first.as_ms() * 0.2));
    let kept = later.came(7, at(first.as_ms() + 1.0));
    // Sent away at its very moment, it is told for longer.
    let next = later.when(7, false, at(first.as_ms() + 1.0));
    let ms = |span: Option<Span>| span.map(Span::as_ms);
    let text = format!("{} ms; {asked:?} {:?}; {kept:?} {:?}", first.as_ms(), ms(again), ms(next));
    expect!["596.13 ms; TooMany Some(476.904); Promised Some(1133.068)"].assert_eq(&text);
}

#[test]
fn tenants_share_within_a_group_and_what_one_leaves_is_the_others() {
    let run = |asks: [bool; 3]| {
        let tenants = vec![1.0, 2.0, 1.0];
        let mut door = AdmissionController::new(
            AdmissionConfig {
                tenant_weights: tenants,
                concurrency_limits: (1.0, 1.0, 1.0),
                ..terms(&[1.0, 1.0])
            },
            Instant::from_ms(0.0),
        );
        let now = Instant::from_ms(1.0);
        let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
        for n in 0..100u64 {
            for tenant in (0..3).filter(|&t| asks[t]) {
                let session = SessionId(n * 3 + tenant as u64);
                let group = GroupId(usize::from(tenant == 2));
                door.offer(
                    AdmissionRequest { session, group, tenant, client: n, start_target, setup_timeout },
                    now,
                );
            }
        }
        let mut went = [0; 3];
        for _ in 0..60 {
            for verdict in door.poll(now) {
                if let AdmissionDecision::Admit { session, .. } = verdict {
                    went[session.0 as usize % 3] += 1;
                    door.complete(session, SetupOutcome::Other, now);
                }
            }
        }
        went
    };
    // Tenants 0 and 1 share group 0 by 1 to 2; tenant 2 has group 1 to itself.
    let told = format!("{:?} {:?} {:?}", run([true; 3]), run([true, true, false]), run([true, false, false]));
    expect!["[10, 20, 30] [20, 40, 0] [60, 0, 0]"].assert_eq(&told);
}
