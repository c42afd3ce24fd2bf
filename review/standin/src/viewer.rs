//! A viewer's connection to the director.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::sys;

type Received = Arc<(Mutex<Vec<(f64, String)>>, Condvar)>;

pub struct Viewer {
    name: String,
    stream: TcpStream,
    received: Received,
    record: Record,
}

impl Viewer {
    /// Connects from the loopback address `from`.
    pub fn connect(name: &str, to: SocketAddr, from: &str, record: &Record) -> std::io::Result<Viewer> {
        let stream = sys::connect_from(from, to)?;
        stream.set_nodelay(true)?;
        let received: Received = Arc::default();
        let (shared, reader, log, who) =
            (received.clone(), stream.try_clone()?, record.clone(), name.to_string());
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines() {
                let Ok(line) = line else { break };
                log.log(&who, &format!("< {line}"));
                shared.0.lock().unwrap().push((log.now(), line));
                shared.1.notify_all();
            }
            log.log(&who, "its connection has ended");
        });
        Ok(Viewer { name: name.to_string(), stream, received, record: record.clone() })
    }

    pub fn send(&self, line: &str) {
        self.record.log(&self.name, &format!("> {line}"));
        let _ = (&self.stream).write_all(format!("{line}\n").as_bytes());
    }

    /// Sends many lines at once.
    pub fn send_all(&self, lines: &[String]) {
        self.record.log(&self.name, &format!("> {} lines, the first: {}", lines.len(), lines[0]));
        let _ = (&self.stream).write_all((lines.join("\n") + "\n").as_bytes());
        self.record.log(&self.name, "all of them are written");
    }

    /// Waits for a line that fits, and returns it with its time.
    pub fn wait(&self, ms: u64, fits: impl Fn(&str) -> bool) -> Option<(f64, String)> {
        let due = Instant::now() + Duration::from_millis(ms);
        let mut lines = self.received.0.lock().unwrap();
        loop {
            if let Some(found) = lines.iter().find(|(_, line)| fits(line)) {
                return Some(found.clone());
            }
            let left = due.checked_duration_since(Instant::now())?;
            lines = self.received.1.wait_timeout(lines, left).unwrap().0;
        }
    }

    /// All lines so far, with their times.
    pub fn lines(&self) -> Vec<(f64, String)> {
        self.received.0.lock().unwrap().clone()
    }
}

impl Drop for Viewer {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
