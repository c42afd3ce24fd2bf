//! One connection, whoever is at its other end: lines in, lines out, both bounded, and how it ends.
//!
//! Three things cross here. A peer closes while a line for it is on its way: reading goes first, and what was not
//! written is told when the connection ends, so that its owner can do without it or send it elsewhere. We close
//! while a line of the peer's is on its way: an idle connection is closed only if nothing has come. And a socket
//! that is dropped with bytes unread is reset, which may take with it what was just written: so we close our half
//! first and pass over what still comes, for a moment.

use std::io::ErrorKind;
use std::time::Duration;

use ashglade_platform::LineDecoder;
use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::Decoder;

use crate::hub::Word;

/// Read at once at most, so that one that sends at full speed takes its turn with the others.
const CHUNK: usize = 4096;
/// A peer that takes nothing for so long is let go.
const STUCK: Duration = Duration::from_secs(3);
/// A connection that we close is gone after so long, whatever its peer does.
const CLOSING: Duration = Duration::from_millis(250);
/// Written bytes are surely with the peer, or lost for another reason, after so long.
const ON_ITS_WAY: Duration = Duration::from_secs(1);
/// Lines written at once at most.
const TOGETHER: usize = 64;

/// What the hub wants of a connection; it is closed, once all is written, when nobody holds its sender.
#[derive(Debug)]
pub enum Order {
    Line(Bytes),
    /// Written if the peer, which has closed, may still read; never handed back.
    Last(Bytes),
    /// Closes unless something has come that the hub had not heard of: it had heard so many lines.
    CloseIfQuiet(u64),
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The peer closed or reset it.
    Closed,
    /// What came can't be read, or stopped in the middle of a line.
    Unreadable,
    /// It doesn't take what is written.
    Stuck,
    /// We closed it.
    Ours,
}

/// A line that is no message.
pub struct Spoilt;

/// What comes of a line.
pub enum Heard {
    Nothing,
    Word(Word),
    /// Written if its sender, which has closed behind it, still reads.
    Reply(Bytes),
}

struct Reader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    lines: LineDecoder,
    /// The peer's close has been read: what is buffered was its last.
    ended: bool,
    /// A line has begun and must end by then.
    by: Option<Instant>,
}

impl Reader {
    /// The next line; one that has begun must end within `patience`, in however many pieces it comes. May be dropped
    /// and called again.
    async fn next(&mut self, patience: Duration) -> Result<Bytes, End> {
        loop {
            self.read_on();
            match self.lines.decode(&mut self.buffer) {
                Ok(Some(line)) => {
                    self.by = None;
                    return Ok(line);
                }
                Ok(None) => {}
                Err(_) => return Err(End::Unreadable),
            }
            if self.ended {
                return Err(End::Closed);
            }
            if self.buffer.is_empty() {
                // Nothing is held for a connection that is quiet; wait for word before there is room for it.
                self.buffer = BytesMut::new();
                self.half.readable().await.map_err(|_| End::Closed)?;
            } else {
                self.by.get_or_insert_with(|| Instant::now() + patience);
            }
            self.buffer.reserve(CHUNK);
            let mut limited = (&mut self.half).take(CHUNK as u64);
            let read = limited.read_buf(&mut self.buffer);
            let read = match self.by {
                Some(by) => timeout_at(by, read).await.map_err(|_| End::Unreadable)?,
                None => read.await,
            };
            match read {
                Ok(0) | Err(_) => return Err(End::Closed),
                Ok(_) => {}
            }
        }
    }

    /// Takes what has come already, a few lines at most, so that a close behind them is known before they are acted on.
    fn read_on(&mut self) {
        while !self.ended && !self.buffer.is_empty() && self.buffer.len() < CHUNK {
            self.buffer.reserve(CHUNK);
            match self.half.try_read_buf(&mut self.buffer) {
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.ended = true,
            }
        }
    }

    /// Nothing has come that was not handed on.
    fn is_quiet(&mut self) -> bool {
        if self.buffer.is_empty() {
            self.buffer.reserve(CHUNK);
            // One that has closed meanwhile is told as such when it is read next.
            let _ = self.half.try_read_buf(&mut self.buffer);
        }
        self.buffer.is_empty()
    }

    /// Passes over what still comes, until the peer closes too.
    async fn pass_over(&mut self) {
        self.buffer.clear();
        self.buffer.reserve(CHUNK);
        while self.half.read_buf(&mut self.buffer).await.is_ok_and(|n| n > 0) {
            self.buffer.clear();
        }
    }
}

struct Writer {
    half: OwnedWriteHalf,
    /// Lines that wait, and those being written, with the part of them that is not written yet.
    waiting: Vec<Bytes>,
    under_way: Vec<Bytes>,
    bytes: Bytes,
    /// Something must be taken by then.
    by: Instant,
    last: Option<Instant>,
}

impl Writer {
    fn has_more(&self) -> bool {
        !self.bytes.is_empty() || !self.waiting.is_empty()
    }

    fn has_room(&self) -> bool {
        self.waiting.len() < TOGETHER
    }

    /// Writes a part. May be dropped and called again.
    async fn some(&mut self) -> Result<(), End> {
        if self.bytes.is_empty() {
            self.under_way = std::mem::take(&mut self.waiting);
            self.bytes = match &self.under_way[..] {
                [line] => line.clone(),
                lines => Bytes::from(lines.concat()),
            };
            self.by = Instant::now() + STUCK;
        }
        let written = timeout_at(self.by, self.half.write(&self.bytes)).await;
        let n = written.map_err(|_| End::Stuck)?.map_err(|_| End::Closed)?;
        self.bytes.advance(n);
        (self.by, self.last) = (Instant::now() + STUCK, Some(Instant::now()));
        Ok(())
    }

