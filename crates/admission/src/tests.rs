//! A simulated environment of the controller: viewers that send requests, wait and retry as told, and nodes
//! whose set-ups take longer the more of them are in flight.

use std::collections::BTreeMap;

use expect_test::expect;

use super::*;

/// Requests of one group: requests per second, drawn from a number of clients, between two times in seconds.
#[derive(Clone, Copy)]
struct Traffic {
    group: usize,
    rate: f64,
    clients: u64,
    from: f64,
    to: f64,
}

/// What became of one group's requests.
#[derive(Default, Debug, Clone)]
struct GroupResult {
    requests: usize,
    served: usize,
    /// Clients that were told to retry, and of those, the ones set up within the start target of the retry.
    retries: usize,
    retries_served: usize,
    rejected: usize,
    longest_wait_ms: f64,
}

struct SimulationResult {
    groups: Vec<GroupResult>,
    /// Lowest and highest limit after the first 30% of the run.
    limit: (f64, f64),
    max_waiting: usize,
    /// Highest number of retries within a tenth of a second.
    max_retries_at_once: usize,
    served_by_client: BTreeMap<u64, usize>,
    retry_counters: retry_scheduler::RetryCounters,
}

fn config(weights: &[f64]) -> AdmissionConfig {
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

/// Simulates nodes that serve `parallel` set-ups at a time in `setup_seconds` each; further ones wait behind
/// them. With `use_admission` false, every request goes to the nodes as it arrives.
fn simulate(
    config: AdmissionConfig,
    traffics: &[Traffic],
    secs: f64,
    (parallel, setup_seconds): (usize, f64),
    use_admission: bool,
) -> SimulationResult {
    let mut random = oorandom::Rand64::new(9);
    let at = |secs: f64| Instant::from_ms(secs * 1e3);
    let groups = config.groups.len();
    let mut controller = AdmissionController::new(config, at(0.0));
    // Future requests by time and number, with group, client and whether the request is a retry.
    let mut arrivals: BTreeMap<(u64, u64), (usize, u64, bool)> = BTreeMap::new();
    let mut number = 0u64;
    for traffic in traffics {
        let mut t = traffic.from;
        loop {
            t += -(1.0 - random.rand_float()).ln() / traffic.rate;
            if t >= traffic.to.min(secs) {
                break;
            }
            number += 1;
            let client = traffic.group as u64 * 1_000_000_000 + random.rand_range(0..traffic.clients);
            arrivals.insert(((t * 1e6) as u64, number), (traffic.group, client, false));
        }
    }
    let mut result = SimulationResult {
        groups: vec![GroupResult::default(); groups],
        limit: (f64::INFINITY, 0.0),
        max_waiting: 0,
        max_retries_at_once: 0,
        served_by_client: BTreeMap::new(),
        retry_counters: retry_scheduler::RetryCounters::default(),
    };
    let mut requests: BTreeMap<SessionId, (usize, u64, f64, bool)> = BTreeMap::new();
    let mut queue: std::collections::VecDeque<SessionId> = Default::default();
    let mut serving: Vec<(f64, SessionId)> = Vec::new();
    let mut retries_by_tenth: BTreeMap<u64, usize> = BTreeMap::new();
    let mut t = 0.0;
    while t < secs + 2.0 {
        t += 0.005;
        let now = at(t);
        while let Some((&(when, n), &(group, client, is_retry))) =
            arrivals.first_key_value().filter(|((w, _), _)| *w as f64 / 1e6 <= t)
        {
            arrivals.remove(&(when, n));
            let session = SessionId(n);
            requests.insert(session, (group, client, t, is_retry));
            result.groups[group].requests += usize::from(!is_retry);
            let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
            controller.offer(
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
            if !use_admission {
                queue.push_back(session);
            }
        }
        serving.retain(|&(until, session)| {
            if until <= t {
                controller.complete(session, SetupOutcome::Started, now);
                let (group, client, requested_at, is_retry) = requests[&session];
                if t - requested_at <= 1.0 {
                    result.groups[group].served += 1;
                    *result.served_by_client.entry(client).or_default() += 1;
                    result.groups[group].retries_served += usize::from(is_retry);
                }
            }
            until > t
        });
        for decision in controller.poll(now) {
            match decision {
                AdmissionDecision::Admit { session, waited } if use_admission => {
                    let group = requests[&session].0;
                    result.groups[group].longest_wait_ms =
                        result.groups[group].longest_wait_ms.max(waited.as_ms());
                    queue.push_back(session);
                }
                AdmissionDecision::Reject { session, retry_after, .. } if use_admission => {
                    let (group, client, _, is_retry) = requests[&session];
                    result.groups[group].rejected += 1;
                    if let Some(delay) = retry_after.filter(|_| !is_retry) {
                        let when = t + delay.as_ms() / 1e3;
                        number += 1;
                        arrivals.insert(((when * 1e6) as u64, number), (group, client, true));
                        result.groups[group].retries += 1;
                        *retries_by_tenth.entry((when * 10.0) as u64).or_default() += 1;
                    }
                }
                _ => {}
            }
        }
        while serving.len() < parallel
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + setup_seconds, session));
        }
        if t > secs * 0.3 {
            result.limit = (result.limit.0.min(controller.limit()), result.limit.1.max(controller.limit()));
        }
        result.max_waiting = result.max_waiting.max(controller.waiting_and_in_flight().0);
    }
    result.retry_counters = controller.status().retries;
    result.max_retries_at_once = retries_by_tenth.values().copied().max().unwrap_or(0);
    result
}

