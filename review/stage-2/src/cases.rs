//! The cases: what happens in each, and its check.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

use crate::world::{
    endpoint, note, now, send_hundreds, sleep, wait_until, BadTraffic, Bus, Director, Node, Request, Settings, Spoil, Viewer,
};
use crate::Verdict;

/// Time within which nothing that is over may be left standing, with the slack of the protocol, in seconds.
const LEFT_STANDING: f64 = 8.0 + 0.05;

const CLIP: Request<'static> = Request { class: "clip", left_ms: 3000, home: 0, copies: 8 };

fn could_not(text: &str) -> Verdict {
    Verdict::CouldNotRun(text.to_string())
}

fn start_nodes(count: usize) -> (Arc<Bus>, Vec<Arc<Node>>) {
    let nodes: Vec<Arc<Node>> = (0..count).map(|index| Node::start(&format!("s-{index}"))).collect();
    let bus = Bus::start();
    let list: Vec<String> =
        nodes.iter().enumerate().map(|(index, node)| endpoint(&node.first_name, node.address, index, "up")).collect();
    bus.publish(&list, true);
    (bus, nodes)
}

/// The node at which a session stands.
fn stands_at<'a>(nodes: &'a [Arc<Node>], tag: &str) -> Vec<&'a Arc<Node>> {
    nodes.iter().filter(|node| node.session(tag).is_some_and(|session| session.ended.is_none())).collect()
}

/// Sessions that viewers were told are over, and that still stand at their node `LEFT_STANDING` later, though nobody but
/// the director ended them and the node was never sent their release.
fn left_standing(nodes: &[Arc<Node>], viewers: &[(Viewer, String)]) -> Vec<String> {
    let mut left = Vec::new();
    for (viewer, tag) in viewers {
        let Some(told) = viewer.told_over(tag) else { continue };
        for node in stands_at(nodes, tag) {
            if now() - told > LEFT_STANDING && node.received("FINISH", tag).is_empty() {
                note(format!("check     {tag}: viewer told over at {told:.3}, still stands at {}", node.first_name));
                left.push(tag.clone());
            }
        }
    }
    left
}

/// A director stands still again and again; its nodes are well and its sessions play on.
pub fn stall(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(6);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let mut viewers = Vec::new();
    for _ in 0..12 {
        let Some(viewer) = Viewer::connect(director.address) else { return could_not("no connection") };
        let tag = viewer.ask(&CLIP);
        viewers.push((viewer, tag));
        sleep(0.1);
    }
    if !wait_until(4.0, || viewers.iter().all(|(viewer, tag)| viewer.started(tag))) {
        return could_not("not all sessions were set up");
    }
    let begin = now();
    for round in 0..7 {
        if trouble {
            director.stand_still(1.9);
        }
        sleep(begin + f64::from(round + 1) * 3.1 - now());
    }
    sleep(LEFT_STANDING + 1.5);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let told = viewers.iter().filter(|(viewer, tag)| viewer.told_over(tag).is_some()).count();
    let left = left_standing(&nodes, &viewers);
    let text = format!(
        "{} sessions stand at healthy nodes; {told} viewers were told that theirs is over; {} of these are left standing",
        viewers.len(),
        left.len()
    );
    if left.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// A machine vanishes, another node takes its address, and the list tells of both late.
pub fn address(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(6);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let mut viewers = Vec::new();
    for _ in 0..18 {
        let Some(viewer) = Viewer::connect(director.address) else { return could_not("no connection") };
        let tag = viewer.ask(&CLIP);
        viewers.push((viewer, tag));
        sleep(0.05);
    }
    if !wait_until(4.0, || viewers.iter().all(|(viewer, tag)| viewer.started(tag))) {
        return could_not("not all sessions were set up");
    }
    let counts: Vec<usize> = nodes
        .iter()
        .map(|node| viewers.iter().filter(|(_, tag)| node.session(tag).is_some()).count())
        .collect();
    let Some(index) = (0..nodes.len()).max_by_key(|&index| counts[index]) else { return could_not("no node") };
    let node = &nodes[index];
    let concerned: Vec<&(Viewer, String)> = viewers.iter().filter(|(_, tag)| node.session(tag).is_some()).collect();
    note(format!("check     {} sessions play at {}", concerned.len(), node.first_name));
    sleep(1.0);
    let over = now();
    if trouble {
        node.vanish();
        sleep(2.0);
        node.take_address("s-9");
        bus.publish(&[endpoint("s-9", node.address, index, "up")], false);
        sleep(over + 11.5 - now());
        bus.publish(&[endpoint(&node.first_name, node.address, index, "removed")], false);
    } else {
        concerned.iter().for_each(|(_, tag)| node.end_session(tag));
        sleep(11.5);
    }
    sleep(2.0);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let late: Vec<String> = concerned
        .iter()
        .filter_map(|(viewer, tag)| match viewer.told_over(tag) {
            Some(at) if at - over <= LEFT_STANDING => None,
            Some(at) => Some(format!("{tag} after {:.2} s", at - over)),
            None => Some(format!("{tag} not at all")),
        })
        .collect();
    late.iter().for_each(|text| note(format!("check     told late: {text}")));
    let text = format!("{} sessions ended with their machine; told later than 8.05 s: {}", concerned.len(), late.len());
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(format!("{text}: {}", late.join(", "))) }
}

