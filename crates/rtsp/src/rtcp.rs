//! RTCP inside the connection (RFC 3550, 6): viewers' receiver reports read, nodes' sender reports rewritten so that
//! they fit the stream that the viewer sees, BYE seen and made.

use bytes::BytesMut;
use rtcp_types::{Bye, Compound, Packet, ReceiverReport, SenderReport};

const SENDER_REPORT: u8 = 200;
const SOURCE_DESCRIPTION: u8 = 202;
const BYE: u8 = 203;

/// What a viewer reports of one source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heard {
    /// Part of the packets since its last report that it missed, 0 to 1.
    pub lost: f64,
    /// In RTP ticks.
    pub jitter: u32,
}

/// The report on `ssrc` in a compound packet, if there is one. What can't be read tells nothing.
pub fn heard(packet: &[u8], ssrc: u32) -> Option<Heard> {
    let read = |block: rtcp_types::ReportBlock| {
        (block.ssrc() == ssrc).then(|| Heard {
            lost: f64::from(block.fraction_lost()) / 256.0,
            jitter: block.interarrival_jitter(),
        })
    };
    Compound::parse(packet).ok()?.filter_map(Result::ok).find_map(|packet| match packet {
        Packet::Rr(report) => ReceiverReport::report_blocks(&report).find_map(read),
        Packet::Sr(report) => SenderReport::report_blocks(&report).find_map(read),
        _ => None,
    })
}

/// A source said that it is over.
pub fn says_bye(packet: &[u8]) -> bool {
    let Ok(compound) = Compound::parse(packet) else { return false };
    compound.filter_map(Result::ok).any(|packet| matches!(packet, Packet::Bye(_)))
}

/// BYE for one source.
pub fn bye(ssrc: u32) -> BytesMut {
    use rtcp_types::RtcpPacketWriterExt;
    let builder = Bye::builder().add_source(ssrc);
    let mut packet = vec![0; 8];
    let _ = builder.write_into(&mut packet);
    BytesMut::from(&packet[..])
}

/// What a sender report is made to say.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub source: u32,
    pub ssrc: u32,
    /// Added to RTP timestamps.
    pub add_ts: u32,
    /// Packets and payload bytes that the viewer was sent.
    pub packets: u32,
    pub octets: u32,
}

/// Rewrites a compound packet of the playing source in place; false where it is of another source or can't be read,
/// and is not to be passed on.
pub fn rewrite(packet: &mut [u8], sent: Sent) -> bool {
    let mut at = 0;
    let mut ours = false;
    let word = |p: &[u8], at: usize| u32::from_be_bytes([p[at], p[at + 1], p[at + 2], p[at + 3]]);
    while at + 8 <= packet.len() {
        if packet[at] >> 6 != 2 {
            return false;
        }
        let kind = packet[at + 1];
        let length = 4 + 4 * usize::from(u16::from_be_bytes([packet[at + 2], packet[at + 3]]));
        if at + length > packet.len() || length < 8 {
            return false;
        }
        if word(packet, at + 4) == sent.source && matches!(kind, SENDER_REPORT..=BYE) {
            ours |= kind != SOURCE_DESCRIPTION;
            packet[at + 4..at + 8].copy_from_slice(&sent.ssrc.to_be_bytes());
            if kind == SENDER_REPORT && length >= 28 {
                let ts = word(packet, at + 16).wrapping_add(sent.add_ts);
                packet[at + 16..at + 20].copy_from_slice(&ts.to_be_bytes());
                packet[at + 20..at + 24].copy_from_slice(&sent.packets.to_be_bytes());
                packet[at + 24..at + 28].copy_from_slice(&sent.octets.to_be_bytes());
            }
        }
        at += length;
    }
    ours && at == packet.len()
}
