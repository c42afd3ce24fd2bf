//! Digest access authentication (RFC 2617, section 3) as used by RTSP (RFC 2326, D.1): MD5, with or without
//! `qop=auth`. Each connection has its own nonce, so that a response captured on one connection can't be
//! replayed on another.

use md5::{Digest as _, Md5};
use rtsp_types::Method;

/// The realm and the users that may connect.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    pub realm: String,
    /// Pairs of user name and password.
    pub users: Vec<(String, String)>,
}

/// Returns the MD5 digest of a text in lower-case hexadecimal.
fn md5_hex(text: &str) -> String {
    Md5::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses the parameters of an `Authorization` or `WWW-Authenticate` header of the Digest scheme:
/// comma-separated `name=value` pairs with quoted or unquoted values. Returns `None` for other schemes and
/// for malformed headers.
fn parse_parameters(header: &str) -> Option<Vec<(&str, &str)>> {
    let (scheme, mut rest) = header.trim().split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("digest") {
        return None;
    }
    let mut parameters = Vec::new();
    while !rest.trim().is_empty() {
        let (name, after) = rest.split_once('=')?;
        let after = after.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"')?,
            None => after.split_at(after.find(',').unwrap_or(after.len())),
        };
        parameters.push((name.trim(), value.trim()));
        rest = next.trim_start().strip_prefix(',').unwrap_or("");
    }
    Some(parameters)
}

impl Credentials {
    /// Returns the value of `WWW-Authenticate` for a 401 response.
    pub fn challenge(&self, nonce: &str) -> String {
        format!("Digest realm=\"{}\", nonce=\"{nonce}\", algorithm=MD5, qop=\"auth\"", self.realm)
    }

    /// Returns whether an `Authorization` header is a valid response to the challenge with this nonce, for a
    /// request with this method.
    pub fn verify(&self, header: &str, nonce: &str, method: &Method) -> bool {
        let Some(parameters) = parse_parameters(header) else { return false };
        let get = |name: &str| parameters.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|&(_, v)| v);
        let (Some(user), Some(uri), Some(response)) = (get("username"), get("uri"), get("response")) else {
            return false;
        };
        if get("nonce") != Some(nonce) || get("realm") != Some(self.realm.as_str()) {
            return false;
        }
        let Some((_, password)) = self.users.iter().find(|(name, _)| name == user) else { return false };
        let qop = get("qop").map(|qop| (qop, get("nc").unwrap_or(""), get("cnonce").unwrap_or("")));
        let expected = response_digest(&self.realm, user, password, nonce, method, uri, qop);
        // Constant-time comparison: all bytes are compared, regardless of the first difference.
        expected.len() == response.len()
            && expected.bytes().zip(response.bytes()).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}

/// Computes the `response` parameter of a client's `Authorization` header (RFC 2617, 3.2.2.1). `qop` holds
/// the values of qop, nc and cnonce if the client sends them.
pub fn response_digest(
    realm: &str,
    user: &str,
    password: &str,
    nonce: &str,
    method: &Method,
    uri: &str,
    qop: Option<(&str, &str, &str)>,
) -> String {
    let ha1 = md5_hex(&format!("{user}:{realm}:{password}"));
    let ha2 = md5_hex(&format!("{}:{uri}", <&str>::from(method)));
    match qop {
        Some((qop, nc, cnonce)) => md5_hex(&format!("{ha1}:{nonce}:{nc}:{cnonce}:{qop}:{ha2}")),
        None => md5_hex(&format!("{ha1}:{nonce}:{ha2}")),
    }
}
