//! Stories on the switchboard, and what is refused at its edges.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::IpAddr;

use ashglade::time::{Instant, Span};
use bytes::{Bytes, BytesMut};
use expect_test::{Expect, expect};
use proptest::prelude::*;
use tokio_util::codec::Decoder;

use crate::board::CloseReason;
use crate::bus::Batch;
use crate::{Action, Board, Config, Event, Lines, Link, Message, Trunk, ask, line};

/// Three nodes in one cell each; every title is held by all of them.
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

/// The session that plays when the director starts.
const HANDED_OVER: u64 = 0xa0;

pub struct Stage {
    board: Board,
    config: Config,
    now: Instant,
    dialed: BTreeMap<Trunk, String>,
    shown: String,
}

impl Stage {
    /// A director that has passed its first test; one session plays at `a` already.
    pub fn begun() -> Stage {
        let mut stage = Stage::tested();
        stage.says(0, &start(HANDED_OVER, "home:0;copies:3;top:2;at:a", "handed over"));
        stage.waits(101.0);
        stage
    }

    /// One that has passed its first test just now.
    fn tested() -> Stage {
        Stage::tested_with(CONFIG)
    }

    fn tested_with(config: &str) -> Stage {
        let config = Config::read(config).unwrap();
        let now = Instant::from_ms(1e9);
        let mut board = Board::new(&config, now);
        let news = config.known.clone().after(0).into_iter().map(|e| e.news(&config.site.names)).collect();
        board.turn(now, [Event::Bus(news)]);
        let mut stage = Stage { board, config, now, dialed: BTreeMap::new(), shown: String::new() };
        stage.opens(0).says(0, r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#);
        stage
    }

    pub fn turn(&mut self, events: impl IntoIterator<Item = Event>) -> &mut Stage {
        let mut quiet = Vec::new();
        for action in self.board.turn(self.now, events) {
            let text = |line: &Bytes| String::from_utf8_lossy(line).trim_end().replace("00000000000000", "");
            let told = match action {
                Action::ToViewer(link, line) => format!("viewer {} < {}", link.0, text(&line)),
                Action::LastToViewer(link, line) => format!("viewer {} (closed) < {}", link.0, text(&line)),
                Action::CloseViewer(link) => format!("viewer {} closed", link.0),
                // Nothing of its viewer's is on the way.
                Action::CloseIfQuiet(link) => {
                    quiet.push(Event::Closed(link, Vec::new()));
                    format!("viewer {} closed", link.0)
                }
                Action::Dial(trunk, address) => {
                    let name =
                        ["a", "b", "c"].get(usize::from(address.ip().to_string().as_bytes()[7] - b'1'));
                    let name = format!("{}{}", name.unwrap_or(&"?"), trunk.0);
                    let told = format!("dial {name}");
                    self.dialed.insert(trunk, name);
                    told
                }
                Action::ToNode(trunk, line) => format!("node {} < {}", self.dialed[&trunk], text(&line)),
                Action::HangUp(trunk) => format!("hang up {}", self.dialed[&trunk]),
            };
            let _ = writeln!(self.shown, "{told}");
        }
        if !quiet.is_empty() {
            self.turn(quiet);
        }
        self
    }

    pub fn opens(&mut self, link: u64) -> &mut Stage {
        self.turn([Event::Opened(Link(link), IpAddr::from([10, 9, 9, link as u8]))])
    }

    pub fn says(&mut self, link: u64, line: &str) -> &mut Stage {
        let message = Message::read(line.as_bytes()).unwrap();
        self.turn([Event::Said(Link(link), message)])
    }

    pub fn asks(&mut self, link: u64, tag: u64) -> &mut Stage {
        self.says(link, &start(tag, "home:0;copies:3;top:2", "v=0"))
    }

    fn trunk(&self, name: &str) -> Trunk {
        *self.dialed.iter().find(|(_, known)| *known == name).unwrap().0
    }

    pub fn up(&mut self, name: &str) -> &mut Stage {
        let trunk = self.trunk(name);
        self.turn([Event::Up(trunk)])
    }

    pub fn down(&mut self, name: &str, reason: CloseReason) -> &mut Stage {
        let trunk = self.trunk(name);
        self.turn([Event::Down(trunk, reason, Vec::new())])
    }

    pub fn node(&mut self, name: &str, verb: &str, tag: u64, rest: &str) -> &mut Stage {
        let line = format!(r#"{{"verb":"{verb}","tag":"{tag:016x}"{rest}}}"#);
        let event = Event::Heard(self.trunk(name), Message::read(line.as_bytes()).unwrap());
        self.turn([event])
    }

    pub fn bus(&mut self, batch: &str, held: u64) -> &mut Stage {
        let batch: Batch = serde_json::from_str(batch).unwrap();
        let names = self.config.site.names.clone();
        self.turn([Event::Bus(batch.after(held).into_iter().map(|e| e.news(&names)).collect())])
    }

    /// Lets time pass, in steps as they fall due; each step that shows something is marked with its time.
    pub fn waits(&mut self, ms: f64) -> &mut Stage {
        let (from, until) = (self.now, self.now + Span::from_ms(ms));
        loop {
            self.now = self.board.next_due().max(self.now).min(until);
            let before = self.shown.len();
            self.turn([]);
            if self.shown.len() > before {
                self.shown.insert_str(before, &format!("after {:.0} ms:\n", (self.now - from).as_ms()));
            }
            if self.now >= until {
                return self;
            }
        }
    }

    pub fn shown(&mut self) -> String {
        std::mem::take(&mut self.shown)
    }

    pub fn shows(&mut self, expected: Expect) -> &mut Stage {
        expected.assert_eq(&std::mem::take(&mut self.shown));
        self
    }
}

fn start(tag: u64, extras: &str, description: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"clip","left":"3000","tenant":"acme","key":"7f3a","extras":"{extras}"}},"blob":"{description}"}}"#
    )
}

