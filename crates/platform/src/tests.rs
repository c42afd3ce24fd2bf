//! Scenarios on the gateway without I/O, and checks of message parsing.
//!
//! A scenario compares the trace of the gateway's actions. In a trace, `c1` is connection 1, to node `c`, and
//! tags are printed without their leading zeros.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;

use ashglade::time::{Instant, Span};
use bytes::{Bytes, BytesMut};
use expect_test::{Expect, expect};
use proptest::prelude::*;
use tokio_util::codec::Decoder;

use crate::bus::Batch;
use crate::gateway::CloseReason;
use crate::{
    Action, Config, DownstreamId, Event, Gateway, LineDecoder, Message, UpstreamId, line_decoder,
    setup_request,
};

/// A configuration with three nodes, each in a cell of its own.
pub const CONFIG: &str = r#"{"name": "d0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bus": "127.0.0.1:1",
    "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 64},
    "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": true, "endpoints": [
        {"name": "a", "address": "10.0.0.1:80", "zone": "east", "type": "std", "group": 0, "status": "up", "weight": 4},
        {"name": "b", "address": "10.0.0.2:80", "zone": "east", "type": "std", "group": 1, "status": "up", "weight": 4},
        {"name": "c", "address": "10.0.0.3:80", "zone": "east", "type": "std", "group": 2, "status": "up", "weight": 4}
    ]}}]},
    "settings": {"balancers": 1, "myZone": 0, "azs": ["east"], "hostTypes": ["std"], "tenants": [{"name": "acme"}],
        "familyInfo": {"ladderKb": [100, 200, 400], "levelWorth": [0.3, 0.6, 1], "linkUnitKb": 1000, "positions": 3,
            "kindStreams": [20], "see": 800},
        "limits": {"mostTries": 3, "cancelling": true, "dialTimeout": 250},
        "rules": {"fall": 2000, "fallMultiple": 2, "startCapacity": 0.5, "warmAfter": 10000},
        "services": [{"name": "clip", "aim": 800, "deadline": 3000, "credit": 1, "effect": "retryable"}]}}"#;

/// Tag of the session that already plays at node `a` when the director starts.
const HANDED_OVER_TAG: u64 = 0xa0;

/// Drives a gateway with simulated time and records a trace of its actions.
pub struct Harness {
    gateway: Gateway,
    config: Config,
    now: Instant,
    /// Names of the connections to nodes, such as `a0`.
    upstream_names: BTreeMap<UpstreamId, String>,
    trace: String,
}

impl Harness {
    /// A gateway whose engine has started; one session was handed over and plays at node `a`.
    pub fn started() -> Harness {
        let mut harness = Harness::with_passed_check();
        harness.viewer_sends(0, &setup_line(HANDED_OVER_TAG, "home:0;copies:3;top:2;at:a", "handed over"));
        harness.advance(101.0);
        harness
    }

    /// A gateway that has just passed its first health check. The engine starts 100 ms later.
    fn with_passed_check() -> Harness {
        Harness::with_passed_check_and_config(CONFIG)
    }

