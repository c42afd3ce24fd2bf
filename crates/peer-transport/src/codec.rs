//! Datagram format: a version byte, a message authentication code (the first 16 bytes of an HMAC-SHA-256 over
//! the version and the payload), and the payload, encoded by postcard.

use ashglade_shared::Word;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Format version; datagrams of any other version are discarded.
const VERSION: u8 = 2;
const SIGNATURE: usize = 16;
/// Maximum size of a datagram, in bytes.
pub const MOST: usize = 8 * 1024;

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Number of the sending process, higher than that of every previous process of the same director.
    pub process: u64,
    /// Sequence number of the datagram within its process.
    pub number: u64,
    pub word: Word,
}

/// Why a datagram is discarded. The variant names appear in the status view and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Passed {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// The format version is another one.
    Version,
    /// The authentication code does not match: another secret, or altered or truncated data.
    Forged,
    /// The payload is authentic but cannot be decoded.
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
    pub fn write(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(datagram).ok()?;
        let mut bytes = vec![VERSION];
        bytes.extend(&self.mac(&body).finalize().into_bytes()[..SIGNATURE]);
        bytes.extend(body);
        (bytes.len() <= MOST).then_some(bytes)
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac
    }

    /// Checks and decodes a received datagram.
    pub fn read(&self, bytes: &[u8]) -> Result<Datagram, Passed> {
        if bytes.len() > MOST {
            return Err(Passed::TooLong);
        }
        let (&version, rest) = bytes.split_first().ok_or(Passed::Malformed)?;
        if version != VERSION {
            return Err(Passed::Version);
        }
        let (signature, body) = rest.split_at_checked(SIGNATURE).ok_or(Passed::Forged)?;
        self.mac(body).verify_truncated_left(signature).map_err(|_| Passed::Forged)?;
        match postcard::take_from_bytes(body) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(Passed::Malformed),
        }
    }
}

#[cfg(test)]
mod tests {
    use ashglade_shared::rights::{Message, Right};
    use ashglade_shared::{Body, Word};

    use super::*;

    fn datagram() -> Datagram {
        let rights = vec![Right { pool: 0, number: 3 }, Right { pool: 1, number: 300 }];
        let ask = Message::Ask { process: 77, number: 5, rights, look: vec![2] };
        Datagram {
            process: 1_700_000_000_000,
            number: 9,
            word: Word { from: 1, to: 2, terms: 99, body: Body::Rights(ask) },
        }
    }

    #[test]
    fn what_is_written_reads_back_and_nothing_changed_does() {
        let codec = Codec::new("0123456789abcdef").unwrap();
        let bytes = codec.write(&datagram()).unwrap();
        assert_eq!(bytes.len(), 39);
        assert_eq!(codec.read(&bytes), Ok(datagram()));
        for i in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[i] ^= 1;
            let wanted = if i == 0 { Passed::Version } else { Passed::Forged };
            assert_eq!(codec.read(&changed), Err(wanted), "byte {i}");
            assert!(codec.read(&bytes[..i]).is_err(), "cut to {i}");
        }
        assert_eq!(codec.read(&[&bytes[..], b"x"].concat()), Err(Passed::Forged));
        assert_eq!(codec.read(&vec![VERSION; MOST + 1]), Err(Passed::TooLong));
        let other = Codec::new("another secret, as long").unwrap();
        assert_eq!(other.read(&bytes), Err(Passed::Forged));
    }

    #[test]
    fn signed_and_of_another_shape_is_passed_over_whole() {
        let codec = Codec::new("0123456789abcdef").unwrap();
        for body in [&b""[..], b"\x01", &[0xff; 60]] {
            let mut bytes = vec![VERSION];
            bytes.extend(&codec.mac(body).finalize().into_bytes()[..SIGNATURE]);
            bytes.extend(body);
            assert_eq!(codec.read(&bytes), Err(Passed::Malformed));
        }
    }
}
