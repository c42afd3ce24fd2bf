//! Signed tokens that bind requests to a session. Every URI given to a player carries a token and a signature
//! of its path, so that a player can request only the URIs that it was given.
//!
//! Signatures use HMAC-SHA-256 (RFC 2104, FIPS 180-4), truncated to 128 bits for tokens and 64 bits for paths
//! (RFC 2104, section 5). The first key signs and all keys verify, so that keys can be rotated without losing
//! sessions: append the new key, then move it to the front, then remove the old one.

use ashglade::ids::{GroupId, SessionId, TitleId};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A signing key with its identifier, which tokens contain in plain text.
#[derive(Clone)]
pub struct SigningKey {
    pub id: u8,
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for SigningKey {
    /// Formats the identifier only, so that logs contain no secrets.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Key({})", self.id)
    }
}

/// The configured keys. The first one signs; all of them verify.
#[derive(Clone)]
pub struct KeyRing(Vec<PreparedKey>);

/// A key with an HMAC state that has already absorbed the secret.
#[derive(Clone)]
struct PreparedKey {
    id: u8,
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Keys")?;
        f.debug_list().entries(self.0.iter().map(|key| key.id)).finish()
    }
}

/// The contents of a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub session: SessionId,
    pub title: TitleId,
    pub group: GroupId,
    /// Expiry as Unix time, in seconds.
    pub expires: u64,
}

/// The reason why a token or a path signature is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
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

/// Length of a token without signature, in bytes: key, session, title, group, expiry.
const TOKEN_BODY_BYTES: usize = 1 + 8 + 8 + 2 + 8;
/// Length of the signature of a token, in bytes.
const TOKEN_SIGNATURE_BYTES: usize = 16;
/// Length of the signature of a path, in bytes.
const PATH_SIGNATURE_BYTES: usize = 8;

impl KeyRing {
    /// Prepares the keys. Returns `None` if there are none.
    pub fn new(keys: Vec<SigningKey>) -> Option<KeyRing> {
        let prepare = |key: SigningKey| {
            // HMAC accepts keys of any length: keys longer than a block are hashed first.
            let mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC accepts keys of any length");
            PreparedKey { id: key.id, mac }
        };
        (!keys.is_empty()).then(|| KeyRing(keys.into_iter().map(prepare).collect()))
    }

    fn mac(key: &PreparedKey, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = key.mac.clone();
        parts.iter().for_each(|part| mac.update(part));
        mac
    }

    /// Signs a token with the first key. The result is safe to use in a URI path.
    pub fn sign(&self, token: &Token) -> String {
        let key = &self.0[0];
        let mut bytes = Vec::with_capacity(TOKEN_BODY_BYTES + TOKEN_SIGNATURE_BYTES);
        bytes.push(key.id);
        bytes.extend(token.session.0.to_be_bytes());
        bytes.extend(token.title.0.to_be_bytes());
        bytes.extend((token.group.0 as u16).to_be_bytes());
        bytes.extend(token.expires.to_be_bytes());
        let signature = Self::mac(key, &[b"session", &bytes]).finalize().into_bytes();
        bytes.extend(&signature[..TOKEN_SIGNATURE_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Returns the contents of a token if one of the keys signed it, it is for this title and it has not
    /// expired at `now`, a Unix time in seconds.
    pub fn verify(&self, text: &str, title: TitleId, now: u64) -> Result<Token, TokenError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() != TOKEN_BODY_BYTES + TOKEN_SIGNATURE_BYTES {
            return Err(TokenError::Malformed);
        }
        let (body, signature) = bytes.split_at(TOKEN_BODY_BYTES);
        let key = self.0.iter().find(|key| key.id == body[0]).ok_or(TokenError::Signature)?;
        let mac = Self::mac(key, &[b"session", body]);
        mac.verify_truncated_left(signature).map_err(|_| TokenError::Signature)?;
        let read_u64 =
            |offset: usize| u64::from_be_bytes(body[offset..offset + 8].try_into().unwrap_or_default());
        let token = Token {
            session: SessionId(read_u64(1)),
            title: TitleId(read_u64(9)),
            group: GroupId(usize::from(u16::from_be_bytes([body[17], body[18]]))),
            expires: read_u64(19),
        };
        match token {
            Token { title: token_title, .. } if token_title != title => Err(TokenError::OtherTitle),
            Token { expires, .. } if expires <= now => Err(TokenError::Expired),
            token => Ok(token),
        }
    }

    /// Signs a path for a session with the first key.
    pub fn sign_path(&self, session: SessionId, path: &str) -> String {
        let signature =
            Self::mac(&self.0[0], &[b"path", &session.0.to_be_bytes(), path.as_bytes()]).finalize();
        URL_SAFE_NO_PAD.encode(&signature.into_bytes()[..PATH_SIGNATURE_BYTES])
    }

    /// Checks that one of the keys signed this path for this session.
    pub fn verify_path(&self, session: SessionId, path: &str, signature: &str) -> Result<(), TokenError> {
        let signature = URL_SAFE_NO_PAD.decode(signature).map_err(|_| TokenError::Path)?;
        let is_valid = |key: &PreparedKey| {
            let mac = Self::mac(key, &[b"path", &session.0.to_be_bytes(), path.as_bytes()]);
            signature.len() == PATH_SIGNATURE_BYTES && mac.verify_truncated_left(&signature).is_ok()
        };
        if self.0.iter().any(is_valid) { Ok(()) } else { Err(TokenError::Path) }
    }
}
