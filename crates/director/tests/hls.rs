//! The second front on loopback, against stand-in nodes: what a player sees of tokens, of its rung, of a node that is
//! lost between two segments, and of a director that doesn't know it.

mod stage;

use std::sync::Arc;
use std::time::Duration;

use ashglade_judge::{EventKind, RulesConfig};
use ashglade_standin::hls_player::{HttpClient, uris};
use ashglade_standin::node::SlowStart;
use ashglade_standin::{Fleet, NodeSpec, TrafficRecorder};
use expect_test::expect;
use hyper::StatusCode;
use stage::director_of;

/// Nodes whose link carries so much, in kB a second; rungs are of 10 and 20.
async fn nodes(count: usize, link: f64) -> (Arc<Fleet>, TrafficRecorder, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let plan = RulesConfig {
        groups: Vec::new(),
        nodes: Vec::new(),
        drain_grace: 0.0,
        slow_start_initial_fraction: 1.0,
        slow_start_duration: 0.0,
        overload_multiple: 1.0,
        overload_window: 1.0,
        retry_budget: None,
        timing_tolerance: 0.0,
        fleet_limits: None,
    };
    let log = TrafficRecorder::create(&folder.path().join("traffic.jsonl"), &plan).unwrap();
    let spec = |i| NodeSpec {
        name: format!("n{i}"),
        rack: 0,
        max_sessions: 50,
        link_kb_per_s: link,
        rejects_when_full: true,
    };
    let cold =
        SlowStart { initial_fraction: 1.0, duration_s: 1e-3, overload_multiple: 1e3, overload_window_s: 1.0 };
    let specs = (0..count).map(spec).collect();
    let fleet =
        Fleet::start(specs, vec![f64::INFINITY], vec![10.0, 20.0], cold, 1, log.clone()).await.unwrap();
    (fleet, log, folder)
}

