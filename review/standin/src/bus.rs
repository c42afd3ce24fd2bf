//! The event bus: numbered events over HTTP, as the protocol page has it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::record::Record;

#[derive(Clone)]
pub struct Bus {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
    record: Record,
}

impl Bus {
    pub fn start(record: &Record) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let bus =
            Bus { address: listener.local_addr().unwrap(), events: Arc::default(), record: record.clone() };
        let serving = bus.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = serving.clone();
                std::thread::spawn(move || bus.serve(stream));
            }
        });
        bus
    }

    /// Adds an event with these endpoints. The first one carries the entire list.
    pub fn publish(&self, endpoints: &[String]) {
        let mut events = self.events.0.lock().unwrap();
        let offset = events.len() + 1;
        let event = format!(
            r#"{{"offset":{offset},"topology":{{"index":{offset},"snapshot":{},"endpoints":[{}]}}}}"#,
            offset == 1,
            endpoints.join(",")
        );
        self.record.log("bus", &format!("event {event}"));
        events.push(event);
        self.events.1.notify_all();
    }

    /// The events so far, in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let events = self.events.0.lock().unwrap();
        format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            if let Some(query) = line.strip_prefix("GET /bus/read?") {
                let number = |name: &str| -> u64 {
                    let value = query.split(['&', ' ']).find_map(|part| part.strip_prefix(name));
                    value.and_then(|text| text.parse().ok()).unwrap_or(0)
                };
                let (from, hold) = (number("from=") as usize, number("hold=").min(5000));
                let events = self.events.0.lock().unwrap();
                let wait = Duration::from_millis(hold);
                let (events, _) =
                    self.events.1.wait_timeout_while(events, wait, |e| e.len() <= from).unwrap();
                let later = events.get(from..).unwrap_or_default().join(",");
                let body = format!(r#"{{"offset":{},"batch":[{later}]}}"#, events.len());
                drop(events);
                let reply = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let written = stream.write_all(reply.as_bytes()).is_ok();
                if !later.is_empty() {
                    self.record.log("bus", &format!("reply to from={from} with events, written: {written}"));
                }
                if !written {
                    return;
                }
            }
            line.clear();
        }
    }
}

/// An endpoint of an event.
pub fn endpoint(name: &str, address: SocketAddr, cell: u16, status: &str) -> String {
    // Names that begin with w- are of the other zone.
    let zone = if name.starts_with("w-") { "west" } else { "east" };
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std","group":{cell},"status":"{status}","weight":4,"since_ms":0}}"#
    )
}
