//! Starting, listening, following the box list, stopping.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use ashglade::time::Span;
use ashglade_discovery::NodeList;
use ashglade_engine::{AdmissionConfig, EngineConfig, Input};
use ashglade_ledger::{Ledger, TeardownPolicy, journal};
use ashglade_rtsp::digest::Users;
use ashglade_settings::Settings;
use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tracing::{info, warn};

use crate::core::{self, Book, With};
use crate::files::{Trouble, beside, read, replace};
use crate::lists::{self, Files};
use crate::orders::{Core, INPUTS};
use crate::pool::Pool;
use crate::shared::Shared;
use crate::{errands, viewer};
use ashglade_clock::Clock;

/// How a director is started.
#[derive(Clone, Debug, Default)]
pub struct Options {
    pub settings: PathBuf,
    /// Where each round is written, if anywhere.
    pub record: Option<PathBuf>,
    /// Broken on purpose by the lab, to see that its judge finds out. No command in service sets it.
    pub defect: Option<ashglade_peer_transport::InjectedFault>,
}

/// Reads and checks settings and box lists; the list that would be in force, and where lists are read.
pub fn load(path: &Path) -> Result<(Settings, NodeList, Files), Trouble> {
    let settings = ashglade_settings::settings(&path.display().to_string(), &read(path)?)?;
    let files = Files::new(&settings, path);
    let (_, list) = lists::open(&settings, &files, ashglade::time::Instant::default())?;
    Ok((settings, list, files))
}

/// Where a director with these settings writes what is to be seen of its door.
pub fn door_view(settings: &Settings, path: &Path) -> Option<PathBuf> {
    let view = settings.door.as_ref()?.view.as_ref()?;
    Some(beside(path, view))
}

/// Where a director with these settings writes what it believes of others and of nodes.
pub fn shared_view(settings: &Settings, path: &Path) -> Option<PathBuf> {
    let view = settings.talk.as_ref()?.share.as_ref()?.view.as_ref()?;
    Some(beside(path, view))
}

/// What the engine is started with, from settings.
pub fn replay_start(settings: &Settings) -> EngineConfig {
    let headend = &settings.headend;
    EngineConfig {
        director: headend.clone(),
        answer_margin: settings.answer_margin,
        probe_timeout: settings.probe_timeout,
        max_sessions: settings.most_sessions,
        admission: settings.door.as_ref().map(|door| AdmissionConfig {
            seed: headend.seed,
            groups: door.shares.iter().copied().zip(headend.groups.iter().map(|g| g.utility)).collect(),
            tenant_weights: door.tenants.iter().map(|&(_, share)| share).collect(),
            min_start_target: headend
                .groups
                .iter()
                .map(|g| g.start_target)
                .min()
                .unwrap_or(Span::from_secs(1.0)),
            max_retry_after: headend.max_retry_after,
            max_waiting: door.most_waiting,
            concurrency_limits: door.hands,
        }),
    }
}

