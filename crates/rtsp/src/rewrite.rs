//! Rewrites RTP so that the viewer receives one continuous stream: one SSRC, consecutive sequence numbers,
//! and timestamps that advance with the elapsed time (RFC 3550, 5.1). A change of rendition or node may bring
//! another SSRC, another initial sequence number and another timestamp offset.
//!
//! [`DeliveryMeter`] derives from the same headers how much of the node's stream arrived.

use crate::rtcp::{self, SenderMapping};

/// Length of the fixed RTP header, in bytes.
pub const RTP_HEADER_BYTES: usize = 12;

/// Returns sequence number, timestamp and SSRC of an RTP packet, or `None` if it is not RTP version 2.
fn parse_header(packet: &[u8]) -> Option<(u16, u32, u32)> {
    if packet.len() < RTP_HEADER_BYTES || packet[0] >> 6 != 2 {
        return None;
    }
    let word = |at: usize| u32::from_be_bytes([packet[at], packet[at + 1], packet[at + 2], packet[at + 3]]);
    Some((u16::from_be_bytes([packet[2], packet[3]]), word(4), word(8)))
}

/// Rewrites the RTP and RTCP of one track.
#[derive(Debug)]
pub struct RtpRewriter {
    /// SSRC of the stream to the viewer.
    ssrc: u32,
    /// RTP ticks per second.
    clock_rate: u32,
    /// SSRC of the node's current stream.
    source: Option<u32>,
    /// Offset added to the sequence numbers of the current source, modulo 2^16.
    seq_offset: u16,
    /// Offset added to the timestamps of the current source, modulo 2^32.
    timestamp_offset: u32,
    /// Highest sequence number sent to the viewer, with its timestamp and the time of sending in
    /// microseconds.
    last: Option<(u16, u32, u64)>,
    /// Packets forwarded from all sources, for sender reports.
    packets: u32,
    /// Payload bytes forwarded from all sources, for sender reports.
    octets: u32,
}

impl RtpRewriter {
    /// Creates a rewriter. `ssrc` is the SSRC announced to the viewer; `clock_rate` is in ticks per second.
    pub fn new(ssrc: u32, clock_rate: u32) -> RtpRewriter {
        RtpRewriter {
            ssrc,
            clock_rate,
            source: None,
            seq_offset: 0,
            timestamp_offset: 0,
            last: None,
            packets: 0,
            octets: 0,
        }
    }

    /// Returns the SSRC of the stream to the viewer.
    pub fn ssrc(&self) -> u32 {
        self.ssrc
    }

    /// Maps a sequence number and a timestamp of the node's current stream to those of the viewer's stream.
    pub fn map_position(&self, seq: u16, timestamp: u32) -> (u16, u32) {
        (seq.wrapping_add(self.seq_offset), timestamp.wrapping_add(self.timestamp_offset))
    }

    /// Rewrites an RTP packet in place. Returns false if it is not RTP and must be dropped. `now_us` is the
    /// current time in microseconds.
    pub fn rewrite_rtp(&mut self, packet: &mut [u8], now_us: u64) -> bool {
        let Some((seq, timestamp, source)) = parse_header(packet) else { return false };
        if self.source != Some(source) {
            if let Some((last_seq, last_timestamp, last_us)) = self.last {
                let elapsed_ticks =
                    u128::from(now_us.saturating_sub(last_us)) * u128::from(self.clock_rate) / 1_000_000;
                self.seq_offset = last_seq.wrapping_add(1).wrapping_sub(seq);
                // At least one tick, as frames of different content must not share a timestamp.
                self.timestamp_offset =
                    last_timestamp.wrapping_add((elapsed_ticks as u32).max(1)).wrapping_sub(timestamp);
            }
            self.source = Some(source);
        }
        let (seq, timestamp) =
            (seq.wrapping_add(self.seq_offset), timestamp.wrapping_add(self.timestamp_offset));
        // A reordered packet does not lower the highest sequence number.
        let newer = self.last.is_none_or(|(last_seq, ..)| seq.wrapping_sub(last_seq) < 0x8000);
        if newer {
            self.last = Some((seq, timestamp, now_us));
        }
        self.packets = self.packets.wrapping_add(1);
        self.octets = self.octets.wrapping_add((packet.len() - RTP_HEADER_BYTES) as u32);
        packet[2..4].copy_from_slice(&seq.to_be_bytes());
        packet[4..8].copy_from_slice(&timestamp.to_be_bytes());
        packet[8..12].copy_from_slice(&self.ssrc.to_be_bytes());
        true
    }

    /// Rewrites a compound RTCP packet of the current source in place. Returns false if it must be dropped.
    pub fn rewrite_rtcp(&self, packet: &mut [u8]) -> bool {
        let Some(source) = self.source else { return false };
        let mapping = SenderMapping {
            source,
            ssrc: self.ssrc,
            timestamp_offset: self.timestamp_offset,
            packets: self.packets,
            octets: self.octets,
        };
        rtcp::rewrite(packet, mapping)
    }
}