fn served_per_second(result: &SimulationResult, secs: f64) -> String {
    let of_group = |g: &GroupResult| {
        format!("{:.1} of {:.1} a second", g.served as f64 / secs, g.requests as f64 / secs)
    };
    result.groups.iter().map(of_group).collect::<Vec<_>>().join(", ")
}

const STEADY: Traffic = Traffic { group: 0, rate: 8.0, clients: 1_000_000, from: 0.0, to: 60.0 };

/// A flood of one group must not starve the other, and both get their weighted shares when both flood.
#[test]
fn flood_of_one_group_leaves_the_other_its_share() {
    // The nodes set up 20 sessions a second; group 0 requests 8, group 1 requests 200.
    let flood = Traffic { group: 1, rate: 200.0, ..STEADY };
    let capacity = (2, 0.1);
    let mut trace = format!(
        "alone: {}\n",
        served_per_second(&simulate(config(&[1.0, 1.0]), &[STEADY], 60.0, capacity, true), 60.0)
    );
    let fifo = simulate(config(&[1.0, 1.0]), &[STEADY, flood], 60.0, capacity, false);
    trace += &format!("first come, first served: {}\n", served_per_second(&fifo, 60.0));
    let fair = simulate(config(&[1.0, 1.0]), &[STEADY, flood], 60.0, capacity, true);
    trace += &format!("fair: {}; {} waited at most\n", served_per_second(&fair, 60.0), fair.max_waiting);
    let weighted =
        simulate(config(&[1.0, 4.0]), &[Traffic { rate: 50.0, ..STEADY }, flood], 60.0, capacity, true);
    trace += &format!("weights 1 and 4, both flood: {}\n", served_per_second(&weighted, 60.0));
    let waits: Vec<f64> = fair.groups.iter().map(|g| g.longest_wait_ms).collect();
    assert!(waits.iter().all(|&ms| ms <= 510.0), "no request waits beyond half a start target: {waits:?}");
    expect![[r#"
        alone: 8.6 of 8.6 a second, 0.0 of 0.0 a second
        first come, first served: 0.0 of 8.6 a second, 0.3 of 199.7 a second
        fair: 8.5 of 8.6 a second, 11.8 of 199.7 a second; 105 waited at most
        weights 1 and 4, both flood: 4.1 of 52.1 a second, 16.2 of 200.7 a second
    "#]]
    .assert_eq(&trace);
}

/// Clients that follow their retry-after must find capacity then, and must not all return at the same time.
#[test]
fn retry_after_leads_to_capacity_without_a_burst_of_retries() {
    // Twice the nodes' capacity for ten seconds, then less than half of it.
    let traffics = [
        Traffic { group: 0, rate: 40.0, clients: 1_000_000, from: 0.0, to: 10.0 },
        Traffic { group: 0, rate: 8.0, clients: 1_000_000, from: 10.0, to: 40.0 },
    ];
    let result = simulate(config(&[1.0]), &traffics, 40.0, (2, 0.1), true);
    let g = &result.groups[0];
    let trace = format!(
        "{} rejected, {} retried as told, {:.0}% of them then set up in time; at most {} in a tenth of a second; \
         in reserved slots {}, {} admitted",
        g.rejected,
        g.retries,
        100.0 * g.retries_served as f64 / g.retries as f64,
        result.max_retries_at_once,
        result.retry_counters.returned_in_slot,
        result.retry_counters.admitted
    );
    expect!["443 rejected, 346 retried as told, 72% of them then set up in time; at most 11 in a tenth of a second; in reserved slots 196, 196 admitted"].assert_eq(&trace);
}

/// A client that floods its group must not crowd out the group's other clients.
#[test]
fn heavy_client_does_not_crowd_out_the_others_of_its_group() {
    // One client sends 100 requests a second; 500 others send 10 a second together.
    let heavy = Traffic { group: 0, rate: 100.0, clients: 1, from: 0.0, to: 30.0 };
    let others = Traffic { group: 0, rate: 10.0, clients: 500, from: 0.0, to: 30.0 };
    // Client 0 is the heavy one; the others are drawn from clients 0 to 500.
    let mut config = config(&[1.0]);
    config.max_retry_after = None;
    let both = simulate(config, &[heavy, Traffic { clients: 501, ..others }], 30.0, (2, 0.1), true);
    let heavy_served = both.served_by_client.get(&0).copied().unwrap_or(0);
    let others_served: usize =
        both.served_by_client.iter().filter(|(client, _)| **client != 0).map(|(_, n)| n).sum();
    let text = format!(
        "the heavy client {:.1} a second, the others {:.1} of 10",
        heavy_served as f64 / 30.0,
        others_served as f64 / 30.0
    );
    expect!["the heavy client 9.2 a second, the others 10.4 of 10"].assert_eq(&text);
}

/// The limit must settle near the number of set-ups that the nodes can serve in parallel, and use that
/// capacity.
#[test]
fn limit_converges_to_the_parallel_capacity() {
    let flood = Traffic { group: 0, rate: 400.0, clients: 1_000_000, from: 0.0, to: 30.0 };
    let mut trace = String::new();
    for parallel in [2, 10, 40] {
        let result = simulate(config(&[1.0]), &[flood], 30.0, (parallel, 0.1), true);
        let (low, high) = result.limit;
        trace += &format!(
            "{parallel} at once: limit {low:.0} to {high:.0}, {}\n",
            served_per_second(&result, 30.0)
        );
    }
    expect![[r#"
        2 at once: limit 2 to 4, 20.6 of 400.4 a second
        10 at once: limit 16 to 20, 102.1 of 400.4 a second
        40 at once: limit 33 to 72, 364.2 of 400.4 a second
    "#]]
    .assert_eq(&trace);
}

/// Many light clients must neither grow the table, nor hide a heavy client, nor be taken for one.
#[test]
fn million_light_clients_use_a_fixed_table_and_hide_no_heavy_client() {
    let mut heavy_hitters = HeavyHitters::new(3, Instant::from_ms(0.0));
    let (mut detected_at, mut false_positives) = (None, 0);
    for n in 0..1_000_000u64 {
        let now = Instant::from_ms(n as f64 / 100.0);
        false_positives += usize::from(heavy_hitters.record(n + 10, now).is_some());
        // The heavy client sends one request for every 100 of the others.
        if n % 100 == 0 && heavy_hitters.record(1, now).is_some() {
            detected_at = detected_at.or(Some(n / 100 + 1));
        }
    }
    let text = format!(
        "{} bytes; heavy client detected at its request {detected_at:?}; {false_positives} false positives",
        heavy_hitters.memory_bytes()
    );
    expect!["131072 bytes; heavy client detected at its request Some(9); 0 false positives"].assert_eq(&text);
}

/// The queue must stay within its capacity, at the expense of the group that exceeds its share.
#[test]
fn queue_is_bounded_and_evicts_the_group_over_its_share() {
    let mut controller = AdmissionController::new(
        AdmissionConfig { max_waiting: 10, concurrency_limits: (0.0, 0.0, 0.0), ..config(&[1.0, 1.0]) },
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
    (0..20).for_each(|n| controller.offer(request(n, 0), now));
    (20..23).for_each(|n| controller.offer(request(n, 1), now));
    let rejected: Vec<u64> = controller
        .poll(now)
        .iter()
        .map(|decision| match decision {
            AdmissionDecision::Admit { session, .. } | AdmissionDecision::Reject { session, .. } => session.0,
        })
        .collect();
    assert_eq!((rejected.len(), controller.waiting_and_in_flight()), (13, (10, 0)));
    assert!(rejected.iter().all(|&n| n < 20), "only the flooding group is evicted: {rejected:?}");
    assert!(controller.cancel(SessionId(21)) && !controller.cancel(SessionId(21)));
    // A request whose wait has expired is rejected then, not at its setup timeout.
    let expired = controller.poll(Instant::from_ms(502.0)).len();
    assert_eq!((expired, controller.waiting_and_in_flight()), (9, (0, 0)));
}

/// Simulates viewers that retry every tenth of a second, whatever retry-after they are given, with a burst of
/// ten times the nodes' capacity after five seconds. Returns the sessions served per second, of 10 requested,
/// from 14 seconds after the burst, and the number of retries that were rejected as early. With `recognized`
/// false, each retry comes as a new client.
fn retry_storm(recognized: bool) -> (f64, u64) {
    let at = |secs: f64| Instant::from_ms(secs * 1e3);
    let mut controller = AdmissionController::new(config(&[1.0]), at(0.0));
    let mut number = 0u64;
    let mut clients: BTreeMap<SessionId, u64> = BTreeMap::new();
    let mut arrivals: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    let (mut serving, mut queue): (Vec<(f64, SessionId)>, std::collections::VecDeque<SessionId>) =
        Default::default();
    let (mut t, mut served) = (0.0, 0);
    while t < 30.0 {
        t += 0.005;
        // Half of the nodes' capacity, except for one second of ten times the capacity.
        let rate = if (5.0..6.0).contains(&t) { 200.0 } else { 10.0 };
        if ((t * rate) as u64) != (((t - 0.005) * rate) as u64) {
            number += 1;
            arrivals.insert(((t * 1e6) as u64, number), number);
        }
        while let Some((&(when, n), &client)) =
            arrivals.first_key_value().filter(|((w, _), _)| *w as f64 / 1e6 <= t)
        {
            arrivals.remove(&(when, n));
            number += 1;
            clients.insert(SessionId(number), client);
            let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
            let client = if recognized { client } else { number };
            controller.offer(
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
                controller.complete(session, SetupOutcome::Started, at(t));
                served += u64::from(t > 20.0);
            }
            until > t
        });
        for decision in controller.poll(at(t)) {
            match decision {
                AdmissionDecision::Admit { session, .. } => queue.push_back(session),
                AdmissionDecision::Reject { session, .. } => {
                    number += 1;
                    arrivals.insert((((t + 0.1) * 1e6) as u64, number), clients[&session]);
                }
            }
        }
        while serving.len() < 2
            && let Some(session) = queue.pop_front()
        {
            serving.push((t + 0.1, session));
        }
    }
    (served as f64 / 10.0, controller.status().retries.rejected_early)
}

/// Retries before the retry-after must gain nothing and must not keep up a storm of retries.
#[test]
fn early_retries_gain_nothing_and_feed_no_retry_storm() {
    let trace =
        format!("each retry a new client: {:?}; recognized: {:?}", retry_storm(false), retry_storm(true));
    expect!["each retry a new client: (14.7, 0); recognized: (15.3, 17723)"].assert_eq(&trace);
    let mut scheduler =
        RetryScheduler::new(Some(Span::from_secs(8.0)), Span::from_secs(1.0), 3, Instant::from_ms(0.0));
    (0..40).for_each(|n| scheduler.on_started(Instant::from_ms(f64::from(n) * 50.0)));
    let at = |ms: f64| Instant::from_ms(2000.0 + ms);
    let first = scheduler.retry_after(7, false, at(0.0)).unwrap();
    let early = scheduler.on_arrival(7, at(first.as_ms() * 0.2));
    let again = scheduler.retry_after(7, false, at(first.as_ms() * 0.2));
    let in_time = scheduler.on_arrival(7, at(first.as_ms() + 1.0));
    // Rejected even in its slot, the client is given a longer retry-after.
    let next = scheduler.retry_after(7, false, at(first.as_ms() + 1.0));
    let ms = |span: Option<Span>| span.map(Span::as_ms);
    let text = format!("{} ms; {early:?} {:?}; {in_time:?} {:?}", first.as_ms(), ms(again), ms(next));
    expect!["596.13 ms; EarlyOverBudget Some(476.904); InSlot Some(1133.068)"].assert_eq(&text);
}

/// Tenants share their group by weight, and idle tenants leave their share to the others.
#[test]
fn tenants_share_their_group_by_weight() {
    let run = |active: [bool; 3]| {
        let tenant_weights = vec![1.0, 2.0, 1.0];
        let mut controller = AdmissionController::new(
            AdmissionConfig { tenant_weights, concurrency_limits: (1.0, 1.0, 1.0), ..config(&[1.0, 1.0]) },
            Instant::from_ms(0.0),
        );
        let now = Instant::from_ms(1.0);
        let (start_target, setup_timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
        for n in 0..100u64 {
            for tenant in (0..3).filter(|&t| active[t]) {
                let session = SessionId(n * 3 + tenant as u64);
                let group = GroupId(usize::from(tenant == 2));
                controller.offer(
                    AdmissionRequest { session, group, tenant, client: n, start_target, setup_timeout },
                    now,
                );
            }
        }
        let mut admitted = [0; 3];
        for _ in 0..60 {
            for decision in controller.poll(now) {
                if let AdmissionDecision::Admit { session, .. } = decision {
                    admitted[session.0 as usize % 3] += 1;
                    controller.complete(session, SetupOutcome::Other, now);
                }
            }
        }
        admitted
    };
    // Tenants 0 and 1 share group 0 with weights 1 and 2; tenant 2 is alone in group 1.
    let trace =
        format!("{:?} {:?} {:?}", run([true; 3]), run([true, true, false]), run([true, false, false]));
    expect!["[10, 20, 30] [20, 40, 0] [60, 0, 0]"].assert_eq(&trace);
}
