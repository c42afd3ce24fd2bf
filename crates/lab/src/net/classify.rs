//! Classification of the messages that pass through the relays.

use ashglade_judge::EventKind;
use ashglade_peer_transport::codec::Datagram;
use ashglade_shared::permits::{Permit, PermitMessage};
use ashglade_shared::{MessageBody, gossip::GossipMessage};

use crate::day::schema::Said as MessageKind;

/// The kind of an RTSP request, by its first bytes.
pub fn request_kind(bytes: &[u8]) -> Option<MessageKind> {
    [("SETUP ", MessageKind::Setup), ("PLAY ", MessageKind::Play), ("TEARDOWN ", MessageKind::Teardown)]
        .into_iter()
        .find(|(prefix, _)| bytes.starts_with(prefix.as_bytes()))
        .map(|(_, kind)| kind)
}

/// The viewer and attempt that a SETUP is for, from the parameter `viewer=ID.ATTEMPT` of its URL.
pub fn viewer_attempt(bytes: &[u8]) -> Option<(u64, u32)> {
    let line = std::str::from_utf8(bytes.split(|&b| b == b'\r').next()?).ok()?;
    let value = line.split_once("viewer=")?.1;
    let value = value.split(|c: char| c != '.' && !c.is_ascii_digit()).next()?;
    let (viewer, attempt) = value.split_once('.')?;
    Some((viewer.parse().ok()?, attempt.parse().ok()?))
}

/// The kind of a datagram between directors.
pub fn datagram_kind(datagram: &Datagram) -> MessageKind {
    match &datagram.message.body {
        MessageBody::Permits(PermitMessage::Request { .. }) => MessageKind::Ask,
        MessageBody::Permits(PermitMessage::Grant { .. }) => MessageKind::Grant,
        MessageBody::Permits(PermitMessage::Release { .. }) => MessageKind::Back,
        MessageBody::Gossip(GossipMessage::Reports(_)) => MessageKind::Words,
        MessageBody::Gossip(GossipMessage::Digest { .. }) => MessageKind::Digest,
    }
}

/// The traffic event that the judge gets for a datagram, if any.
pub fn judge_event(datagram: &Datagram, passed: bool) -> Option<EventKind> {
    let (from, to) = (datagram.message.from, datagram.message.to);
    let pool_and_number =
        |permits: &[Permit]| permits.iter().map(|permit| (permit.pool, permit.number)).collect();
    match &datagram.message.body {
        MessageBody::Permits(PermitMessage::Request { process_id, round, .. }) => {
            Some(EventKind::PermitsRequested {
                holder: from,
                voter: to,
                process_id: *process_id,
                round: *round,
            })
        }
        MessageBody::Permits(PermitMessage::Grant { process_id, round, permits, .. }) => {
            Some(EventKind::PermitsGranted {
                delivered: passed,
                voter: from,
                holder: to,
                process_id: *process_id,
                round: *round,
                permits: pool_and_number(permits),
            })
        }
        MessageBody::Permits(PermitMessage::Release { process_id, round, permits }) => {
            Some(EventKind::PermitsReleased {
                holder: from,
                voter: to,
                process_id: *process_id,
                round: *round,
                permits: pool_and_number(permits),
            })
        }
        MessageBody::Gossip(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn setup_url_identifies_viewer_and_attempt() {
        let text =
            b"SETUP rtsp://127.0.0.1:4/t/3/trackID=0?group=a&viewer=71.2&client=v71 RTSP/1.0\r\nCSeq: 1\r\n";
        assert_eq!((request_kind(text), viewer_attempt(text)), (Some(MessageKind::Setup), Some((71, 2))));
        assert_eq!(
            (request_kind(b"OPTIONS * RTSP/1.0"), viewer_attempt(b"SETUP rtsp://a/b RTSP/1.0")),
            (None, None)
        );
    }
}
