//! Start and stop of a director: settings, listeners, tasks and drain.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashglade::time::Span;
use ashglade_discovery::NodeList;
use ashglade_engine::{AdmissionConfig, EngineConfig, Input};
use ashglade_ledger::{Ledger, TeardownPolicy, journal};
use ashglade_rtsp::digest::Credentials;
use ashglade_settings::Settings;
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::timeout;
use tracing::{info, warn};

use crate::context::DirectorContext;
use crate::engine_handle::{ENGINE_QUEUE_CAPACITY, EngineHandle};
use crate::engine_task::{self, EngineTaskConfig, LedgerStore};
use crate::files::{StartupError, read_file, replace_file, resolve_path};
use crate::node_lists::{self, NodeListFiles};
use crate::pool::ConnectionPool;
use crate::{node_requests, rtsp_connection};
use ashglade_clock::Clock;

/// Time for which a drained director waits for its viewers' connections to end, so that requests that have been
/// received get their responses.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(300);

/// Options of a director's start.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The settings file.
    pub settings: PathBuf,
    /// Where the engine's rounds are recorded, as JSON lines, if anywhere.
    pub record: Option<PathBuf>,
    /// Fault in the exchange between directors, injected by the lab to check that its judge detects it. No
    /// command of the director sets it.
    pub injected_fault: Option<ashglade_peer_transport::InjectedFault>,
}

/// Reads and checks the settings and the node lists. Returns the settings, the node list that a director
/// would start with, and the files it would follow.
pub fn load(path: &Path) -> Result<(Settings, NodeList, NodeListFiles), StartupError> {
    let settings = ashglade_settings::parse_settings(&path.display().to_string(), &read_file(path)?)?;
    let files = NodeListFiles::new(&settings, path);
    let (_, list) = node_lists::load(&settings, &files, ashglade::time::Instant::default())?;
    Ok((settings, list, files))
}

/// Returns the file to which a director with these settings writes the status of its admission queue.
pub fn admission_status_path(settings: &Settings, path: &Path) -> Option<PathBuf> {
    let view = settings.admission.as_ref()?.status_path.as_ref()?;
    Some(resolve_path(path, view))
}

/// Returns the file to which a director with these settings writes its view of other directors and of nodes.
pub fn peer_status_path(settings: &Settings, path: &Path) -> Option<PathBuf> {
    let view = settings.peering.as_ref()?.sharing.as_ref()?.status_path.as_ref()?;
    Some(resolve_path(path, view))
}

/// Returns the engine's configuration from the settings.
pub fn engine_config(settings: &Settings) -> EngineConfig {
    let headend = &settings.director_config;
    EngineConfig {
        director: headend.clone(),
        answer_margin: settings.answer_margin,
        probe_timeout: settings.probe_timeout,
        max_sessions: settings.max_sessions,
        admission: settings.admission.as_ref().map(|admission| AdmissionConfig {
            seed: headend.seed,
            groups: admission
                .group_weights
                .iter()
                .copied()
                .zip(headend.groups.iter().map(|g| g.utility))
                .collect(),
            tenant_weights: admission.tenants.iter().map(|&(_, share)| share).collect(),
            min_start_target: headend
                .groups
                .iter()
                .map(|g| g.start_target)
                .min()
                .unwrap_or(Span::from_secs(1.0)),
            max_retry_after: headend.max_retry_after,
            max_waiting: admission.max_waiting,
            concurrency_limits: admission.concurrency_limits,
        }),
    }
}

