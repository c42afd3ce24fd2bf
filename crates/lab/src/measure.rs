//! What the way through a director costs, against the straight way, in one run on one machine: ratios count, the
//! times behind them are this machine's.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashglade_rtsp::messages::{self, Channels};
use ashglade_rtsp::{Codec, Packet, Response};
use ashglade_standin::node::ColdPace;
use ashglade_standin::{Fleet, Spec};
use bytes::{BufMut, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use rtsp_types::{Method, StatusCode, Url, headers};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Encoder, Framed};

use crate::day;
use crate::directors::Directors;
use crate::lists::NodeLists;
use crate::play;

/// SETUPs timed on each way, sessions held idle, and for how long bytes are relayed.
const SETUPS: u64 = 2000;
const HELD: usize = 1000;
const RELAYED: Duration = Duration::from_secs(3);

struct Client {
    framed: Framed<TcpStream, Codec>,
    url: Url,
    cseq: u32,
    session: Option<String>,
}

impl Client {
    async fn open(to: SocketAddr, path: &str) -> Result<Client, String> {
        let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let url = Url::parse(&format!("rtsp://{to}/{path}")).map_err(|e| e.to_string())?;
        Ok(Client { framed: Framed::new(stream, Codec::default()), url, cseq: 0, session: None })
    }

    async fn ask(&mut self, method: Method) -> Result<Response, String> {
        self.cseq += 1;
        let mut request = messages::request(method.clone(), &self.url, self.cseq);
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        if method == Method::Setup {
            request.insert_header(headers::TRANSPORT, Channels { rtp: 0, rtcp: 1 }.granted(None));
        }
        self.framed.send(Packet::Request(request)).await.map_err(|e| e.to_string())?;
        loop {
            match self.framed.next().await {
                Some(Ok(Packet::Response(response))) => {
                    if response.status() != StatusCode::Ok {
                        return Err(format!("{method:?} was answered {}", u16::from(response.status())));
                    }
                    let session = messages::header(&response, &headers::SESSION);
                    self.session = session.map(|s| messages::session_id(s).to_string());
                    return Ok(response);
                }
                Some(Ok(_)) => {}
                Some(Err(fault)) => return Err(fault.to_string()),
                None => return Err("closed".to_string()),
            }
        }
    }
}

/// Microseconds from SETUP to its 200, on connections that are open already.
async fn setups(to: SocketAddr, path: &str) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for _ in 0..SETUPS {
        let mut client = Client::open(to, path).await?;
        let began = Instant::now();
        client.ask(Method::Setup).await?;
        times.record(began.elapsed().as_micros() as u64).map_err(|e| e.to_string())?;
        client.ask(Method::Teardown).await?;
    }
    Ok(times)
}

