//! Measures the HLS front: rewriting a playlist compared with copying it, and thousands of live sessions.

use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use ashglade::ids::{GroupId, SessionId, TitleId};
use ashglade_hls::playlist::{self, PlaylistLocation};
use ashglade_hls::{KeyRing, RequestKind, SigningKey, Token};
use ashglade_standin::hls_player::{HttpClient, uris};
use hdrhistogram::Histogram;
use hyper::StatusCode;
use rtsp_types::Url;
use tokio::task::JoinSet;

use crate::measure::{self, process_usage};

/// Number of segments in the rewritten playlist: 90 minutes of six seconds each.
const SEGMENT_COUNT: usize = 900;
/// Number of times the playlist is rewritten.
const ROUNDS: u32 = 300;
/// Number of player connections. Each carries a part of the sessions, as a proxy in front of the director
/// would.
const CONNECTION_COUNT: usize = 100;
/// Duration of the reload phase.
const RELOAD_DURATION: Duration = Duration::from_secs(12);

/// Measures rewriting and `sessions` live sessions, and prints the results.
pub async fn measure(out: &Path, sessions: usize) -> Result<(), String> {
    measure_rewriting()?;
    let testbed = measure::start_testbed(out).await?;
    let director = testbed.directors.hls_address(0);
    let pid = testbed.directors.pid(0).ok_or("the director is not running")?;
    let (_, idle_kb) = process_usage(pid)?;
    let start = Instant::now();
    let mut players = JoinSet::new();
    for number in 0..CONNECTION_COUNT {
        let session_count = sessions * (number + 1) / CONNECTION_COUNT - sessions * number / CONNECTION_COUNT;
        players.spawn(start_sessions(director, number, session_count));
    }
    let mut started = Vec::new();
    while let Some(result) = players.join_next().await {
        started.push(result.map_err(|e| e.to_string())??);
    }
    let count: usize = started.iter().map(|(_, playlists, _)| playlists.len()).sum();
    let elapsed_s = start.elapsed().as_secs_f64();
    let (cpu_before, resident_kb) = process_usage(pid)?;
    println!(
        "{count} sessions begun in {elapsed_s:.1} s: {:.0} a second, {:.1} kB each in the director, {:.0} us of its CPU",
        count as f64 / elapsed_s,
        (resident_kb - idle_kb) / count as f64,
        cpu_before * 1e6 / count as f64
    );
    let mut setups = histogram();
    let mut players = JoinSet::new();
    let until = Instant::now() + RELOAD_DURATION;
    for (http, playlists, times) in started {
        setups.add(times).map_err(|e| e.to_string())?;
        players.spawn(reload_sessions(http, playlists, until));
    }
    let (mut reloads, mut other_statuses) = (histogram(), std::collections::BTreeMap::<u16, usize>::new());
    while let Some(result) = players.join_next().await {
        let (times, statuses) = result.map_err(|e| e.to_string())?;
        reloads.add(times).map_err(|e| e.to_string())?;
        statuses.into_iter().for_each(|status| *other_statuses.entry(status).or_default() += 1);
    }
    let (cpu_after, _) = process_usage(pid)?;
    let line = |name: &str, histogram: &Histogram<u64>| {
        let ms = |q| histogram.value_at_quantile(q) as f64 / 1e3;
        println!(
            "{name}: {} answered, ms median {:.2}, p99 {:.2}, most {:.2}",
            histogram.len(),
            ms(0.5),
            ms(0.99),
            ms(1.0)
        );
    };
    line("session requests", &setups);
    line("playlists loaded again and segments", &reloads);
    println!(
        "{:.0} requests a second with {count} live sessions, other answers {other_statuses:?}; {:.0} us of the director's CPU for each",
        reloads.len() as f64 / RELOAD_DURATION.as_secs_f64(),
        (cpu_after - cpu_before) * 1e6 / reloads.len().max(1) as f64
    );
    testbed.directors.stop(Duration::from_secs(5)).await;
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

/// Microseconds elapsed since an instant.
fn micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}

