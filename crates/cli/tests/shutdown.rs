//! Planned shutdowns of the built program, with the earliest SIGKILL that the platform's protocol allows: the
//! longest setup timeout of the settings, counted as 3 s at most, plus 0.7 s after SIGTERM.

use std::io::{BufRead, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

#[allow(dead_code)]
mod support;
use support::{Bus, Program, ScriptedNode, TIMEOUT, Viewer, config, endpoint_at, free_address, setup_line};

/// The part of the time to the earliest SIGKILL that does not depend on the settings.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A request that is written this shortly before its connection is closed may be sent again.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Interval of the requests on the open connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn earliest_kill(setup_timeout_ms: u64) -> Duration {
    Duration::from_millis(setup_timeout_ms.min(3000)) + KILL_DELAY
}

fn request_line(tag: u64, setup_timeout_ms: u64) -> String {
    setup_line(tag, "7f", 0, 1).replace(r#""3000""#, &format!(r#""{setup_timeout_ms}""#))
}

/// Starts a director with this setup timeout and one node, which answers the first SETUP and nothing after.
fn start_with_playing_session(setup_timeout_ms: u64) -> (Program, Viewer, ScriptedNode) {
    let node = ScriptedNode::start();
    let bus = Arc::new(Bus::default());
    let (address, polls) = bus.serve();
    let program = Program::start_with(address, |text| {
        text.replace(r#""deadline": 3000"#, &format!(r#""deadline": {setup_timeout_ms}"#))
    });
    bus.publish(&endpoint_at("n1", node.address, 0), true);
    while polls.recv_timeout(TIMEOUT).unwrap() < 1 {}
    let mut viewer = Viewer::connect(program.listen);
    assert!(viewer.health_check().contains(r#""rc":1"#));
    viewer.send_line(&request_line(1, setup_timeout_ms));
    let mut peer = node.accept();
    assert!(peer.receive().contains("START"));
    peer.respond("STARTED", 1, r#""blob":"m=1""#);
    assert!(viewer.receive().contains("STARTED"));
    // The node hangs from here on: the connection stays open and silent.
    std::mem::forget(peer);
    (program, viewer, node)
}

/// Sends requests on an open connection of a director that stops, until the director closes the connection.
/// Returns the time of each request and whether it was answered, and when the connection ended, all since
/// SIGTERM.
fn request_until_closed(
    mut viewer: Viewer,
    setup_timeout_ms: u64,
    started_at: Instant,
    until: Duration,
) -> (Vec<(Duration, bool)>, Option<Duration>) {
    let mut requests: Vec<(Duration, bool)> = Vec::new();
    let mut ended_at = None;
    let stream = viewer.reader.get_ref().try_clone().unwrap();
    stream.set_read_timeout(Some(REQUEST_INTERVAL)).unwrap();
    let mut line = String::new();
    while started_at.elapsed() < until + TIMEOUT && ended_at.is_none() {
        if started_at.elapsed() < until {
            let tag = 100 + requests.len() as u64;
            let request = request_line(tag, setup_timeout_ms);
            if viewer.reader.get_mut().write_all(format!("{request}\n").as_bytes()).is_ok() {
                requests.push((started_at.elapsed(), false));
            }
        }
        loop {
            match viewer.reader.read_line(&mut line) {
                Ok(0) => ended_at = Some(started_at.elapsed()),
                Ok(_) => {
                    let tag = line.split(r#""tag":""#).nth(1).and_then(|rest| rest.get(..16)).unwrap();
                    let tag = u64::from_str_radix(tag, 16).unwrap();
                    if let Some(request) =
                        tag.checked_sub(100).and_then(|index| requests.get_mut(index as usize))
                    {
                        request.1 = true;
                    }
                    line.clear();
                    continue;
                }
                // A partial line stays in `line`, and the next read continues it.
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => ended_at = Some(started_at.elapsed()),
            }
            break;
        }
    }
    (requests, ended_at)
}

/// Guards against requests that a stopping director takes on an open connection and leaves without an answer
/// at its SIGKILL (incident of 2026-12-04).
#[test]
fn no_request_is_taken_and_left_unanswered_at_the_earliest_kill() {
    let stop = |setup_timeout_ms: u64| {
        let (program, viewer, _node) = start_with_playing_session(setup_timeout_ms);
        let kill_at = earliest_kill(setup_timeout_ms);
        program.signal(Signal::SIGTERM);
        let started_at = Instant::now();
        let viewer =
            std::thread::spawn(move || request_until_closed(viewer, setup_timeout_ms, started_at, kill_at));
        std::thread::sleep(kill_at.saturating_sub(started_at.elapsed()));
        // The process may have ended by itself.
        let _ =
            nix::sys::signal::kill(nix::unistd::Pid::from_raw(program.child.id() as i32), Signal::SIGKILL);
        let (requests, ended_at) = viewer.join().unwrap();
        let ended_at = ended_at.expect("the connection ends with the process");
        let lost: Vec<Duration> = requests
            .iter()
            .filter(|(sent_at, answered)| {
                let crossed_close = ended_at < kill_at && *sent_at + CROSSING_TIME >= ended_at;
                !answered && !crossed_close
            })
            .map(|(sent_at, _)| *sent_at)
            .collect();
        (requests.len(), ended_at, kill_at, lost)
    };
    let mut failures = String::new();
    for setup_timeout_ms in [300, 900, 3000, 5000] {
        let (sent, ended_at, kill_at, lost) = stop(setup_timeout_ms);
        if !lost.is_empty() || ended_at >= kill_at {
            failures += &format!(
                "setup timeout {setup_timeout_ms} ms: {} of {sent} requests lost, sent after SIGTERM by {lost:?}; \
                 connection ended after {ended_at:?}, kill after {kill_at:?}\n",
                lost.len()
            );
        }
    }
    assert!(failures.is_empty(), "{failures}");
}

/// Guards against a process that ends by itself at its start, because the one before it still listens.
#[test]
fn a_start_waits_while_its_address_is_in_use() {
    let bus = Arc::new(Bus::default());
    let (address, _polls) = bus.serve();
    let (listen, directory) = (free_address(), tempfile::tempdir().unwrap());
    let occupier = TcpListener::bind(listen).unwrap();
    let file = directory.path().join("config.json");
    std::fs::write(&file, config(listen, address, r#"{"offset": 0, "batch": []}"#)).unwrap();
    let mut program = Program::spawn(directory, file, listen);
    program.wait_for_log("the address is in use; waiting until it is free");
    drop(occupier);
    program.wait_for_log("serving");
    assert!(Viewer::connect(listen).health_check().contains(r#""rc":1"#));
}

#[test]
fn a_start_that_waits_for_its_address_ends_on_sigterm() {
    let bus = Arc::new(Bus::default());
    let (address, _polls) = bus.serve();
    let (listen, directory) = (free_address(), tempfile::tempdir().unwrap());
    let _occupier = TcpListener::bind(listen).unwrap();
    let file = directory.path().join("config.json");
    std::fs::write(&file, config(listen, address, r#"{"offset": 0, "batch": []}"#)).unwrap();
    let mut program = Program::spawn(directory, file, listen);
    program.wait_for_log("the address is in use; waiting until it is free");
    program.signal(Signal::SIGTERM);
    assert_eq!(program.wait_for_exit().0, Some(0));
}

/// Guards against requests lost to a second SIGTERM, which ended the process at once.
#[test]
fn further_sigterms_do_not_cut_short_the_drain() {
    let (mut program, mut viewer, node) = start_with_playing_session(900);
    program.signal(Signal::SIGTERM);
    program.wait_for_log("SIGTERM received; draining");
    viewer.send_line(&request_line(2, 900));
    program.wait_for_log("session created tag=0000000000000002");
    program.signal(Signal::SIGTERM);
    program.wait_for_log("another SIGTERM received");
    // The node hangs, so the request fails when it is due.
    let answer = viewer.receive();
    assert!(answer.contains("FINISH") && answer.contains("0000000000000002"), "{answer}");
    let (code, log) = program.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(log.contains("drain finished"), "{log}");
    drop(node);
}

/// Guards against requests that are lost with the connections which wait to be accepted when an RTSP director is
/// stopped: these were reset, and the process ended before it had answered.
#[test]
fn rtsp_requests_that_wait_to_be_accepted_when_the_drain_starts_are_answered() {
    let mut program = Program::start_rtsp();
    program.suspend();
    let mut viewers: Vec<Viewer> = (0..8).map(|_| Viewer::connect(program.listen)).collect();
    for viewer in &mut viewers {
        let request = "OPTIONS rtsp://127.0.0.1/t RTSP/1.0\r\nCSeq: 1\r\n\r\n";
        viewer.reader.get_mut().write_all(request.as_bytes()).unwrap();
    }
    program.signal(Signal::SIGTERM);
    program.resume();
    let answers: Vec<String> = viewers.iter_mut().map(Viewer::receive).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("RTSP/1.0")), "{answers:?}");
    assert_eq!(program.wait_for_exit().0, Some(0));
}
