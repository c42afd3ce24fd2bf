//! For each rule: artificial traffic that violates it, and similar traffic that doesn't.

use expect_test::{Expect, expect};

use super::*;

fn config() -> RulesConfig {
    let group = |name: &str, retry_safety, floor_rung, seats| ServiceGroup {
        name: name.into(),
        utility: 1.0,
        start_target: 1000.0,
        retry_safety,
        retry_scope: RetryScope::SameZone,
        retry_window: 500.0,
        floor_rung,
        seats,
    };
    let node = |n: u16| MediaNode { name: format!("n{n}"), max_sessions: 20.0, zone: n as u8 % 2, cell: n };
    RulesConfig {
        groups: vec![
            group("safe", RetrySafety::Safe, 0, 0),
            group("dedup", RetrySafety::Dedup, 0, 0),
            group("fragile", RetrySafety::Fragile, 1, 2),
        ],
        nodes: (1..=3).map(node).collect(),
        drain_grace: 500.0,
        slow_start_initial_fraction: 0.5,
        slow_start_duration: 10_000.0,
        overload_multiple: 2.0,
        overload_window: 1000.0,
        retry_budget: Some((1.0, 0.5, 10_000.0)),
        timing_tolerance: 20.0,
        fleet_limits: None,
    }
}

/// Parses a script with one event a line: its time in milliseconds, its kind and its fields.
fn parse_traffic(script: &str) -> TrafficRecord {
    let mut events = Vec::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let mut words = line.split_whitespace();
        let mut word = || words.next().expect("missing field");
        let at: f64 = word().parse().expect("malformed time");
        let event_name = word();
        let mut number = || word().parse::<f64>().expect("malformed number");
        let kind = match event_name {
            "request" => {
                let (viewer, director) = (number() as u64, number() as u16);
                let group = word().to_string();
                let title = "t".to_string();
                EventKind::RequestSent { viewer, attempt: 0, director, group, title, setup_timeout: 3000.0 }
            }
            "response" => {
                EventKind::ResponseReceived { viewer: number() as u64, attempt: 0, status: number() as u16 }
            }
            "timeout" => EventKind::RequestAbandoned { viewer: number() as u64, attempt: 0, timed_out: true },
            "abandon" => {
                EventKind::RequestAbandoned { viewer: number() as u64, attempt: 0, timed_out: false }
            }
            "setup" => {
                let (viewer, connection, rung) = (number() as u64, number() as u64, number() as u8);
                let (node, title) = (word().to_string(), "t".to_string());
                EventKind::SetupReceived { node, connection, viewer, attempt: 0, title, rung }
            }
            "setup-response" => {
                let (connection, status) = (number() as u64, number() as u16);
                EventKind::SetupResponseSent { connection, status, node: word().to_string() }
            }
            "close" => EventKind::SessionClosed { connection: number() as u64, node: word().to_string() },
            "rung" => {
                let (connection, rung) = (number() as u64, number() as u8);
                EventKind::RungChanged { connection, rung, node: word().to_string() }
            }
            "not-ready" => {
                EventKind::NodeListed { director: number() as u16, node: word().to_string(), ready: false }
            }
            "ready" => {
                EventKind::NodeListed { director: number() as u16, node: word().to_string(), ready: true }
            }
            "node-start" => EventKind::NodeStarted { node: word().to_string() },
            "director-kill" => EventKind::DirectorKilled { director: number() as u16 },
            "director-start" => EventKind::DirectorStarted { director: number() as u16 },
            "permit-release" | "permit-request" | "permit-grant" | "permit-grant-lost" => {
                let (holder, voter, process_id, round) =
                    (number() as u16, number() as u16, 1, number() as u64);
                match event_name {
                    "permit-request" => EventKind::PermitsRequested { holder, voter, process_id, round },
                    "permit-release" => EventKind::PermitsReleased {
                        holder,
                        voter,
                        process_id,
                        round,
                        permits: vec![(1, number() as u32)],
                    },
                    _ => {
                        let (delivered, permits) = (event_name == "permit-grant", vec![(1, number() as u32)]);
                        EventKind::PermitsGranted { delivered, voter, holder, process_id, round, permits }
                    }
                }
            }
            "cancel" => {
                EventKind::SetupCancelled { viewer: number() as u64, attempt: 0, node: word().to_string() }
            }
            other => panic!("unknown kind of event: {other}"),
        };
        events.push(TrafficEvent { at, kind });
    }
    TrafficRecord { config: config(), events }
}

fn expect_violations(script: &str, expected: Expect) {
    assert_violations(&parse_traffic(script), expected);
}