/// Runs a director until it is told to stop: the first SIGTERM or SIGINT drains it, the second ends it.
pub async fn serve(options: Options) -> Result<(), Trouble> {
    let settings =
        ashglade_settings::settings(&options.settings.display().to_string(), &read(&options.settings)?)?;
    let files = Files::new(&settings, &options.settings);
    let record = match &options.record {
        Some(path) => {
            let made = std::fs::File::create(path);
            Some(made.map_err(|source| Trouble::Read { path: path.clone(), source })?)
        }
        None => None,
    };
    let address = settings.front.listen;
    let listener = TcpListener::bind(address).await.map_err(|source| Trouble::Listen { address, source })?;
    let second = match &settings.hls {
        Some(hls) => {
            let address = hls.listen;
            let listener = TcpListener::bind(address).await;
            Some((hls.clone(), listener.map_err(|source| Trouble::Listen { address, source })?))
        }
        None => None,
    };
    let talk = match &settings.talk {
        Some(talk) => {
            let address = talk.peers[settings.headend.director_index];
            let socket = UdpSocket::bind(address).await;
            Some(socket.map_err(|source| Trouble::Listen { address, source })?)
        }
        None => None,
    };
    let mut terms = signal(SignalKind::terminate()).map_err(Trouble::Signals)?;
    let mut interrupts = signal(SignalKind::interrupt()).map_err(Trouble::Signals)?;
    let clock = Clock::start();
    let (watch, list) = lists::open(&settings, &files, clock.now())?;
    let (core, commands) = Core::new();
    let started = clock.now().as_ms() as u64;
    let shared = Arc::new(Shared {
        core,
        clock,
        pool: Pool::new(settings.front.idle_connections),
        http: http_client(&settings),
        settings: settings.clone(),
        draining: watch::channel(false).0,
        users: settings.front.users.clone().map(|(realm, users)| Arc::new(Users { realm, users })),
        next_sess: AtomicU64::new(started << 20),
        random: Mutex::new(oorandom::Rand64::new(
            u128::from(started) << 64 | u128::from(settings.headend.seed),
        )),
    });
    let (drained, mut is_drained) = watch::channel(false);
    shared.core.tell(Input::DiscoverySnapshot(list.clone())).await;
    let book = book(&settings, &options.settings, clock.now())?;
    let (seen, outcomes) = mpsc::channel(INPUTS);
    let talk = talk.and_then(|socket| {
        let view = shared_view(&settings, &options.settings);
        ashglade_peer_transport::PeerTransport::new(&settings, socket, clock, outcomes, view).map(
            |mut started| {
                started.config.injected_fault = options.defect;
                started
            },
        )
    });
    // Only what is shared by settings is told of.
    let seen = settings.talk.as_ref().and_then(|talk| talk.share.as_ref()).map(|_| seen);
    let start = replay_start(&settings);
    let (errands, wanted) = mpsc::channel(INPUTS);
    let with = With { clock, door_view: door_view(&settings, &options.settings), errands };
    tokio::spawn(core::run(with, start, commands, record, book, drained, seen));
    tokio::spawn(errands::run(shared.clone(), wanted));
    tokio::spawn(lists::follow(shared.clone(), files, watch));
    if let Some((hls, listener)) = second {
        info!(address = %hls.listen, "serving HLS");
        tokio::spawn(crate::hls::run(shared.clone(), listener, hls));
    }
    if let Some(talk) = talk {
        tokio::spawn(ashglade_peer_transport::run(talk, shared.core.clone()));
    }
    info!(%address, director = settings.headend.director_index, nodes = list.entries.len(), "serving");

    // Beyond the bound viewers wait in the kernel's queue: nothing of theirs has been taken.
    let places = Arc::new(Semaphore::new(settings.front.most_connections));
    loop {
        let accept = async {
            let place = places.clone().acquire_owned().await;
            (listener.accept().await, place)
        };
        tokio::select! {
            (accepted, place) = accept => match (accepted, place) {
                (Ok((stream, _)), Ok(place)) => {
                    let shared = shared.clone();
                    tokio::spawn(async move {
                        viewer::run(shared, stream).await;
                        drop(place);
                    });
                }
                (Err(error), _) => {
                    // As when no more files may be opened: others must end first.
                    warn!(%error, "a connection could not be accepted");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
                (_, Err(_)) => break,
            },
            _ = terms.recv() => break,
            _ = interrupts.recv() => break,
        }
    }
    drop(listener);
    info!("draining: nothing new is taken");
    shared.core.tell(Input::Drain).await;
    let _ = shared.draining.send(true);
    tokio::select! {
        _ = is_drained.wait_for(|&drained| drained) => {}
        () = tokio::time::sleep(shared.settings.front.drain) => info!("the time to drain is over"),
        _ = terms.recv() => info!("told to stop again"),
        _ = interrupts.recv() => info!("told to stop again"),
    }
    if let Some((tally, in_hand)) = shared.core.tally().await {
        let tally = serde_json::to_string(&tally).unwrap_or_default();
        info!(in_hand, tally, "stopped");
    }
    Ok(())
}

fn http_client(settings: &Settings) -> Client<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(settings.front.connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(settings.front.idle_connections)
        // Under the time after which most servers close an idle connection.
        .pool_idle_timeout(std::time::Duration::from_secs(20))
        .build(connector)
}

/// Opens the ledger, with what the director before this one left in it, and begins its pages anew.
fn book(settings: &Settings, path: &Path, now: ashglade::time::Instant) -> Result<Book, Trouble> {
    let mut ledger = Ledger::new(TeardownPolicy::default(), settings.headend.seed);
    let Some(name) = &settings.front.ledger else { return Ok(Book { ledger, file: None }) };
    let path = beside(path, name);
    let trouble = |source| Trouble::Read { path: path.clone(), source };
    let open = match std::fs::read_to_string(&path) {
        Ok(text) => {
            journal::open_sessions(&text).map_err(|source| Trouble::Ledger { path: path.clone(), source })?
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Default::default(),
        Err(error) => return Err(trouble(error)),
    };
    let lines: String =
        open.iter().map(|(&key, held)| journal::encode(&journal::Entry::Held(key, held.clone()))).collect();
    replace(&path, &lines).map_err(trouble)?;
    let file = std::fs::OpenOptions::new().append(true).open(&path).map_err(trouble)?;
    if !open.is_empty() {
        info!(sessions = open.len(), "tear-downs owed by the director before this one");
    }
    open.into_iter().for_each(|(key, held)| ledger.schedule_inherited(key, held, now));
    Ok(Book { ledger, file: Some(file) })
}
