//! Decodes a batch into calls on the directors that it concerns, and encodes what they decide.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use ashglade::ids::{
    CellId, GroupId, ModelId, NodeId, Rung, SessionId, SetupNumber, TimerId, TitleId, ZoneId,
};
use ashglade::interface::{AttemptOutcome, DecisionSink, NodeInfo, SessionRequest};
use ashglade::policy::{Director, Round};
use ashglade::time::{Instant, Span};

use crate::frames::{ENTRY, Fields, HEADER, Reply, Trouble};
use crate::share::Share;

/// Bytes of a message between directors, at most.
const MOST_TOLD: usize = 256;

#[derive(Default)]
pub struct Host {
    directors: BTreeMap<u16, Director>,
    /// Directors tell each other what they find of nodes, where the site allows messages.
    shares: bool,
    sharing: BTreeMap<u16, Share>,
    /// Lists of nodes by number, each as the entries' bytes; they outlive the batch.
    pools: BTreeMap<u8, Vec<u8>>,
}

/// Where in the frame a director's news lies, with the list that it names as it stood there.
struct News {
    at: usize,
    pool: Option<Vec<u8>>,
}

/// What has come in for one director, in order, or the start or end of one.
enum Turn {
    Opens { at: usize },
    Ends,
    News(Vec<News>),
}

impl Host {
    pub fn new(shares: bool) -> Host {
        Host { shares, ..Host::default() }
    }

    /// Handles one batch; the reply holds the whole frame, or nothing of it after an error.
    pub fn answer(&mut self, frame: &[u8], reply: &mut Vec<u8>) -> Result<(), Trouble> {
        let mut head = Fields::new(frame, 0);
        let index = head.u32()?;
        let clock = head.f64()?;
        if !clock.is_finite() {
            return Err(Trouble::new(4, format!("the clock can't stand at {clock}")));
        }
        let now = Instant::from_ms(clock);
        let records = Fields::new(frame, 16).u32()?;
        let mut answers = Answers::default();
        for (instance, turn) in self.sort(frame, records)? {
            answers.instance = instance;
            answers.selected = false;
            match turn {
                Turn::Opens { at } => {
                    let mut fields = Fields::new(frame, at + 1);
                    let seed = fields.u64()?;
                    let from = fields.at() as u64;
                    let site =
                        ashglade_site::read(seed, fields.text()?).map_err(|what| Trouble::new(from, what))?;
                    self.directors.insert(instance, Director::new(&site.headend, now));
                    self.sharing.remove(&instance);
                    if self.shares && site.may_tell && site.headend.director_count > 1 {
                        self.sharing.insert(instance, Share::start(&site.headend, now));
                    }
                }
                Turn::Ends => {
                    self.directors.remove(&instance);
                    self.sharing.remove(&instance);
                }
                Turn::News(news) => {
                    let director = self.directors.get_mut(&instance);
                    let at = news.first().map_or(HEADER, |n| n.at) as u64;
                    let director = director.ok_or_else(|| {
                        Trouble::new(at, format!("news for instance {instance}, which is not open"))
                    })?;
                    let mut share = self.sharing.get_mut(&instance);
                    if let Some(share) = &mut share {
                        for news in &news {
                            heard(share, frame, news.at, now)?;
                        }
                        share.look(now);
                    }
                    let told = |round: &mut Round| {
                        if let Some(nodes) = share.as_mut().and_then(|share| share.news()) {
                            round.set_suspected_nodes(&nodes);
                        }
                        news.iter().try_for_each(|n| tell(round, frame, n))
                    };
                    match catch_unwind(AssertUnwindSafe(|| director.run_round(now, told, &mut answers))) {
                        Ok(told) => told?,
                        Err(cause) => {
                            let cause = cause.downcast_ref::<&str>().copied();
                            answers.failed(cause.unwrap_or("the decision code failed"));
                        }
                    }
                    if let Some(share) = self.sharing.get_mut(&instance) {
                        share.say(now, |to, message| answers.send_message(Some(to), message));
                    }
                }
            }
        }
        reply.clear();
        reply.extend_from_slice(&index.to_le_bytes());
        reply.extend_from_slice(&(8 + answers.reply.bytes.len() as u32).to_le_bytes());
        reply.extend_from_slice(&answers.reply.bytes);
        Ok(())
    }

