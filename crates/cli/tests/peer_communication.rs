//! Communication between directors is off unless the settings enable it: without the `talk` block `serve`
//! opens no UDP socket, and `platform` never opens one, whatever its configuration holds.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

#[allow(dead_code)]
mod support;

/// Returns the number of UDP sockets that a process has open, according to `/proc`.
fn udp_socket_count(child: &Child) -> usize {
    let proc = format!("/proc/{}", child.id());
    let descriptors = std::fs::read_dir(format!("{proc}/fd")).unwrap();
    let open: BTreeSet<String> = descriptors
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter_map(|target| Some(target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
        .collect();
    assert!(!open.is_empty(), "no open socket found, not even the listener");
    let udp_tables =
        ["udp", "udp6"].map(|kind| std::fs::read_to_string(format!("{proc}/net/{kind}")).unwrap_or_default());
    let inodes = udp_tables
        .iter()
        .flat_map(|table| table.lines().skip(1))
        .filter_map(|line| line.split_whitespace().nth(9));
    inodes.filter(|inode| open.contains(*inode)).count()
}

/// A process that is killed when this is dropped.
struct RunningProgram(Child);

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the built program and waits until it serves. Returns its log as an error if it ended before.
fn start(args: &[&str]) -> Result<RunningProgram, String> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade"));
    let mut running = RunningProgram(command.args(args).stderr(Stdio::piped()).spawn().unwrap());
    let mut output = String::new();
    let mut log = BufReader::new(running.0.stderr.take().unwrap()).lines();
    while let Some(line) = log.next() {
        let line = line.unwrap();
        if line.contains("serving") {
            // The log is read further, so that the process never blocks on writing it.
            std::thread::spawn(move || log.map_while(Result::ok).for_each(drop));
            return Ok(running);
        }
        output += &format!("{line}\n");
    }
    Err(output)
}

/// Returns an address with a port that was free a moment ago.
fn free_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts `ashglade platform` with further members in its configuration.
fn start_platform(directory: &Path, extra_members: &str) -> Result<RunningProgram, String> {
    let config = format!(
        r#"{{"name": "d0", "listen": "{}", "seed": "1", "bus": "{}",
        "limits": {{"cores": 0.5, "memory_mb": 64, "sockets": 64}}, "known": {{"offset": 0, "batch": []}},
        "settings": {{"balancers": 3, "myZone": 0, "azs": ["east"], "hostTypes": ["std"],
        "familyInfo": {{"ladderKb": [100, 200], "levelWorth": [0.5, 1], "linkUnitKb": 1000, "positions": 2,
            "kindStreams": [200], "see": 800}},
        "limits": {{"mostTries": 2, "cancelling": true, "dialTimeout": 250}},
        "rules": {{"fall": 2000, "fallMultiple": 2, "startCapacity": 0.9, "warmAfter": 1000}},
        "services": [{{"name": "clip", "aim": 800, "deadline": 3000, "credit": 1, "effect": "retryable"}}]}}{extra_members}}}"#,
        free_address(),
        free_address()
    );
    let file = directory.join("config.json");
    std::fs::write(&file, config).unwrap();
    start(&["platform", "--config", file.to_str().unwrap()])
}

/// Starts `ashglade serve` as director 0.
fn start_first_director(directory: &Path, talk: &str) -> RunningProgram {
    start_director(directory, 0, talk)
}

/// Starts `ashglade serve` with this `talk` block.
fn start_director(directory: &Path, number: usize, talk: &str) -> RunningProgram {
    let file = support::write_serve_settings(directory, number, free_address(), talk);
    start(&["serve", "--settings", file.to_str().unwrap()]).unwrap_or_else(|output| panic!("{output}"))
}

#[test]
fn the_platform_director_opens_no_udp_socket_whatever_its_configuration_holds() {
    let manifest = include_str!("../../../deploy/balancer.toml");
    let run = manifest.lines().find(|line| line.starts_with("run =")).unwrap();
    assert_eq!(run, "run = \"exec target/release/ashglade platform\"");
    let directory = tempfile::tempdir().unwrap();
    let running = start_platform(directory.path(), "").unwrap_or_else(|output| panic!("{output}"));
    assert_eq!(udp_socket_count(&running.0), 0);
    // The configuration has no such block: one that contains it is rejected, or the block has no effect.
    let talk = r#", "talk": {"peer": ["127.0.0.1:7001", "127.0.0.1:7002"], "secret": "0123456789abcdef", "share": {}}"#;
    if let Ok(running) = start_platform(directory.path(), talk) {
        assert_eq!(udp_socket_count(&running.0), 0);
    }
}

#[test]
fn serve_opens_a_udp_socket_only_if_the_settings_name_the_other_directors() {
    let directory = tempfile::tempdir().unwrap();
    assert_eq!(udp_socket_count(&start_first_director(directory.path(), "").0), 0);
    let peers: String = [free_address(), free_address()].map(|peer| format!("peer: \"{peer}\" ")).concat();
    let talk = format!("talk {{ {peers} secret: \"0123456789abcdef\" lease_ms: 3000 }}");
    assert_eq!(udp_socket_count(&start_first_director(directory.path(), &talk).0), 1);
}

#[test]
fn show_prints_the_shared_state_of_a_director() {
    let directory = tempfile::tempdir().unwrap();
    // Loopback addresses that only this process uses, so that no other process can take the ports.
    let [.., high, low] = std::process::id().to_be_bytes();
    let peers: String =
        (0..2).map(|n| format!("peer: \"127.{}.{low}.1:{}\" ", 96 + high % 32, 7000 + n)).collect();
    let talk = |number: usize| {
        format!(
            "talk {{ {peers} secret: \"0123456789abcdef\" lease_ms: 1000 \
             share {{ view: \"view-{number}.json\" repeats {{ at_node: 10 span_ms: 1000 kept: 1 }} }} }}"
        )
    };
    let show = |number: usize| {
        let file = directory.path().join(format!("headend-{number}.txtpb"));
        let result = Command::new(env!("CARGO_BIN_EXE_ashglade"))
            .arg("show")
            .arg("--settings")
            .arg(file)
            .output()
            .unwrap();
        String::from_utf8_lossy(&result.stdout).into_owned() + &String::from_utf8_lossy(&result.stderr)
    };
    let wait_for = |number: usize, text: &str| {
        let mut shown = String::new();
        for _ in 0..600 {
            shown = show(number);
            if shown.contains(text) {
                return shown;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        panic!("{text} is not shown: {shown}");
    };
    let first = start_director(directory.path(), 0, &talk(0));
    assert!(wait_for(0, "director 0 of 2").contains("HEARS NOTHING"));
    let second = start_director(directory.path(), 1, &talk(1));
    let shown = wait_for(0, "hears [0, 1]");
    assert!(shown.contains("further SETUPs at one node 1 of 10"), "{shown}");
    wait_for(1, "turns at cold nodes [1, 3] of 4");
    drop(second);
    wait_for(0, "HEARS NOTHING");
    drop(first);
}
