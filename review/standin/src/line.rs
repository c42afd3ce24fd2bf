//! The few fields of the protocol's JSON lines that the stand-ins need.

/// The text of a string member.
pub fn text(line: &str, name: &str) -> Option<String> {
    let from = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    line[from..].split('"').next().map(str::to_string)
}

/// The number of the member `rc`.
pub fn cause(line: &str) -> Option<u16> {
    let from = line.find("\"rc\":")? + 5;
    line[from..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

pub fn verb(line: &str) -> String {
    text(line, "verb").unwrap_or_default()
}

pub fn tag(line: &str) -> String {
    text(line, "tag").unwrap_or_default()
}

pub fn started(tag: &str, description: &str) -> String {
    format!(r#"{{"verb":"STARTED","tag":"{tag}","opts":{{}},"blob":"{description}"}}"#)
}

pub fn finish(tag: &str, cause: u16) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{cause}}}"#)
}

pub fn finished(tag: &str) -> String {
    format!(r#"{{"verb":"FINISHED","tag":"{tag}","opts":{{}}}}"#)
}

pub fn echo(tag: &str) -> String {
    format!(r#"{{"verb":"ECHO","tag":"{tag}","opts":{{}},"rc":0}}"#)
}

pub fn echoed(tag: &str) -> String {
    format!(r#"{{"verb":"ECHOED","tag":"{tag}","opts":{{"load":"util:0.1"}},"rc":1}}"#)
}

/// Whether a media node can use the description of a set-up.
pub fn is_usable(line: &str) -> bool {
    text(line, "blob").is_some_and(|description| description.starts_with("v=0"))
}

/// A request of `length` bytes whose description no media node can use.
pub fn useless_setup(tag: &str, class: &str, length: usize) -> String {
    let line = setup(tag, class, 3000, 0, 2);
    let filler = "x".repeat(length.saturating_sub(line.len()) + 3);
    line.replacen("v=0", &filler, 1)
}

/// A viewer's request for a title that the nodes of `copies` cells hold, from cell `home` on.
pub fn setup(tag: &str, class: &str, left: u32, home: u16, copies: u16) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"{class}","left":"{left}","key":"7f3a9c21e0b4d655","extras":"home:{home};copies:{copies};top:1;viewer:{tag}"}},"blob":"v=0\r\ns=viewer {tag}\r\n"}}"#
    )
}
