//! The HLS front on loopback, against stand-in nodes. Checks what a player sees of signed URIs, of its rung,
//! of a node lost between two segments, and of a director that doesn't know its session.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ashglade_judge::{EventKind, RulesConfig};
use ashglade_standin::hls_player::{HttpClient, uris};
use ashglade_standin::node::SlowStart;
use ashglade_standin::{Fleet, NodeSpec, TrafficRecorder};
use expect_test::expect;
use hyper::StatusCode;
use support::director_of;

/// Starts `count` nodes, each with a link of `link` kB/s. The rungs have 10 and 20 kB/s.
async fn start_nodes(count: usize, link: f64) -> (Arc<Fleet>, TrafficRecorder, tempfile::TempDir) {
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
    let cold_pace =
        SlowStart { initial_fraction: 1.0, duration_s: 1e-3, overload_multiple: 1e3, overload_window_s: 1.0 };
    let specs = (0..count).map(spec).collect();
    let fleet =
        Fleet::start(specs, vec![f64::INFINITY], vec![10.0, 20.0], cold_pace, 1, log.clone()).await.unwrap();
    (fleet, log, folder)
}

async fn get(http: &mut HttpClient, path: &str) -> (StatusCode, String) {
    let response =
        tokio::time::timeout(Duration::from_secs(10), http.get(path)).await.expect("a response in time");
    let (status, _, body) = response.expect("a response");
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Replaces what differs from run to run: tokens, signatures, and the numbers of segments.
fn normalize(playlist: &str) -> String {
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

fn count_events(log: &TrafficRecorder, matches: fn(&EventKind) -> bool) -> usize {
    log.events().iter().filter(|event| matches(&event.kind)).count()
}

fn is_setup(event: &EventKind) -> bool {
    matches!(event, EventKind::SetupReceived { .. })
}

#[tokio::test]
async fn a_player_gets_playlists_with_signed_uris_and_segments_through_the_director() {
    let (fleet, log, _folder) = start_nodes(1, 1000.0).await;
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
    .assert_eq(&normalize(&master));
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
    .assert_eq(&normalize(&media));
    let segment = uris(media.as_bytes())[0].clone();
    let (status, _, bytes) = http.get(&segment).await.unwrap();
    assert_eq!((status, bytes.len()), (StatusCode::OK, 20_000));
    let (status, _, bytes) = http.get_range(&segment, Some("bytes=100-299")).await.unwrap();
    assert_eq!((status, bytes.len()), (StatusCode::PARTIAL_CONTENT, 200));
    // A hundred immediate reloads cost the node no more than one: the director caches live playlists.
    for _ in 0..100 {
        assert_eq!(get(&mut http, &variants[1]).await.0, StatusCode::OK);
    }
    // URIs that the player wasn't given are refused, and none of them causes a second SETUP.
    let mut responses = String::new();
    let other_title = segment.replace("/t/", "/two/");
    let other_variant = segment.replace("/v1/", "/v0/");
    let forged = segment.replacen("/t/A", "/t/B", 1);
    for (name, path) in [
        ("another title", other_title.as_str()),
        ("another variant's segment", other_variant.as_str()),
        ("a forged token", forged.as_str()),
        ("no token", "/t/x/p0-x/1.ts"),
        ("half a path", "/t/x"),
        ("no title", "/nothing/index.m3u8"),
        ("no group", "/t/index.m3u8?group=none"),
        ("no rung", "/t/index.m3u8?top=high"),
    ] {
        let (status, body) = get(&mut http, path).await;
        responses += &format!("{name}: {} {body}", status.as_u16());
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
    .assert_eq(&responses);
    assert_eq!(count_events(&log, is_setup), 1);
}

#[tokio::test]
async fn a_node_lost_between_two_segments_is_replaced_with_one_setup_at_a_time() {
    let (fleet, log, _folder) = start_nodes(2, 1000.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=1.0&group=lesson").await;
    let variant = uris(master.as_bytes()).pop().unwrap();
    assert_eq!(get(&mut http, &variant).await.0, StatusCode::OK);
    let setup_nodes = |log: &TrafficRecorder| {
        let name = |event: &EventKind| match event {
            EventKind::SetupReceived { node, .. } => Some(node.clone()),
            _ => None,
        };
        log.events().iter().filter_map(|event| name(&event.kind)).collect::<Vec<String>>()
    };
    let first = setup_nodes(&log).pop().unwrap();
    fleet.stop(usize::from(first == "n1"));
    // The cached playlist may be returned once more. The next one comes from the other node.
    let mut playlist_uri = variant.clone();
    for _ in 0..200 {
        let (status, media) = get(&mut http, &playlist_uri).await;
        assert!(matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE), "{status} {media}");
        if setup_nodes(&log).len() == 2 {
            let segment = uris(media.as_bytes()).pop().unwrap();
            assert_eq!(get(&mut http, &segment).await.0, StatusCode::OK);
            break;
        }
        playlist_uri = variant.clone();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let nodes = setup_nodes(&log);
    assert!(nodes.len() == 2 && nodes[0] != nodes[1], "{nodes:?}");
    // A session that must not be set up again ends instead.
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=2.0&group=event").await;
    let variant = uris(master.as_bytes()).pop().unwrap();
    fleet.stop(usize::from(first != "n1"));
    let (status, body) = get(&mut http, &variant).await;
    assert_eq!((status, body.as_str()), (StatusCode::GONE, "the session is over\n"));
    assert_eq!(setup_nodes(&log).len(), 3);
}

#[tokio::test]
async fn a_token_of_another_director_gets_410_and_sets_nothing_up() {
    let (fleet, log, _folder) = start_nodes(1, 1000.0).await;
    let addresses: Vec<_> = fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect();
    let (first_director, second_director) = (director_of(&addresses).await, director_of(&addresses).await);
    let mut http = HttpClient::connect(first_director.http).await.unwrap();
    let (_, master) = get(&mut http, "/t/index.m3u8?viewer=1.0").await;
    // The directors share their keys: the token is valid, but its session isn't known.
    let mut second_http = HttpClient::connect(second_director.http).await.unwrap();
    let response = get(&mut second_http, &uris(master.as_bytes())[0]).await;
    expect![[r#"(410, "the session is over, or was another director's; begin anew\n")"#]]
        .assert_eq(&format!("{response:?}"));
    assert_eq!(count_events(&log, is_setup), 1);
}

#[tokio::test]
async fn a_session_takes_capacity_until_its_player_is_idle() {
    // Capacity for one session at the lower rung.
    let (fleet, _log, _folder) = start_nodes(1, 10.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    let (status, master) = get(&mut http, "/t/index.m3u8?viewer=1.0&top=0").await;
    assert_eq!(status, StatusCode::OK);
    // The playlist offers no variant above the session's rung.
    let variant_count = uris(master.as_bytes()).len();
    let (status, retry_after, _) = http.get("/t/index.m3u8?viewer=2.0").await.unwrap();
    assert_eq!((variant_count, status, retry_after.is_some()), (1, StatusCode::SERVICE_UNAVAILABLE, true));
    // The first session gets no more requests, so it ends by its idle timeout and frees the capacity.
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let (status, ..) = http.get("/t/index.m3u8?viewer=3.0").await.unwrap();
        if status == StatusCode::OK {
            return;
        }
    }
    panic!("no capacity was freed by the idle timeout");
}

#[tokio::test]
async fn slow_and_large_request_headers_don_t_block_the_front() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (fleet, _log, _folder) = start_nodes(1, 1000.0).await;
    let director =
        director_of(&fleet.nodes.iter().map(|n| (n.address, n.http_address)).collect::<Vec<_>>()).await;
    let mut slow = tokio::net::TcpStream::connect(director.http).await.unwrap();
    slow.write_all(b"GET /t/index.m3u8 HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let mut large = tokio::net::TcpStream::connect(director.http).await.unwrap();
    let head = format!("GET /t/index.m3u8 HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    let _ = large.write_all(head.as_bytes()).await;
    let mut http = HttpClient::connect(director.http).await.unwrap();
    assert_eq!(get(&mut http, "/t/index.m3u8?viewer=1.0").await.0, StatusCode::OK);
    let mut response = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), large.read_to_end(&mut response));
    let _ = read.await.expect("the connection is closed");
    assert!(
        response.is_empty() || response.starts_with(b"HTTP/1.1 431"),
        "{}",
        String::from_utf8_lossy(&response)
    );
    response.clear();
    let read = tokio::time::timeout(Duration::from_secs(10), slow.read_to_end(&mut response));
    let _ = read.await.expect("the connection is closed");
    assert!(
        response.is_empty() || response.starts_with(b"HTTP/1.1 408"),
        "{}",
        String::from_utf8_lossy(&response)
    );
}