    fn with_passed_check_and_config(config: &str) -> Harness {
        let config = Config::parse(config).unwrap();
        let now = Instant::from_ms(1e9);
        let mut gateway = Gateway::new(&config, now);
        let updates = config
            .known_nodes
            .clone()
            .events_after(0)
            .into_iter()
            .map(|e| e.into_discovery_update(&config.site.names))
            .collect();
        gateway.process(now, [Event::DiscoveryUpdates(updates)]);
        let mut harness =
            Harness { gateway, config, now, upstream_names: BTreeMap::new(), trace: String::new() };
        harness
            .viewer_connects(0)
            .viewer_sends(0, r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#);
        harness
    }

    /// Passes events to the gateway and appends its actions to the trace.
    pub fn process(&mut self, events: impl IntoIterator<Item = Event>) -> &mut Harness {
        let mut idle_closes = Vec::new();
        for action in self.gateway.process(self.now, events) {
            let text = |line: &Bytes| String::from_utf8_lossy(line).trim_end().replace("00000000000000", "");
            let entry = match action {
                Action::SendDownstream(viewer, line) => format!("viewer {} < {}", viewer.0, text(&line)),
                Action::SendDownstreamAfterClose(viewer, line) => {
                    format!("viewer {} (closed) < {}", viewer.0, text(&line))
                }
                Action::CloseDownstream(viewer) => format!("viewer {} closed", viewer.0),
                // Nothing is in transit from the viewer, so the connection closes.
                Action::CloseDownstreamIfIdle(viewer) => {
                    idle_closes.push(Event::DownstreamClosed(viewer, Vec::new()));
                    format!("viewer {} closed", viewer.0)
                }
                Action::ConnectUpstream(upstream, address) => {
                    let name =
                        ["a", "b", "c"].get(usize::from(address.ip().to_string().as_bytes()[7] - b'1'));
                    let name = format!("{}{}", name.unwrap_or(&"?"), upstream.0);
                    let entry = format!("connect {name}");
                    self.upstream_names.insert(upstream, name);
                    entry
                }
                Action::SendUpstream(upstream, line) => {
                    format!("node {} < {}", self.upstream_names[&upstream], text(&line))
                }
                Action::StopListening => "stop listening".to_string(),
                Action::CloseUpstream(upstream) => format!("close {}", self.upstream_names[&upstream]),
            };
            let _ = writeln!(self.trace, "{entry}");
        }
        if !idle_closes.is_empty() {
            self.process(idle_closes);
        }
        self
    }

    pub fn viewer_connects(&mut self, viewer: u64) -> &mut Harness {
        self.process([Event::DownstreamOpened(DownstreamId(viewer), IpAddr::from([10, 9, 9, viewer as u8]))])
    }

    pub fn viewer_sends(&mut self, viewer: u64, line: &str) -> &mut Harness {
        let message = Message::parse(line.as_bytes()).unwrap();
        self.process([Event::DownstreamMessage(DownstreamId(viewer), message)])
    }

    /// Sends a SETUP request for a title that all nodes hold.
    pub fn request_session(&mut self, viewer: u64, tag: u64) -> &mut Harness {
        self.viewer_sends(viewer, &setup_line(tag, "home:0;copies:3;top:2", "v=0"))
    }

    pub fn gateway_is_finished(&self) -> bool {
        self.gateway.is_shutdown_finished(self.now)
    }

    fn upstream(&self, name: &str) -> UpstreamId {
        *self.upstream_names.iter().find(|(_, known)| *known == name).unwrap().0
    }

    pub fn node_connected(&mut self, name: &str) -> &mut Harness {
        let upstream = self.upstream(name);
        self.process([Event::UpstreamConnected(upstream)])
    }

    pub fn node_disconnected(&mut self, name: &str, reason: CloseReason) -> &mut Harness {
        let upstream = self.upstream(name);
        self.process([Event::UpstreamClosed(upstream, reason, Vec::new())])
    }

    /// Delivers a message of a node; `rest` holds the JSON fields after the tag.
    pub fn node_sends(&mut self, name: &str, verb: &str, tag: u64, rest: &str) -> &mut Harness {
        self.node_sends_all(name, &[(verb, tag, rest)])
    }

    /// Delivers several messages of a node in one call.
    pub fn node_sends_all(&mut self, name: &str, messages: &[(&str, u64, &str)]) -> &mut Harness {
        let events: Vec<Event> =
            messages.iter().map(|(verb, tag, rest)| self.node_message(name, verb, *tag, rest)).collect();
        self.process(events)
    }

    /// Returns the event of a node's message; `rest` holds the JSON fields after the tag.
    pub fn node_message(&self, name: &str, verb: &str, tag: u64, rest: &str) -> Event {
        let line = format!(r#"{{"verb":"{verb}","tag":"{tag:016x}"{rest}}}"#);
        Event::UpstreamMessage(self.upstream(name), Message::parse(line.as_bytes()).unwrap())
    }

    /// Delivers the events of a batch that follow the one numbered `last_offset`.
    pub fn publish(&mut self, batch: &str, last_offset: u64) -> &mut Harness {
        let batch: Batch = serde_json::from_str(batch).unwrap();
        let names = self.config.site.names.clone();
        self.process([Event::DiscoveryUpdates(
            batch.events_after(last_offset).into_iter().map(|e| e.into_discovery_update(&names)).collect(),
        )])
    }

    /// Advances the time from deadline to deadline. Actions are preceded in the trace by the time that has
    /// passed.
    pub fn advance(&mut self, ms: f64) -> &mut Harness {
        let (from, until) = (self.now, self.now + Span::from_ms(ms));
        loop {
            self.now = self.gateway.next_deadline().max(self.now).min(until);
            let before = self.trace.len();
            self.process([]);
            if self.trace.len() > before {
                self.trace.insert_str(before, &format!("after {:.0} ms:\n", (self.now - from).as_ms()));
            }
            if self.now >= until {
                return self;
            }
        }
    }

    /// Returns the trace since the last call and clears it.
    pub fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }

    /// Compares the trace since the last call and clears it.
    pub fn expect_trace(&mut self, expected: Expect) -> &mut Harness {
        expected.assert_eq(&std::mem::take(&mut self.trace));
        self
    }
}

/// A SETUP request of a viewer.
fn setup_line(tag: u64, extras: &str, description: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","tenant":"acme","key":"7f3a","extras":"{extras}"}},"blob":"{description}"}}"#
    )
}

