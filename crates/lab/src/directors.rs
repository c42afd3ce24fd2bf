//! Director processes, each with its own settings and node list.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Mutex;

use ashglade_judge::EventKind;
use ashglade_settings::schema::headend as schema;
use ashglade_standin::TrafficRecorder;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use prost_reflect::{DescriptorPool, DynamicMessage};
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};

use crate::day::{Day, SCHEMA};

/// All directors of a day, running or not.
pub struct Directors {
    /// Index, RTSP address and folder of each director.
    pub all: Vec<(u16, SocketAddr, PathBuf)>,
    /// Sockets that are bound but not listening: they reserve each director's port while it is down.
    _rtsp_ports: Vec<TcpSocket>,
    /// By director: its HLS address, and the socket that reserves it.
    hls_ports: Vec<(SocketAddr, TcpSocket)>,
    children: Mutex<Vec<Option<Child>>>,
    log: TrafficRecorder,
    /// Name of the fault to inject into the directors.
    pub defect: Option<String>,
}

impl Directors {
    /// Reserves ports and writes the settings of each director; starts none. `peers` gives the addresses at
    /// which a director reaches the others, if they communicate.
    pub fn prepare(
        day: &Day,
        out: &Path,
        log: TrafficRecorder,
        peers: impl Fn(u16) -> Option<Vec<String>>,
    ) -> Result<Directors, String> {
        let count = day.directors.unwrap_or(1) as u16;
        let reserve_port = || -> std::io::Result<TcpSocket> {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(([127, 0, 0, 1], 0).into())?;
            Ok(socket)
        };
        let ports: Vec<TcpSocket> = (0..count)
            .map(|_| reserve_port())
            .collect::<Result<_, _>>()
            .map_err(|e| format!("cannot reserve a loopback port: {e}"))?;
        let mut all = Vec::new();
        let mut hls_ports = Vec::new();
        for (index, port) in (0..count).zip(&ports) {
            let address = port.local_addr().map_err(|e| e.to_string())?;
            let folder = out.join(format!("director-{index}"));
            std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let hls_port = reserve_port().map_err(|e| format!("cannot reserve a loopback port: {e}"))?;
            let hls_listen = hls_port.local_addr().map_err(|e| e.to_string())?;
            hls_ports.push((hls_listen, hls_port));
            let peers = peers(index);
            let text = director_settings(day, index, &address.to_string(), &hls_listen.to_string(), peers)?;
            let path = folder.join("headend.txtpb");
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            all.push((index, address, folder));
        }
        let children = Mutex::new(all.iter().map(|_| None).collect());
        Ok(Directors { all, _rtsp_ports: ports, hls_ports, children, log, defect: None })
    }

    /// The address at which a director serves HLS.
    pub fn hls_address(&self, index: u16) -> SocketAddr {
        self.hls_ports[usize::from(index)].0
    }

    /// The settings file of a director.
    pub fn settings(&self, index: u16) -> Option<PathBuf> {
        Some(self.all.get(usize::from(index))?.2.join("headend.txtpb"))
    }

