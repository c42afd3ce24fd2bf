//! Measures the overhead of a director compared with direct connections to a node, both in one run on one
//! machine. The ratios are the result; the absolute times depend on the machine.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ashglade_rtsp::messages::{self, InterleavedChannels};
use ashglade_rtsp::{Codec, Packet, Response};
use ashglade_standin::node::SlowStart;
use ashglade_standin::{Fleet, NodeSpec};
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

/// Number of SETUPs timed on each path.
const SETUP_COUNT: u64 = 2000;
/// Number of playing sessions held open to measure memory.
const IDLE_SESSION_COUNT: usize = 1000;
/// Duration of each throughput measurement.
const RELAY_DURATION: Duration = Duration::from_secs(3);

/// An RTSP client with one connection and at most one session.
struct Client {
    framed: Framed<TcpStream, Codec>,
    url: Url,
    cseq: u32,
    session: Option<String>,
}

impl Client {
    async fn open(server: SocketAddr, path: &str) -> Result<Client, String> {
        let stream = TcpStream::connect(server).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let url = Url::parse(&format!("rtsp://{server}/{path}")).map_err(|e| e.to_string())?;
        Ok(Client { framed: Framed::new(stream, Codec::default()), url, cseq: 0, session: None })
    }

    /// Sends a request and returns its response; any status but 200 is an error.
    async fn request(&mut self, method: Method) -> Result<Response, String> {
        self.cseq += 1;
        let mut request = messages::request(method.clone(), &self.url, self.cseq);
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        if method == Method::Setup {
            request.insert_header(
                headers::TRANSPORT,
                InterleavedChannels { rtp: 0, rtcp: 1 }.transport_header(None),
            );
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

/// Histogram of the times from SETUP to 200 in microseconds, each on a connection that is already open.
async fn setup_times(server: SocketAddr, path: &str) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for _ in 0..SETUP_COUNT {
        let mut client = Client::open(server, path).await?;
        let start = Instant::now();
        client.request(Method::Setup).await?;
        times.record(start.elapsed().as_micros() as u64).map_err(|e| e.to_string())?;
        client.request(Method::Teardown).await?;
    }
    Ok(times)
}

/// Starts a node that sends frames as fast as they are read once it plays; returns its address.
async fn start_flooding_node() -> Result<SocketAddr, String> {
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
                        response.insert_header(
                            headers::TRANSPORT,
                            InterleavedChannels { rtp: 0, rtcp: 1 }.transport_header(None),
                        );
                    }
                    if framed.send(Packet::Response(response)).await.is_err() {
                        return;
                    }
                    if *request.method() == Method::Play {
                        send_frames(framed.get_mut()).await;
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Sends RTP frames until the connection fails.
async fn send_frames(stream: &mut TcpStream) {
    let mut codec = Codec::default();
    let mut bytes = BytesMut::new();
    let (mut sequence, mut timestamp) = (0u16, 0u32);
    loop {
        bytes.clear();
        for _ in 0..32 {
            let mut payload = BytesMut::with_capacity(1328);
            payload.put_slice(&[0x80, 96]);
            payload.put_u16(sequence);
            payload.put_u32(timestamp);
            payload.put_u32(7);
            payload.put_bytes(0x47, 1316);
            (sequence, timestamp) = (sequence.wrapping_add(1), timestamp.wrapping_add(300));
            if codec.encode(Packet::Frame { channel: 0, payload }, &mut bytes).is_err() {
                return;
            }
        }
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Relays connections to `from` without inspecting them: the baseline for a director's throughput. Prints its
/// address.
pub async fn run_plain_relay(from: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
    println!("{}", listener.local_addr().map_err(|e| e.to_string())?);
    while let Ok((mut viewer, _)) = listener.accept().await {
        let mut node = TcpStream::connect(from).await.map_err(|e| e.to_string())?;
        tokio::spawn(async move { tokio::io::copy_bidirectional(&mut viewer, &mut node).await });
    }
    Ok(())
}

/// Throughput that a viewer reads after PLAY, in MB/s.
async fn relay_throughput(server: SocketAddr, path: &str) -> Result<f64, String> {
    let mut client = Client::open(server, path).await?;
    client.request(Method::Setup).await?;
    client.request(Method::Play).await?;
    let mut stream = client.framed.into_inner();
    let mut buffer = vec![0; 256 * 1024];
    let (start, mut bytes) = (Instant::now(), 0);
    while start.elapsed() < RELAY_DURATION {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return Err("the relay stopped".to_string()),
            Ok(count) => bytes += count,
        }
    }
    Ok(bytes as f64 / 1e6 / start.elapsed().as_secs_f64())
}

/// CPU time of a process in seconds, and its resident memory in kB.
pub fn process_usage(pid: u32) -> Result<(f64, f64), String> {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).map_err(|e| e.to_string());
    let stat = read("stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    // The kernel reports CPU time in ticks of 10 ms.
    Ok(((ticks(11) + ticks(12)) / 100.0, resident_kb))
}

/// Time that the admission controller takes for a request that is admitted and completed, in nanoseconds,
/// while `waiting` other requests are queued.
fn admission_cost_ns(waiting: u64) -> f64 {
    use ashglade::ids::{GroupId, SessionId};
    use ashglade::time::{Instant as EngineInstant, Span};
    use ashglade_admission::{
        AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, SetupOutcome,
    };
    const REQUESTS: u64 = 200_000;
    let config = AdmissionConfig {
        seed: 1,
        groups: vec![(1.0, 1.0), (2.0, 2.0)],
        tenant_weights: vec![1.0],
        min_start_target: Span::from_secs(3600.0),
        max_retry_after: Some(Span::from_secs(8.0)),
        max_waiting: 10_000,
        concurrency_limits: (1.0, 1.0, 1.0),
    };
    let mut controller = AdmissionController::new(config, EngineInstant::from_ms(0.0));
    let (start_target, setup_timeout) = (Span::from_secs(3600.0), Span::from_secs(36_000.0));
    let request = |number: u64| AdmissionRequest {
        session: SessionId(number),
        group: GroupId((number % 2) as usize),
        tenant: 0,
        client: number,
        start_target,
        setup_timeout,
    };
    (0..waiting).for_each(|number| controller.offer(request(number), EngineInstant::from_ms(0.0)));
    let start = Instant::now();
    let mut completed = 0u64;
    for number in 0..REQUESTS {
        let now = EngineInstant::from_ms(number as f64 * 0.01);
        controller.offer(request(waiting + number), now);
        for decision in controller.poll(now) {
            if let AdmissionDecision::Admit { session, .. } = decision {
                controller.complete(session, SetupOutcome::Started, now);
                completed += 1;
            }
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / completed.max(1) as f64
}

/// One director with twelve nodes whose capacity is practically unlimited.
pub struct TestBed {
    /// The director, as the only one of its day.
    pub directors: Directors,
    /// The nodes.
    pub fleet: Arc<Fleet>,
    /// Folders of the directors, entries of the node list, and the names in the settings.
    lists: (Vec<std::path::PathBuf>, Vec<ashglade_discovery::NodeEntry>, ashglade_settings::HeadendNames),
    log: ashglade_standin::TrafficRecorder,
}

/// Starts the test bed with its files in `out`.
pub async fn start_testbed(out: &Path) -> Result<TestBed, String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let template =
        include_str!("../../../days/mixed-day.txtpb").lines().filter(|line| !line.starts_with("trouble"));
    let text = template
        .collect::<Vec<_>>()
        .join("\n")
        .replace("places: 24", "places: 100000")
        .replace("unit_kb_per_s: 160 uplink_kb_per_s: 800", "unit_kb_per_s: 10000000 uplink_kb_per_s: 0")
        .replace("may_probe: true", "may_probe: false")
        .replace("most_sessions: 5000", "most_sessions: 50000")
        .replace("from: 0.4 warm_after_ms: 4000", "from: 1 warm_after_ms: 1")
        .replace("care: SAFE\n    seats: 12", "care: SAFE")
        .replace("seconds: 30\ndirectors: 2", "seconds: 30\ndirectors: 1");
    let day = day::parse("the measurement template", &text).map_err(|e| e.to_string())?;
    let log = play::unjudged_log(out)?;
    let directors = Directors::prepare(&day, out, log.clone(), |_| None)?;
    let path = directors.settings(0).ok_or("the day has no directors")?;
    let settings = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let settings = ashglade_settings::parse_settings("settings", &settings).map_err(|e| e.to_string())?;
    let spec = |i| NodeSpec {
        name: format!("node-{i}"),
        rack: 0,
        max_sessions: 100_000,
        link_kb_per_s: 1e9,
        rejects_when_full: false,
    };
    let cold_pace = SlowStart {
        initial_fraction: 1.0,
        duration_s: 0.001,
        overload_multiple: 1e9,
        overload_window_s: 1.0,
    };
    let fleet = Fleet::start(
        (0..12).map(spec).collect(),
        vec![f64::INFINITY],
        vec![1.0; 4],
        cold_pace,
        1,
        log.clone(),
    );
    let fleet = fleet.await.map_err(|e| e.to_string())?;
    let (_, entries) = play::nodes(&day, &settings);
    let entries: Vec<_> = fleet
        .nodes
        .iter()
        .zip(entries)
        .map(|(node, entry)| ashglade_discovery::NodeEntry {
            address: node.address,
            http_address: Some(node.http_address),
            ..entry
        })
        .collect();
    let folders: Vec<_> = directors.all.iter().map(|(.., f)| f.clone()).collect();
    let director_lists = folders.iter().map(|folder| (folder.clone(), entries.clone())).collect();
    NodeLists::new(settings.names.clone(), log.clone(), director_lists)
        .write_all()
        .map_err(|e| e.to_string())?;
    directors.start(0, false).await?;
    Ok(TestBed { directors, fleet, lists: (folders, entries, settings.names.clone()), log })
}

/// Runs all measurements and prints the results.
pub async fn measure(out: &Path) -> Result<(), String> {
    let TestBed { directors, fleet, lists: (folders, mut entries, names), log } = start_testbed(out).await?;
    let (_, director_address, _) = directors.all[0];
    let pid = directors.pid(0).ok_or("the director is not running")?;

    println!(
        "door: {:.0} ns a request, {:.0} ns with 1,000 waiting",
        admission_cost_ns(0),
        admission_cost_ns(1000)
    );
    let direct = setup_times(fleet.nodes[0].address, "renewal/r0").await?;
    let (cpu_before, _) = process_usage(pid)?;
    let proxied = setup_times(director_address, "renewal/track1?top=0").await?;
    let (cpu_after, idle_kb) = process_usage(pid)?;
    println!("SETUP to 200, {SETUP_COUNT} each, microseconds: median / p99");
    let line = |name: &str, histogram: &Histogram<u64>| {
        println!("  {name:9} {} / {}", histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
    };
    line("straight", &direct);
    line("through", &proxied);
    let ratio = |quantile| {
        proxied.value_at_quantile(quantile) as f64 / direct.value_at_quantile(quantile).max(1) as f64
    };
    println!("  ratio     {:.2} / {:.2}", ratio(0.5), ratio(0.99));
    println!(
        "CPU of the director for SETUP and TEARDOWN: {:.0} microseconds",
        (cpu_after - cpu_before) / SETUP_COUNT as f64 * 1e6
    );

    let mut sessions = Vec::new();
    for _ in 0..IDLE_SESSION_COUNT {
        let mut client = Client::open(director_address, "renewal/track1?top=0").await?;
        client.request(Method::Setup).await?;
        client.request(Method::Play).await?;
        sessions.push(client);
    }
    let (_, full_kb) = process_usage(pid)?;
    println!(
        "memory: {:.1} kB for each of {IDLE_SESSION_COUNT} playing sessions ({idle_kb:.0} kB before, {full_kb:.0} kB with them)",
        (full_kb - idle_kb) / IDLE_SESSION_COUNT as f64
    );
    drop(sessions);
    directors.stop(Duration::from_secs(6)).await;

    // Restarts the director with the same settings and a single node that sends as fast as it is read.
    let flooding_node = start_flooding_node().await?;
    entries.iter_mut().for_each(|e| e.state = ashglade_discovery::NodeState::Gone);
    if let Some(entry) = entries.first_mut() {
        (entry.address, entry.state) = (flooding_node, ashglade_discovery::NodeState::Ready);
    }
    let director_lists = folders.into_iter().map(|folder| (folder, entries.clone())).collect();
    NodeLists::new(names.clone(), log, director_lists).write_all().map_err(|e| e.to_string())?;
    directors.start(0, false).await?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut relay_process = tokio::process::Command::new(program)
        .arg("copy")
        .arg(flooding_node.to_string())
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| e.to_string())?;
    let mut relay_output = tokio::io::BufReader::new(relay_process.stdout.take().ok_or("no output")?);
    let mut address = String::new();
    tokio::io::AsyncBufReadExt::read_line(&mut relay_output, &mut address)
        .await
        .map_err(|e| e.to_string())?;
    let address: SocketAddr = address.trim().parse().map_err(|e| format!("{address:?}: {e}"))?;
    let plain_mb_per_s = relay_throughput(address, "renewal/r0").await?;
    let director_mb_per_s = relay_throughput(director_address, "renewal/track1?top=0").await?;
    println!(
        "relayed: {director_mb_per_s:.0} MB a second through the director, {plain_mb_per_s:.0} by a plain copy, ratio {:.2}",
        director_mb_per_s / plain_mb_per_s
    );
    directors.stop(Duration::from_secs(6)).await;
    Ok(())
}