#[test]
fn a_session_plays_and_is_ended_by_its_viewer_or_its_node() {
    let mut harness = Harness::started();
    harness.node_connected("a0").node_sends("a0", "NOTICE", 0xa0, r#","opts":{"note":"r","value":1}"#);
    harness.viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.node_sends("c1", "PENDING", 0x01, "").node_sends(
        "c1",
        "STARTED",
        0x01,
        r#","opts":{},"blob":"m=1""#,
    );
    // A duplicate answer, and an answer with an unknown tag, are ignored.
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=2""#);
    harness.node_sends("c1", "STARTED", 0x77, r#","opts":{},"blob":"m=1""#).expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
    "#]]);
    // The viewer ends the session: a release goes to its node, and the node's own release is not
    // forwarded.
    harness.viewer_sends(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    harness.node_sends("c1", "FINISH", 0x01, r#","opts":{},"rc":31"#);
    // The node ends the session that was handed over.
    harness.node_sends("a0", "FINISH", 0xa0, r#","opts":{"load":"x0:0.5"},"rc":16"#).expect_trace(expect![[
        r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#
    ]]);
}

#[test]
fn invalid_requests_are_refused_without_effect_on_others() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).viewer_connects(2).expect_trace(
        expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
    "#]],
    );
    // The tag of a pending request, used on another connection: refused there, and the first request
    // continues.
    harness.viewer_sends(2, &setup_line(0x01, "home:0;copies:3;top:2", "other")).node_connected("c1");
    // Two requests with one tag on one connection: neither is served.
    harness.request_session(2, 0x02).viewer_sends(2, &setup_line(0x02, "home:0;copies:3;top:2", "other")).expect_trace(expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"01","opts":{},"rc":100}
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        node a0 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 2 < {"verb":"FINISH","tag":"02","opts":{},"rc":100}
        node a0 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
    "#]]);
    // Cancelling an unknown session has no effect; a message that only nodes send closes the connection.
    harness.viewer_sends(2, r#"{"verb":"FINISH","tag":"0000000000000077","opts":{},"rc":16}"#);
    harness.viewer_sends(2, r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"m=1"}"#);
    // A viewer disconnects before its answer: its SETUP is cancelled at the node.
    harness.process([Event::DownstreamClosed(DownstreamId(1), Vec::new())]).expect_trace(expect![[r#"
        viewer 2 closed
        viewer 1 (closed) < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // A connection that sends nothing useful is closed, and so is one without sessions.
    harness.viewer_connects(3).viewer_connects(4).request_session(4, 0x04);
    harness.viewer_sends(4, r#"{"verb":"FINISH","tag":"0000000000000004","opts":{},"rc":16}"#);
    harness.advance(6000.0).expect_trace(expect![[r#"
        connect b2
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 2399 ms:
        viewer 3 closed
        after 3649 ms:
        node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
        after 4399 ms:
        connect a3
        after 5149 ms:
        viewer 4 closed
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        close a0
        close a3
        connect a4
        after 5399 ms:
        viewer 0 closed
    "#]]);
}

#[test]
fn a_protocol_error_fails_all_setups_of_its_connection() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1").request_session(1, 0x02).expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        node a0 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
    "#]]);
    // A session that may have started there is released on the next connection.
    harness.node_disconnected("c1", CloseReason::ProtocolError).expect_trace(expect![[r#"
        connect b2
    "#]]);
    harness.advance(400.0).node_connected("c3").expect_trace(expect![[r#"
        after 399 ms:
        connect c3
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node a0 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
        close a0
        connect a4
        node c3 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        node c3 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"200","rung":"2"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_cancelled_setup_is_released_if_it_still_starts() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    // The node has sent a message since, so the connection works and only the answer is late.
    harness.advance(200.0).node_sends("c1", "PENDING", 0x01, "").advance(250.0).expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        after 199 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 200 ms:
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        connect b2
    "#]]);
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).expect_trace(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_connection_silent_since_its_setup_is_abandoned_with_it() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1").advance(450.0).expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        close c1
        connect c2
        connect b3
    "#]]);
}

#[test]
fn sessions_of_a_vanished_machine_are_released_within_eight_seconds() {
    let mut harness = Harness::started();
    harness
        .node_connected("a0")
        .expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
    "#]])
        .advance(8000.0)
        .expect_trace(expect![[r#"
            after 399 ms:
            node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
            after 3649 ms:
            node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
            after 4399 ms:
            connect a1
            after 5149 ms:
            viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
            close a0
            close a1
            after 5399 ms:
            viewer 0 closed
        "#]]);
}

#[test]
fn a_refused_connection_ends_sessions_and_a_reset_one_does_not() {
    let mut harness = Harness::started();
    harness.node_connected("a0").expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
    "#]]);
    harness.advance(500.0).node_disconnected("a0", CloseReason::Lost).node_connected("a1").advance(500.0);
    harness.node_sends("a1", "NOTICE", 0xa0, r#","opts":{"note":"d","value":0.5}"#).expect_trace(expect![[
        r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        connect a1
    "#
    ]]);
    harness
        .node_disconnected("a1", CloseReason::Lost)
        .node_disconnected("a2", CloseReason::Refused)
        .expect_trace(expect![[r#"
        connect a2
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

#[test]
fn a_new_name_at_a_known_address_is_another_node_and_a_restarted_node_has_lost_its_sessions() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1").node_sends(
        "c1",
        "STARTED",
        0x01,
        r#","opts":{},"blob":"m=1""#,
    );
    harness.expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
    "#]]);
    // Events after a gap are ignored.
    harness.publish(
        r#"{"offset":9,"batch":[{"offset":9,"topology":{"endpoints":[{"name":"c","status":"removed"}]}}]}"#,
        1,
    );
    harness.advance(1000.0).expect_trace(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
    let d = r#"{"name":"d","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"up","weight":4}"#;
    let c = r#"{"name":"c","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"removed","weight":4}"#;
    let a = r#"{"name":"a","address":"10.0.0.1:80","zone":"east","type":"std","group":0,"status":"up","weight":4,"since_ms":1000000900}"#;
    harness.publish(
        &format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{c},{d},{a}]}}}}]}}"#),
        1,
    );
    harness.expect_trace(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        close a0
    "#]]);
    // Messages on the old connection still belong to `c`; after it closes, `c` is not reconnected at that
    // address.
    harness
        .node_sends("c1", "NOTICE", 0x01, r#","opts":{"note":"d","value":0.5}"#)
        .node_disconnected("c1", CloseReason::Lost);
    harness.advance(300.0).expect_trace(expect![[r#"
        node c1 < {"verb":"RATE","tag":"01","opts":{"rung":"1"}}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
    "#]]);
}

/// Sends SETUP requests, one for each tag, for a title that only node `c` holds. In slow start, the node gets
/// only some of them.
pub fn request_from_one_node(harness: &mut Harness, tags: std::ops::Range<u64>) -> &mut Harness {
    for tag in tags {
        harness.viewer_sends(1, &setup_line(tag, "home:2;copies:1;top:0", "v=0"));
    }
    harness
}

#[test]
fn a_node_that_accepts_a_connection_at_once_after_a_reset_is_not_put_into_slow_start() {
    let mut harness = Harness::started();
    request_from_one_node(harness.node_connected("a0").viewer_connects(1), 1..2)
        .node_connected("c1")
        .take_trace();
    harness
        .advance(300.0)
        .node_sends("c1", "PENDING", 0x01, "")
        .node_disconnected("c1", CloseReason::Lost)
        .node_connected("c2")
        .expect_trace(expect![[r#"
        connect c2
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
        node c2 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // The kernel may have accepted the connection for a process that is being killed: the node stays in slow
    // start until a message arrives.
    request_from_one_node(&mut harness, 8..14).expect_trace(expect![[r#"
        node c2 < {"verb":"START","tag":"08","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"09","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        viewer 1 < {"verb":"FINISH","tag":"0a","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0b","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0c","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0d","opts":{},"rc":34}
    "#]]);
    harness.node_sends("c2", "FINISHED", 0x01, "");
    request_from_one_node(&mut harness, 2..8).expect_trace(expect![[r#"
        node c2 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_node_that_reports_its_lost_sessions_is_not_put_into_slow_start() {
    let mut harness = Harness::started();
    request_from_one_node(harness.node_connected("a0").viewer_connects(1), 1..3)
        .node_connected("c1")
        .node_sends("c1", "STARTED", 1, r#","opts":{},"blob":"m=1""#);
    harness
        .node_sends("c1", "FINISH", 2, r#","opts":{},"rc":41"#)
        .node_sends("c1", "FINISH", 1, r#","opts":{},"rc":41"#)
        .take_trace();
    request_from_one_node(&mut harness, 3..8).expect_trace(expect![[r#"
        node c1 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_stalled_node_is_in_slow_start_until_a_message_about_an_earlier_session() {
    let mut harness = Harness::started();
    request_from_one_node(harness.node_connected("a0").viewer_connects(1), 1..2)
        .node_connected("c1")
        .node_sends("c1", "STARTED", 1, r#","opts":{},"blob":"m=1""#)
        .take_trace();
    request_from_one_node(harness.advance(50.0), 2..3).advance(450.0).node_connected("c2").expect_trace(expect![[r#"
        node c1 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        after 349 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node c1 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
        close c1
        connect c2
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":34}
        node c2 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
    "#]]);
    request_from_one_node(&mut harness, 3..9).expect_trace(expect![[r#"
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        viewer 1 < {"verb":"FINISH","tag":"04","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"05","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"06","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"07","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"08","opts":{},"rc":34}
    "#]]);
    // The node may have restarted: slow start limits it. Then a message about an earlier session shows that
    // it has not.
    harness.node_sends("c2", "FINISH", 1, r#","opts":{},"rc":16"#).take_trace();
    request_from_one_node(&mut harness, 9..12).expect_trace(expect![[r#"
        node c2 < {"verb":"START","tag":"09","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"0a","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"0b","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_draining_director_fails_health_checks_and_serves_requests() {
    let mut harness = Harness::started();
    harness.node_connected("a0").process([Event::DrainStarted]).viewer_connects(1);
    harness
        .viewer_sends(1, r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#)
        .request_session(1, 0x01)
        .expect_trace(expect![[r#"
            viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
            connect a0
            viewer 1 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":0}
            connect c1
        "#]]);
}

#[test]
fn every_field_of_a_setup_request_is_checked() {
    let site = Config::parse(CONFIG).unwrap().site;
    let good = setup_line(1, "home:0;copies:3;top:2", "v=0");
    let swap = |from: &str, to: &str| good.replace(from, to);
    let results: String = [
        good.clone(),
        swap("\"clip\"", "\"film\""),
        swap("\"acme\"", "\"nobody\""),
        swap("\"3000\"", "\"-3\""),
        swap("\"3000\"", "1e300"),
        swap("\"3000\"", "\"NaN\""),
        swap("\"7f3a\"", "\"7f3a9c21e0b4d65501\""),
        swap("home:0", "home:3"),
        swap("home:0", "home:0;home:1"),
        swap("copies:3", "copies:0"),
        swap("top:2", "top:1.5"),
        swap("top:2", "top"),
        swap(",\"blob\":\"v=0\"", ""),
    ]
    .iter()
    .map(|line| match setup_request::parse(&Message::parse(line.as_bytes()).unwrap(), &site) {
        Ok(request) => format!("{:?} of {}\n", request.viewer_request.title, request.class),
        Err(error) => format!("{error}\n"),
    })
    .collect();
    expect![[r#"
        TitleId(32570) of clip
        class: "film" is unknown
        tenant: "nobody" is unknown
        left: "-3" is not a time of up to 3000 ms
        left: "1e+300" is not a time of up to 3000 ms
        left: "NaN" is not a time of up to 3000 ms
        key: "7f3a9c21e0b4d65501" is not a number of up to 16 hex digits
        home: "3" is not an integer from 0 to 2
        extras: duplicate home
        copies: "0" is not an integer from 1 to 3
        top: "1.5" is not an integer from 0 to 255
        extras: "top" has no value
        blob: is missing
    "#]]
    .assert_eq(&results);
}

#[test]
fn parse_errors_name_their_position() {
    let results: String = [
        "",
        "{",
        "[]",
        r#"{"verb":"BEGIN"}"#,
        r#"{"verb":"START","tag":7}"#,
        r#"{"verb":"START","verb":"ECHO"}"#,
        r#"{"verb":"START","opts":{"left":"1","left":"2"}}"#,
        r#"{"verb":"START","opts":{"left":{}}}"#,
        r#"{"verb":"FINISH","rc":-1}"#,
        r#"{"verb":"START","blob":"\ud800"}"#,
        r#"{"verb":"ECHO","tag":"xyz"}"#,
    ]
    .iter()
    .map(|line| match Message::parse(line.as_bytes()) {
        Ok(message) => format!("{message:?}\n"),
        Err(error) => format!("{error}\n"),
    })
    .collect();
    expect![[r#"
        EOF while parsing a value at line 1 column 0
        EOF while parsing an object at line 1 column 1
        expected a JSON object
        unknown variant `BEGIN`, expected one of `START`, `PENDING`, `STARTED`, `FINISH`, `FINISHED`, `ECHO`, `ECHOED`, `NOTICE`, `MOVE`, `RATE` at line 1 column 15
        invalid type: integer `7`, expected a string at line 1 column 23
        duplicate field `verb` at line 1 column 22
        duplicate field "left" at line 1 column 46
        data did not match any variant of untagged enum TextOrNumber at line 1 column 34
        invalid value: integer `-1`, expected u16 at line 1 column 24
        unexpected end of hex escape at line 1 column 31
        Message { verb: Echo, tag: None, opts: Opts({}), cause: None, description: None }
    "#]].assert_eq(&results);
}

proptest! {
    /// Guards against a decoder whose result depends on how the bytes are split into reads: any input in any
    /// pieces gives the same lines, without a panic and without complete lines left in the buffer.
    #[test]
    fn decoded_lines_do_not_depend_on_read_boundaries(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), any::<u8>()], 0..400),
                                                cuts in prop::collection::vec(1usize..40, 1..40)) {
        let mut expected: Vec<&[u8]> = bytes.split(|&byte| byte == b'\n').collect();
        expected.pop();
        let (mut decoder, mut buffer, mut decoded) = (LineDecoder::default(), BytesMut::new(), Vec::new());
        let mut rest = &bytes[..];
        for &cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at(cut.min(rest.len()));
            buffer.extend_from_slice(now);
            while let Some(line) = decoder.decode(&mut buffer).unwrap() {
                let _ = Message::parse(&line);
                decoded.push(line);
            }
            prop_assert!(!buffer.contains(&b'\n'));
            rest = later;
        }
        prop_assert_eq!(decoded, expected);
    }

    /// A line is rejected as soon as it exceeds the limit, whether or not its line feed has arrived.
    #[test]
    fn a_line_too_long_is_rejected_before_its_end(over in 1usize..200, ended: bool) {
        let mut decoder = LineDecoder::default();
        let mut buffer = BytesMut::from(&vec![b'x'; line_decoder::MAX_LINE_BYTES][..]);
        prop_assert!(decoder.decode(&mut buffer).unwrap().is_none());
        buffer.extend_from_slice(&vec![b'x'; over]);
        if ended {
            buffer.extend_from_slice(b"\n");
        }
        prop_assert!(decoder.decode(&mut buffer).is_err());
    }
}

#[test]
fn the_setup_timeout_runs_before_the_engine_starts() {
    let mut harness = Harness::with_passed_check();
    let short_timeout = setup_line(0x01, "home:0;copies:3;top:2", "v=0").replace("3000", "300");
    // Of the 300 ms, 20 are reserved for the answer's transmission and 60 pass until the engine starts.
    harness.viewer_connects(1).advance(40.0).viewer_sends(1, &short_timeout).advance(61.0).node_connected("a0").expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        after 60 ms:
        connect a0
        node a0 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"219","rung":"2"},"blob":"v=0"}
    "#]]);
    // No node answers: the viewer is refused before its timeout.
    harness.advance(230.0).expect_trace(expect![[r#"
        after 219 ms:
        node a0 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        close a0
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]]);
}

#[test]
fn a_load_report_in_a_health_check_reply_is_used() {
    let traces = ["0.1", "1.2"].map(|demand| {
        let mut harness = Harness::started();
        harness.node_connected("a0").advance(3900.0);
        let report = format!(r#","opts":{{"load":"x0:{demand}"}},"rc":1"#);
        harness.node_sends("a0", "ECHOED", 0x8c1f30d27a5be964, &report).viewer_connects(1).take_trace();
        harness.viewer_sends(1, &setup_line(0x01, "home:0;copies:1;top:2", "v=0"));
        format!("link demand {demand}\n{}", harness.take_trace())
    });
    expect![[r#"
        link demand 0.1
        node a0 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        link demand 1.2
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]].assert_eq(&traces.concat());
}

#[test]
fn a_failed_health_check_is_no_sign_that_sessions_still_play() {
    let mut harness = Harness::started();
    harness.node_connected("a0").advance(3900.0);
    harness.node_sends("a0", "ECHOED", 0x8c1f30d27a5be964, r#","opts":{},"rc":0"#).advance(500.0);
    harness.node_disconnected("a1", CloseReason::Refused).expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 3649 ms:
        node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
        after 499 ms:
        connect a1
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

/// Guards against a session that stays open at a removed node: the node is removed while a SETUP is
/// outstanding, and when its connection then closes, a release is queued that can never be sent. That line
/// must not delay the end of other sessions there.
#[test]
fn sessions_of_a_removed_node_end_despite_a_queued_line() {
    let mut harness = Harness::started();
    request_from_one_node(harness.node_connected("a0").viewer_connects(1), 1..2).node_connected("c1");
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).advance(4000.0);
    request_from_one_node(&mut harness, 2..3).take_trace();
    let c = r#"{"name":"c","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"removed","weight":4}"#;
    harness
        .publish(&format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{c}]}}}}]}}"#), 1);
    harness.node_disconnected("c1", CloseReason::Lost).advance(4000.0).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":34}
        after 399 ms:
        connect a2
        after 1149 ms:
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        close a0
        close a2
        after 1399 ms:
        viewer 0 closed
    "#]]);
}

/// Helpers for scenarios in which several events are processed in one call, and for other configurations.
impl Harness {
    fn viewer_message(viewer: u64, line: &str) -> Event {
        Event::DownstreamMessage(DownstreamId(viewer), Message::parse(line.as_bytes()).unwrap())
    }

    pub fn viewer_close(viewer: u64) -> Event {
        Event::DownstreamClosed(DownstreamId(viewer), Vec::new())
    }

    /// Like [`Harness::started`], with `from` replaced by `to` in the configuration.
    pub fn started_with(from: &str, to: &str) -> Harness {
        assert!(CONFIG.contains(from));
        let mut harness = Harness::with_passed_check_and_config(&CONFIG.replace(from, to));
        harness.viewer_sends(0, &setup_line(HANDED_OVER_TAG, "home:0;copies:3;top:2;at:a", "handed over"));
        harness.advance(101.0).take_trace();
        harness
    }
}

#[test]
fn a_viewer_that_leaves_in_the_call_in_which_a_connection_is_established_gets_no_setup() {
    for cancelling in ["true", "false"] {
        for connected_first in [true, false] {
            let mut harness =
                Harness::started_with(r#""cancelling": true"#, &format!(r#""cancelling": {cancelling}"#));
            harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).take_trace();
            let connected = Event::UpstreamConnected(harness.upstream("c1"));
            let events = if connected_first {
                [connected, Harness::viewer_close(1)]
            } else {
                [Harness::viewer_close(1), connected]
            };
            harness.process(events).expect_trace(expect![[r#"
                viewer 1 (closed) < {"verb":"FINISH","tag":"01","opts":{},"rc":42}
            "#]]);
            // No state of it is left: the next request is sent at once.
            harness.viewer_connects(2).request_session(2, 0x02);
            assert!(
                harness.take_trace().contains(r#""tag":"02""#),
                "cancelling {cancelling}, connected first {connected_first}"
            );
        }
    }
}

#[test]
fn a_flood_of_requests_delays_no_close_and_no_cancellation() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).viewer_connects(2).viewer_connects(3).take_trace();
    let request =
        |viewer, tag| Harness::viewer_message(viewer, &setup_line(tag, "home:0;copies:3;top:0", "v=0"));
    // Behind fifty requests on each connection, one viewer disconnects and another one cancels.
    let mut events: Vec<Event> =
        (0..50).flat_map(|n| [request(1, 0x100 + n), request(2, 0x200 + n), request(3, 0x300 + n)]).collect();
    events.extend([request(2, 0x02), request(3, 0x03)]);
    harness.process(events);
    let cancel = r#"{"verb":"FINISH","tag":"0000000000000003","opts":{},"rc":16}"#;
    harness
        .process([Harness::viewer_close(2), Harness::viewer_message(3, cancel)])
        .process([])
        .process([])
        .process([]);
    let trace = harness.take_trace();
    // No SETUP is sent for either. The one that disconnected gets a refusal, in case it closed only its
    // sending half.
    let entries = |tag| trace.lines().filter(|line| line.contains(tag)).collect::<Vec<_>>();
    assert_eq!(
        entries(r#""tag":"02""#),
        [r#"viewer 2 (closed) < {"verb":"FINISH","tag":"02","opts":{},"rc":42}"#]
    );
    assert_eq!(entries(r#""tag":"03""#), [""; 0], "{trace}");
    // All other requests have been handled in four calls, in turns: of the connection that ended, those of the first
    // call.
    assert_eq!(harness.gateway.tally().unwrap().asked, 50 + 11 + 50);
    assert!(harness.gateway.next_deadline() > harness.now);
}

#[test]
fn the_setup_timeout_runs_while_a_request_is_queued() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).take_trace();
    let short_timeout = setup_line(0x02, "home:0;copies:3;top:0", "v=0").replace("3000", "200");
    let flood = (0x100..0x140)
        .map(|tag| Harness::viewer_message(1, &setup_line(tag, "home:0;copies:3;top:0", "v=0")));
    let events: Vec<Event> = flood.chain([Harness::viewer_message(1, &short_timeout)]).collect();
    // The process is stalled for so long that less than the answer margin is left.
    harness.process(events).process([]);
    harness.now = harness.now + Span::from_ms(500.0);
    harness.process([]);
    let trace = harness.take_trace();
    let entries: Vec<&str> = trace.lines().filter(|line| line.contains(r#""tag":"02""#)).collect();
    assert_eq!(entries, [r#"viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":42}"#]);
}

#[test]
fn an_unwritten_answer_releases_its_session() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).take_trace();
    let answer = r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"m=1"}"#;
    harness
        .process([Event::DownstreamClosed(DownstreamId(1), vec![Bytes::from(format!("{answer}\n"))])])
        .expect_trace(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_release_waits_up_to_eight_seconds_for_a_connection_of_its_client() {
    let released_after = |ms| {
        let mut harness = Harness::started();
        harness.node_connected("a0").process([Harness::viewer_close(0)]).node_sends(
            "a0",
            "FINISH",
            0xa0,
            r#","opts":{},"rc":16"#,
        );
        harness.advance(ms).take_trace();
        // A connection of another client, then two of the same client.
        harness.viewer_connects(1);
        harness.process([Event::DownstreamOpened(DownstreamId(2), IpAddr::from([10, 9, 9, 0]))]);
        harness.process([Event::DownstreamOpened(DownstreamId(3), IpAddr::from([10, 9, 9, 0]))]);
        harness.take_trace()
    };
    expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]
    .assert_eq(&released_after(7000.0));
    assert_eq!(released_after(9000.0), "");
}

#[test]
fn an_unwritten_release_is_sent_on_another_connection() {
    let mut harness = Harness::started();
    harness
        .node_connected("a0")
        .process([Event::DownstreamOpened(DownstreamId(1), IpAddr::from([10, 9, 9, 0]))])
        .take_trace();
    harness.node_sends("a0", "FINISH", 0xa0, r#","opts":{},"rc":16"#);
    let line = Bytes::from("{\"verb\":\"FINISH\",\"tag\":\"00000000000000a0\",\"opts\":{},\"rc\":16}\n");
    harness.process([Event::DownstreamUndelivered(DownstreamId(0), line)]).expect_trace(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
        viewer 1 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_line_queued_for_a_node_survives_failed_connection_attempts() {
    let mut harness = Harness::started();
    harness
        .node_connected("a0")
        .viewer_connects(1)
        .request_session(1, 0x01)
        .node_connected("c1")
        .process([Harness::viewer_close(1)])
        .take_trace();
    // The release that was written may have been lost with the connection.
    harness.node_disconnected("c1", CloseReason::Lost).advance(600.0).expect_trace(expect![[r#"
        after 399 ms:
        connect c2
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
    harness.node_disconnected("c2", CloseReason::ConnectFailed).advance(800.0).expect_trace(expect![[r#"
        after 549 ms:
        connect c3
    "#]]);
    harness.node_disconnected("c3", CloseReason::ConnectFailed).advance(1500.0).expect_trace(expect![[r#"
        after 999 ms:
        connect c4
    "#]]);
    harness.node_connected("c4").expect_trace(expect![[r#"
        node c4 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_release_that_a_node_confirmed_is_not_sent_again() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).node_connected("c1");
    harness.node_sends("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    harness.viewer_sends(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).take_trace();
    harness
        .node_sends("c1", "FINISH", 0x01, r#","opts":{},"rc":31"#)
        .node_disconnected("c1", CloseReason::Lost)
        .advance(300.0)
        .expect_trace(expect![[""]]);
}

#[test]
fn a_refused_connection_ends_only_sessions_older_than_its_attempt() {
    let mut harness = Harness::started();
    harness.node_connected("a0").take_trace();
    // The silent node is checked and another connection is begun; meanwhile it answers after all and starts
    // another session.
    harness.advance(4400.0).take_trace();
    request_from_home(&mut harness, 0x01, 0)
        .node_sends("a0", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#)
        .take_trace();
    harness.node_disconnected("a1", CloseReason::Refused).expect_trace(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

fn request_from_home(harness: &mut Harness, tag: u64, home: u16) -> &mut Harness {
    harness
        .viewer_connects(7)
        .viewer_sends(7, &setup_line(tag, &format!("home:{home};copies:1;top:0"), "v=0"))
}

#[test]
fn a_lack_of_local_descriptors_is_not_held_against_a_node() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1);
    request_from_one_node(&mut harness, 1..2)
        .node_disconnected("c1", CloseReason::NoLocalResources)
        .expect_trace(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        connect a0
        connect c1
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]]);
    // The node is not put into slow start: all further SETUPs are sent to it.
    request_from_one_node(&mut harness, 2..8).node_connected("c2").expect_trace(expect![[r#"
        connect c2
        node c2 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn connections_to_nodes_stay_within_their_descriptor_limit() {
    let mut harness = Harness::started_with(r#""sockets": 64"#, r#""sockets": 18"#);
    // Two descriptors are left for nodes. One connection has a playing session; the other one is unused and
    // is closed.
    harness
        .node_connected("a0")
        .viewer_sends(0, &setup_line(0x01, "home:1;copies:1;top:0", "v=0"))
        .node_connected("b1");
    harness.node_sends("b1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    harness.viewer_sends(0, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    harness.node_sends("b1", "FINISH", 0x01, r#","opts":{},"rc":31"#).take_trace();
    harness.viewer_sends(0, &setup_line(0x02, "home:2;copies:1;top:0", "v=0")).expect_trace(expect![[r#"
        close b1
        connect c2
    "#]]);
}

#[test]
fn no_setup_is_sent_on_a_connection_established_after_the_deadline() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01).take_trace();
    let connected = Event::UpstreamConnected(harness.upstream("c1"));
    // The process is stalled meanwhile.
    harness.now = harness.now + Span::from_ms(3500.0);
    harness.process([connected]).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":42}
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
}

#[test]
fn a_setup_does_not_wait_for_full_connections() {
    let mut harness =
        Harness::started_with(r#""dialTimeout": 250"#, r#""dialTimeout": 250, "maxStreams": 1"#);
    harness.node_connected("a0").viewer_connects(1);
    for (tag, name) in [(1, "c1"), (2, "c2"), (3, "c3"), (4, "c4")] {
        request_from_one_node(&mut harness, tag..tag + 1).node_connected(name);
    }
    harness.take_trace();
    request_from_one_node(&mut harness, 5..6).expect_trace(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"05","opts":{},"rc":34}
    "#]]);
}

#[test]
fn a_session_handed_over_before_its_node_is_listed_plays_for_two_seconds_at_most() {
    let mut harness = Harness::with_passed_check();
    harness.viewer_sends(0, &setup_line(0xa1, "home:0;copies:3;top:2;at:d", "handed over"));
    harness.viewer_sends(0, &setup_line(0xa2, "home:0;copies:3;top:2;at:e", "handed over"));
    harness.advance(101.0);
    let d = r#"{"name":"d","address":"10.0.0.1:80","zone":"east","type":"std","group":2,"status":"up","weight":4}"#;
    harness
        .publish(&format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{d}]}}}}]}}"#), 1);
    harness
        .node_connected("a0")
        .node_sends("a0", "NOTICE", 0xa1, r#","opts":{"note":"r","value":1}"#)
        .advance(2500.0)
        .expect_trace(expect![[r#"
            viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
            connect a0
            after 2149 ms:
            viewer 0 < {"verb":"FINISH","tag":"a2","opts":{},"rc":41}
        "#]]);
}

#[test]
fn an_idle_connection_that_received_a_message_meanwhile_stays_open() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).request_session(1, 0x01);
    harness.viewer_sends(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).take_trace();
    harness.now = harness.now + Span::from_ms(5300.0);
    // The close is requested while the next SETUP request is in transit.
    let now = harness.now;
    let actions = harness.gateway.process(now, []);
    assert!(actions.contains(&Action::CloseDownstreamIfIdle(DownstreamId(1))));
    harness.request_session(1, 0x02).advance(600.0);
    assert!(!harness.take_trace().contains("viewer 1 closed"));
}

#[test]
fn an_invalid_endpoint_does_not_hide_the_others() {
    let mut harness = Harness::started();
    harness.node_connected("a0").viewer_connects(1).take_trace();
    let bad =
        r#"{"name":"x","address":"10.0.0.9:80","group":-1,"status":"up"},{"name":"y","status":"odd"},7"#;
    let good = r#"{"name":"d","address":"10.0.0.2:80","zone":"east","type":"std","group":1,"status":"up","weight":4}"#;
    let gone = r#"{"name":"b","status":"removed"}"#;
    harness.publish(
        &format!(
            r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{bad},{good},{gone}]}}}}]}}"#
        ),
        1,
    );
    harness.viewer_sends(1, &setup_line(0x01, "home:1;copies:1;top:0", "v=0")).expect_trace(expect![[r#"
        connect b1
    "#]]);
}

#[test]
fn a_snapshot_after_a_gap_removes_only_the_nodes_it_does_not_name() {
    let mut harness = Harness::started();
    request_from_one_node(harness.node_connected("a0").viewer_connects(1), 1..2)
        .node_connected("c1")
        .node_sends("c1", "STARTED", 1, r#","opts":{},"blob":"m=1""#);
    harness.take_trace();
    let endpoint = |name: &str, n: u8| {
        format!(
            r#"{{"name":"{name}","address":"10.0.0.{n}:80","zone":"east","type":"std","group":{},"status":"up","weight":4}}"#,
            n - 1
        )
    };
    let nodes = [endpoint("b", 2), endpoint("c", 3)].join(",");
    harness.publish(
        &format!(
            r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"snapshot":true,"endpoints":[{nodes}]}}}}]}}"#
        ),
        1,
    );
    // The session at `c` continues, and the next SETUP uses the same connection. The session at `a` is over with
    // the update, as no message about it has come on that connection, and `a` is not reconnected.
    request_from_one_node(&mut harness, 2..3).node_disconnected("a0", CloseReason::Lost).advance(300.0);
    harness.node_sends("c1", "FINISH", 1, r#","opts":{},"rc":16"#).expect_trace(expect![[r#"
        node a0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        close a0
        node c1 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

/// Returns the event of a request that is refused, as it names a cell that does not exist.
fn invalid_request(viewer: u64, tag: u64) -> Event {
    Harness::viewer_message(viewer, &setup_line(tag, "home:9;copies:3;top:2", "v=0"))
}

/// Guards against a viewer whose request waits behind all that another connection has sent before it.
#[test]
fn a_request_does_not_wait_behind_the_queue_of_another_connection() {
    let mut harness = Harness::started();
    harness.viewer_connects(1).viewer_connects(2).take_trace();
    let flood = (0..500).map(|n| invalid_request(1, 0x100 + n)).chain([invalid_request(2, 0x02)]);
    harness.process(flood);
    // One call handles a part of the queue, in which each connection has its turn.
    let trace = harness.take_trace();
    assert_eq!(trace.matches(r#"viewer 2 < {"verb":"FINISH","tag":"02""#).count(), 1, "{trace}");
    assert!(trace.lines().count() < 100, "{trace}");
}

/// Guards against queued requests that are counted or answered wrongly when they are cancelled or their connection
/// ends, whatever the order of the turns.
#[test]
fn queued_requests_are_cancelled_by_tag_and_by_connection() {
    let mut harness = Harness::started();
    harness.viewer_connects(1).viewer_connects(2).take_trace();
    let cancel = r#"{"verb":"FINISH","tag":"0000000000000010","opts":{},"rc":16}"#;
    // The tag 0x10 is queued on both connections and cancelled on both; the other requests of connection 1 end
    // with the connection.
    let requests = [(1, 0x10), (1, 0x11), (2, 0x10), (2, 0x12)];
    let requests = requests.map(|(viewer, tag)| invalid_request(viewer, tag));
    let leaving = [Harness::viewer_message(2, cancel), Harness::viewer_close(1)];
    harness.process(requests.into_iter().chain(leaving)).expect_trace(expect![[r#"
        viewer 1 (closed) < {"verb":"FINISH","tag":"11","opts":{},"rc":42}
        viewer 2 < {"verb":"FINISH","tag":"12","opts":{},"rc":100}
    "#]]);
}

/// Guards against viewers that are refused because the SETUPs of one connection, in progress at the same time, are all
/// that the connections to the nodes can carry.
#[test]
fn one_connection_does_not_take_all_setups_that_nodes_can_carry() {
    let mut harness =
        Harness::started_with(r#""dialTimeout": 250"#, r#""dialTimeout": 250, "maxStreams": 1"#);
    harness.node_connected("a0").advance(11_000.0).viewer_connects(1).viewer_connects(2);
    // Three nodes with four connections each carry twelve SETUPs in all, one on each connection.
    for tag in 0x10..0x30 {
        harness.request_session(1, tag);
        let connecting: Vec<UpstreamId> = harness.upstream_names.keys().copied().collect();
        harness.process(connecting.into_iter().map(Event::UpstreamConnected));
    }
    let trace = harness.take_trace();
    assert_eq!(trace.matches(r#""verb":"START""#).count(), 6, "{trace}");
    harness.request_session(2, 0x02);
    let connecting: Vec<UpstreamId> = harness.upstream_names.keys().copied().collect();
    harness.process(connecting.into_iter().map(Event::UpstreamConnected));
    let trace = harness.take_trace();
    assert!(trace.contains(r#""verb":"START","tag":"02""#), "{trace}");
}