/// Runs a director until it is stopped: the first SIGTERM or SIGINT drains it, the second ends it at once.
pub async fn serve(options: Options) -> Result<(), StartupError> {
    let settings = ashglade_settings::parse_settings(
        &options.settings.display().to_string(),
        &read_file(&options.settings)?,
    )?;
    let files = NodeListFiles::new(&settings, &options.settings);
    let recording = match &options.record {
        Some(path) => {
            let created = std::fs::File::create(path);
            Some(created.map_err(|source| StartupError::Read { path: path.clone(), source })?)
        }
        None => None,
    };
    let address = settings.rtsp.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|source| StartupError::Listen { address, source })?;
    let hls_listener = match &settings.hls {
        Some(hls) => {
            let address = hls.listen;
            let listener = TcpListener::bind(address).await;
            Some((hls.clone(), listener.map_err(|source| StartupError::Listen { address, source })?))
        }
        None => None,
    };
    let peer_socket = match &settings.peering {
        Some(talk) => {
            let address = talk.addresses[settings.director_config.director_index];
            let socket = UdpSocket::bind(address).await;
            Some(socket.map_err(|source| StartupError::Listen { address, source })?)
        }
        None => None,
    };
    let mut terminate_signals = signal(SignalKind::terminate()).map_err(StartupError::Signals)?;
    let mut interrupt_signals = signal(SignalKind::interrupt()).map_err(StartupError::Signals)?;
    let clock = Clock::start();
    let (merger, list) = node_lists::load(&settings, &files, clock.now())?;
    let (engine, messages) = EngineHandle::new();
    let started_ms = clock.now().as_ms() as u64;
    let context = Arc::new(DirectorContext {
        engine,
        clock,
        pool: ConnectionPool::new(settings.rtsp.max_idle_connections),
        http_client: http_client(&settings),
        settings: settings.clone(),
        draining: watch::channel(false).0,
        users: settings.rtsp.users.clone().map(|(realm, users)| Arc::new(Credentials { realm, users })),
        next_session_id: AtomicU64::new(started_ms << 20),
        random: Mutex::new(oorandom::Rand64::new(
            u128::from(started_ms) << 64 | u128::from(settings.director_config.seed),
        )),
    });
    let (drained, mut drained_receiver) = watch::channel(false);
    context.engine.submit(Input::DiscoverySnapshot(list.clone())).await;
    let ledger_store = open_ledger(&settings, &options.settings, clock.now())?;
    let (setup_results, setup_result_receiver) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let peer_transport = peer_socket.and_then(|socket| {
        let status_path = peer_status_path(&settings, &options.settings);
        ashglade_peer_transport::PeerTransport::new(
            &settings,
            socket,
            clock,
            setup_result_receiver,
            status_path,
        )
        .map(|mut transport| {
            transport.config.injected_fault = options.injected_fault;
            transport
        })
    });
    // Results of SETUPs go to other directors only where `talk.share` is set.
    let setup_results =
        settings.peering.as_ref().and_then(|talk| talk.sharing.as_ref()).map(|_| setup_results);
    let engine_config = engine_config(&settings);
    let (node_requests, node_request_receiver) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let task_config = EngineTaskConfig {
        clock,
        admission_status_path: admission_status_path(&settings, &options.settings),
        node_requests,
    };
    tokio::spawn(engine_task::run(
        task_config,
        engine_config,
        messages,
        recording,
        ledger_store,
        drained,
        setup_results,
    ));
    tokio::spawn(node_requests::run(context.clone(), node_request_receiver));
    tokio::spawn(node_lists::follow(context.clone(), files, merger));
    if let Some((hls, listener)) = hls_listener {
        info!(address = %hls.listen, "serving HLS");
        tokio::spawn(crate::hls::run(context.clone(), listener, hls));
    }
    if let Some(peer_transport) = peer_transport {
        tokio::spawn(ashglade_peer_transport::run(peer_transport, context.engine.clone()));
    }
    info!(%address, director = settings.director_config.director_index, nodes = list.entries.len(), "serving");

    // Beyond the connection limit, viewers wait in the kernel's accept queue; nothing has been read from
    // them.
    let connection_permits = Arc::new(Semaphore::new(settings.rtsp.max_connections));
    loop {
        let accept = async {
            let permit = connection_permits.clone().acquire_owned().await;
            (listener.accept().await, permit)
        };
        tokio::select! {
            (accepted, permit) = accept => match (accepted, permit) {
                (Ok((stream, _)), Ok(permit)) => spawn_connection(&context, stream, permit),
                (Err(error), _) => {
                    // For example, the limit on open files is reached. Retries after connections may have
                    // ended.
                    warn!(%error, "accepting a connection failed");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
                (_, Err(_)) => break,
            },
            _ = terminate_signals.recv() => break,
            _ = interrupt_signals.recv() => break,
        }
    }
    if let Err(error) = accept_waiting(listener, &context, &connection_permits) {
        warn!(%error, "the connections that wait to be accepted are reset");
    }
    info!("draining: new sessions are rejected");
    context.engine.submit(Input::Drain).await;
    let _ = context.draining.send(true);
    let stops_at_once = tokio::select! {
        _ = drained_receiver.wait_for(|&drained| drained) => false,
        () = tokio::time::sleep(settings.rtsp.drain_timeout) => {
            info!("the drain timeout has passed");
            false
        }
        _ = terminate_signals.recv() => true,
        _ = interrupt_signals.recv() => true,
    };
    if stops_at_once {
        info!("second stop signal; stopping at once");
    } else {
        // Requests that have been received are answered, which for new sessions is a rejection.
        let max_connections = settings.rtsp.max_connections as u32;
        let _ = timeout(LAST_RESPONSES_TIMEOUT, connection_permits.acquire_many(max_connections)).await;
    }
    if let Some((tally, session_count)) = context.engine.tally().await {
        let tally = serde_json::to_string(&tally).unwrap_or_default();
        info!(in_hand = session_count, tally, "stopped");
    }
    Ok(())
}