async fn get(http: &mut HttpClient, path: &str) -> (StatusCode, String) {
    let got = tokio::time::timeout(Duration::from_secs(10), http.get(path)).await.expect("an answer in time");
    let (status, _, body) = got.expect("an answer");
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Without what differs from run to run: tokens, signatures, numbers of segments.
fn plain(playlist: &str) -> String {
    let line = |line: &str| -> String {
        let mut parts: Vec<String> = line.split('/').map(str::to_string).collect();
        if parts.len() > 3 && parts[0].is_empty() {
            parts[2] = "TOKEN".into();
            parts[3] = parts[3].split('-').next().unwrap_or_default().to_string();
        }
        let joined = parts.join("/");
        joined
            .chars()
            .map(|c| if c.is_ascii_digit() && line.contains(".ts") { '#' } else { c })
            .collect::<String>()
            + "\n"
    };
    playlist.lines().filter(|l| !l.contains("SEQUENCE")).take(6).map(line).collect()
}

fn count(log: &TrafficRecorder, what: fn(&EventKind) -> bool) -> usize {
    log.events().iter().filter(|event| what(&event.kind)).count()
}

fn setup(what: &EventKind) -> bool {
    matches!(what, EventKind::SetupReceived { .. })
}

#[tokio::test]
async fn a_player_gets_playlists_of_its_own_and_segments_through_the_director() {
    let (fleet, log, _folder) = nodes(1, 1000.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    let (status, master) = get(&mut http, "/t/index.m3u8?viewer=7.0&group=lesson").await;
    assert_eq!(status, StatusCode::OK, "{master}");
    expect![[r#"
        #EXTM3U
        #EXT-X-INDEPENDENT-SEGMENTS
        #EXT-X-STREAM-INF:BANDWIDTH=80000
        /t/TOKEN/m0/v0/index.m3u8?viewer=7.0
        #EXT-X-STREAM-INF:BANDWIDTH=160000
        /t/TOKEN/m1/v1/index.m3u8?viewer=7.0
    "#]]
    .assert_eq(&plain(&master));
    let variants = uris(master.as_bytes());
    let (_, media) = get(&mut http, &variants[1]).await;
    expect![[r#"
        #EXTM3U
        #EXT-X-VERSION:3
        #EXT-X-TARGETDURATION:1
        #EXTINF:1.0,
        /t/TOKEN/p#/v#/##########.ts?viewer=#.#
        #EXTINF:1.0,
    "#]]
    .assert_eq(&plain(&media));
    let segment = uris(media.as_bytes())[0].clone();
    let (status, _, bytes) = http.get(&segment).await.unwrap();
    assert_eq!((status, bytes.len()), (StatusCode::OK, 20_000));
    let (status, _, bytes) = http.get_range(&segment, Some("bytes=100-299")).await.unwrap();
    assert_eq!((status, bytes.len()), (StatusCode::PARTIAL_CONTENT, 200));
    // A hundred reloads at once cost the node nothing more than one: the director keeps a live playlist.
    for _ in 0..100 {
        assert_eq!(get(&mut http, &variants[1]).await.0, StatusCode::OK);
    }
    // What was not given to it is not given, and nothing of it is a second SETUP.
    let mut told = String::new();
    let other = segment.replace("/t/", "/two/");
    let lower = segment.replace("/v1/", "/v0/");
    let forged = segment.replacen("/t/A", "/t/B", 1);
    for (name, path) in [
        ("another title", other.as_str()),
        ("another variant's segment", lower.as_str()),
        ("a forged token", forged.as_str()),
        ("no token", "/t/x/p0-x/1.ts"),
        ("half a path", "/t/x"),
        ("no title", "/nothing/index.m3u8"),
        ("no group", "/t/index.m3u8?group=none"),
        ("no rung", "/t/index.m3u8?top=high"),
    ] {
        let (status, body) = get(&mut http, path).await;
        told += &format!("{name}: {} {body}", status.as_u16());
    }
    expect![[r#"
        another title: 403 the token is for another title
        another variant's segment: 403 the path was not given to this session
        a forged token: 403 the token was not signed here
        no token: 403 the token is not well-formed
        half a path: 403 the token is not well-formed
        no title: 404 there is no such title
        no group: 404 there is no such service group
        no rung: 400 top: a rung's number is wanted
    "#]]
    .assert_eq(&told);
    assert_eq!(count(&log, setup), 1);
}

#[tokio::test]
async fn a_node_lost_between_two_segments_is_followed_by_another_with_one_setup_at_a_time() {
    let (fleet, log, _folder) = nodes(2, 1000.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=1.0&group=lesson").await;
    let variant = uris(master.as_bytes()).pop().unwrap();
    assert_eq!(get(&mut http, &variant).await.0, StatusCode::OK);
    let at = |log: &TrafficRecorder| {
        let name = |what: &EventKind| match what {
            EventKind::SetupReceived { node, .. } => Some(node.clone()),
            _ => None,
        };
        log.events().iter().filter_map(|event| name(&event.kind)).collect::<Vec<String>>()
    };
    let first = at(&log).pop().unwrap();
    fleet.stop(usize::from(first == "n1"));
    // A playlist that is kept may be given once more; then the next one comes from the other node.
    let mut now = variant.clone();
    for _ in 0..200 {
        let (status, media) = get(&mut http, &now).await;
        assert!(matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE), "{status} {media}");
        if at(&log).len() == 2 {
            let segment = uris(media.as_bytes()).pop().unwrap();
            assert_eq!(get(&mut http, &segment).await.0, StatusCode::OK);
            break;
        }
        now = variant.clone();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let nodes = at(&log);
    assert!(nodes.len() == 2 && nodes[0] != nodes[1], "{nodes:?}");
    // One that must not be set up again is over instead.
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=2.0&group=event").await;
    let variant = uris(master.as_bytes()).pop().unwrap();
    fleet.stop(usize::from(first != "n1"));
    let (status, body) = get(&mut http, &variant).await;
    assert_eq!((status, body.as_str()), (StatusCode::GONE, "the session is over\n"));
    assert_eq!(at(&log).len(), 3);
}

#[tokio::test]
async fn a_token_of_a_director_that_is_gone_is_told_plainly_and_sets_nothing_up() {
    let (fleet, log, _folder) = nodes(1, 1000.0).await;
    let addresses: Vec<_> = fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect();
    let (one, other) = (director_of(&addresses).await, director_of(&addresses).await);
    let mut http = HttpClient::connect(one.http).await.unwrap();
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=1.0").await;
    // The same keys: signed here as far as it can tell, and not known.
    let mut next = HttpClient::connect(other.http).await.unwrap();
    let told = get(&mut next, &uris(master.as_bytes())[0]).await;
    expect![[r#"(410, "the session is over, or was another director's; begin anew\n")"#]]
        .assert_eq(&format!("{told:?}"));
    assert_eq!(count(&log, setup), 1);
}

#[tokio::test]
async fn a_session_counts_against_room_until_its_player_is_quiet() {
    // Room for one at the lower rung.
    let (fleet, _log, _folder) = nodes(1, 10.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    let (status, master) = get(&mut http, "/t/index.m3u8?viewer=1.0&top=0").await;
    assert_eq!(status, StatusCode::OK);
    // The rung caps what is offered.
    let offered = uris(master.as_bytes()).len();
    let (status, after, _) = http.get("/t/index.m3u8?viewer=2.0").await.unwrap();
    assert_eq!((offered, status, after.is_some()), (1, StatusCode::SERVICE_UNAVAILABLE, true));
    // Nothing is asked of the first any longer: it ends by itself, and then there is room.
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let (status, ..) = http.get("/t/index.m3u8?viewer=3.0").await.unwrap();
        if status == StatusCode::OK {
            return;
        }
    }
    panic!("no room after the quiet");
}

#[tokio::test]
async fn slow_and_large_heads_don_t_hold_the_front() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (fleet, _log, _folder) = nodes(1, 1000.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut slow = tokio::net::TcpStream::connect(director.http).await.unwrap();
    slow.write_all(b"GET /t/index.m3u8 HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let mut large = tokio::net::TcpStream::connect(director.http).await.unwrap();
    let head = format!("GET /t/index.m3u8 HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    let _ = large.write_all(head.as_bytes()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    assert_eq!(get(&mut http, "/t/index.m3u8?viewer=1.0").await.0, StatusCode::OK);
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), large.read_to_end(&mut answer));
    let _ = read.await.expect("it is closed");
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 431"), "{}", String::from_utf8_lossy(&answer));
    answer.clear();
    let read = tokio::time::timeout(Duration::from_secs(10), slow.read_to_end(&mut answer));
    let _ = read.await.expect("it is closed");
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(&answer));
}
