//! Digest access authentication (RFC 2617, 3) as RTSP takes it over (RFC 2326, D.1): MD5, without and with
//! `qop=auth`. A nonce belongs to one connection, so that what is overheard on one is of no use on another.

use md5::{Digest as _, Md5};
use rtsp_types::Method;

/// Who may come in.
#[derive(Clone, Debug, Default)]
pub struct Users {
    pub realm: String,
    /// Names and passwords.
    pub users: Vec<(String, String)>,
}

fn hash(text: &str) -> String {
    Md5::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The fields of an `Authorization` or `WWW-Authenticate` header, without the scheme: `name=value`, values quoted
/// or not, parted by commas outside of quotes.
fn fields(header: &str) -> Option<Vec<(&str, &str)>> {
    let (scheme, mut rest) = header.trim().split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("digest") {
        return None;
    }
    let mut fields = Vec::new();
    while !rest.trim().is_empty() {
        let (name, after) = rest.split_once('=')?;
        let after = after.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"')?,
            None => after.split_at(after.find(',').unwrap_or(after.len())),
        };
        fields.push((name.trim(), value.trim()));
        rest = next.trim_start().strip_prefix(',').unwrap_or("");
    }
    Some(fields)
}

impl Users {
    /// What a 401 asks for.
    pub fn challenge(&self, nonce: &str) -> String {
        format!("Digest realm=\"{}\", nonce=\"{nonce}\", algorithm=MD5, qop=\"auth\"", self.realm)
    }

    /// Does this header answer the challenge, for this request?
    pub fn admits(&self, header: &str, nonce: &str, method: &Method) -> bool {
        let Some(fields) = fields(header) else { return false };
        let get = |name: &str| fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|&(_, v)| v);
        let (Some(user), Some(uri), Some(response)) = (get("username"), get("uri"), get("response")) else {
            return false;
        };
        if get("nonce") != Some(nonce) || get("realm") != Some(self.realm.as_str()) {
            return false;
        }
        let Some((_, password)) = self.users.iter().find(|(name, _)| name == user) else { return false };
        let cnonce = get("qop").map(|qop| (qop, get("nc").unwrap_or(""), get("cnonce").unwrap_or("")));
        let expected = answer(&self.realm, user, password, nonce, method, uri, cnonce);
        // Every byte is compared, whichever differs first.
        expected.len() == response.len()
            && expected.bytes().zip(response.bytes()).fold(0, |differs, (a, b)| differs | (a ^ b)) == 0
    }
}

/// The `response` that a client sends; `more` holds qop, nc and cnonce where the client uses them.
pub fn answer(
    realm: &str,
    user: &str,
    password: &str,
    nonce: &str,
    method: &Method,
    uri: &str,
    more: Option<(&str, &str, &str)>,
) -> String {
    let who = hash(&format!("{user}:{realm}:{password}"));
    let what = hash(&format!("{}:{uri}", <&str>::from(method)));
    match more {
        Some((qop, nc, cnonce)) => hash(&format!("{who}:{nonce}:{nc}:{cnonce}:{qop}:{what}")),
        None => hash(&format!("{who}:{nonce}:{what}")),
    }
}
