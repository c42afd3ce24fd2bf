//! What ties a request to its session: a signed token in the path of every URI that a player is given, and a signature
//! of each path itself, so that a player can ask for nothing that it was not given.
//!
//! HMAC-SHA-256 (RFC 2104, FIPS 180-4), cut to 128 bits for tokens and 64 for paths (RFC 2104, section 5). The first
//! key signs; any verifies, so keys change without a session lost: add the new one behind, then put it first, then
//! take the old one out.

use ashglade::ids::{GroupId, SessionId, TitleId};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A key, by a name that goes along in the clear.
#[derive(Clone)]
pub struct Key {
    pub id: u8,
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    /// Secrets are in no log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The first signs, all verify.
#[derive(Clone)]
pub struct Keys(Vec<Ready>);

/// A key, hashed as far as it can be before what it signs is known.
#[derive(Clone)]
struct Ready {
    id: u8,
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Keys")?;
        f.debug_list().entries(self.0.iter().map(|key| key.id)).finish()
    }
}

/// What a token says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub sess: SessionId,
    pub title: TitleId,
    pub group: GroupId,
    /// Seconds since 1970.
    pub expires: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Forged {
    #[error("the token is not well-formed")]
    Malformed,
    #[error("the token was not signed here")]
    Signature,
    #[error("the token has expired")]
    Expired,
    #[error("the token is for another title")]
    OtherTitle,
    #[error("the path was not given to this session")]
    Path,
}

/// Key, session, title, group, expiry.
const BODY: usize = 1 + 8 + 8 + 2 + 8;
const SIGNATURE: usize = 16;
const PATH_SIGNATURE: usize = 8;

impl Keys {
    /// None without a key.
    pub fn new(keys: Vec<Key>) -> Option<Keys> {
        let ready = |key: Key| {
            // Keys of any length will do: longer ones are hashed first.
            let mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("a key of any length");
            Ready { id: key.id, mac }
        };
        (!keys.is_empty()).then(|| Keys(keys.into_iter().map(ready).collect()))
    }

    fn mac(key: &Ready, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = key.mac.clone();
        parts.iter().for_each(|part| mac.update(part));
        mac
    }

    pub fn sign(&self, token: &Token) -> String {
        let key = &self.0[0];
        let mut bytes = Vec::with_capacity(BODY + SIGNATURE);
        bytes.push(key.id);
        bytes.extend(token.sess.0.to_be_bytes());
        bytes.extend(token.title.0.to_be_bytes());
        bytes.extend((token.group.0 as u16).to_be_bytes());
        bytes.extend(token.expires.to_be_bytes());
        let signature = Self::mac(key, &[b"session", &bytes]).finalize().into_bytes();
        bytes.extend(&signature[..SIGNATURE]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// What a token says, if it was signed here, is for this title and has not expired at `now`, in seconds since 1970.
    pub fn verify(&self, text: &str, title: TitleId, now: u64) -> Result<Token, Forged> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Forged::Malformed)?;
        if bytes.len() != BODY + SIGNATURE {
            return Err(Forged::Malformed);
        }
        let (body, signature) = bytes.split_at(BODY);
        let key = self.0.iter().find(|key| key.id == body[0]).ok_or(Forged::Signature)?;
        let mac = Self::mac(key, &[b"session", body]);
        mac.verify_truncated_left(signature).map_err(|_| Forged::Signature)?;
        let number = |from: usize| u64::from_be_bytes(body[from..from + 8].try_into().unwrap_or_default());
        let token = Token {
            sess: SessionId(number(1)),
            title: TitleId(number(9)),
            group: GroupId(usize::from(u16::from_be_bytes([body[17], body[18]]))),
            expires: number(19),
        };
        match token {
            Token { title: of, .. } if of != title => Err(Forged::OtherTitle),
            Token { expires, .. } if expires <= now => Err(Forged::Expired),
            token => Ok(token),
        }
    }

    /// The signature of a path that a session is given.
    pub fn sign_path(&self, sess: SessionId, path: &str) -> String {
        let signature = Self::mac(&self.0[0], &[b"path", &sess.0.to_be_bytes(), path.as_bytes()]).finalize();
        URL_SAFE_NO_PAD.encode(&signature.into_bytes()[..PATH_SIGNATURE])
    }

    pub fn verify_path(&self, sess: SessionId, path: &str, signature: &str) -> Result<(), Forged> {
        let given = URL_SAFE_NO_PAD.decode(signature).map_err(|_| Forged::Path)?;
        let fits = |key: &Ready| {
            let mac = Self::mac(key, &[b"path", &sess.0.to_be_bytes(), path.as_bytes()]);
            given.len() == PATH_SIGNATURE && mac.verify_truncated_left(&given).is_ok()
        };
        if self.0.iter().any(fits) { Ok(()) } else { Err(Forged::Path) }
    }
}
