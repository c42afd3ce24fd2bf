//! Starts the director with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::line;
use crate::record::Record;
use crate::viewer::Viewer;

pub struct Director {
    child: Child,
    /// Holds the id of the process as long as it runs.
    id_file: PathBuf,
    pub listen: SocketAddr,
    record: Record,
}

/// A port on `ip` that was free a moment ago.
pub fn free_address(ip: &str) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// What the configuration of a director holds.
pub struct Config {
    pub listen: SocketAddr,
    pub bus: SocketAddr,
    pub sockets: usize,
    pub memory_mb: u32,
    /// Events of the start.
    pub known: String,
    pub settings: String,
}

impl Config {
    fn text(&self) -> String {
        format!(
            r#"{{"name":"n1","listen":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"bus":"{}","known":{},"settings":{}}}"#,
            self.listen, self.memory_mb, self.sockets, self.bus, self.known, self.settings
        )
    }
}

impl Director {
    /// Runs the deploy file's command and waits until the director passes a test.
    pub fn start(run: &str, folder: &Path, config: &Config, record: &Record) -> Result<Director, String> {
        let file: PathBuf = folder.join("config.json");
        std::fs::write(&file, config.text()).map_err(|e| e.to_string())?;
        let log = File::create(folder.join("director.log")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", config.listen.to_string())
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start the director: {e}"))?;
        // The script that runs the case ends the director by this id, should the case itself be ended early.
        let id_file = folder.join("director.pid");
        std::fs::write(&id_file, child.id().to_string()).map_err(|e| e.to_string())?;
        let mut director = Director { child, id_file, listen: config.listen, record: record.clone() };
        record.log("director", &format!("started as process {}", director.child.id()));
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if let Ok(Some(status)) = director.child.try_wait() {
                return Err(format!("the director ended: {status}"));
            }
            if let Ok(viewer) = Viewer::connect("front", config.listen, "127.0.0.1", record) {
                viewer.send(&line::echo("00000000000000ee"));
                if viewer.wait(1000, |l| line::verb(l) == "ECHOED" && line::cause(l) == Some(1)).is_some() {
                    return Ok(director);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the director passed no test within 10 s".to_string())
    }

    /// The memory that the process holds for itself, without the pages of its program file, in kB.
    pub fn private_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?.split_whitespace().next()?.parse().ok()
    }

    /// Kills the process, as the platform does with one that is over its memory limit.
    pub fn kill(&mut self, why: &str) {
        self.record.log("platform", &format!("kills the director: {why}"));
        self.end();
    }

    fn end(&mut self) {
        let _ = std::fs::remove_file(&self.id_file);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        self.end();
        self.record.log("director", "ended by the test");
    }
}