/// Like [`expect_violations`], with three directors that share a limit of two further SETUPs at a node in a
/// second. Each needs a permit, with a lease of two seconds.
fn expect_fleet_violations(script: &str, expected: Expect) {
    let mut traffic = parse_traffic(script);
    (traffic.config.timing_tolerance, traffic.config.retry_budget) = (20.0, None);
    traffic.config.fleet_limits = Some(FleetLimits {
        lease: 2000.0,
        max_clock_drift: 0.0,
        guard_interval: 1500.0,
        max_send_delay: 300.0,
        longest_stall: 0.0,
        voters: vec![vec![0, 1, 2]; 3],
        retry_limit: Some(RetryLimit { max_per_node: 2, max_without_permit: 0, window: 1000.0, pool: 1 }),
    });
    assert_violations(&traffic, expected);
}

fn assert_violations(traffic: &TrafficRecord, expected: Expect) {
    let report = check_rules(traffic);
    let violations = report.findings.iter().flat_map(|finding| {
        finding.violations.iter().map(move |violation| {
            format!("rule {} at {}: {}\n", finding.rule, violation.at, violation.description)
        })
    });
    let text: String = violations.collect();
    expected.assert_eq(if text.is_empty() { "held\n" } else { &text });
}

#[test]
fn detects_missing_duplicate_and_late_responses() {
    expect_violations(
        "0 request 1 0 safe\n 100 response 1 200\n 0 request 2 0 safe\n 300 abandon 2",
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        "0 request 1 0 safe\n 3000 timeout 1\n 0 request 2 0 safe\n 100 response 2 200\n 200 response 2 503\n 0 request 3 0 safe\n 3100 \
         response 3 503",
        expect![[r#"
            rule 1 at 3000: viewer 1 try 0 at director 0 was never answered
            rule 1 at 200: viewer 2 try 0 at director 0 had 2 answers
            rule 1 at 3100: viewer 3 try 0 at director 0 answered 100 ms after its setup timeout
        "#]],
    );
    expect_violations(
        "0 request 1 0 safe\n 1000 director-kill 0\n 3000 timeout 1",
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        "0 request 1 0 safe\n 1000 director-kill 1\n 3000 timeout 1",
        expect![[r#"
        rule 1 at 3000: viewer 1 try 0 at director 0 was never answered
    "#]],
    );
}

#[test]
fn detects_concurrent_and_repeated_setups() {
    let request = "0 request 1 0 safe\n 900 response 1 200\n";
    expect_violations(
        &format!(
            "{request} 10 setup 1 1 0 n1\n 400 close 1 n1\n 410 setup 1 2 0 n2\n 500 setup-response 2 200 n2"
        ),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!("{request} 10 setup 1 1 0 n1\n 410 setup 1 2 0 n2\n 500 close 1 n1"),
        expect![[r#"
        rule 2 at 410: viewer 1 try 0 has SETUPs outstanding at n1 and n2 at once
    "#]],
    );
    let request = "0 request 1 0 fragile\n 900 response 1 502\n";
    expect_violations(
        &format!(
            "{request} 10 setup 1 1 1 n1\n 20 setup-response 1 453 n1\n 30 setup 1 2 1 n2\n 40 setup-response 2 500 n2"
        ),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!(
            "{request} 10 setup 1 1 1 n1\n 20 setup-response 1 500 n1\n 30 setup 1 2 1 n2\n 40 close 2 n2"
        ),
        expect![[r#"
        rule 2 at 30: viewer 1 try 0 of fragile set up again at n2, may have run at n1
    "#]],
    );
    expect_violations(
        "0 request 1 0 fragile\n 10 setup 1 1 1 n1\n 20 close 1 n1\n 30 response 1 503",
        expect![[r#"
        rule 2 at 30: viewer 1 try 0 got a busy reply though it may have run at n1
    "#]],
    );
    let request = "0 request 1 0 dedup\n 2900 response 1 502\n 10 setup 1 1 1 n1\n 20 close 1 n1\n";
    expect_violations(
        &format!("{request} 300 setup 1 2 1 n3\n 310 close 2 n3"),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!("{request} 300 setup 1 2 1 n2\n 310 close 2 n2"),
        expect![[r#"
        rule 2 at 300: viewer 1 try 0 of dedup set up again at n2, may have run at n1
    "#]],
    );
    expect_violations(
        &format!("{request} 700 setup 1 2 1 n3\n 710 close 2 n3"),
        expect![[r#"
        rule 2 at 700: viewer 1 try 0 of dedup set up again at n3, may have run at n1
    "#]],
    );
}

#[test]
fn detects_setups_at_a_drained_node() {
    let request = "0 request 1 0 safe\n 2000 response 1 200\n";
    expect_violations(
        &format!("{request} 100 not-ready 0 n1\n 550 setup 1 1 0 n1"),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!("{request} 100 not-ready 0 n1\n 650 setup 1 1 0 n1"),
        expect![[r#"
        rule 3 at 650: viewer 1 try 0 set up at n1 550 ms after director 0's list changed
    "#]],
    );
    expect_violations(
        &format!("{request} 100 not-ready 1 n1\n 650 setup 1 1 0 n1"),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!("{request} 100 not-ready 0 n1\n 600 ready 0 n1\n 650 setup 1 1 0 n1"),
        expect![[r#"
        held
    "#]],
    );
}

#[test]
fn detects_the_overload_of_a_cold_node() {
    let setups = |count: usize, interval: f64| -> String {
        let setup = |k: usize| {
            let at = 100.0 + k as f64 * interval;
            format!(
                "{at} request {k} 0 safe\n {at} setup {k} {k} 0 n1\n {at} setup-response {k} 200 n1\n {at} response {k} 200\n"
            )
        };
        "0 node-start n1\n".to_string() + &(0..count).map(setup).collect::<String>()
    };
    // 20 sessions in 10 s, at first half of that: 1 a second. Twice that is allowed, and one more.
    expect_violations(
        &setups(3, 100.0),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &setups(4, 100.0),
        expect![[r#"
        rule 4 at 400: n1 was sent 4 SETUPs, 3.1 allowed
    "#]],
    );
    expect_violations(
        &setups(6, 500.0),
        expect![[r#"
        held
    "#]],
    );
}

#[test]
fn detects_rungs_below_the_floor_and_sessions_over_the_seats() {
    let session = |n| {
        format!(
            "0 request {n} 0 fragile\n 50 response {n} 200\n 10 setup {n} {n} 1 n1\n 20 setup-response {n} 200 n1\n"
        )
    };
    expect_violations(
        &format!("{}{}", session(1), session(2)),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &format!("{}{}{}", session(1), session(2), session(3)),
        expect![[r#"
        rule 5 at 10: director 0 holds 3 sessions of t for fragile
    "#]],
    );
    expect_violations(
        &format!("{} 100 rung 1 0 n1", session(1)),
        expect![[r#"
        rule 5 at 10: viewer 1 try 0 of fragile at rung 0, below its floor
    "#]],
    );
}

#[test]
fn detects_further_setups_over_the_budget() {
    let session = |n: usize, setups: usize| -> String {
        let mut text = format!("{} request {n} 0 safe\n {} response {n} 200\n", n * 10, n * 10 + 900);
        for k in 0..setups {
            let (at, connection) = (n * 10 + 100 + k * 100, n * 10 + k);
            text += &format!("{at} setup {n} {connection} 0 n1\n {at} setup-response {connection} 453 n1\n");
        }
        text
    };
    // One, and half of one for each session.
    expect_violations(
        &(session(1, 2) + &session(2, 2)),
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        &(session(1, 3) + &session(2, 2)),
        expect![[r#"
        rule 6 at 310: director 0 sent 3 further SETUPs, 2.0 allowed
    "#]],
    );
}

#[test]
fn the_error_for_a_malformed_record_names_the_line() {
    let text = serde_json::to_string(&config()).unwrap() + "\n{\"at\":1,\"what\":\"asked\"}\n";
    expect!["line 2: missing field `viewer` at line 1 column 23"]
        .assert_eq(&TrafficRecord::parse(&text).unwrap_err().to_string());
    assert!(!check_rules(&parse_traffic("")).passed(), "a record without requests must not pass");
}

#[test]
fn detects_permits_granted_to_two_holders() {
    // Voter 2 renews the permit for its holder and then grants it to another, too early and in time.
    let granted = "100 permit-request 0 2 1\n 110 permit-grant 0 2 1 5\n 690 permit-request 0 2 2\n 700 permit-grant 0 2 2 5\n 800 permit-request 1 2 1\n 801 permit-request 1 1 1\n";
    expect_fleet_violations(
        &format!("{granted} 4150 permit-grant 1 2 1 5"),
        expect![[r#"
            rule 7 at 4150: director 2 granted permit 5 of pool 1 to 1, 40 ms before 0 had certainly stopped using it
        "#]],
    );
    expect_fleet_violations(
        &format!("{granted} 4250 permit-grant 1 2 1 5"),
        expect![[r#"
        held
    "#]],
    );
    // Once it is released, the guard interval is enough. A grant that was lost on the way counts as well.
    expect_fleet_violations(
        &format!("{granted} 900 permit-release 0 2 3 5\n 2450 permit-grant 1 2 1 5"),
        expect![[r#"
        held
    "#]],
    );
    expect_fleet_violations(
        &format!("{granted} 900 permit-release 0 2 3 5\n 2300 permit-grant-lost 1 2 1 5"),
        expect![[r#"
        rule 7 at 2300: director 2 granted permit 5 of pool 1 to 1, 100 ms before 0 had certainly stopped using it
    "#]],
    );
    // The voter was stopped since the request and grants a permit that its holder has released: no lease.
    expect_fleet_violations(
        "100 permit-request 0 2 1\n 900 permit-release 0 2 1 5\n 2000 permit-grant 0 2 1 5\n 2100 permit-request 1 2 1\n 3550 permit-grant 1 2 1 5",
        expect![[r#"
        held
    "#]],
    );
    expect_fleet_violations(
        "100 permit-request 0 2 1\n 900 permit-release 0 2 1 5\n 1900 permit-request 0 2 2\n 2000 permit-grant 0 2 2 5\n 2100 permit-request 1 2 1\n 3550 permit-grant 1 2 1 5",
        expect![[r#"
            rule 7 at 3550: director 2 granted permit 5 of pool 1 to 1, 1850 ms before 0 had certainly stopped using it
        "#]],
    );
    // Grants of another voter don't conflict.
    expect_fleet_violations(
        &format!("{granted} 800 permit-grant 1 1 1 5"),
        expect![[r#"
        held
    "#]],
    );
}

#[test]
fn detects_further_setups_over_the_fleet_limit_or_without_a_permit() {
    let session = |n: u64, at: u64, director: u64| {
        let (first, second) = (at + 100, at + 200);
        format!(
            "{at} request {n} {director} safe\n {first} setup {n} {n}0 0 n2\n {first} setup-response {n}0 453 n2\n \
             {second} setup {n} {n}1 0 n1\n {second} setup-response {n}1 200 n1\n {second} response {n} 200\n"
        )
    };
    let leased = |holder: u64| {
        format!(
            "10 permit-request {holder} 2 1\n 20 permit-grant {holder} 2 1 {holder}\n 30 permit-request {holder} 1 1\n 40 permit-grant {holder} 1 1 {holder}\n"
        )
    };
    let all = leased(0) + &leased(1) + &leased(2);
    // Two are within the limit, one by each director; a third in the same second is not.
    expect_fleet_violations(
        &(all.clone() + &session(1, 100, 0) + &session(2, 150, 1)),
        expect![[r#"
        held
    "#]],
    );
    expect_fleet_violations(
        &(all.clone() + &session(1, 100, 0) + &session(2, 150, 1) + &session(3, 300, 2)),
        expect![[r#"
        rule 8 at 500: n1 was sent 3 further SETUPs within the window, 2 allowed
    "#]],
    );
    // Two by a director with one permit; one by a director whose lease has ended, or that never got a permit.
    expect_fleet_violations(
        &(all.clone() + &session(1, 100, 0) + &session(2, 150, 0)),
        expect![[r#"
        rule 9 at 350: director 0 sent 2 further SETUPs to n1, 1 allowed
    "#]],
    );
    expect_fleet_violations(
        &(all.clone() + &session(1, 1700, 0)),
        expect![[r#"
        held
    "#]],
    );
    expect_fleet_violations(
        &(all.clone() + &session(1, 2300, 0)),
        expect![[r#"
        rule 9 at 2500: director 0 sent 1 further SETUPs to n1, 0 allowed
    "#]],
    );
    expect_fleet_violations(
        &session(1, 100, 0),
        expect![[r#"
        rule 9 at 300: director 0 sent 1 further SETUPs to n1, 0 allowed
    "#]],
    );
    expect_fleet_violations(
        &(all.replace("permit-grant", "permit-grant-lost") + &session(1, 100, 0)),
        expect![[r#"
        rule 9 at 300: director 0 sent 1 further SETUPs to n1, 0 allowed
    "#]],
    );
}

#[test]
fn accepts_cancelled_setups_and_requests_to_stopped_directors() {
    // The node notices the end of the first SETUP late. The relay saw it cancelled before the second.
    let request = "0 request 1 0 safe\n 100 setup 1 10 0 n1\n";
    let second =
        "500 setup 1 11 0 n2\n 510 setup-response 11 200 n2\n 520 response 1 200\n 3000 close 10 n1\n";
    expect_violations(
        &format!("{request}{second}"),
        expect![[r#"
        rule 2 at 500: viewer 1 try 0 has SETUPs outstanding at n1 and n2 at once
    "#]],
    );
    expect_violations(
        &format!("{request} 490 cancel 1 n1\n{second}"),
        expect![[r#"
        held
    "#]],
    );
    // A request to a director that is down, until it has started again.
    expect_violations(
        "0 director-kill 0\n 100 request 1 0 safe\n 2900 director-start 0\n 3200 timeout 1",
        expect![[r#"
        held
    "#]],
    );
    expect_violations(
        "0 director-kill 0\n 100 request 1 0 safe\n 150 director-start 0\n 200 request 2 0 safe\n 3300 timeout 2",
        expect![[r#"
        rule 1 at 3300: viewer 2 try 0 at director 0 was never answered
    "#]],
    );
}