    /// Sorts the records by director; each keeps its order of arrival.
    fn sort(&mut self, frame: &[u8], records: u32) -> Result<Vec<(u16, Turn)>, Trouble> {
        let mut fields = Fields::new(frame, HEADER);
        let mut turns: Vec<(u16, Turn)> = Vec::new();
        let mut latest: BTreeMap<u16, usize> = BTreeMap::new();
        let mut instance = None;
        for _ in 0..records {
            let at = fields.at();
            let code = fields.u8()?;
            if code == 8 {
                instance = Some(fields.u16()?);
                continue;
            }
            if code == 14 {
                let table = fields.u8()?;
                let count = fields.u32()? as usize;
                let bytes =
                    count.checked_mul(ENTRY).ok_or_else(|| fields.trouble("impossible count of entries"))?;
                self.pools.insert(table, fields.take(bytes)?.to_vec());
                continue;
            }
            let pool = skip(code, &mut fields, at)?.and_then(|table| self.pools.get(&table).cloned());
            let Some(instance) = instance else {
                return Err(Trouble::new(at as u64, "an event before any SELECT"));
            };
            let turn = match code {
                5 => Turn::Opens { at },
                3 => Turn::Ends,
                _ => {
                    let news = News { at, pool };
                    match latest.get(&instance).map(|&i| &mut turns[i].1) {
                        Some(Turn::News(list)) => {
                            list.push(news);
                            continue;
                        }
                        _ => Turn::News(vec![news]),
                    }
                }
            };
            latest.insert(instance, turns.len());
            turns.push((instance, turn));
        }
        if !fields.is_empty() {
            return Err(fields.trouble(format!("bytes left over after {records} records")));
        }
        Ok(turns)
    }
}

/// Passes over one event's fields; gives the number of the list that it names, if any.
fn skip(code: u8, fields: &mut Fields, at: usize) -> Result<Option<u8>, Trouble> {
    let fixed = match code {
        1 => {
            fields.take(2)?;
            let count = fields.u16()?;
            count as usize
        }
        2 => {
            fields.take(8)?;
            let table = fields.u8()?;
            let failed = fields.u8()? == 2;
            return Ok((!failed).then_some(table));
        }
        3 => 0,
        4 => {
            fields.take(27)?;
            fields.u8()? as usize * 4
        }
        5 => {
            fields.take(8)?;
            fields.u32()? as usize
        }
        6 => 24,
        7 => 4,
        9 => 8,
        10 => 21,
        11 => 58,
        12 => {
            fields.take(16)?;
            fields.u8()? as usize * 4
        }
        13 => 64,
        _ => return Err(Trouble::new(at as u64, format!("unknown event code {code}"))),
    };
    fields.take(fixed)?;
    Ok(None)
}

/// What of a piece of news concerns what is shared.
fn heard(share: &mut Share, frame: &[u8], at: usize, now: Instant) -> Result<(), Trouble> {
    let mut f = Fields::new(frame, at);
    match f.u8()? {
        1 => {
            let (author, length) = (f.u16()?, f.u16()?);
            share.take(author, f.take(length.into())?, now);
        }
        4 => {
            let (sess, _, node) = (SessionId(f.u64()?), f.u16()?, f.node()?);
            if let Some(ending) = ending(f.u16()?) {
                share.ended(sess, node, ending, now);
            }
        }
        6 => {
            let (sess, _) = (SessionId(f.u64()?), f.u16()?);
            f.f64()?;
            share.started(sess, f.node()?, now);
        }
        _ => {}
    }
    Ok(())
}

