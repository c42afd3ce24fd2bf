//! Interleaved RTCP (RFC 3550, section 6): reads receiver reports of viewers, rewrites sender reports of
//! nodes to match the stream that the viewer receives, and detects and builds BYE packets.

use bytes::BytesMut;
use rtcp_types::{Bye, Compound, Packet, ReceiverReport, SenderReport};

// RTCP packet types (RFC 3550, 12.1).
const SENDER_REPORT: u8 = 200;
const SOURCE_DESCRIPTION: u8 = 202;
const BYE: u8 = 203;

/// A viewer's reception report on one source (RFC 3550, 6.4.1).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceptionReport {
    /// Fraction of packets lost since the viewer's previous report, from 0 to 1.
    pub fraction_lost: f64,
    /// Interarrival jitter in RTP ticks.
    pub jitter_ticks: u32,
}

/// Returns the reception report on `ssrc` in a compound packet, or `None` if it has none or can't be parsed.
pub fn reception_report(packet: &[u8], ssrc: u32) -> Option<ReceptionReport> {
    let read = |block: rtcp_types::ReportBlock| {
        (block.ssrc() == ssrc).then(|| ReceptionReport {
            fraction_lost: f64::from(block.fraction_lost()) / 256.0,
            jitter_ticks: block.interarrival_jitter(),
        })
    };
    Compound::parse(packet).ok()?.filter_map(Result::ok).find_map(|packet| match packet {
        Packet::Rr(report) => ReceiverReport::report_blocks(&report).find_map(read),
        Packet::Sr(report) => SenderReport::report_blocks(&report).find_map(read),
        _ => None,
    })
}

/// Returns whether a compound packet contains a BYE.
pub fn contains_bye(packet: &[u8]) -> bool {
    let Ok(compound) = Compound::parse(packet) else { return false };
    compound.filter_map(Result::ok).any(|packet| matches!(packet, Packet::Bye(_)))
}

/// Builds a BYE of one source.
pub fn build_bye(ssrc: u32) -> BytesMut {
    use rtcp_types::RtcpPacketWriterExt;
    let builder = Bye::builder().add_source(ssrc);
    let mut packet = vec![0; 8];
    let _ = builder.write_into(&mut packet);
    BytesMut::from(&packet[..])
}

/// How the sender reports of a node are rewritten for the viewer's stream.
#[derive(Clone, Copy, Debug)]
pub struct SenderMapping {
    /// SSRC of the node's current stream.
    pub source: u32,
    /// SSRC of the viewer's stream.
    pub ssrc: u32,
    /// Offset added to RTP timestamps, modulo 2^32.
    pub timestamp_offset: u32,
    /// Packets sent to the viewer.
    pub packets: u32,
    /// Payload bytes sent to the viewer.
    pub octets: u32,
}

/// Rewrites a compound packet of the current source in place. Returns false if it is from another source or
/// can't be parsed, and must be dropped.
pub fn rewrite(packet: &mut [u8], mapping: SenderMapping) -> bool {
    let mut at = 0;
    let mut from_source = false;
    let word = |p: &[u8], at: usize| u32::from_be_bytes([p[at], p[at + 1], p[at + 2], p[at + 3]]);
    while at + 8 <= packet.len() {
        if packet[at] >> 6 != 2 {
            return false;
        }
        let packet_type = packet[at + 1];
        let length = 4 + 4 * usize::from(u16::from_be_bytes([packet[at + 2], packet[at + 3]]));
        if at + length > packet.len() || length < 8 {
            return false;
        }
        if word(packet, at + 4) == mapping.source && matches!(packet_type, SENDER_REPORT..=BYE) {
            from_source |= packet_type != SOURCE_DESCRIPTION;
            packet[at + 4..at + 8].copy_from_slice(&mapping.ssrc.to_be_bytes());
            if packet_type == SENDER_REPORT && length >= 28 {
                let timestamp = word(packet, at + 16).wrapping_add(mapping.timestamp_offset);
                packet[at + 16..at + 20].copy_from_slice(&timestamp.to_be_bytes());
                packet[at + 20..at + 24].copy_from_slice(&mapping.packets.to_be_bytes());
                packet[at + 24..at + 28].copy_from_slice(&mapping.octets.to_be_bytes());
            }
        }
        at += length;
    }
    from_source && at == packet.len()
}
