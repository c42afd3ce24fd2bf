//! What directors share is off unless settings ask for it, and never on in `run`: the built program opens no socket for
//! datagrams and sends none, as the platform's director whatever its configuration holds, and in service without the block.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Sockets for datagrams that the process has open, by what the kernel shows of it.
fn datagram_sockets(child: &Child) -> usize {
    let proc = format!("/proc/{}", child.id());
    let links = std::fs::read_dir(format!("{proc}/fd")).unwrap();
    let open: BTreeSet<String> = links
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter_map(|to| Some(to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
        .collect();
    assert!(!open.is_empty(), "it listens");
    let udp =
        ["udp", "udp6"].map(|kind| std::fs::read_to_string(format!("{proc}/net/{kind}")).unwrap_or_default());
    let inodes =
        udp.iter().flat_map(|table| table.lines().skip(1)).filter_map(|line| line.split_whitespace().nth(9));
    inodes.filter(|inode| open.contains(*inode)).count()
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the built program and waits until it serves; what it said if it ended before.
fn start(args: &[&str]) -> Result<Running, String> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashglade"));
    let mut running = Running(command.args(args).stderr(Stdio::piped()).spawn().unwrap());
    let mut said = String::new();
    let mut log = BufReader::new(running.0.stderr.take().unwrap()).lines();
    while let Some(line) = log.next() {
        let line = line.unwrap();
        if line.contains("serving") {
            // Its log goes on being read, as it would be in service.
            std::thread::spawn(move || log.map_while(Result::ok).for_each(drop));
            return Ok(running);
        }
        said += &format!("{line}\n");
    }
    Err(said)
}

fn port() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn platform(folder: &Path, more: &str) -> Result<Running, String> {
    let config = format!(
        r#"{{"name": "d0", "listen": "{}", "seed": "1", "bus": "{}",
        "limits": {{"cores": 0.5, "memory_mb": 64, "sockets": 64}}, "known": {{"offset": 0, "batch": []}},
        "settings": {{"balancers": 3, "myZone": 0, "azs": ["east"], "hostTypes": ["std"],
        "familyInfo": {{"ladderKb": [100, 200], "levelWorth": [0.5, 1], "linkUnitKb": 1000, "positions": 2,
            "kindStreams": [200], "see": 800}},
        "limits": {{"mostTries": 2, "cancelling": true, "dialTimeout": 250}},
        "rules": {{"fall": 2000, "fallMultiple": 2, "startCapacity": 0.9, "warmAfter": 1000}},
        "services": [{{"name": "clip", "aim": 800, "deadline": 3000, "credit": 1, "effect": "retryable"}}]}}{more}}}"#,
        port(),
        port()
    );
    let file = folder.join("config.json");
    std::fs::write(&file, config).unwrap();
    start(&["platform", "--config", file.to_str().unwrap()])
}

fn served(folder: &Path, talk: &str) -> Running {
    director(folder, 0, talk)
}

fn director(folder: &Path, number: usize, talk: &str) -> Running {
    let settings = format!(
        r#"zone: "a" model {{ name: "m" places: 4 }} rung {{ kb_per_s: 4 utility: 1 }}
        group {{ name: "clip" start_target_ms: 800 setup_timeout_ms: 3000 utility: 1 care: SAFE }}
        title {{ name: "t" }} links {{ unit_kb_per_s: 100 cells: 1 racks: 1 }}
        limits {{ setups_per_session: 2 answer_margin_ms: 100 most_sessions: 10 }}
        cold {{ from: 0.4 warm_after_ms: 4000 fall_multiple: 3 fall_span_ms: 1000 }}
        reports {{ probe_timeout_ms: 250 notice_ms: 1000 }} director {{ number: {number} directors: 2 zone: "a" seed: 1 }}
        front {{ listen: "{}" default_group: "clip" most_connections: 10 session_timeout_s: 60 write_timeout_ms: 5000
            connect_timeout_ms: 250 answer_timeout_ms: 1000 idle_connections: 1 keep_alive_ms: 2000 drain_ms: 1000
            list_poll_ms: 1000 }}
        box_list: "boxes.txtpb" {talk}"#,
        port()
    );
    let file = folder.join(format!("headend-{number}.txtpb"));
    std::fs::write(&file, settings).unwrap();
    let boxes = "generation: 1 box { name: \"n\" address: \"127.0.0.1:9\" zone: \"a\" model: \"m\" cell: 0 weight: 1 }";
    std::fs::write(folder.join("boxes.txtpb"), boxes).unwrap();
    start(&["serve", "--settings", file.to_str().unwrap()]).unwrap_or_else(|said| panic!("{said}"))
}

#[test]
fn the_platform_s_director_opens_no_socket_for_it_and_can_t_be_asked_to() {
    let run = include_str!("../../../deploy/balancer.toml");
    let run = run.lines().find(|line| line.starts_with("run =")).unwrap();
    assert_eq!(run, "run = \"exec target/release/ashglade platform\"");
    let folder = tempfile::tempdir().unwrap();
    let running = platform(folder.path(), "").unwrap_or_else(|said| panic!("{said}"));
    assert_eq!(datagram_sockets(&running.0), 0);
    // Its configuration has no word for it: one that holds some is refused, or means nothing.
    let talk = r#", "talk": {"peer": ["127.0.0.1:7001", "127.0.0.1:7002"], "secret": "0123456789abcdef", "share": {}}"#;
    if let Ok(running) = platform(folder.path(), talk) {
        assert_eq!(datagram_sockets(&running.0), 0);
    }
}

#[test]
fn in_service_a_socket_is_opened_only_where_settings_name_the_others() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(datagram_sockets(&served(folder.path(), "").0), 0);
    let peers: String = [port(), port()].map(|peer| format!("peer: \"{peer}\" ")).concat();
    let talk = format!("talk {{ {peers} secret: \"0123456789abcdef\" lease_ms: 3000 }}");
    assert_eq!(datagram_sockets(&served(folder.path(), &talk).0), 1);
}

#[test]
fn what_a_director_believes_is_shown() {
    let folder = tempfile::tempdir().unwrap();
    // Addresses of this process's own: nobody else's ports come in between.
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
        let file = folder.path().join(format!("headend-{number}.txtpb"));
        let done = Command::new(env!("CARGO_BIN_EXE_ashglade"))
            .arg("show")
            .arg("--settings")
            .arg(file)
            .output()
            .unwrap();
        String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr)
    };
    let until = |number: usize, what: &str| {
        let mut shown = String::new();
        for _ in 0..600 {
            shown = show(number);
            if shown.contains(what) {
                return shown;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        panic!("{what} is not shown: {shown}");
    };
    let first = director(folder.path(), 0, &talk(0));
    assert!(until(0, "director 0 of 2").contains("HEARS NOTHING"));
    let second = director(folder.path(), 1, &talk(1));
    let shown = until(0, "hears [0, 1]");
    assert!(shown.contains("further SETUPs at one node 1 of 10"), "{shown}");
    until(1, "turns at cold nodes [1, 3] of 4");
    drop(second);
    until(0, "HEARS NOTHING");
    drop(first);
}