/// Serves a viewer's connection in a task of its own, which releases the permit at its end.
fn spawn_connection(context: &Arc<DirectorContext>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let context = context.clone();
    tokio::spawn(async move {
        rtsp_connection::run(context, stream).await;
        drop(permit);
    });
}

/// Serves the connections that wait in the accept queue, as far as the connection limit allows, and closes the
/// listener. Their viewers may have sent requests already, which a reset would leave without a response.
fn accept_waiting(
    listener: TcpListener,
    context: &Arc<DirectorContext>,
    permits: &Arc<Semaphore>,
) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    while let Ok(permit) = permits.clone().try_acquire_owned() {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(context, TcpStream::from_std(stream)?, permit);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Returns the HTTP client for HLS requests to nodes.
fn http_client(settings: &Settings) -> Client<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(settings.rtsp.connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(settings.rtsp.max_idle_connections)
        // Shorter than the idle timeout of most servers.
        .pool_idle_timeout(std::time::Duration::from_secs(20))
        .build(connector)
}

/// Opens the session ledger. The sessions that an earlier run left in the journal become pending tear-downs,
/// and the journal is rewritten with these alone.
fn open_ledger(
    settings: &Settings,
    path: &Path,
    now: ashglade::time::Instant,
) -> Result<LedgerStore, StartupError> {
    let mut ledger = Ledger::new(TeardownPolicy::default(), settings.director_config.seed);
    let Some(name) = &settings.rtsp.ledger_path else { return Ok(LedgerStore { ledger, file: None }) };
    let path = resolve_path(path, name);
    let read_error = |source| StartupError::Read { path: path.clone(), source };
    let open_sessions = match std::fs::read_to_string(&path) {
        Ok(text) => journal::open_sessions(&text)
            .map_err(|source| StartupError::Ledger { path: path.clone(), source })?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Default::default(),
        Err(error) => return Err(read_error(error)),
    };
    let lines: String = open_sessions
        .iter()
        .map(|(&key, held)| journal::encode(&journal::Entry::Held(key, held.clone())))
        .collect();
    replace_file(&path, &lines).map_err(read_error)?;
    let file = std::fs::OpenOptions::new().append(true).open(&path).map_err(read_error)?;
    if !open_sessions.is_empty() {
        info!(sessions = open_sessions.len(), "tear-downs pending from an earlier run");
    }
    open_sessions.into_iter().for_each(|(key, held)| ledger.schedule_inherited(key, held, now));
    Ok(LedgerStore { ledger, file: Some(file) })
}
