//! RTP towards the viewer stays one stream whatever the node sends: one SSRC, sequence numbers without a jump,
//! timestamps that go on with the time that passed (RFC 3550, 5.1). A change of rendition, or of node, may bring
//! another SSRC, another start of the sequence and another timestamp offset.
//!
//! The same look at each header tells how much of what the node sent arrived: see [`Meter`].

use crate::rtcp::{self, Sent};

/// The fixed part of an RTP header.
pub const RTP_HEADER: usize = 12;

/// Reads version, sequence number, timestamp and SSRC; none where this is no RTP packet.
fn header(packet: &[u8]) -> Option<(u16, u32, u32)> {
    if packet.len() < RTP_HEADER || packet[0] >> 6 != 2 {
        return None;
    }
    let word = |at: usize| u32::from_be_bytes([packet[at], packet[at + 1], packet[at + 2], packet[at + 3]]);
    Some((u16::from_be_bytes([packet[2], packet[3]]), word(4), word(8)))
}

#[derive(Debug)]
pub struct Rewriter {
    ssrc: u32,
    clock_rate: u32,
    /// The node's SSRC as last seen, and what is added to its sequence numbers and timestamps.
    source: Option<u32>,
    add_seq: u16,
    add_ts: u32,
    /// What the viewer last got, and when, in microseconds.
    last: Option<(u16, u32, u64)>,
    /// Packets and payload bytes passed on; sender reports tell these, across all sources.
    packets: u32,
    octets: u32,
}

impl Rewriter {
    /// `ssrc` is what the viewer was told; `clock_rate` is in ticks a second.
    pub fn new(ssrc: u32, clock_rate: u32) -> Rewriter {
        Rewriter { ssrc, clock_rate, source: None, add_seq: 0, add_ts: 0, last: None, packets: 0, octets: 0 }
    }

    pub fn ssrc(&self) -> u32 {
        self.ssrc
    }

    /// What the viewer will see of a sequence number and a timestamp of the node's present stream.
    pub fn seen(&self, seq: u16, ts: u32) -> (u16, u32) {
        (seq.wrapping_add(self.add_seq), ts.wrapping_add(self.add_ts))
    }

    /// Rewrites one RTP packet in place; false where it is none, and is not to be passed on.
    pub fn rtp(&mut self, packet: &mut [u8], now_us: u64) -> bool {
        let Some((seq, ts, source)) = header(packet) else { return false };
        if self.source != Some(source) {
            if let Some((last_seq, last_ts, at)) = self.last {
                let passed = u128::from(now_us.saturating_sub(at)) * u128::from(self.clock_rate) / 1_000_000;
                self.add_seq = last_seq.wrapping_add(1).wrapping_sub(seq);
                // A tick at least: two frames of different content never share a timestamp.
                self.add_ts = last_ts.wrapping_add((passed as u32).max(1)).wrapping_sub(ts);
            }
            self.source = Some(source);
        }
        let (seq, ts) = (seq.wrapping_add(self.add_seq), ts.wrapping_add(self.add_ts));
        // What came late, by the order of the sequence, doesn't take the mark back.
        let newer = self.last.is_none_or(|(last, ..)| seq.wrapping_sub(last) < 0x8000);
        if newer {
            self.last = Some((seq, ts, now_us));
        }
        self.packets = self.packets.wrapping_add(1);
        self.octets = self.octets.wrapping_add((packet.len() - RTP_HEADER) as u32);
        packet[2..4].copy_from_slice(&seq.to_be_bytes());
        packet[4..8].copy_from_slice(&ts.to_be_bytes());
        packet[8..12].copy_from_slice(&self.ssrc.to_be_bytes());
        true
    }

    /// Rewrites a compound RTCP packet of the playing source in place; false where it isn't to be passed on.
    pub fn rtcp(&self, packet: &mut [u8]) -> bool {
        let Some(source) = self.source else { return false };
        let sent =
            Sent { source, ssrc: self.ssrc, add_ts: self.add_ts, packets: self.packets, octets: self.octets };
        rtcp::rewrite(packet, sent)
    }
}

/// How much of what a node should have sent in a span arrived, from headers alone: packets got over those that
/// the sequence numbers name (RFC 3550, A.3), times the media time that passed over the time that did. Unlike
/// bytes against the rung's rate, it doesn't take a title that needs less than its rung for a shortage.
#[derive(Debug)]
pub struct Meter {
    clock_rate: u32,
    source: Option<u32>,
    from_us: u64,
    /// Highest sequence number and timestamp, and packets got and named since the span began.
    seq: u16,
    ts: u32,
    got: u32,
    named: u32,
    ticks: u32,
    /// Ticks from packet to packet, smoothed; 0 while not known.
    step: u32,
}

/// A span that should have brought fewer packets tells nothing yet, and goes on.
const FEWEST: u64 = 5;
/// One in which nothing came while the pace isn't known ends after so long, in microseconds.
const UNKNOWN: u64 = 2_000_000;

/// One span as a [`Meter`] saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    /// Part of what was due that arrived, 0 to 1.
    pub share: f64,
    pub packets: u32,
}

impl Meter {
    pub fn new(clock_rate: u32, now_us: u64) -> Meter {
        Meter {
            clock_rate,
            source: None,
            from_us: now_us,
            seq: 0,
            ts: 0,
            got: 0,
            named: 0,
            ticks: 0,
            step: 0,
        }
    }

    pub fn saw(&mut self, packet: &[u8]) {
        let Some((seq, ts, source)) = header(packet) else { return };
        self.got += 1;
        if self.source != Some(source) {
            (self.source, self.seq, self.ts) = (Some(source), seq, ts);
            self.named += 1;
            return;
        }
        let (ahead, ticks) = (seq.wrapping_sub(self.seq), ts.wrapping_sub(self.ts));
        if ahead < 0x8000 {
            self.named += u32::from(ahead);
            self.seq = seq;
        }
        if ticks < 0x8000_0000 {
            self.ticks = self.ticks.saturating_add(ticks);
            self.ts = ts;
            // Packets of one frame share a timestamp; numbers that are missing had their share of the ticks.
            if ahead > 0 && ahead < 0x8000 {
                let step = ticks / u32::from(ahead);
                self.step = if self.step == 0 { step } else { self.step - self.step / 8 + step / 8 };
            }
        }
    }

    /// Ends a span and begins the next; none while too little should have come to tell.
    pub fn take(&mut self, now_us: u64) -> Option<Flow> {
        let passed = now_us.saturating_sub(self.from_us);
        let due = passed * u64::from(self.clock_rate) / 1_000_000;
        let enough = match self.step {
            0 => passed >= UNKNOWN,
            step => due >= FEWEST * u64::from(step),
        };
        if !enough {
            return None;
        }
        let wanted = due as f64;
        let arrived =
            if self.named == 0 { 0.0 } else { f64::from(self.got.min(self.named)) / f64::from(self.named) };
        // Packets come in steps: a tenth of the span is allowed to be still on the way.
        let kept_up = if wanted <= 0.0 { 1.0 } else { (f64::from(self.ticks) / (0.9 * wanted)).min(1.0) };
        let flow = Flow { share: arrived * kept_up, packets: self.got };
        (self.from_us, self.got, self.named, self.ticks) = (now_us, 0, 0, 0);
        Some(flow)
    }

    /// Begins a span anew, after a pause.
    pub fn restart(&mut self, now_us: u64) {
        *self = Meter::new(self.clock_rate, now_us);
    }
}