/// Tells a director one piece of news.
fn tell(round: &mut Round, frame: &[u8], news: &News) -> Result<(), Trouble> {
    let mut f = Fields::new(frame, news.at);
    match f.u8()? {
        1 => {} // messages between directors: `heard`
        2 => {
            f.take(9)?;
            let at = f.at() as u64;
            let kind = f.u8()?;
            if kind == 2 {
                round.list_watch_failed();
                return Ok(());
            }
            let Some(pool) = &news.pool else {
                return Err(Trouble::new(news.at as u64, "a list that was never declared"));
            };
            match kind {
                0 | 4 => round.begin_list_snapshot(),
                3 => round.begin_list_update(),
                other => return Err(Trouble::new(at, format!("unknown kind of list {other}"))),
            }
            let mut entries = Fields::new(pool, 0);
            while !entries.is_empty() {
                entry(round, &mut entries).map_err(|what| Trouble::new(news.at as u64, what))?;
            }
            round.finish_list();
        }
        4 => {
            let (sess, setup, node) = (SessionId(f.u64()?), SetupNumber(f.u16()?), f.node()?);
            let at = f.at() as u64;
            let ending = ending(f.u16()?).ok_or_else(|| Trouble::new(at, "unknown outcome"))?;
            f.f64()?;
            let complete = f.u8()? != 0;
            round.load_reported(node, &gauges(&mut f)?);
            round.attempt_ended(sess, setup, node, ending, complete);
        }
        6 => {
            let (sess, setup) = (SessionId(f.u64()?), SetupNumber(f.u16()?));
            f.f64()?;
            let node = f.node()?;
            round.session_started(sess, setup, node);
        }
        7 => round.timer_fired(TimerId(f.u32()?)),
        9 => round.viewer_left(SessionId(f.u64()?)),
        10 => {
            let (sess, _, node) = (SessionId(f.u64()?), f.u16()?, f.node()?);
            let (what, level) = (f.u8()?, f64::from(f.f32()?));
            match what {
                1 => round.delivery_reported(node, level),
                2 => round.session_rung_reported(sess, Rung(level as u8)),
                3 => round.link_demand_reported(node, level),
                4 => round.uplink_demand_reported(node, level),
                _ => {}
            }
        }
        11 => {
            let (sess, patience) = (SessionId(f.u64()?), Span::from_ms(f.f64()?));
            f.u8()?;
            let (top, home) = (f.f32()?, f.f32()?);
            f.take(16)?;
            let (group, _tenant, title) = (GroupId(f.u8()?.into()), f.u32()?, TitleId(f.u64()?));
            let copies = f.f32()?;
            round.session_requested(sess, viewing(group, title, patience, [top, home, copies]));
        }
        12 => {
            let answered = f.u16()? == 0;
            f.f64()?;
            let node = f.node()?;
            round.probe_finished(node, answered);
            round.load_reported(node, &gauges(&mut f)?);
        }
        13 => {
            let (sess, group, _tenant) = (SessionId(f.u64()?), GroupId(f.u8()?.into()), f.u32()?);
            f.u64()?;
            let (title, patience) = (TitleId(f.u64()?), Span::from_ms(f.f64()?));
            f.f64()?;
            let (home, copies, top) = (f.f32()?, f.f32()?, f.f32()?);
            f.u8()?;
            let node = f.node()?;
            round.session_handed_over(sess, viewing(group, title, patience, [top, home, copies]), node);
        }
        other => {
            return Err(Trouble::new(news.at as u64, format!("unknown event code {other}")));
        }
    }
    Ok(())
}

fn viewing(group: GroupId, title: TitleId, patience: Span, [top, home, copies]: [f32; 3]) -> SessionRequest {
    let (top, home, copies) = (Rung(top as u8), CellId(home as u16), copies as u16);
    SessionRequest {
        group,
        title,
        top_rung: top,
        first_cell: home,
        cell_count: copies,
        setup_timeout: patience,
    }
}