/// Measures the fraction of a node's stream that arrives, from RTP headers alone: the ratio of received to
/// expected packets by sequence number (RFC 3550, A.3), multiplied by the ratio of elapsed media time to
/// elapsed time. Comparing the byte rate with the rung's rate instead would report a title that needs less
/// than its rung as a shortage.
#[derive(Debug)]
pub struct DeliveryMeter {
    /// RTP ticks per second.
    clock_rate: u32,
    /// SSRC of the current source.
    source: Option<u32>,
    /// Start of the measurement window, in microseconds.
    window_start_us: u64,
    /// Highest sequence number of the current source.
    highest_seq: u16,
    /// Highest timestamp of the current source.
    highest_timestamp: u32,
    /// Packets received in the window.
    received: u32,
    /// Packets expected in the window, by their sequence numbers.
    expected: u32,
    /// Media time that elapsed in the window, in RTP ticks.
    media_ticks: u32,
    /// Smoothed number of RTP ticks between packets, or 0 before the first measurement.
    ticks_per_packet: u32,
}

/// Minimum number of packets due in a window; a window in which fewer were due is extended.
const MIN_PACKETS_DUE: u64 = 5;
/// Length in microseconds after which a window ends while the packet interval is unknown.
const WINDOW_WITHOUT_INTERVAL_US: u64 = 2_000_000;

/// The result of one window of a [`DeliveryMeter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliverySample {
    /// Fraction of the due media that arrived, from 0 to 1.
    pub delivered_fraction: f64,
    /// Packets received.
    pub packets: u32,
}

impl DeliveryMeter {
    /// Creates a meter and starts a window. `clock_rate` is in ticks per second, `now_us` in microseconds.
    pub fn new(clock_rate: u32, now_us: u64) -> DeliveryMeter {
        DeliveryMeter {
            clock_rate,
            source: None,
            window_start_us: now_us,
            highest_seq: 0,
            highest_timestamp: 0,
            received: 0,
            expected: 0,
            media_ticks: 0,
            ticks_per_packet: 0,
        }
    }

    /// Records a packet from the node. Packets that are not RTP are ignored.
    pub fn record(&mut self, packet: &[u8]) {
        let Some((seq, timestamp, source)) = parse_header(packet) else { return };
        self.received += 1;
        if self.source != Some(source) {
            (self.source, self.highest_seq, self.highest_timestamp) = (Some(source), seq, timestamp);
            self.expected += 1;
            return;
        }
        let (seq_advance, ticks) =
            (seq.wrapping_sub(self.highest_seq), timestamp.wrapping_sub(self.highest_timestamp));
        if seq_advance < 0x8000 {
            self.expected += u32::from(seq_advance);
            self.highest_seq = seq;
        }
        if ticks < 0x8000_0000 {
            self.media_ticks = self.media_ticks.saturating_add(ticks);
            self.highest_timestamp = timestamp;
            // Packets of one frame share a timestamp. The ticks are divided among received and missing
            // packets.
            if seq_advance > 0 && seq_advance < 0x8000 {
                let interval = ticks / u32::from(seq_advance);
                self.ticks_per_packet = if self.ticks_per_packet == 0 {
                    interval
                } else {
                    self.ticks_per_packet - self.ticks_per_packet / 8 + interval / 8
                };
            }
        }
    }

    /// Ends the window and starts the next. Returns `None`, and extends the window, while too few packets
    /// were due for a measurement.
    pub fn finish_window(&mut self, now_us: u64) -> Option<DeliverySample> {
        let elapsed_us = now_us.saturating_sub(self.window_start_us);
        let due = elapsed_us * u64::from(self.clock_rate) / 1_000_000;
        let sufficient = match self.ticks_per_packet {
            0 => elapsed_us >= WINDOW_WITHOUT_INTERVAL_US,
            ticks_per_packet => due >= MIN_PACKETS_DUE * u64::from(ticks_per_packet),
        };
        if !sufficient {
            return None;
        }
        let due_ticks = due as f64;
        let received_fraction = if self.expected == 0 {
            0.0
        } else {
            f64::from(self.received.min(self.expected)) / f64::from(self.expected)
        };
        // Packets arrive in bursts, so a tenth of the window's media may still be in transit.
        let media_time_fraction =
            if due_ticks <= 0.0 { 1.0 } else { (f64::from(self.media_ticks) / (0.9 * due_ticks)).min(1.0) };
        let sample = DeliverySample {
            delivered_fraction: received_fraction * media_time_fraction,
            packets: self.received,
        };
        (self.window_start_us, self.received, self.expected, self.media_ticks) = (now_us, 0, 0, 0);
        Some(sample)
    }

    /// Discards the current window and starts a new one, after a pause.
    pub fn restart(&mut self, now_us: u64) {
        *self = DeliveryMeter::new(self.clock_rate, now_us);
    }
}
