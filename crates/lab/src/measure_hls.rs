//! What the second front costs: rewriting a playlist against copying it, and thousands of live sessions.

use std::hint::black_box;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use ashglade::ids::{GroupId, SessionId, TitleId};
use ashglade_hls::playlist::{self, Place};
use ashglade_hls::{Ask, Key, Keys, Token};
use ashglade_standin::hls_player::{Http, uris};
use hdrhistogram::Histogram;
use hyper::StatusCode;
use rtsp_types::Url;
use tokio::task::JoinSet;

use crate::measure::{self, usage};

/// Segments in the playlist that is rewritten: an hour and a half of six seconds each.
const SEGMENTS: usize = 900;
const TIMES: u32 = 300;
/// Connections of players; each carries its part of the sessions, as a proxy before the director would.
const CONNECTIONS: usize = 100;
/// For so long sessions are loaded again and again.
const LIVE: Duration = Duration::from_secs(12);

pub async fn measure(out: &Path, sessions: usize) -> Result<(), String> {
    rewriting()?;
    let set = measure::set(out).await?;
    let director = set.directors.hls_address(0);
    let pid = set.directors.pid(0).ok_or("the director is not running")?;
    let (_, idle) = usage(pid)?;
    let begun = Instant::now();
    let mut players = JoinSet::new();
    for number in 0..CONNECTIONS {
        let mine = sessions * (number + 1) / CONNECTIONS - sessions * number / CONNECTIONS;
        players.spawn(begin(director, number, mine));
    }
    let mut begun_all = Vec::new();
    while let Some(done) = players.join_next().await {
        begun_all.push(done.map_err(|e| e.to_string())??);
    }
    let count: usize = begun_all.iter().map(|(_, playlists, _)| playlists.len()).sum();
    let seconds = begun.elapsed().as_secs_f64();
    let (cpu, kb) = usage(pid)?;
    println!(
        "{count} sessions begun in {seconds:.1} s: {:.0} a second, {:.1} kB each in the director, {:.0} us of its CPU",
        count as f64 / seconds,
        (kb - idle) / count as f64,
        cpu * 1e6 / count as f64
    );
    let mut setups = histogram();
    let mut players = JoinSet::new();
    let until = Instant::now() + LIVE;
    for (http, playlists, times) in begun_all {
        setups.add(times).map_err(|e| e.to_string())?;
        players.spawn(live(http, playlists, until));
    }
    let (mut reloads, mut gone) = (histogram(), std::collections::BTreeMap::<u16, usize>::new());
    while let Some(done) = players.join_next().await {
        let (times, lost) = done.map_err(|e| e.to_string())?;
        reloads.add(times).map_err(|e| e.to_string())?;
        lost.into_iter().for_each(|status| *gone.entry(status).or_default() += 1);
    }
    let (after, _) = usage(pid)?;
    let line = |name: &str, h: &Histogram<u64>| {
        let ms = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "{name}: {} answered, ms median {:.2}, p99 {:.2}, most {:.2}",
            h.len(),
            ms(0.5),
            ms(0.99),
            ms(1.0)
        );
    };
    line("session requests", &setups);
    line("playlists loaded again and segments", &reloads);
    println!(
        "{:.0} requests a second with {count} live sessions, other answers {gone:?}; {:.0} us of the director's CPU for each",
        reloads.len() as f64 / LIVE.as_secs_f64(),
        (after - cpu) * 1e6 / reloads.len().max(1) as f64
    );
    set.directors.stop(Duration::from_secs(5)).await;
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn micros(since: Instant) -> u64 {
    since.elapsed().as_micros() as u64
}

/// Sessions begun one after the other on one connection; their highest variants' playlists.
async fn begin(
    director: SocketAddr,
    number: usize,
    sessions: usize,
) -> Result<(Http, Vec<String>, Histogram<u64>), String> {
    let mut http = Http::open(director).await.ok_or("the director can't be reached")?;
    let (mut playlists, mut times) = (Vec::new(), histogram());
    for i in 0..sessions {
        let since = Instant::now();
        let path = format!("/renewal/index.m3u8?group=agent-lesson&viewer={}.0", number * 100_000 + i);
        match http.get(&path).await {
            Some((StatusCode::OK, _, body)) => playlists.extend(uris(&body).pop()),
            Some((StatusCode::SERVICE_UNAVAILABLE, ..)) => continue,
            answer => {
                return Err(format!("a session request came to {:?}", answer.map(|(status, ..)| status)));
            }
        }
        times.record(micros(since)).map_err(|e| e.to_string())?;
    }
    Ok((http, playlists, times))
}

/// Loads each playlist again, and a segment of it, one after the other until then.
async fn live(mut http: Http, playlists: Vec<String>, until: Instant) -> (Histogram<u64>, Vec<u16>) {
    let (mut times, mut gone) = (histogram(), Vec::new());
    for playlist in playlists.iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        let since = Instant::now();
        match http.get(playlist).await {
            Some((StatusCode::OK, ..)) => {
                let _ = times.record(micros(since));
            }
            Some((status, ..)) => gone.push(status.into()),
            None => break,
        }
    }
    (times, gone)
}

/// A recorded playlist rewritten, against the same bytes copied and looked through for line ends.
fn rewriting() -> Result<(), String> {
    let mut text = "#EXTM3U\n#EXT-X-TARGETDURATION:6\n#EXT-X-MAP:URI=\"init.mp4\"\n".to_string();
    for n in 0..SEGMENTS {
        text += &format!("#EXTINF:6.000,\nsegment-{n:05}.m4s?viewer=1.0\n");
    }
    text += "#EXT-X-ENDLIST\n";
    let url = Url::parse("http://10.0.0.1/renewal/v1/index.m3u8").map_err(|e| e.to_string())?;
    let place = Place { url: &url, folder: "/renewal/" };
    let keys = Keys::new(vec![Key { id: 1, secret: vec![7; 32] }]).ok_or("no key")?;
    let token = Token { sess: SessionId(1), title: TitleId(1), group: GroupId(0), expires: 1 };
    let signed = keys.sign(&token);
    let ask = Ask::Part(Some(1));
    let give = |path: &str| {
        let signature = keys.sign_path(token.sess, &format!("{ask}/{path}"));
        format!("/renewal/{signed}/{ask}-{signature}/{path}")
    };
    let bare = |path: &str| path.to_string();
    let time = |work: &dyn Fn() -> usize| {
        let begun = Instant::now();
        let done: usize = (0..TIMES).map(|_| work()).sum();
        black_box(done);
        begun.elapsed().as_secs_f64() / f64::from(TIMES)
    };
    let copied = time(&|| {
        let copy = black_box(text.clone());
        copy.lines().map(str::len).sum()
    });
    let unsigned = time(&|| playlist::media(text.as_bytes(), &place, &bare).map_or(0, |m| m.text.len()));
    let rewritten = time(&|| playlist::media(text.as_bytes(), &place, &give).map_or(0, |m| m.text.len()));
    let lines = text.lines().count() as f64;
    let told = |name: &str, took: f64| {
        println!(
            "{name}: {:.0} MB a second, {:.0} ns a line",
            text.len() as f64 / 1e6 / took,
            took * 1e9 / lines
        );
    };
    println!("a playlist of {SEGMENTS} segments, {} bytes", text.len());
    told("copied and parted into lines", copied);
    told("rewritten, not signed", unsigned);
    told("rewritten and signed", rewritten);
    Ok(())
}
