//! A small deployment: settings, a director in service, its bus, nodes and viewers.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::bus::{Bus, endpoint};
use crate::director::{Config, Director, free_address};
use crate::node::Node;
use crate::record::Record;
use crate::viewer::Viewer;

/// The protocol's allowance on every time limit, in milliseconds.
pub const SLACK_MS: f64 = 50.0;

/// What a case needs to run.
pub struct Context {
    pub run: String,
    pub folder: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Context {
    pub fn verdict(&self, broken: &[String]) -> bool {
        for what in broken {
            self.record.log("judge", &format!("BROKEN: {what}"));
            println!("BROKEN: {what}");
        }
        if broken.is_empty() {
            self.record.log("judge", "the rule held");
            println!("held");
        }
        !broken.is_empty()
    }
}

/// Settings of a small deployment: `streams` concurrent set-ups on a connection, a connection limit of
/// `dial_ms`, and one class with this effect.
pub struct Settings {
    pub streams: u32,
    pub dial_ms: u32,
    pub effect: &'static str,
    pub repeat_window_ms: u32,
    pub deadline_ms: u32,
    /// Nodes hold the titles of their cells; there is one node in each cell.
    pub cells: u16,
    /// The director's memory limit.
    pub memory_mb: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            streams: 32,
            dial_ms: 250,
            effect: "retryable",
            repeat_window_ms: 5000,
            deadline_ms: 3000,
            cells: 2,
            memory_mb: 128,
        }
    }
}

impl Settings {
    pub fn text(&self) -> String {
        let Settings { streams, dial_ms, effect, repeat_window_ms, deadline_ms, cells, .. } = self;
        format!(
            r#"{{"azs":["east","west"],"balancers":1,"clientHabits":{{"marksRetry":false}},"countedBy":"request","discovery":"pushed",
"familyInfo":{{"classLive":[false],"classScale":[1.0],"classSeats":[0],"floorByClass":[0],"groups":2,"guard":1.0,"highestRung":[1],"joinAdds":1.0,
"kindStreams":[400],"ladderKb":[100.0,200.0],"levelWorth":[0.5,1.0],"linkUnitKb":10000.0,"linksKb":200000.0,"positions":{cells},"reportsEvery":0.0,"see":800.0,"stall":7.0,"switchS":0.5,"uplinkKb":200000.0}},
"fees":{{"probe":0.013}},"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3}},"hostTypes":["std"],"layer":0,
"limits":{{"cancelling":true,"connIdle":30000.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeout":{dial_ms}.0,"maxRetryAfter":2000.0,"maxStreams":{streams},"mayTell":false,"mostTries":4,"openCap":1000000,"probing":false,"retryAfter":false,"secondCopies":false}},
"myNumber":0,"myZone":0,"overShareWorth":0.1,"period":10.0,
"rules":{{"answerSlack":40.0,"askWithin":10000.0,"drainGrace":500.0,"fall":3000.0,"fallMultiple":3.0,"startCapacity":0.4,"warmAfter":12000.0}},
"serviceType":"streams","services":[{{"aim":800.0,"credit":1.0,"deadline":{deadline_ms}.0,"effect":"{effect}","group":"all","lateValue":0.0,"name":"clip","repeatWindow":{repeat_window_ms}.0,"streaming":true}}],
"stages":["media-fleet"],"telemetry":{{"fields":["util","x1"],"via":"piggyback"}},"tenants":[],"weights":"nominal"}}"#
        )
        .replace('\n', "")
    }
}

/// A director in service, with a bus and nodes, one in each cell from 0 on.
pub struct Deployment {
    pub director: Director,
    pub bus: Bus,
    pub nodes: Vec<Node>,
}

impl Deployment {
    pub fn start(context: &Context, settings: &Settings, nodes: &[&str]) -> Result<Deployment, String> {
        let bus = Bus::start(&context.record);
        let nodes: Vec<Node> = nodes.iter().map(|name| Node::start(name, &context.record)).collect();
        let endpoints: Vec<String> = nodes
            .iter()
            .enumerate()
            .map(|(i, node)| endpoint(&node.name, node.address, i as u16 % settings.cells, "up"))
            .collect();
        bus.publish(&endpoints);
        let config = Config {
            listen: free_address("127.0.0.1"),
            bus: bus.address,
            sockets: 256,
            memory_mb: settings.memory_mb,
            known: bus.known(),
            settings: settings.text(),
        };
        let director = Director::start(&context.run, &context.folder, &config, &context.record)?;
        Ok(Deployment { director, bus, nodes })
    }

    pub fn viewer(&self, context: &Context, number: u8) -> Result<Viewer, String> {
        Viewer::connect(
            &format!("viewer {number}"),
            self.director.listen,
            &format!("127.0.1.{number}"),
            &context.record,
        )
        .map_err(|e| e.to_string())
    }
}

pub fn tag(number: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_5c00_0000_u64 + number)
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds.
pub fn wait_until(ms: u64, condition: impl Fn() -> bool) -> bool {
    let due = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < due {
        if condition() {
            return true;
        }
        sleep(2);
    }
    condition()
}

/// Waits for the start of the director's rounds, so that nothing depends on it.
pub fn settle() {
    sleep(300);
}
