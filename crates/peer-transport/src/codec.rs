//! Datagram format: a version byte, a message authentication code (the first 16 bytes of an HMAC-SHA-256 over
//! the version and the payload), and the payload, encoded by postcard.

use ashglade_shared::PeerMessage;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Format version; datagrams of any other version are discarded.
const FORMAT_VERSION: u8 = 2;
/// Length of the authentication code, in bytes.
const MAC_BYTES: usize = 16;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Number of the sending process, higher than that of every previous process of the same director.
    pub process: u64,
    /// Sequence number of the datagram within its process.
    pub sequence: u64,
    pub message: PeerMessage,
}

/// Why a datagram is discarded. The variant names appear in the status view and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum DiscardReason {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// The format version is another one.
    Version,
    /// The authentication code does not match: another secret, or altered or truncated data.
    Forged,
    /// Empty, or the payload is authentic but cannot be decoded.
    Malformed,
    /// It comes from another address than its sender's, or is meant for another director.
    Stranger,
    /// It was received before, is older than the replay window, or is from a process that has been replaced
    /// by a newer one.
    Replayed,
}

/// Encodes and authenticates datagrams with a shared secret.
#[derive(Clone)]
pub struct Codec {
    key: Hmac<Sha256>,
}

impl Codec {
    /// Returns `None` if the secret cannot be used as a key.
    pub fn new(secret: &str) -> Option<Codec> {
        Some(Codec { key: Hmac::new_from_slice(secret.as_bytes()).ok()? })
    }

    /// Returns the bytes to send, or `None` if they would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let payload = postcard::to_allocvec(datagram).ok()?;
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(&self.hmac(&payload).finalize().into_bytes()[..MAC_BYTES]);
        bytes.extend(payload);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    fn hmac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut hmac = self.key.clone();
        hmac.update(&[FORMAT_VERSION]);
        hmac.update(payload);
        hmac
    }

    /// Checks and decodes a received datagram.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DiscardReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DiscardReason::TooLong);
        }
        let (&version, rest) = bytes.split_first().ok_or(DiscardReason::Malformed)?;
        if version != FORMAT_VERSION {
            return Err(DiscardReason::Version);
        }
        let (mac, payload) = rest.split_at_checked(MAC_BYTES).ok_or(DiscardReason::Forged)?;
        self.hmac(payload).verify_truncated_left(mac).map_err(|_| DiscardReason::Forged)?;
        match postcard::take_from_bytes(payload) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DiscardReason::Malformed),
        }
    }
}

#[cfg(test)]
mod tests {
    use ashglade_shared::permits::{Permit, PermitMessage};
    use ashglade_shared::{MessageBody, PeerMessage};

    use super::*;

    fn datagram() -> Datagram {
        let permits = vec![Permit { pool: 0, number: 3 }, Permit { pool: 1, number: 300 }];
        let request = PermitMessage::Request { process_id: 77, round: 5, permits, queried_owners: vec![2] };
        Datagram {
            process: 1_700_000_000_000,
            sequence: 9,
            message: PeerMessage { from: 1, to: 2, config_digest: 99, body: MessageBody::Permits(request) },
        }
    }

    #[test]
    fn encoded_datagrams_decode_and_altered_ones_do_not() {
        let codec = Codec::new("0123456789abcdef").unwrap();
        let bytes = codec.encode(&datagram()).unwrap();
        assert_eq!(bytes.len(), 39);
        assert_eq!(codec.decode(&bytes), Ok(datagram()));
        for i in 0..bytes.len() {
            let mut altered = bytes.clone();
            altered[i] ^= 1;
            let expected = if i == 0 { DiscardReason::Version } else { DiscardReason::Forged };
            assert_eq!(codec.decode(&altered), Err(expected), "byte {i}");
            assert!(codec.decode(&bytes[..i]).is_err(), "cut to {i}");
        }
        assert_eq!(codec.decode(&[&bytes[..], b"x"].concat()), Err(DiscardReason::Forged));
        assert_eq!(codec.decode(&vec![FORMAT_VERSION; MAX_DATAGRAM_BYTES + 1]), Err(DiscardReason::TooLong));
        let other = Codec::new("another secret, as long").unwrap();
        assert_eq!(other.decode(&bytes), Err(DiscardReason::Forged));
    }

    #[test]
    fn authentic_but_malformed_payloads_are_rejected() {
        let codec = Codec::new("0123456789abcdef").unwrap();
        for payload in [&b""[..], b"\x01", &[0xff; 60]] {
            let mut bytes = vec![FORMAT_VERSION];
            bytes.extend(&codec.hmac(payload).finalize().into_bytes()[..MAC_BYTES]);
            bytes.extend(payload);
            assert_eq!(codec.decode(&bytes), Err(DiscardReason::Malformed));
        }
    }
}
