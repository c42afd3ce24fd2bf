//! Processes of directors.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::record::{Process, ProcessEnd, SharedRecord};

/// Interval of health checks until one is passed, and of samples of memory and descriptors.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(300);
/// Messages of the log of a process that has failed.
const PANIC_TEXT: &str = "panicked at";

/// A running process of a director.
pub struct RunningProcess {
    pid: Pid,
    /// Index in the record.
    index: usize,
    ended: watch::Receiver<bool>,
    record: SharedRecord,
}

/// What a process is started with.
pub struct StartOptions<'a> {
    pub program: &'a Path,
    pub config: PathBuf,
    pub log: PathBuf,
    /// Filter of the log, as the program's `--log` takes it.
    pub log_filter: &'a str,
}

impl RunningProcess {
    /// Starts a process. Its output goes to the end of the log file.
    pub fn start(
        director: usize,
        options: &StartOptions<'_>,
        record: SharedRecord,
    ) -> std::io::Result<RunningProcess> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&options.log)?;
        let log_start = log.metadata()?.len();
        let mut child = Command::new(options.program)
            .args(["--log", options.log_filter, "platform"])
            .env("BALANCER_CONFIG", &options.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = Pid::from_raw(child.id().unwrap_or_default() as i32);
        let index = {
            let started_at = record.now();
            let mut record = record.lock();
            record.processes.push(Process { director, started_at, ..Process::default() });
            record.processes.len() - 1
        };
        let (end, ended) = watch::channel(false);
        let (waiter_record, log_path) = (record.clone(), options.log.clone());
        tokio::spawn(async move {
            let status = child.wait().await;
            let now = waiter_record.now();
            let end_kind = match status {
                Ok(status) => match (status.code(), status.signal()) {
                    (Some(code), _) => ProcessEnd::Exited(code),
                    (None, signal) => ProcessEnd::Signalled(signal.unwrap_or_default()),
                },
                Err(_) => ProcessEnd::Exited(-1),
            };
            let text = std::fs::read(&log_path).unwrap_or_default();
            let own = text.get(log_start as usize..).unwrap_or_default();
            let panicked = String::from_utf8_lossy(own).contains(PANIC_TEXT);
            let process = &mut waiter_record.lock().processes[index];
            (process.ended, process.panicked) = (Some((now, end_kind)), panicked);
            end.send_replace(true);
        });
        let process = RunningProcess { pid, index, ended, record };
        tokio::spawn(sample(process.pid, index, process.ended.clone(), process.record.clone()));
        Ok(process)
    }

    /// Waits until a health check is passed, and records it. Returns false if the process ends before.
    pub async fn wait_until_ready(&self, address: SocketAddr) -> bool {
        while !self.has_ended() {
            if let Ok(Ok(true)) = timeout(CHECK_TIMEOUT, passes_health_check(address)).await {
                let now = self.record.now();
                self.record.lock().processes[self.index].ready_at = Some(now);
                return true;
            }
            sleep(CHECK_INTERVAL).await;
        }
        false
    }

    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Waits until the process has ended.
    pub async fn wait_for_end(&self) {
        let _ = self.ended.clone().wait_for(|ended| *ended).await;
    }

    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    pub fn terminate(&self) {
        let now = self.record.now();
        self.record.lock().processes[self.index].terminated_at.get_or_insert(now);
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process if it still runs.
    pub fn kill(&self) {
        if !self.has_ended() {
            let now = self.record.now();
            self.record.lock().processes[self.index].killed_at = Some(now);
            self.signal(Signal::SIGKILL);
        }
    }

    fn signal(&self, signal: Signal) {
        if !self.has_ended() {
            let _ = kill(self.pid, signal);
        }
    }
}

/// Records the highest use of memory and descriptors.
async fn sample(pid: Pid, index: usize, ended: watch::Receiver<bool>, record: SharedRecord) {
    loop {
        // Not at once: until its program has begun, the process holds what this one holds.
        sleep(SAMPLE_INTERVAL).await;
        if *ended.borrow() {
            return;
        }
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse::<f64>().ok());
        {
            let process = &mut record.lock().processes[index];
            process.max_descriptors = process.max_descriptors.max(descriptors);
            process.max_memory_mb = process.max_memory_mb.max(memory_kb.unwrap_or_default() / 1024.0);
        }
    }
}

async fn passes_health_check(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address).await?;
    let check = b"{\"verb\":\"ECHO\",\"tag\":\"00000000000000ee\",\"opts\":{},\"rc\":0}\n";
    stream.write_all(check).await?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await?;
    Ok(line.contains("\"rc\":1"))
}
