//! Directors that talk on loopback: the turns of one that is gone are another's, a datagram that is forged is none.

mod stage;

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use stage::{SETTINGS, spare};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::UdpSocket;

/// Turns as a director's record of rounds has them, one line each; waits for the one that is wanted.
async fn until_turns(record: &std::path::Path, wanted: &str) {
    let wanted = format!("{{\"Turns\":{{\"ours\":{wanted},\"of\":6}}}}");
    for _ in 0..600 {
        let text = std::fs::read_to_string(record).unwrap_or_default();
        if text
            .rsplit("{\"Turns\"")
            .next()
            .is_some_and(|last| format!("{{\"Turns\"{last}").starts_with(&wanted))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let text = std::fs::read_to_string(record).unwrap_or_default();
    let told: Vec<&str> = text.split("{\"Turns\"").skip(1).map(|t| &t[..t.len().min(60)]).collect();
    panic!("{wanted} was not told; told were {told:?}");
}

/// Runs as a director of its own where the test below asks for it.
#[tokio::test]
async fn one_director() {
    let Ok(settings) = std::env::var("ASHGLADE_TEST_SETTINGS") else { return };
    let settings = std::path::PathBuf::from(settings);
    let record = Some(settings.with_extension("rounds"));
    println!("starts");
    ashglade_director::serve(ashglade_director::Options { settings, record }).await.unwrap();
}

#[tokio::test]
async fn the_second_half_of_a_director_that_is_gone_is_another_s() {
    let folder = tempfile::tempdir().unwrap();
    let sockets: Vec<UdpSocket> = {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        }
        sockets
    };
    let peers: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(sockets);
    let named: String = peers.iter().map(|peer| format!("peer: \"{peer}\" ")).collect();
    let mut directors = Vec::new();
    let mut held = Vec::new();
    for number in 0..3 {
        let [(first, listen), _] = spare();
        let text = format!(
            "{SETTINGS} listen: \"{listen}\" }}\nbox_list: \"boxes.txtpb\"\n\
             talk {{ {named} secret: \"0123456789abcdef\" lease_ms: 600 }}\n\
             director {{ number: {number} directors: 3 zone: \"a\" seed: 5 }}\n"
        );
        let path = folder.path().join(format!("d{number}.txtpb"));
        std::fs::write(&path, text).unwrap();
        let boxes = "generation: 1\nbox { name: \"n\" address: \"127.0.0.1:9\" zone: \"a\" model: \"m\" cell: 0 weight: 1 }\n";
        std::fs::write(folder.path().join("boxes.txtpb"), boxes).unwrap();
        let mut child = tokio::process::Command::new(std::env::current_exe().unwrap())
            .args(["one_director", "--exact", "--nocapture"])
            .env("ASHGLADE_TEST_SETTINGS", &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        while !lines.next_line().await.unwrap().expect("it starts").contains("starts") {}
        directors.push((child, lines));
        held.push(first);
    }
    let record = |number: usize| folder.path().join(format!("d{number}.rounds"));
    until_turns(&record(0), "[0,3]").await;
    until_turns(&record(1), "[1,4]").await;
    // What isn't signed with the secret is nobody's word, whatever it says.
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for junk in [&b""[..], b"x", &[0u8; 40], br#"0123456789abcdef{"from":2,"to":0,"message":{}}"#] {
        stranger.send_to(junk, peers[0]).await.unwrap();
    }
    directors[2].0.kill().await.unwrap();
    until_turns(&record(0), "[0,3,5]").await;
    // Without a majority only the first half is left.
    directors[1].0.kill().await.unwrap();
    until_turns(&record(0), "[0]").await;
}