/// Starts sessions one after the other on one connection. Returns the connection, the URIs of the last
/// variant of each session, and the times of the requests in microseconds.
async fn start_sessions(
    director: SocketAddr,
    number: usize,
    sessions: usize,
) -> Result<(HttpClient, Vec<String>, Histogram<u64>), String> {
    let mut http = HttpClient::connect(director).await.ok_or("the director can't be reached")?;
    let (mut playlists, mut times) = (Vec::new(), histogram());
    for i in 0..sessions {
        let start = Instant::now();
        let path = format!("/renewal/index.m3u8?group=agent-lesson&viewer={}.0", number * 100_000 + i);
        match http.get(&path).await {
            Some((StatusCode::OK, _, body)) => playlists.extend(uris(&body).pop()),
            Some((StatusCode::SERVICE_UNAVAILABLE, ..)) => continue,
            answer => {
                return Err(format!("a session request came to {:?}", answer.map(|(status, ..)| status)));
            }
        }
        times.record(micros(start)).map_err(|e| e.to_string())?;
    }
    Ok((http, playlists, times))
}

/// Requests the playlists in a cycle until `until`. Returns the times in microseconds and the other status
/// codes.
async fn reload_sessions(
    mut http: HttpClient,
    playlists: Vec<String>,
    until: Instant,
) -> (Histogram<u64>, Vec<u16>) {
    let (mut times, mut other_statuses) = (histogram(), Vec::new());
    for playlist in playlists.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let start = Instant::now();
        match http.get(playlist).await {
            Some((StatusCode::OK, ..)) => {
                let _ = times.record(micros(start));
            }
            Some((status, ..)) => other_statuses.push(status.into()),
            None => break,
        }
    }
    (times, other_statuses)
}

/// Measures rewriting a playlist, compared with copying the same bytes and splitting them into lines.
fn measure_rewriting() -> Result<(), String> {
    let mut text = "#EXTM3U\n#EXT-X-TARGETDURATION:6\n#EXT-X-MAP:URI=\"init.mp4\"\n".to_string();
    for index in 0..SEGMENT_COUNT {
        text += &format!("#EXTINF:6.000,\nsegment-{index:05}.m4s?viewer=1.0\n");
    }
    text += "#EXT-X-ENDLIST\n";
    let url = Url::parse("http://10.0.0.1/renewal/v1/index.m3u8").map_err(|e| e.to_string())?;
    let base = PlaylistLocation { url: &url, folder: "/renewal/" };
    let keys = KeyRing::new(vec![SigningKey { id: 1, secret: vec![7; 32] }]).ok_or("no key")?;
    let token = Token { session: SessionId(1), title: TitleId(1), group: GroupId(0), expires: 1 };
    let signed = keys.sign(&token);
    let resource = RequestKind::Resource(Some(1));
    let sign = |path: &str| {
        let signature = keys.sign_path(token.session, &format!("{resource}/{path}"));
        format!("/renewal/{signed}/{resource}-{signature}/{path}")
    };
    let unsigned_path = |path: &str| path.to_string();
    let mean_seconds = |work: &dyn Fn() -> usize| {
        let start = Instant::now();
        let total: usize = (0..ROUNDS).map(|_| work()).sum();
        black_box(total);
        start.elapsed().as_secs_f64() / f64::from(ROUNDS)
    };
    let copied = mean_seconds(&|| {
        let copy = black_box(text.clone());
        copy.lines().map(str::len).sum()
    });
    let unsigned = mean_seconds(&|| {
        playlist::rewrite_media(text.as_bytes(), &base, &unsigned_path).map_or(0, |m| m.text.len())
    });
    let rewritten =
        mean_seconds(&|| playlist::rewrite_media(text.as_bytes(), &base, &sign).map_or(0, |m| m.text.len()));
    let lines = text.lines().count() as f64;
    let print_rate = |name: &str, elapsed_s: f64| {
        println!(
            "{name}: {:.0} MB a second, {:.0} ns a line",
            text.len() as f64 / 1e6 / elapsed_s,
            elapsed_s * 1e9 / lines
        );
    };
    println!("a playlist of {SEGMENT_COUNT} segments, {} bytes", text.len());
    print_rate("copied and parted into lines", copied);
    print_rate("rewritten, not signed", unsigned);
    print_rate("rewritten and signed", rewritten);
    Ok(())
}