/// A node is cut off for 6 s, and its sessions play on.
pub fn cut(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(6);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let mut viewers = Vec::new();
    for _ in 0..18 {
        let Some(viewer) = Viewer::connect(director.address) else { return could_not("no connection") };
        let tag = viewer.ask(&CLIP);
        viewers.push((viewer, tag));
        sleep(0.05);
    }
    if !wait_until(4.0, || viewers.iter().all(|(viewer, tag)| viewer.started(tag))) {
        return could_not("not all sessions were set up");
    }
    let playing =
        |node: &Arc<Node>| viewers.iter().filter(|(_, tag)| node.session(tag).is_some()).count();
    let Some(node) = nodes.iter().max_by_key(|node| playing(node)) else { return could_not("no node") };
    note(format!("check     {} sessions play at {}", playing(node), node.first_name));
    if trouble {
        node.cut_off();
        sleep(6.0);
        node.reconnect();
    } else {
        sleep(6.0);
    }
    sleep(LEFT_STANDING + 4.0);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let told = viewers.iter().filter(|(viewer, tag)| viewer.told_over(tag).is_some()).count();
    let left = left_standing(&nodes, &viewers);
    let text = format!("{told} viewers were told that their session is over; {} of these are left standing", left.len());
    if left.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// A node is replaced at its address while the director stands still; requests arrive later, but still meanwhile.
pub fn replaced(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(6);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    // Titles that lie at the first two positions only.
    let request = Request { class: "clip", left_ms: 3000, home: 0, copies: 2 };
    let Some(front) = Viewer::connect(director.address) else { return could_not("no connection") };
    let warm: Vec<String> = (0..8).map(|_| front.ask(&request)).collect();
    if !wait_until(3.0, || warm.iter().all(|tag| front.started(tag))) {
        return could_not("not all sessions were set up");
    }
    sleep(1.0);
    let begin = now();
    if trouble {
        director.pause();
    }
    sleep(0.1);
    nodes[0].replace_process("s-9");
    // The new node is at position 5, where these titles don't lie.
    let gone = endpoint(&nodes[0].first_name, nodes[0].address, 0, "removed");
    bus.publish(&[gone, endpoint("s-9", nodes[0].address, 5, "up")], false);
    let told = now();
    sleep(begin + 1.7 - now());
    let tags: Vec<String> = (0..8).map(|_| front.ask(&request)).collect();
    sleep(begin + 1.9 - now());
    if trouble {
        director.go_on();
    }
    sleep(5.0);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let wrong: Vec<String> = tags
        .iter()
        .flat_map(|tag| nodes[0].received("START", tag).into_iter().map(move |at| (tag, at)))
        .filter(|(_, at)| at - told > 0.5 + 0.05)
        .map(|(tag, at)| format!("{tag} {:.3} s after it was told", at - told))
        .collect();
    let text = format!(
        "{} of {} SETUPs for titles of s-0 reached s-9, which doesn't hold them, later than 0.55 s after it was told that s-0 is removed",
        wrong.len(),
        tags.len()
    );
    if wrong.is_empty() { Verdict::Held(text) } else { Verdict::Broken(format!("{text}: {}", wrong.join(", "))) }
}

/// An answer has the full length that a message may have.
pub fn long(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(3);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let Some(front) = Viewer::connect(director.address) else { return could_not("no connection") };
    let warm = front.ask(&CLIP);
    if !wait_until(3.0, || front.started(&warm)) {
        return could_not("no session was set up");
    }
    let bytes = if trouble { 16 * 1024 } else { 16 * 1024 - 64 };
    nodes.iter().for_each(|node| node.set_answer_bytes(bytes));
    let tag = front.ask(&CLIP);
    sleep(3.0 + 0.5 + 8.0);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let stands = stands_at(&nodes, &tag).len();
    let heard = front.heard(&tag);
    let text = format!("an answer of {bytes} bytes: {} messages to the viewer, the session stands at {stands} nodes", heard.len());
    if heard.is_empty() { Verdict::Broken(text) } else { Verdict::Held(text) }
}

/// A good answer stops short on one of two connections to a node, on which sessions stand that end just then.
pub fn spoilt(trouble: bool) -> Verdict {
    let (bus, nodes) = start_nodes(2);
    let settings = Settings::default();
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let Some(front) = Viewer::connect(director.address) else { return could_not("no connection") };
    // A crowd comes at once, so that each node gets more SETUPs than one connection carries.
    let warm: Vec<String> = (0..8).map(|_| front.ask(&CLIP)).collect();
    wait_until(3.0, || warm.iter().all(|tag| front.started(tag)));
    nodes.iter().for_each(|node| node.set_answer_delay(0.2));
    let crowd: Vec<String> = (0..110).map(|_| front.ask(&CLIP)).collect();
    wait_until(4.0, || crowd.iter().all(|tag| !front.heard(tag).is_empty()));
    nodes.iter().for_each(|node| node.set_answer_delay(0.02));
    if nodes.iter().any(|node| node.open_connections() < 2) {
        return could_not("a node has one connection only");
    }
    sleep(1.0);
    // One answer of the first node stops short on its way: that of the next SETUP that it gets.
    let mut tag = String::new();
    for number in 0..20 {
        tag = format!("5eed0000000000{:02x}", 0x80 + number);
        if trouble {
            nodes[0].spoil(&tag, Spoil::StopShort);
        }
        front.ask_as(&tag, &CLIP);
        wait_until(1.0, || nodes[0].session(&tag).is_some() || front.started(&tag));
        if nodes[0].session(&tag).is_some() {
            break;
        }
    }
    let Some(connection) = nodes[0].connection_of(&tag) else { return could_not("no SETUP went to the first node") };
    // Five sessions that were set up on that connection come to their end meanwhile.
    let ending: Vec<&String> =
        crowd.iter().filter(|tag| nodes[0].connection_of(tag) == Some(connection)).take(5).collect();
    if ending.is_empty() {
        return could_not("no session was set up on that connection");
    }
    sleep(0.05);
    ending.iter().for_each(|tag| nodes[0].end_session(tag));
    let over = now();
    note(format!("check     {tag}: its answer came on connection {connection}; {} sessions of it have ended", ending.len()));
    sleep(3.0);
    let nodes_at_once = stands_at(&nodes, &tag).len();
    // The viewer ends its session.
    front.finish(&tag);
    sleep(LEFT_STANDING + 1.0);
    if director.has_crashed() {
        return Verdict::Broken("the director crashed".to_string());
    }
    let is_late = |at: f64| at - over > LEFT_STANDING;
    let untold = ending.iter().filter(|tag| front.told_over(tag).is_none_or(is_late)).count();
    let text = format!(
        "{} sessions ended at their node, {untold} of their viewers were not told within 8.05 s; the session of the SETUP stood at {nodes_at_once} nodes at once and is left standing at {} after its viewer ended it",
        ending.len(),
        stands_at(&nodes, &tag).len()
    );
    if untold == 0 { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// Bad clients send hundreds of requests at once, again and again, beside the usual viewers.
pub fn crowd(trouble: bool) -> Verdict {
    let (clients, seconds, memory_mb) = (300, 25.0, 32);
    let (bus, nodes) = start_nodes(6);
    let settings = Settings { memory_mb, sockets: 1024, ..Settings::default() };
    let Some(mut director) = Director::start(&bus, &settings) else { return could_not("the director did not start") };
    sleep(2.5);
    let (traffic, until) = (Arc::new(BadTraffic::default()), now() + seconds);
    let mut threads = Vec::new();
    if trouble {
        for number in 0..clients {
            let (address, traffic) = (director.address, traffic.clone());
            threads.push(thread::spawn(move || send_hundreds(number, address, until, &traffic)));
        }
    }
    let limit = memory_mb as u64 * 1024;
    let (mut most, mut over_at, mut viewers) = (0, None, Vec::new());
    while now() < until {
        // A usual viewer each half second.
        if let Some(viewer) = Viewer::connect(director.address) {
            let tag = viewer.ask(&CLIP);
            viewers.push((viewer, tag));
        }
        for _ in 0..10 {
            sleep(0.05);
            let memory = director.memory_kib().unwrap_or(0);
            most = most.max(memory);
            if memory > limit && over_at.is_none() {
                over_at = Some(now());
            }
        }
        let (sent, answered) = (traffic.sent.load(Ordering::SeqCst), traffic.answered.load(Ordering::SeqCst));
        let errors: u64 = nodes.iter().map(|node| node.turned_away.load(Ordering::SeqCst)).sum();
        note(format!(
            "memory    {} KiB; bad clients: {} connections, {sent} sent, {answered} answered, {errors} errors of nodes",
            director.memory_kib().unwrap_or(0),
            traffic.connections.load(Ordering::SeqCst)
        ));
        if director.has_crashed() {
            return Verdict::Broken("the director crashed".to_string());
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let text = format!("at most {most} KiB of its own, {limit} are allowed; {} usual viewers", viewers.len());
    match over_at {
        None => Verdict::Held(text),
        Some(at) => Verdict::Broken(format!("{text}; over the limit from {at:.1} s on: the director is killed")),
    }
}
