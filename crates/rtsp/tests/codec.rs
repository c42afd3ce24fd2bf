//! Tests the codec with partial, pipelined and malicious input.

use ashglade_rtsp::{Codec, CodecError, Limits, Packet};
use bytes::BytesMut;
use expect_test::expect;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

fn describe(packet: &Packet) -> String {
    match packet {
        Packet::Request(request) => {
            let body =
                if request.body().is_empty() { String::new() } else { format!(" +{}", request.body().len()) };
            format!("{}{body}", <&str>::from(request.method()))
        }
        Packet::Response(response) => {
            format!("{} +{}", u16::from(response.status()), response.body().len())
        }
        Packet::Frame { channel, payload } => format!("${channel} {}", payload.len()),
        Packet::RawFrame(bytes) => format!("raw ${} {}", bytes[1], bytes.len()),
    }
}

/// Decodes input that arrives in the given chunks, up to the first error.
fn decode<'a>(limits: Limits, chunks: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let (mut codec, mut buffer, mut decoded) = (Codec::new(limits), BytesMut::new(), Vec::new());
    let status =
        |error: &CodecError| error.status().map_or("closed".to_string(), |s| u16::from(s).to_string());
    for chunk in chunks {
        buffer.extend_from_slice(chunk);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(packet)) => decoded.push(describe(&packet)),
                Ok(None) => break,
                Err(error) => {
                    decoded.push(format!("{}: {error}", status(&error)));
                    return decoded;
                }
            }
        }
    }
    match codec.decode_eof(&mut buffer) {
        Ok(None) => {}
        Ok(Some(packet)) => decoded.push(describe(&packet)),
        Err(error) => decoded.push(format!("{}: {error}", status(&error))),
    }
    decoded
}

const PIPELINED: &[u8] =
    b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n\r\n$\x01\x00\x03abcSET_PARAMETER rtsp://h/t RTSP/1.0\r\n\
CSeq: 2\r\ncontent-length: 4\r\n\r\n$\x00$$RTSP/1.0 200 OK\r\nCSeq: 3\r\n\r\n$\x00\x00\x00";

#[test]
fn pipelined_input_decodes_the_same_in_one_chunk_and_byte_by_byte() {
    let whole = decode(Limits::default(), [PIPELINED].into_iter());
    expect!["OPTIONS | $1 3 | SET_PARAMETER +4 | 200 +0 | $0 0"].assert_eq(&whole.join(" | "));
    assert_eq!(decode(Limits::default(), PIPELINED.chunks(1)), whole);
}

#[test]
fn each_error_has_its_status() {
    let limits = Limits {
        max_line_bytes: 60,
        max_head_bytes: 120,
        max_body_bytes: 10,
        max_frame_bytes: 8,
        ..Limits::default()
    };
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
    let results: String =
        cases.iter().map(|case| decode(limits, [case.as_bytes()].into_iter()).join(" | ") + "\n").collect();
    expect![[r#"
        414: request or status line exceeds 60 bytes
        414: request or status line exceeds 60 bytes
        413: headers exceed 120 bytes
        413: body of 11 bytes exceeds the limit of 10 bytes
        400: Content-Length is not a number, at byte 35 of the message
        400: conflicting Content-Length headers, at byte 39 of the message
        400: Content-Length is not a number, at byte 35 of the message
        505: unsupported version "RTSP/2.0"; only RTSP/1.0 is supported
        505: unsupported version "RTSP/1.1"; only RTSP/1.0 is supported
        400: not an RTSP request line or status line, at byte 0 of the message
        400: not an RTSP request line or status line, at byte 0 of the message
        400: not a valid RTSP request or response, at byte 0 of the message
        closed: interleaved frame of 9 bytes on channel 0 exceeds the limit of 8 bytes
        closed: connection closed inside a message, after 27 bytes of it
    "#]]
    .assert_eq(&results);
}

/// Splits bytes into chunks of the given lengths; the last chunk is the remainder.
fn split(bytes: &[u8], lengths: &[usize]) -> Vec<Vec<u8>> {
    let mut start = 0;
    let mut chunks = Vec::new();
    for &length in lengths {
        let end = (start + length).min(bytes.len());
        chunks.push(bytes[start..end].to_vec());
        start = end;
    }
    chunks.push(bytes[start..].to_vec());
    chunks
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary input in arbitrary chunks causes no panic and decodes to the same packets as in one chunk.
    #[test]
    fn arbitrary_bytes_in_arbitrary_chunks(
        parts in prop::collection::vec(prop_oneof![
            prop::collection::vec(any::<u8>(), 0..40),
            Just(PIPELINED.to_vec()),
            Just(b"PLAY rtsp://h/t RTSP/1.0\r\nCSeq: 1\r\nSession: 5\r\n\r\n".to_vec()),
            Just(b"$\x00\x00\x05hello".to_vec()),
        ], 0..6),
        lengths in prop::collection::vec(0usize..50, 0..20),
    ) {
        let bytes = parts.concat();
        let limits =
            Limits { max_line_bytes: 200, max_head_bytes: 400, max_body_bytes: 100, max_frame_bytes: 2000, ..Limits::default() };
        let whole = decode(limits, [&bytes[..]].into_iter());
        let chunks = split(&bytes, &lengths);
        let chunked = decode(limits, chunks.iter().map(Vec::as_slice));
        // Of several errors in one message, chunked input may report another one than input in one chunk.
        let packets = |decoded: &[String]| {
            decoded.iter().take_while(|result| !result.contains(": ")).cloned().collect::<Vec<_>>()
        };
        prop_assert_eq!(packets(&whole), packets(&chunked));
        prop_assert_eq!(whole.len(), chunked.len());
    }

    /// An encoded frame decodes to the same frame.
    #[test]
    fn frames_round_trip(channel: u8, payload in prop::collection::vec(any::<u8>(), 0..3000)) {
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

/// Guards against a director that is killed for memory by requests with heads of very many short headers, each of
/// which takes many times its text when it is parsed.
#[test]
fn a_head_with_very_many_short_headers_is_refused_before_it_is_parsed() {
    let request = |headers: usize| {
        let headers: String = (0..headers).map(|n| format!("a{n:x}:\r\n")).collect();
        format!("OPTIONS * RTSP/1.0\r\n{headers}\r\n").into_bytes()
    };
    let limits = Limits::default();
    assert_eq!(decode(limits, [&request(limits.max_headers)[..]].into_iter()), ["OPTIONS"]);
    let too_many = decode(limits, [&request(limits.max_headers + 1)[..]].into_iter());
    assert_eq!(too_many, ["413: more than 100 headers"]);
    // As many as fit into the longest head.
    let longest = request(2_000);
    assert!(longest.len() < limits.max_head_bytes);
    assert_eq!(decode(limits, longest.chunks(1000)), ["413: more than 100 headers"]);
}
