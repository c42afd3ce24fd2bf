//! The codec under partial, pipelined and hostile input.

use ashglade_rtsp::{Codec, Fault, Limits, Packet};
use bytes::BytesMut;
use expect_test::expect;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn print(packet: &Packet) -> String {
    match packet {
        Packet::Request(r) => {
            let body = if r.body().is_empty() { String::new() } else { format!(" +{}", r.body().len()) };
            format!("{}{body}", <&str>::from(r.method()))
        }
        Packet::Response(r) => format!("{} +{}", u16::from(r.status()), r.body().len()),
        Packet::Frame { channel, payload } => format!("${channel} {}", payload.len()),
        Packet::Raw(bytes) => format!("raw ${} {}", bytes[1], bytes.len()),
    }
}

/// Decodes input that comes in the given pieces, up to the first fault.
fn decode<'a>(limits: Limits, pieces: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let (mut codec, mut held, mut told) = (Codec::new(limits), BytesMut::new(), Vec::new());
    let status = |fault: &Fault| fault.status().map_or("closed".to_string(), |s| u16::from(s).to_string());
    for piece in pieces {
        held.extend_from_slice(piece);
        loop {
            match codec.decode(&mut held) {
                Ok(Some(packet)) => told.push(print(&packet)),
                Ok(None) => break,
                Err(fault) => {
                    told.push(format!("{}: {fault}", status(&fault)));
                    return told;
                }
            }
        }
    }
    match codec.decode_eof(&mut held) {
        Ok(None) => {}
        Ok(Some(packet)) => told.push(print(&packet)),
        Err(fault) => told.push(format!("{}: {fault}", status(&fault))),
    }
    told
}

const PIPELINED: &[u8] =
    b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n\r\n$\x01\x00\x03abcSET_PARAMETER rtsp://h/t RTSP/1.0\r\n\
CSeq: 2\r\ncontent-length: 4\r\n\r\n$\x00$$RTSP/1.0 200 OK\r\nCSeq: 3\r\n\r\n$\x00\x00\x00";

#[test]
fn pipelined_messages_and_frames_in_one_read_or_a_byte_at_a_time() {
    let whole = decode(Limits::default(), [PIPELINED].into_iter());
    expect!["OPTIONS | $1 3 | SET_PARAMETER +4 | 200 +0 | $0 0"].assert_eq(&whole.join(" | "));
    assert_eq!(decode(Limits::default(), PIPELINED.chunks(1)), whole);
}

#[test]
fn each_limit_has_its_answer() {
    let limits = Limits { line: 60, head: 120, body: 10, frame: 8 };
    let long = "x".repeat(100);
    let cases = [
        format!("OPTIONS rtsp://h/{long} RTSP/1.0\r\n\r\n"),
        format!("OPTIONS rtsp://h/{long}"),
        format!("OPTIONS * RTSP/1.0\r\nX: {long}\r\n\r\n"),
        "OPTIONS * RTSP/1.0\r\nContent-Length: 11\r\n\r\n".into(),
        "OPTIONS * RTSP/1.0\r\nContent-Length: 99999999999999999999\r\n\r\n".into(),
        "OPTIONS * RTSP/1.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".into(),
        "OPTIONS * RTSP/1.0\r\nContent-Length: -1\r\n\r\n".into(),
        "OPTIONS * RTSP/2.0\r\n\r\n".into(),
        "RTSP/1.1 200 OK\r\n\r\n".into(),
        "GET / HTTP/1.1\r\n\r\n".into(),
        "hello\r\n\r\n".into(),
        "OPTIONS * RTSP/1.0\r\nno colon\r\n\r\n".into(),
        "$\0\0\u{9}123456789".into(),
        "OPTIONS * RTSP/1.0\r\nCSeq: 1".into(),
    ];
    let told: String =
        cases.iter().map(|case| decode(limits, [case.as_bytes()].into_iter()).join(" | ") + "\n").collect();
    expect![[r#"
        414: the first line is longer than 60 bytes
        414: the first line is longer than 60 bytes
        413: the headers are longer than 120 bytes
        413: a body of 11 bytes; 10 at most
        400: a Content-Length that is no number, at byte 35 of the message
        400: two Content-Length headers that differ, at byte 39 of the message
        400: a Content-Length that is no number, at byte 35 of the message
        505: version "RTSP/2.0"; RTSP/1.0 is spoken here
        505: version "RTSP/1.1"; RTSP/1.0 is spoken here
        400: the first line is no RTSP request or answer, at byte 0 of the message
        400: the first line is no RTSP request or answer, at byte 0 of the message
        400: neither a request nor an answer, at byte 0 of the message
        closed: a frame of 9 bytes on channel 0; 8 at most
        closed: the connection was closed within a message, 27 bytes into it
    "#]]
    .assert_eq(&told);
}

fn cut(bytes: &[u8], cuts: &[usize]) -> Vec<Vec<u8>> {
    let mut at = 0;
    let mut pieces = Vec::new();
    for &cut in cuts {
        let end = (at + cut).min(bytes.len());
        pieces.push(bytes[at..end].to_vec());
        at = end;
    }
    pieces.push(bytes[at..].to_vec());
    pieces
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes, cut anyhow: no panic, the same packets as in one piece, and no more held than the limits say.
    #[test]
    fn arbitrary_bytes_in_arbitrary_cuts(
        parts in prop::collection::vec(prop_oneof![
            prop::collection::vec(any::<u8>(), 0..40),
            Just(PIPELINED.to_vec()),
            Just(b"PLAY rtsp://h/t RTSP/1.0\r\nCSeq: 1\r\nSession: 5\r\n\r\n".to_vec()),
            Just(b"$\x00\x00\x05hello".to_vec()),
        ], 0..6),
        cuts in prop::collection::vec(0usize..50, 0..20),
    ) {
        let bytes = parts.concat();
        let limits = Limits { line: 200, head: 400, body: 100, frame: 2000 };
        let whole = decode(limits, [&bytes[..]].into_iter());
        let pieces = cut(&bytes, &cuts);
        let pieced = decode(limits, pieces.iter().map(Vec::as_slice));
        // A fault may be seen before the end of the headers, then with another of the errors that are there.
        let before = |told: &[String]| told.iter().take_while(|t| !t.contains(": ")).cloned().collect::<Vec<_>>();
        prop_assert_eq!(before(&whole), before(&pieced));
        prop_assert_eq!(whole.len(), pieced.len());
    }

    /// What is written reads back.
    #[test]
    fn frames_read_back(channel: u8, payload in prop::collection::vec(any::<u8>(), 0..3000)) {
        let mut bytes = BytesMut::new();
        let frame = Packet::Frame { channel, payload: BytesMut::from(&payload[..]) };
        Codec::default().encode(frame, &mut bytes).unwrap();
        match Codec::default().decode(&mut bytes).unwrap() {
            Some(Packet::Frame { channel: c, payload: p }) => {
                prop_assert_eq!((c, &p[..]), (channel, &payload[..]));
            }
            other => prop_assert!(false, "{:?}", other),
        }
    }
}
