//! What passes, told apart.

use ashglade_judge::What;
use ashglade_peer_transport::codec::Datagram;
use ashglade_shared::permits::{Permit, PermitMessage};
use ashglade_shared::{MessageBody, gossip::GossipMessage};

use crate::day::schema::Said;

/// What a request to a node is, by how it begins.
pub fn request(bytes: &[u8]) -> Option<Said> {
    [("SETUP ", Said::Setup), ("PLAY ", Said::Play), ("TEARDOWN ", Said::Teardown)]
        .into_iter()
        .find(|(word, _)| bytes.starts_with(word.as_bytes()))
        .map(|(_, said)| said)
}

/// Whose try a SETUP is for, by its URL: `viewer=ID.AGAIN`.
pub fn viewer(bytes: &[u8]) -> Option<(u64, u32)> {
    let line = std::str::from_utf8(bytes.split(|&b| b == b'\r').next()?).ok()?;
    let value = line.split_once("viewer=")?.1;
    let value = value.split(|c: char| c != '.' && !c.is_ascii_digit()).next()?;
    let (viewer, again) = value.split_once('.')?;
    Some((viewer.parse().ok()?, again.parse().ok()?))
}

/// What a datagram between directors is.
pub fn datagram(datagram: &Datagram) -> Said {
    match &datagram.message.body {
        MessageBody::Permits(PermitMessage::Request { .. }) => Said::Ask,
        MessageBody::Permits(PermitMessage::Grant { .. }) => Said::Grant,
        MessageBody::Permits(PermitMessage::Release { .. }) => Said::Back,
        MessageBody::Gossip(GossipMessage::Reports(_)) => Said::Words,
        MessageBody::Gossip(GossipMessage::Digest { .. }) => Said::Digest,
    }
}

/// What the judge is told of it.
pub fn sight(datagram: &Datagram, passed: bool) -> Option<What> {
    let (from, to) = (datagram.message.from, datagram.message.to);
    let plain = |rights: &[Permit]| rights.iter().map(|right| (right.pool, right.number)).collect();
    match &datagram.message.body {
        MessageBody::Permits(PermitMessage::Request { process_id, round, .. }) => {
            Some(What::RightsAsked { holder: from, voter: to, process: *process_id, ask: *round })
        }
        MessageBody::Permits(PermitMessage::Grant { process_id, round, permits, .. }) => {
            Some(What::RightsGranted {
                passed,
                voter: from,
                holder: to,
                process: *process_id,
                ask: *round,
                rights: plain(permits),
            })
        }
        MessageBody::Permits(PermitMessage::Release { process_id, round, permits }) => {
            Some(What::RightsBack {
                holder: from,
                voter: to,
                process: *process_id,
                ask: *round,
                rights: plain(permits),
            })
        }
        MessageBody::Gossip(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_setup_tells_whose_try_it_is() {
        let text =
            b"SETUP rtsp://127.0.0.1:4/t/3/trackID=0?group=a&viewer=71.2&client=v71 RTSP/1.0\r\nCSeq: 1\r\n";
        assert_eq!((request(text), viewer(text)), (Some(Said::Setup), Some((71, 2))));
        assert_eq!((request(b"OPTIONS * RTSP/1.0"), viewer(b"SETUP rtsp://a/b RTSP/1.0")), (None, None));
    }
}