#[test]
fn a_session_plays_and_is_ended_by_its_viewer_or_its_node() {
    let mut stage = Stage::begun();
    stage.up("a0").node("a0", "NOTICE", 0xa0, r#","opts":{"note":"r","value":1}"#);
    stage.opens(1).asks(1, 0x01).up("c1");
    stage.node("c1", "PENDING", 0x01, "").node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    // A second copy and an answer ahead, under an id that nobody asked for, are no answers.
    stage.node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=2""#);
    stage.node("c1", "STARTED", 0x77, r#","opts":{},"blob":"m=1""#).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
    "#]]);
    // The viewer ends it: its node hears of it, and what the node then says is owed to nobody.
    stage.says(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    stage.node("c1", "FINISH", 0x01, r#","opts":{},"rc":31"#);
    // The node ends the one that was handed over.
    stage.node("a0", "FINISH", 0xa0, r#","opts":{"load":"x0:0.5"},"rc":16"#).shows(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]);
}

#[test]
fn what_cant_be_used_is_refused_and_leaves_others_alone() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).opens(2).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
    "#]]);
    // The id of an open set-up, elsewhere: refused there, and the first goes on.
    stage.says(2, &start(0x01, "home:0;copies:3;top:2", "other")).up("c1");
    // Two under one number on one connection: neither is served.
    stage.asks(2, 0x02).says(2, &start(0x02, "home:0;copies:3;top:2", "other")).shows(expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"01","opts":{},"rc":100}
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        node a0 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 2 < {"verb":"FINISH","tag":"02","opts":{},"rc":100}
        node a0 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
    "#]]);
    // A viewer's message is not a node's; a withdrawal of what nobody holds is nothing.
    stage.says(2, r#"{"verb":"FINISH","tag":"0000000000000077","opts":{},"rc":16}"#);
    stage.says(2, r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"m=1"}"#);
    // Half a session and a close: given up at its node.
    stage.turn([Event::Closed(Link(1), Vec::new())]).shows(expect![[r#"
        viewer 2 closed
        viewer 1 (closed) < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
    // Nobody who says nothing is kept, nor anyone who carries nothing any longer.
    stage.opens(3).opens(4).asks(4, 0x04);
    stage.says(4, r#"{"verb":"FINISH","tag":"0000000000000004","opts":{},"rc":16}"#);
    stage.waits(6000.0).shows(expect![[r#"
        dial b2
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 2399 ms:
        viewer 3 closed
        after 3649 ms:
        node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
        after 4399 ms:
        dial a3
        after 5149 ms:
        viewer 4 closed
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        hang up a0
        hang up a3
        dial a4
        after 5399 ms:
        viewer 0 closed
    "#]]);
}

#[test]
fn a_spoilt_connection_is_dropped_for_all_that_is_open_on_it() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1").asks(1, 0x02).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        node a0 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
    "#]]);
    // What may stand there unknown is released on the next connection.
    stage.down("c1", CloseReason::Spoilt).shows(expect![[r#"
        dial b2
    "#]]);
    stage.waits(400.0).up("c3").shows(expect![[r#"
        after 399 ms:
        dial c3
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node a0 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
        hang up a0
        dial a4
        node c3 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        node c3 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"200","rung":"2"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_set_up_that_was_given_up_is_released_when_it_stands_after_all() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1");
    // Heard of since: the connection is well, the answer is late.
    stage.waits(200.0).node("c1", "PENDING", 0x01, "").waits(250.0).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        after 199 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 200 ms:
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        dial b2
    "#]]);
    stage.node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).shows(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_connection_without_a_word_since_a_set_up_is_given_up_with_it() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1").waits(450.0).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        hang up c1
        dial c2
        dial b3
    "#]]);
}

#[test]
fn a_machine_that_vanishes_unsaid_costs_its_viewers_less_than_eight_seconds() {
    let mut stage = Stage::begun();
    stage
        .up("a0")
        .shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
    "#]])
        .waits(8000.0)
        .shows(expect![[r#"
            after 399 ms:
            node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
            after 3649 ms:
            node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
            after 4399 ms:
            dial a1
            after 5149 ms:
            viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
            hang up a0
            hang up a1
            after 5399 ms:
            viewer 0 closed
        "#]]);
}

#[test]
fn a_node_that_refuses_has_lost_its_sessions_and_one_that_was_only_reset_has_not() {
    let mut stage = Stage::begun();
    stage.up("a0").shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
    "#]]);
    stage.waits(500.0).down("a0", CloseReason::Lost).up("a1").waits(500.0);
    stage.node("a1", "NOTICE", 0xa0, r#","opts":{"note":"d","value":0.5}"#).shows(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        dial a1
    "#]]);
    stage.down("a1", CloseReason::Lost).down("a2", CloseReason::Refused).shows(expect![[r#"
        dial a2
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

#[test]
fn a_node_of_a_new_name_at_an_old_address_is_another_and_one_started_again_has_lost_all() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1").node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    stage.shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        node c1 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        viewer 1 < {"verb":"STARTED","tag":"01","opts":{},"blob":"m=1"}
    "#]]);
    // A gap: nothing is taken but what follows.
    stage.bus(
        r#"{"offset":9,"batch":[{"offset":9,"topology":{"endpoints":[{"name":"c","status":"removed"}]}}]}"#,
        1,
    );
    stage.waits(1000.0).shows(expect![[r#"
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
    let d = r#"{"name":"d","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"up","weight":4}"#;
    let c = r#"{"name":"c","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"removed","weight":4}"#;
    let a = r#"{"name":"a","address":"10.0.0.1:80","zone":"east","type":"std","group":0,"status":"up","weight":4,"since_ms":1000000900}"#;
    stage.bus(
        &format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{c},{d},{a}]}}}}]}}"#),
        1,
    );
    stage.shows(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        hang up a0
    "#]]);
    // What c still says on its old connection is c's; when that ends, nothing is asked at the address.
    stage.node("c1", "NOTICE", 0x01, r#","opts":{"note":"d","value":0.5}"#).down("c1", CloseReason::Lost);
    stage.waits(300.0).shows(expect![[r#"
        node c1 < {"verb":"RATE","tag":"01","opts":{"rung":"1"}}
        after 149 ms:
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
    "#]]);
}

/// Asks for titles that one node alone holds, until its pace as a cold one is used up.
fn asks_one_node(stage: &mut Stage, tags: std::ops::Range<u64>) -> &mut Stage {
    for tag in tags {
        stage.says(1, &start(tag, "home:2;copies:1;top:0", "v=0"));
    }
    stage
}

#[test]
fn a_node_whose_connection_was_reset_and_that_takes_another_at_once_is_not_held_for_cold() {
    let mut stage = Stage::begun();
    asks_one_node(stage.up("a0").opens(1), 1..2).up("c1").shown();
    stage.waits(300.0).node("c1", "PENDING", 0x01, "").down("c1", CloseReason::Lost).up("c2").shows(expect![
        [r#"
        dial c2
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
        node c2 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]
    ]);
    // The machine may have taken it for a process that is being killed: a word shows that it goes on.
    asks_one_node(&mut stage, 8..14).shows(expect![[r#"
        node c2 < {"verb":"START","tag":"08","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"09","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        viewer 1 < {"verb":"FINISH","tag":"0a","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0b","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0c","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"0d","opts":{},"rc":34}
    "#]]);
    stage.node("c2", "FINISHED", 0x01, "");
    asks_one_node(&mut stage, 2..8).shows(expect![[r#"
        node c2 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_node_that_says_itself_what_it_lost_is_not_held_for_cold() {
    let mut stage = Stage::begun();
    asks_one_node(stage.up("a0").opens(1), 1..3).up("c1").node(
        "c1",
        "STARTED",
        1,
        r#","opts":{},"blob":"m=1""#,
    );
    stage
        .node("c1", "FINISH", 2, r#","opts":{},"rc":41"#)
        .node("c1", "FINISH", 1, r#","opts":{},"rc":41"#)
        .shown();
    asks_one_node(&mut stage, 3..8).shows(expect![[r#"
        node c1 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c1 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn a_node_that_stood_still_is_held_for_cold_until_a_session_of_before_speaks() {
    let mut stage = Stage::begun();
    asks_one_node(stage.up("a0").opens(1), 1..2)
        .up("c1")
        .node("c1", "STARTED", 1, r#","opts":{},"blob":"m=1""#)
        .shown();
    asks_one_node(stage.waits(50.0), 2..3).waits(450.0).up("c2").shows(expect![[r#"
        node c1 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        after 349 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 400 ms:
        node c1 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
        hang up c1
        dial c2
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":34}
        node c2 < {"verb":"FINISH","tag":"02","opts":{},"rc":16}
    "#]]);
    asks_one_node(&mut stage, 3..9).shows(expect![[r#"
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        viewer 1 < {"verb":"FINISH","tag":"04","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"05","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"06","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"07","opts":{},"rc":34}
        viewer 1 < {"verb":"FINISH","tag":"08","opts":{},"rc":34}
    "#]]);
    // It may have started again: some of its pace is used up. Then one that stood there before is heard of.
    stage.node("c2", "FINISH", 1, r#","opts":{},"rc":16"#).shown();
    asks_one_node(&mut stage, 9..12).shows(expect![[r#"
        node c2 < {"verb":"START","tag":"09","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"0a","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"0b","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn near_its_end_a_director_fails_tests_and_serves_what_comes() {
    let mut stage = Stage::begun();
    stage.up("a0").turn([Event::Stopping]).opens(1);
    stage.says(1, r#"{"verb":"ECHO","tag":"00000000000000ee","opts":{},"rc":0}"#).asks(1, 0x01).shows(
        expect![[r#"
            viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
            dial a0
            viewer 1 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":0}
            dial c1
        "#]],
    );
}

#[test]
fn every_field_of_a_set_up_is_checked() {
    let site = Config::read(CONFIG).unwrap().site;
    let good = start(1, "home:0;copies:3;top:2", "v=0");
    let swap = |from: &str, to: &str| good.replace(from, to);
    let told: String = [
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
    .map(|line| match ask::read(&Message::read(line.as_bytes()).unwrap(), &site) {
        Ok(ask) => format!("{:?} of {}\n", ask.want.title, ask.class),
        Err(trouble) => format!("{trouble}\n"),
    })
    .collect();
    expect![[r#"
        TitleId(32570) of clip
        class: "film" is unknown
        tenant: "nobody" is unknown
        left: "-3" is not up to 3000 ms
        left: "1e+300" is not up to 3000 ms
        left: "NaN" is not up to 3000 ms
        key: "7f3a9c21e0b4d65501" is not a title
        home: "3" is not from 0 to 2
        extras: home twice
        copies: "0" is not from 1 to 3
        top: "1.5" is not from 0 to 255
        extras: "top" has no value
        blob: is missing
    "#]]
    .assert_eq(&told);
}

#[test]
fn what_cant_be_read_is_told_with_its_place() {
    let told: String = [
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
    .map(|line| match Message::read(line.as_bytes()) {
        Ok(message) => format!("{message:?}\n"),
        Err(trouble) => format!("{trouble}\n"),
    })
    .collect();
    expect![[r#"
        EOF while parsing a value at line 1 column 0
        EOF while parsing an object at line 1 column 1
        an object is wanted
        unknown variant `BEGIN`, expected one of `START`, `PENDING`, `STARTED`, `FINISH`, `FINISHED`, `ECHO`, `ECHOED`, `NOTICE`, `MOVE`, `RATE` at line 1 column 15
        invalid type: integer `7`, expected a string at line 1 column 23
        duplicate field `verb` at line 1 column 22
        two fields named "left" at line 1 column 46
        data did not match any variant of untagged enum Either at line 1 column 34
        invalid value: integer `-1`, expected u16 at line 1 column 24
        unexpected end of hex escape at line 1 column 31
        Message { verb: Echo, tag: None, opts: Opts({}), cause: None, description: None }
    "#]].assert_eq(&told);
}

proptest! {
    /// Whatever comes, however it is cut: no panic, no more held than a line may be long, and the same lines.
    #[test]
    fn lines_are_the_same_however_they_are_cut(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), any::<u8>()], 0..400),
                                                cuts in prop::collection::vec(1usize..40, 1..40)) {
        let mut whole: Vec<&[u8]> = bytes.split(|&byte| byte == b'\n').collect();
        whole.pop();
        let (mut lines, mut buffer, mut told) = (Lines::default(), BytesMut::new(), Vec::new());
        let mut rest = &bytes[..];
        for &cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at(cut.min(rest.len()));
            buffer.extend_from_slice(now);
            while let Some(line) = lines.decode(&mut buffer).unwrap() {
                let _ = Message::read(&line);
                told.push(line);
            }
            prop_assert!(!buffer.contains(&b'\n'));
            rest = later;
        }
        prop_assert_eq!(told, whole);
    }

    /// A line that is too long is refused as soon as it is, with or without its end.
    #[test]
    fn a_line_too_long_is_refused_while_it_arrives(over in 1usize..200, ended: bool) {
        let mut lines = Lines::default();
        let mut buffer = BytesMut::from(&vec![b'x'; line::MOST][..]);
        prop_assert!(lines.decode(&mut buffer).unwrap().is_none());
        buffer.extend_from_slice(&vec![b'x'; over]);
        if ended {
            buffer.extend_from_slice(b"\n");
        }
        prop_assert!(lines.decode(&mut buffer).is_err());
    }
}

#[test]
fn who_asks_before_the_first_round_has_waited_by_then() {
    let mut stage = Stage::tested();
    let hurried = start(0x01, "home:0;copies:3;top:2", "v=0").replace("3000", "300");
    // Of 300 ms, 20 are kept for the way of the answer and 60 pass until the first round.
    stage.opens(1).waits(40.0).says(1, &hurried).waits(61.0).up("a0").shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        after 60 ms:
        dial a0
        node a0 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"219","rung":"2"},"blob":"v=0"}
    "#]]);
    // No node answers: the last word is in time.
    stage.waits(230.0).shows(expect![[r#"
        after 219 ms:
        node a0 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
        hang up a0
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]]);
}

#[test]
fn what_a_test_of_a_silent_node_tells_of_its_load_is_heard() {
    let traces = ["0.1", "1.2"].map(|asked| {
        let mut stage = Stage::begun();
        stage.up("a0").waits(3900.0);
        let told = format!(r#","opts":{{"load":"x0:{asked}"}},"rc":1"#);
        stage.node("a0", "ECHOED", 0x8c1f30d27a5be964, &told).opens(1).shown();
        stage.says(1, &start(0x01, "home:0;copies:1;top:2", "v=0"));
        format!("its link asked for {asked}\n{}", stage.shown())
    });
    expect![[r#"
        its link asked for 0.1
        node a0 < {"verb":"START","tag":"01","opts":{"class":"clip","key":"7f3a","left":"400","rung":"2"},"blob":"v=0"}
        its link asked for 1.2
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]].assert_eq(&traces.concat());
}

#[test]
fn a_failed_test_is_no_word_of_what_stood_at_a_node_past_its_end() {
    let mut stage = Stage::begun();
    stage.up("a0").waits(3900.0);
    stage.node("a0", "ECHOED", 0x8c1f30d27a5be964, r#","opts":{},"rc":0"#).waits(500.0);
    stage.down("a1", CloseReason::Refused).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        after 399 ms:
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
        after 3649 ms:
        node a0 < {"verb":"ECHO","tag":"8c1f30d27a5be964","opts":{},"rc":1}
        after 499 ms:
        dial a1
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

/// A node is told as removed while a SETUP is out there, whose connection then ends: a line is owed for the SETUP that nobody can
/// be told any more, and what stood there is over.
#[test]
fn what_stood_at_a_removed_node_is_released_though_a_line_is_owed_there() {
    let mut stage = Stage::begun();
    asks_one_node(stage.up("a0").opens(1), 1..2).up("c1");
    stage.node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).waits(4000.0);
    asks_one_node(&mut stage, 2..3).shown();
    let c = r#"{"name":"c","address":"10.0.0.3:80","zone":"east","type":"std","group":2,"status":"removed","weight":4}"#;
    stage.bus(&format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{c}]}}}}]}}"#), 1);
    stage.down("c1", CloseReason::Lost).waits(4000.0).shows(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":34}
        after 149 ms:
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        after 399 ms:
        dial a2
        after 1149 ms:
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        hang up a0
        hang up a2
        after 1399 ms:
        viewer 0 closed
    "#]]);
}

/// Turned round by what it is to be told of, for stories in which two events meet in one turn.
impl Stage {
    fn said(link: u64, line: &str) -> Event {
        Event::Said(Link(link), Message::read(line.as_bytes()).unwrap())
    }

    fn closes(link: u64) -> Event {
        Event::Closed(Link(link), Vec::new())
    }

    /// The same director where the settings or limits differ.
    fn begun_with(from: &str, to: &str) -> Stage {
        assert!(CONFIG.contains(from));
        let mut stage = Stage::tested_with(&CONFIG.replace(from, to));
        stage.says(0, &start(HANDED_OVER, "home:0;copies:3;top:2;at:a", "handed over"));
        stage.waits(101.0).shown();
        stage
    }
}

#[test]
fn a_viewer_that_goes_in_the_turn_in_which_a_connection_comes_up_has_gone() {
    for cancelling in ["true", "false"] {
        for first_up in [true, false] {
            let mut stage =
                Stage::begun_with(r#""cancelling": true"#, &format!(r#""cancelling": {cancelling}"#));
            stage.up("a0").opens(1).asks(1, 0x01).shown();
            let up = Event::Up(stage.trunk("c1"));
            let events = if first_up { [up, Stage::closes(1)] } else { [Stage::closes(1), up] };
            stage.turn(events).shows(expect![[r#"
                viewer 1 (closed) < {"verb":"FINISH","tag":"01","opts":{},"rc":42}
            "#]]);
            // Nor is anything of it left: the next one is set up at once.
            stage.opens(2).asks(2, 0x02);
            assert!(stage.shown().contains(r#""tag":"02""#), "cancelling {cancelling}, up first {first_up}");
        }
    }
}

#[test]
fn a_flood_delays_no_close_and_no_cancel() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).opens(2).opens(3).shown();
    let asks = |link, tag| Stage::said(link, &start(tag, "home:0;copies:3;top:0", "v=0"));
    // One that goes and one that takes its set-up back, behind a hundred others.
    let mut events: Vec<Event> = (0x100..0x164).map(|tag| asks(1, tag)).collect();
    events.extend([asks(2, 0x02), asks(3, 0x03)]);
    stage.turn(events);
    let cancel = r#"{"verb":"FINISH","tag":"0000000000000003","opts":{},"rc":16}"#;
    stage.turn([Stage::closes(2), Stage::said(3, cancel)]).turn([]).turn([]).turn([]);
    let shown = stage.shown();
    // Nothing is begun for either; the one that went is refused, should it have closed its half alone.
    let told = |tag| shown.lines().filter(|line| line.contains(tag)).collect::<Vec<_>>();
    assert_eq!(
        told(r#""tag":"02""#),
        [r#"viewer 2 (closed) < {"verb":"FINISH","tag":"02","opts":{},"rc":42}"#]
    );
    assert_eq!(told(r#""tag":"03""#), [""; 0], "{shown}");
    // The others have all been looked at, in four turns.
    assert_eq!(stage.board.tally().unwrap().asked, 100);
    assert!(stage.board.next_due() > stage.now);
}

#[test]
fn a_set_up_that_waits_for_its_turn_goes_on_using_its_time() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).shown();
    let hurried = start(0x02, "home:0;copies:3;top:0", "v=0").replace("3000", "200");
    let flood = (0x100..0x140).map(|tag| Stage::said(1, &start(tag, "home:0;copies:3;top:0", "v=0")));
    let events: Vec<Event> = flood.chain([Stage::said(1, &hurried)]).collect();
    // The machine gives us no turn for a while, of which all but the last 20 ms are over then.
    stage.turn(events).turn([]);
    stage.now = stage.now + Span::from_ms(500.0);
    stage.turn([]);
    let shown = stage.shown();
    let told: Vec<&str> = shown.lines().filter(|line| line.contains(r#""tag":"02""#)).collect();
    assert_eq!(told, [r#"viewer 1 < {"verb":"FINISH","tag":"02","opts":{},"rc":42}"#]);
}

#[test]
fn an_answer_that_was_not_written_releases_its_session() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1");
    stage.node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).shown();
    let answer = r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"m=1"}"#;
    stage.turn([Event::Closed(Link(1), vec![Bytes::from(format!("{answer}\n"))])]).shows(expect![[r#"
        node c1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_release_is_owed_until_its_client_has_a_connection_and_for_eight_seconds() {
    let owed = |ms| {
        let mut stage = Stage::begun();
        stage.up("a0").turn([Stage::closes(0)]).node("a0", "FINISH", 0xa0, r#","opts":{},"rc":16"#);
        stage.waits(ms).shown();
        // Another client's connection, then one of the same, then another of the same.
        stage.opens(1);
        stage.turn([Event::Opened(Link(2), IpAddr::from([10, 9, 9, 0]))]);
        stage.turn([Event::Opened(Link(3), IpAddr::from([10, 9, 9, 0]))]);
        stage.shown()
    };
    expect![[r#"
        viewer 2 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]
    .assert_eq(&owed(7000.0));
    assert_eq!(owed(9000.0), "");
}

#[test]
fn a_release_that_was_not_written_goes_on_another_connection() {
    let mut stage = Stage::begun();
    stage.up("a0").turn([Event::Opened(Link(1), IpAddr::from([10, 9, 9, 0]))]).shown();
    stage.node("a0", "FINISH", 0xa0, r#","opts":{},"rc":16"#);
    let line = Bytes::from("{\"verb\":\"FINISH\",\"tag\":\"00000000000000a0\",\"opts\":{},\"rc\":16}\n");
    stage.turn([Event::Unread(Link(0), line)]).shows(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
        viewer 1 < {"verb":"FINISH","tag":"a0","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_line_owed_to_a_node_outlives_connections_that_never_come_up() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1").turn([Stage::closes(1)]).shown();
    // What was written may have gone with the connection.
    stage.down("c1", CloseReason::Lost).waits(600.0).shows(expect![[r#"
        after 399 ms:
        dial c2
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
    stage.down("c2", CloseReason::NeverUp).waits(800.0).shows(expect![[r#"
        after 549 ms:
        dial c3
    "#]]);
    stage.down("c3", CloseReason::NeverUp).waits(1500.0).shows(expect![[r#"
        after 999 ms:
        dial c4
    "#]]);
    stage.up("c4").shows(expect![[r#"
        node c4 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}

#[test]
fn a_release_that_a_node_confirmed_is_not_sent_again() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).up("c1");
    stage.node("c1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    stage.says(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).shown();
    stage
        .node("c1", "FINISH", 0x01, r#","opts":{},"rc":31"#)
        .down("c1", CloseReason::Lost)
        .waits(300.0)
        .shows(expect![[""]]);
}

#[test]
fn a_refused_connection_ends_what_stood_when_it_was_begun_and_nothing_later() {
    let mut stage = Stage::begun();
    stage.up("a0").shown();
    // No word for a while: tested, then tried anew; while that is on its way the node answers after all, and sets another up.
    stage.waits(4400.0).shown();
    asks_one_node_at(&mut stage, 0x01, 0).node("a0", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#).shown();
    stage.down("a1", CloseReason::Refused).shows(expect![[r#"
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
    "#]]);
}

fn asks_one_node_at(stage: &mut Stage, tag: u64, home: u16) -> &mut Stage {
    stage.opens(7).says(7, &start(tag, &format!("home:{home};copies:1;top:0"), "v=0"))
}

#[test]
fn want_of_descriptors_of_ours_says_nothing_of_a_node() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1);
    asks_one_node(&mut stage, 1..2).down("c1", CloseReason::Wanting).shows(expect![[r#"
        viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
        dial a0
        dial c1
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":34}
    "#]]);
    // Not held for cold: all that come next are set up there.
    asks_one_node(&mut stage, 2..8).up("c2").shows(expect![[r#"
        dial c2
        node c2 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"03","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"04","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"05","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"06","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        node c2 < {"verb":"START","tag":"07","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
    "#]]);
}

#[test]
fn connections_to_nodes_stay_within_their_part_of_the_descriptors() {
    let mut stage = Stage::begun_with(r#""sockets": 64"#, r#""sockets": 18"#);
    // Two for nodes. One is with a session; the other, of no use any longer, gives way.
    stage.up("a0").says(0, &start(0x01, "home:1;copies:1;top:0", "v=0")).up("b1");
    stage.node("b1", "STARTED", 0x01, r#","opts":{},"blob":"m=1""#);
    stage.says(0, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#);
    stage.node("b1", "FINISH", 0x01, r#","opts":{},"rc":31"#).shown();
    stage.says(0, &start(0x02, "home:2;copies:1;top:0", "v=0")).shows(expect![[r#"
        hang up b1
        dial c2
    "#]]);
}

#[test]
fn a_connection_that_comes_up_when_the_time_is_over_writes_nothing() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01).shown();
    let up = Event::Up(stage.trunk("c1"));
    // We stood still meanwhile.
    stage.now = stage.now + Span::from_ms(3500.0);
    stage.turn([up]).shows(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":41}
        node a0 < {"verb":"RATE","tag":"a0","opts":{"rung":"1"}}
    "#]]);
}

#[test]
fn full_connections_to_a_node_are_no_reason_to_wait() {
    let mut stage = Stage::begun_with(r#""dialTimeout": 250"#, r#""dialTimeout": 250, "maxStreams": 1"#);
    stage.up("a0").opens(1);
    for (tag, name) in [(1, "c1"), (2, "c2"), (3, "c3"), (4, "c4")] {
        asks_one_node(&mut stage, tag..tag + 1).up(name);
    }
    stage.shown();
    asks_one_node(&mut stage, 5..6).shows(expect![[r#"
        viewer 1 < {"verb":"FINISH","tag":"05","opts":{},"rc":34}
    "#]]);
}

#[test]
fn a_session_handed_over_before_its_node_is_listed_stands_and_after_two_seconds_it_is_over() {
    let mut stage = Stage::tested();
    stage.says(0, &start(0xa1, "home:0;copies:3;top:2;at:d", "handed over"));
    stage.says(0, &start(0xa2, "home:0;copies:3;top:2;at:e", "handed over"));
    stage.waits(101.0);
    let d = r#"{"name":"d","address":"10.0.0.1:80","zone":"east","type":"std","group":2,"status":"up","weight":4}"#;
    stage.bus(&format!(r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{d}]}}}}]}}"#), 1);
    stage.up("a0").node("a0", "NOTICE", 0xa1, r#","opts":{"note":"r","value":1}"#).waits(2500.0).shows(
        expect![[r#"
            viewer 0 < {"verb":"ECHOED","tag":"ee","opts":{},"rc":1}
            dial a0
            after 2149 ms:
            viewer 0 < {"verb":"FINISH","tag":"a2","opts":{},"rc":41}
        "#]],
    );
}

#[test]
fn an_idle_connection_on_which_something_came_meanwhile_goes_on() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).asks(1, 0x01);
    stage.says(1, r#"{"verb":"FINISH","tag":"0000000000000001","opts":{},"rc":16}"#).shown();
    stage.now = stage.now + Span::from_ms(5300.0);
    // Its close is wanted, and crosses the next set-up.
    let now = stage.now;
    let wanted = stage.board.turn(now, []);
    assert!(wanted.contains(&Action::CloseIfQuiet(Link(1))));
    stage.asks(1, 0x02).waits(600.0);
    assert!(!stage.shown().contains("viewer 1 closed"));
}

#[test]
fn one_node_that_cant_be_read_keeps_nobody_from_hearing_of_the_others() {
    let mut stage = Stage::begun();
    stage.up("a0").opens(1).shown();
    let bad =
        r#"{"name":"x","address":"10.0.0.9:80","group":-1,"status":"up"},{"name":"y","status":"odd"},7"#;
    let good = r#"{"name":"d","address":"10.0.0.2:80","zone":"east","type":"std","group":1,"status":"up","weight":4}"#;
    let gone = r#"{"name":"b","status":"removed"}"#;
    stage.bus(
        &format!(
            r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"endpoints":[{bad},{good},{gone}]}}}}]}}"#
        ),
        1,
    );
    stage.says(1, &start(0x01, "home:1;copies:1;top:0", "v=0")).shows(expect![[r#"
        dial b1
    "#]]);
}

#[test]
fn a_whole_list_in_place_of_changes_ends_what_it_leaves_out_and_nothing_else() {
    let mut stage = Stage::begun();
    asks_one_node(stage.up("a0").opens(1), 1..2).up("c1").node(
        "c1",
        "STARTED",
        1,
        r#","opts":{},"blob":"m=1""#,
    );
    stage.shown();
    let endpoint = |name: &str, n: u8| {
        format!(
            r#"{{"name":"{name}","address":"10.0.0.{n}:80","zone":"east","type":"std","group":{},"status":"up","weight":4}}"#,
            n - 1
        )
    };
    let nodes = [endpoint("b", 2), endpoint("c", 3)].join(",");
    stage.bus(
        &format!(
            r#"{{"offset":2,"batch":[{{"offset":2,"topology":{{"snapshot":true,"endpoints":[{nodes}]}}}}]}}"#
        ),
        1,
    );
    // The session at `c` goes on, and the next is set up on the same connection. What stood at `a` is over with its
    // connection, and nobody is dialled there.
    asks_one_node(&mut stage, 2..3).down("a0", CloseReason::Lost).waits(300.0);
    stage.node("c1", "FINISH", 1, r#","opts":{},"rc":16"#).shows(expect![[r#"
        node c1 < {"verb":"START","tag":"02","opts":{"class":"clip","key":"7f3a","left":"400","rung":"0"},"blob":"v=0"}
        after 149 ms:
        viewer 0 < {"verb":"FINISH","tag":"a0","opts":{},"rc":41}
        viewer 1 < {"verb":"FINISH","tag":"01","opts":{},"rc":16}
    "#]]);
}