/// A node that sends frames as fast as they are taken, once it plays.
async fn firehose() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut framed = Framed::new(stream, Codec::default());
                while let Some(Ok(Packet::Request(request))) = framed.next().await {
                    let mut response =
                        messages::response(StatusCode::Ok, messages::cseq(&request).as_deref());
                    if *request.method() == Method::Setup {
                        response.insert_header(headers::SESSION, "1");
                        response
                            .insert_header(headers::TRANSPORT, Channels { rtp: 0, rtcp: 1 }.granted(None));
                    }
                    if framed.send(Packet::Response(response)).await.is_err() {
                        return;
                    }
                    if *request.method() == Method::Play {
                        flood(framed.get_mut()).await;
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

async fn flood(stream: &mut TcpStream) {
    let mut codec = Codec::default();
    let mut bytes = BytesMut::new();
    let (mut seq, mut ts) = (0u16, 0u32);
    loop {
        bytes.clear();
        for _ in 0..32 {
            let mut payload = BytesMut::with_capacity(1328);
            payload.put_slice(&[0x80, 96]);
            payload.put_u16(seq);
            payload.put_u32(ts);
            payload.put_u32(7);
            payload.put_bytes(0x47, 1316);
            (seq, ts) = (seq.wrapping_add(1), ts.wrapping_add(300));
            if codec.encode(Packet::Frame { channel: 0, payload }, &mut bytes).is_err() {
                return;
            }
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Copies what the first address sends to whoever connects: what a relay that looks at nothing would do.
pub async fn copy(from: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
    while let Ok((mut viewer, _)) = listener.accept().await {
        let mut node = TcpStream::connect(from).await.map_err(|e| e.to_string())?;
        tokio::spawn(async move { tokio::io::copy_bidirectional(&mut viewer, &mut node).await });
    }
    Ok(())
}

/// MB a second that a viewer reads after PLAY.
async fn relayed(to: SocketAddr, path: &str) -> Result<f64, String> {
    let mut client = Client::open(to, path).await?;
    client.ask(Method::Setup).await?;
    client.ask(Method::Play).await?;
    let mut stream = client.framed.into_inner();
    let mut buffer = vec![0; 256 * 1024];
    let (began, mut bytes) = (Instant::now(), 0);
    while began.elapsed() < RELAYED {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Err("the relay stopped".to_string()),
            Ok(n) => bytes += n,
        }
    }
    Ok(bytes as f64 / 1e6 / began.elapsed().as_secs_f64())
}

/// CPU seconds of a process so far, and its resident memory in kB.
pub fn usage(pid: u32) -> Result<(f64, f64), String> {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).map_err(|e| e.to_string());
    let stat = read("stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    // The kernel counts in hundredths of a second.
    Ok(((ticks(11) + ticks(12)) / 100.0, kb))
}

/// What the door costs a request that goes in and comes out, in nanoseconds, with so many clients and places to wait taken.
fn door_cost(waiting: u64) -> f64 {
    use ashglade::ids::{GroupId, SessionId};
    use ashglade::time::{Instant as At, Span};
    use ashglade_admission::{
        AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
    };
    const REQUESTS: u64 = 200_000;
    let terms = AdmissionConfig {
        seed: 1,
        groups: vec![(1.0, 1.0), (2.0, 2.0)],
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(3600.0),
        max_retry_after: Some(Span::from_secs(8.0)),
        max_waiting: 10_000,
        concurrency_limits: (1.0, 1.0, 1.0),
    };
    let mut door = AdmissionController::new(terms, At::from_ms(0.0));
    let (start_target, setup_timeout) = (Span::from_secs(3600.0), Span::from_secs(36_000.0));
    let request = |n: u64| AdmissionRequest {
        session: SessionId(n),
        group: GroupId((n % 2) as usize),
        tenant: 0,
        client: n,
        start_target,
        setup_timeout,
    };
    (0..waiting).for_each(|n| door.offer(request(n), At::from_ms(0.0)));
    let began = Instant::now();
    let mut done = 0u64;
    for n in 0..REQUESTS {
        let now = At::from_ms(n as f64 * 0.01);
        door.offer(request(waiting + n), now);
        for verdict in door.poll(now) {
            if let AdmissionDecision::Admit { session: sess, .. } = verdict {
                door.complete(sess, SetupOutcome::Started, now);
                done += 1;
            }
        }
    }
    began.elapsed().as_secs_f64() * 1e9 / done.max(1) as f64
}

/// One director before twelve nodes that have room for whatever comes.
pub struct Set {
    pub directors: Directors,
    pub fleet: Arc<Fleet>,
    lists: (Vec<std::path::PathBuf>, Vec<ashglade_discovery::NodeEntry>, ashglade_settings::Names),
    log: ashglade_standin::Log,
}

pub async fn set(out: &Path) -> Result<Set, String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let kept =
        include_str!("../../../days/mixed-day.txtpb").lines().filter(|line| !line.starts_with("trouble"));
    let text = kept
        .collect::<Vec<_>>()
        .join("\n")
        .replace("places: 24", "places: 100000")
        .replace("unit_kb_per_s: 160 uplink_kb_per_s: 800", "unit_kb_per_s: 10000000 uplink_kb_per_s: 0")
        .replace("may_probe: true", "may_probe: false")
        .replace("most_sessions: 5000", "most_sessions: 50000")
        .replace("from: 0.4 warm_after_ms: 4000", "from: 1 warm_after_ms: 1")
        .replace("care: SAFE\n    seats: 12", "care: SAFE")
        .replace("seconds: 30\ndirectors: 2", "seconds: 30\ndirectors: 1");
    let day = day::parse("the kept day", &text).map_err(|e| e.to_string())?;
    let log = play::unjudged_log(out)?;
    let directors = Directors::prepare(&day, out, log.clone(), |_| None)?;
    let path = directors.settings(0).ok_or("the director is not running")?;
    let settings = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let settings = ashglade_settings::settings("settings", &settings).map_err(|e| e.to_string())?;
    let spec = |i| Spec { name: format!("node-{i}"), rack: 0, places: 100_000, link: 1e9, guard: false };
    let cold = ColdPace { from: 1.0, warm_after: 0.001, multiple: 1e9, span: 1.0 };
    let fleet =
        Fleet::start((0..12).map(spec).collect(), vec![f64::INFINITY], vec![1.0; 4], cold, 1, log.clone());
    let fleet = fleet.await.map_err(|e| e.to_string())?;
    let (_, entries) = play::nodes(&day, &settings);
    let entries: Vec<_> = fleet
        .nodes
        .iter()
        .zip(entries)
        .map(|(node, entry)| ashglade_discovery::NodeEntry {
            address: node.address,
            http_address: Some(node.http),
            ..entry
        })
        .collect();
    let folders: Vec<_> = directors.all.iter().map(|(.., f)| f.clone()).collect();
    let of = folders.iter().map(|folder| (folder.clone(), entries.clone())).collect();
    NodeLists::new(settings.names.clone(), log.clone(), of).write_all().map_err(|e| e.to_string())?;
    directors.start(0, false).await?;
    Ok(Set { directors, fleet, lists: (folders, entries, settings.names.clone()), log })
}

pub async fn measure(out: &Path) -> Result<(), String> {
    let Set { directors, fleet, lists: (folders, mut entries, names), log } = set(out).await?;
    let (_, door, _) = directors.all[0];
    let pid = directors.pid(0).ok_or("the director is not running")?;

    println!("door: {:.0} ns a request, {:.0} ns with 1,000 waiting", door_cost(0), door_cost(1000));
    let straight = setups(fleet.nodes[0].address, "renewal/r0").await?;
    let (before, _) = usage(pid)?;
    let through = setups(door, "renewal/track1?top=0").await?;
    let (after, idle) = usage(pid)?;
    println!("SETUP to 200, {SETUPS} each, microseconds: median / p99");
    let line = |name: &str, h: &Histogram<u64>| {
        println!("  {name:9} {} / {}", h.value_at_quantile(0.5), h.value_at_quantile(0.99));
    };
    line("straight", &straight);
    line("through", &through);
    let ratio = |q| through.value_at_quantile(q) as f64 / straight.value_at_quantile(q).max(1) as f64;
    println!("  ratio     {:.2} / {:.2}", ratio(0.5), ratio(0.99));
    println!(
        "CPU of the director for SETUP and TEARDOWN: {:.0} microseconds",
        (after - before) / SETUPS as f64 * 1e6
    );

    let mut held = Vec::new();
    for _ in 0..HELD {
        let mut client = Client::open(door, "renewal/track1?top=0").await?;
        client.ask(Method::Setup).await?;
        client.ask(Method::Play).await?;
        held.push(client);
    }
    let (_, full) = usage(pid)?;
    println!(
        "memory: {:.1} kB for each of {HELD} playing sessions ({idle:.0} kB before, {full:.0} kB with them)",
        (full - idle) / HELD as f64
    );
    drop(held);
    directors.stop(Duration::from_secs(6)).await;

    // The same director's settings, with a node that sends as fast as it is read.
    let hose = firehose().await?;
    entries.iter_mut().for_each(|e| e.state = ashglade_discovery::NodeState::Gone);
    if let Some(entry) = entries.first_mut() {
        (entry.address, entry.state) = (hose, ashglade_discovery::NodeState::Ready);
    }
    let of = folders.into_iter().map(|folder| (folder, entries.clone())).collect();
    NodeLists::new(names.clone(), log, of).write_all().map_err(|e| e.to_string())?;
    directors.start(0, false).await?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut copier = tokio::process::Command::new(program)
        .arg("copy")
        .arg(hose.to_string())
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| e.to_string())?;
    let mut said = tokio::io::BufReader::new(copier.stdout.take().ok_or("no output")?);
    let mut address = String::new();
    tokio::io::AsyncBufReadExt::read_line(&mut said, &mut address).await.map_err(|e| e.to_string())?;
    let address: SocketAddr = address.trim().parse().map_err(|e| format!("{address:?}: {e}"))?;
    let plain = relayed(address, "renewal/r0").await?;
    let relay = relayed(door, "renewal/track1?top=0").await?;
    println!(
        "relayed: {relay:.0} MB a second through the director, {plain:.0} by a plain copy, ratio {:.2}",
        relay / plain
    );
    directors.stop(Duration::from_secs(6)).await;
    Ok(())
}