    /// The lines that are not wholly written, and what may still be written to.
    fn unwritten(mut self) -> (Vec<Bytes>, Option<OwnedWriteHalf>) {
        // Behind a part of a line nothing could be read.
        let whole = self.bytes.is_empty();
        let (mut left, mut from) = (self.bytes.len(), self.under_way.len());
        while left > 0 && from > 0 {
            from -= 1;
            left = left.saturating_sub(self.under_way[from].len());
        }
        let mut lines = self.under_way.split_off(from);
        lines.append(&mut self.waiting);
        (lines, whole.then_some(self.half))
    }
}

/// How a connection ended.
pub struct Ended {
    pub end: End,
    pub unwritten: Vec<Bytes>,
    /// Of a peer that has closed, perhaps its half alone, or that sent what can't be read: what may still be written to,
    /// and what is owed there.
    half: Option<(Reader, OwnedWriteHalf, Vec<Bytes>)>,
}

impl Ended {
    /// A peer that may still read is told what came of its requests; other lines come back. It is over when nobody holds
    /// the orders' sender.
    pub async fn last_words(self, orders: &mut mpsc::Receiver<Order>) -> Vec<Bytes> {
        let mut unwritten = Vec::new();
        let Some((mut reader, mut half, replies)) = self.half else { return unwritten };
        let all = async {
            let mut writes = half.write_all(&replies.concat()).await.is_ok();
            let mut wrote = !replies.is_empty();
            while let Some(order) = orders.recv().await {
                match order {
                    Order::Last(line) if writes => {
                        (writes, wrote) = (half.write_all(&line).await.is_ok(), true);
                    }
                    Order::Line(line) => unwritten.push(line),
                    _ => {}
                }
            }
            let _ = half.shutdown().await;
            if wrote && writes && !reader.ended {
                reader.pass_over().await;
            }
        };
        let _ = timeout(CLOSING, all).await;
        unwritten
    }
}

/// Carries lines both ways until either side ends it; tells why, and which lines were not written. `heard` tells
/// what comes of a line; an error where it can't be read. It is told whether the peer has closed.
pub async fn carry(
    stream: TcpStream,
    patience: Duration,
    orders: &mut mpsc::Receiver<Order>,
    words: &mpsc::Sender<Word>,
    mut heard: impl FnMut(Bytes, bool) -> Result<Heard, Spoilt>,
) -> Ended {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader =
        Reader { half: read, buffer: BytesMut::new(), lines: LineDecoder::default(), ended: false, by: None };
    let (waiting, under_way, by) = (Vec::new(), Vec::new(), Instant::now());
    let mut writer = Writer { half: write, waiting, under_way, bytes: Bytes::new(), by, last: None };
    let mut told = 0;
    let mut replies: Vec<Bytes> = Vec::new();
    // Nobody holds the sender any longer: what waits is written until then.
    let mut closing = None;
    let end = 'open: loop {
        let mut order = tokio::select! {
            // A peer that has closed is found out before anything is written to it.
            biased;
            line = reader.next(patience) => match line {
                Ok(line) => {
                    match heard(line, reader.ended) {
                        Ok(Heard::Nothing) => {}
                        Ok(Heard::Reply(line)) => replies.push(line),
                        Ok(Heard::Word(word)) => {
                            told += 1;
                            if words.send(word).await.is_err() {
                                break End::Ours;
                            }
                        }
                        Err(Spoilt) => break End::Unreadable,
                    }
                    orders.try_recv().ok()
                }
                Err(end) => break end,
            },
            written = writer.some(), if writer.has_more() => match written {
                Ok(()) => None,
                Err(end) => break end,
            },
            order = orders.recv(), if closing.is_none() && writer.has_room() => {
                if order.is_none() {
                    closing = Some(Instant::now() + CLOSING);
                }
                order
            }
            () = sleep_until(closing.unwrap_or(by)), if closing.is_some() => break End::Stuck,
        };
        let ordered = order.is_some();
        while let Some(taken) = order {
            match taken {
                Order::Line(line) => writer.waiting.push(line),
                Order::Last(_) => {}
                Order::CloseIfQuiet(known) => {
                    // The machine is asked what has come, as after a standstill nobody has yet.
                    yield_now().await;
                    if known == told && !writer.has_more() && reader.is_quiet() {
                        break 'open End::Ours;
                    }
                }
            }
            order = if writer.has_room() { orders.try_recv().ok() } else { None };
        }
        if ordered {
            // Once more the machine is asked what has come: a close that is there already is read before a line is written.
            yield_now().await;
            continue;
        }
        // One that sends without a pause is written to all the same.
        if writer.has_more()
            && let Some(Err(end)) = at_once(writer.some()).await
        {
            break end;
        }
        if closing.is_some() && !writer.has_more() {
            break End::Ours;
        }
    };
    if end == End::Ours {
        let _ = timeout(CLOSING, async {
            let _ = writer.half.shutdown().await;
            if writer.last.is_some_and(|at| at.elapsed() < ON_ITS_WAY) {
                reader.pass_over().await;
            }
        })
        .await;
    }
    let (mut unwritten, half) = writer.unwritten();
    let half = half.filter(|_| matches!(end, End::Closed | End::Unreadable));
    let half = half.map(|half| (reader, half, replies));
    if half.is_none() {
        orders.close();
    }
    while let Ok(order) = orders.try_recv() {
        if let Order::Line(line) = order {
            unwritten.push(line);
        }
    }
    Ended { end, unwritten, half }
}

/// What comes of it if it need not wait.
async fn at_once<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        done = future => Some(done),
        () = std::future::ready(()) => None,
    }
}