    /// Starts a director and waits up to 5 s until it listens.
    pub async fn start(&self, index: u16, record: bool) -> Result<(), String> {
        let Some((_, address, folder)) = self.all.get(usize::from(index)) else { return Ok(()) };
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let path = folder.join("log.txt");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&path);
        let log = log.map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = Command::new(program);
        command.arg("director").arg("--settings").arg(folder.join("headend.txtpb"));
        if let Some(defect) = &self.defect {
            command.arg("--defect").arg(defect);
        }
        if record {
            command.arg("--record").arg(folder.join("rounds.jsonl"));
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| e.to_string())?;
        self.replace_child(index, Some(child));
        for _ in 0..200 {
            if tokio::net::TcpStream::connect(address).await.is_ok() {
                self.log.record(EventKind::DirectorStarted { director: index });
                return Ok(());
            }
            tokio::time::sleep(std::time::Duration::from_millis(25)).await;
        }
        Err(format!("director {index} did not start listening; see {}", path.display()))
    }

    /// Replaces the child process of a director and returns the previous one.
    fn replace_child(&self, index: u16, child: Option<Child>) -> Option<Child> {
        let mut children = self.children.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        std::mem::replace(children.get_mut(usize::from(index))?, child)
    }

    /// The process id of a director, if it runs.
    pub fn pid(&self, index: u16) -> Option<u32> {
        let children = self.children.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        children.get(usize::from(index))?.as_ref()?.id()
    }

    fn signal(&self, index: u16, signal: Signal) {
        if let Some(pid) = self.pid(index) {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills a director with SIGKILL.
    pub async fn kill(&self, index: u16) {
        if let Some(mut child) = self.replace_child(index, None) {
            self.log.record(EventKind::DirectorKilled { director: index });
            let _ = child.kill().await;
        }
    }

    /// Suspends a director with SIGSTOP.
    pub fn pause(&self, index: u16) {
        self.signal(index, Signal::SIGSTOP);
    }

    /// Resumes a suspended director, and logs that it was stalled since `from` (log time in ms).
    pub fn resume(&self, index: u16, from: f64) {
        self.signal(index, Signal::SIGCONT);
        self.log.record(EventKind::DirectorPaused { director: index, from });
    }

    /// Sends SIGTERM to all and waits up to `within` for each; true if all exited successfully.
    pub async fn stop(&self, timeout: std::time::Duration) -> bool {
        let mut all_successful = true;
        for &(index, ..) in &self.all {
            self.signal(index, Signal::SIGTERM);
        }
        for &(index, ..) in &self.all {
            if let Some(mut child) = self.replace_child(index, None) {
                let exit = tokio::time::timeout(timeout, child.wait()).await;
                all_successful &= matches!(exit, Ok(Ok(status)) if status.success());
            }
        }
        all_successful
    }
}

/// The settings of one of the day's directors in text format.
pub fn director_settings(
    day: &Day,
    index: u16,
    listen: &str,
    hls_listen: &str,
    peers: Option<Vec<String>>,
) -> Result<String, String> {
    let mut headend = day.headend.clone().unwrap_or_default();
    let zone_of = |index: usize| headend.zone.get(index % headend.zone.len().max(1)).cloned();
    let zone = zone_of(usize::from(index));
    let zones = (0..day.directors.unwrap_or(1) as usize).filter_map(zone_of).collect();
    if let (Some(talk), Some(peers)) = (&mut headend.talk, peers) {
        (talk.peer, talk.peer_zone) = (peers, zones);
    }
    headend.director = Some(schema::Director {
        number: Some(index.into()),
        directors: Some(day.directors.unwrap_or(1)),
        zone,
        seed: Some(day.seed.unwrap_or(0) + u64::from(index)),
    });
    headend.front.get_or_insert_default().listen = Some(listen.into());
    if let Some(hls) = &mut headend.hls {
        hls.listen = Some(hls_listen.into());
    }
    headend.box_list = Some("boxes.txtpb".into());
    format_settings(&headend)
}

fn format_settings(headend: &schema::Headend) -> Result<String, String> {
    to_text_format(headend, "ashglade.headend.Headend", SCHEMA)
}

/// Formats a message as text. `name` is its full name in the compiled `schema`.
pub fn to_text_format(message: &impl prost::Message, name: &str, schema: &[u8]) -> Result<String, String> {
    let pool = DescriptorPool::decode(schema).map_err(|e| e.to_string())?;
    let descriptor =
        pool.get_message_by_name(name).ok_or_else(|| format!("the schema has no message {name}"))?;
    let mut dynamic = DynamicMessage::new(descriptor);
    dynamic.transcode_from(message).map_err(|e| e.to_string())?;
    Ok(dynamic.to_text_format_with_options(&prost_reflect::text_format::FormatOptions::new().pretty(true)))
}