fn entry(round: &mut Round, f: &mut Fields) -> Result<(), String> {
    let short = |_| "a list entry is cut short".to_string();
    let node = f.node().map_err(short)?;
    let (zone, model) = (ZoneId(f.u8().map_err(short)?), ModelId(f.u8().map_err(short)?));
    let cell = CellId(f.u16().map_err(short)?);
    let health = f.u8().map_err(short)?;
    let weight = f64::from(f.f32().map_err(short)?);
    let born = f.f64().map_err(short)?;
    let started = (born > 0.0).then(|| Instant::from_ms(born));
    match health {
        0 => round.node_ready(node, NodeInfo { zone, model, cell, weight, started }),
        1 | 2 => round.node_draining(node),
        other => return Err(format!("unknown health {other} in a list entry")),
    }
    Ok(())
}

fn gauges(f: &mut Fields) -> Result<Vec<f64>, Trouble> {
    let count = f.u8()?;
    (0..count).map(|_| f.f32().map(f64::from)).collect()
}

fn ending(code: u16) -> Option<AttemptOutcome> {
    Some(match code {
        0 => AttemptOutcome::Played,
        5 => AttemptOutcome::Fault,
        11 => AttemptOutcome::Full,
        104 => AttemptOutcome::Lost,
        110 => AttemptOutcome::Silent,
        111 => AttemptOutcome::Unreachable,
        114 => AttemptOutcome::Unsent,
        125 => AttemptOutcome::Cancelled,
        _ => return None,
    })
}

/// Encodes decisions as they are made.
#[derive(Default)]
pub struct Answers {
    pub reply: Reply,
    instance: u16,
    selected: bool,
}

impl Answers {
    /// The decision code failed; the simulator ends the day with this text.
    pub fn failed(&mut self, cause: &str) {
        self.record(74).text(cause.as_bytes(), usize::from(u16::MAX));
    }

    fn record(&mut self, code: u8) -> &mut Reply {
        if !self.selected {
            self.selected = true;
            self.reply.put(&[79]).put(&self.instance.to_le_bytes());
        }
        self.reply.put(&[code])
    }
}

impl DecisionSink for Answers {
    fn send_setup(&mut self, sess: SessionId, node: NodeId, until: Instant) {
        self.record(65).put(&sess.0.to_le_bytes()).node(node).put(&until.as_ms().to_le_bytes());
    }

    fn set_rung(&mut self, sess: SessionId, rung: Rung) {
        self.record(77).put(&sess.0.to_le_bytes()).put(&[rung.0]);
    }

    fn reply_busy(&mut self, sess: SessionId, retry_after: Option<Span>) {
        let wait = retry_after.map_or(0.0, Span::as_ms);
        self.record(66).put(&sess.0.to_le_bytes()).put(&wait.to_le_bytes());
    }

    fn tear_down(&mut self, sess: SessionId) {
        self.record(67).put(&sess.0.to_le_bytes());
    }

    fn cancel_setup(&mut self, sess: SessionId, setup: SetupNumber) {
        self.record(68).put(&sess.0.to_le_bytes()).put(&setup.0.to_le_bytes());
    }

    fn probe_node(&mut self, node: NodeId) {
        self.record(70).node(node);
    }

    fn set_timer(&mut self, ticket: TimerId, after: Span) {
        self.record(69).put(&ticket.0.to_le_bytes()).put(&after.as_ms().to_le_bytes());
    }

    fn watch_node_list(&mut self, on: bool) {
        self.record(75).put(&[u8::from(on)]);
    }

    fn fetch_node_list(&mut self) {
        self.record(76);
    }

    fn reconnect_viewer(&mut self, sess: SessionId) {
        self.record(78).put(&sess.0.to_le_bytes());
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.record(71).node(node);
    }

    fn send_message(&mut self, director: Option<u16>, message: &[u8]) {
        self.record(72).put(&director.unwrap_or(u16::MAX).to_le_bytes()).text(message, MOST_TOLD);
    }

    fn log(&mut self, line: &str) {
        self.record(73).text(line.as_bytes(), usize::from(u16::MAX));
    }
}
