use ashglade::ids::{GroupId, SessionId, TitleId};
use ashglade::time::Instant;
use expect_test::expect;
use url::Url;

use super::*;

fn keys(ids: &[u8]) -> KeyRing {
    KeyRing::new(ids.iter().map(|&id| SigningKey { id, secret: vec![id; 20] }).collect()).unwrap()
}

fn at(seconds: f64) -> Instant {
    Instant::from_ms(seconds * 1e3)
}

const TOKEN: Token = Token { session: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 };

#[test]
fn a_token_is_valid_for_its_session_title_and_lifetime() {
    let signed = keys(&[1]).sign(&TOKEN);
    let mut trace = String::new();
    let mut record = |case: &str, keys: &KeyRing, text: &str, title: u64, now: u64| {
        let result = match keys.verify(text, TitleId(title), now) {
            Ok(token) => format!("{token:?}"),
            Err(error) => error.to_string(),
        };
        trace += &format!("{case}: {result}\n");
    };
    record("as signed", &keys(&[1]), &signed, 5, 999);
    record("expired", &keys(&[1]), &signed, 5, 1000);
    record("another title", &keys(&[1]), &signed, 6, 1);
    record("new key in front", &keys(&[2, 1]), &signed, 5, 1);
    record("old key removed", &keys(&[2]), &signed, 5, 1);
    record("truncated", &keys(&[1]), &signed[..signed.len() - 2], 5, 1);
    record("empty", &keys(&[1]), "", 5, 1);
    expect![[r#"
        as signed: Token { session: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 }
        expired: the token has expired
        another title: the token is for another title
        new key in front: Token { session: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 }
        old key removed: the token was not signed here
        truncated: the token is not well-formed
        empty: the token is not well-formed
    "#]]
    .assert_eq(&trace);
    // A change of any single character is detected.
    for i in 0..signed.len() {
        let mut text = signed.clone().into_bytes();
        text[i] = if text[i] == b'A' { b'B' } else { b'A' };
        let text = String::from_utf8(text).unwrap();
        assert!(keys(&[1]).verify(&text, TitleId(5), 1).is_err(), "{i}");
    }
    let path = keys(&[1]).sign_path(SessionId(77), "v1/3.ts");
    assert_eq!(keys(&[2, 1]).verify_path(SessionId(77), "v1/3.ts", &path), Ok(()));
    assert_eq!(keys(&[1]).verify_path(SessionId(78), "v1/3.ts", &path), Err(TokenError::Path));
    assert_eq!(keys(&[1]).verify_path(SessionId(77), "v2/3.ts", &path), Err(TokenError::Path));
    assert_eq!(keys(&[1]).verify_path(SessionId(77), "v1/3.ts", ""), Err(TokenError::Path));
    assert_eq!(format!("{:?}", keys(&[3])), "Keys[3]");
}

fn location(url: &Url) -> playlist::PlaylistLocation<'_> {
    playlist::PlaylistLocation { url, folder: "/renewal/" }
}

fn session_uri(kind: RequestKind, path: &str) -> String {
    format!("/renewal/T/{kind}/{path}")
}

const MASTER: &str = "#EXTM3U
#EXT-X-VERSION:6
#EXT-X-INDEPENDENT-SEGMENTS
#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"Tunisian, Arabic\",URI=\"audio/index.m3u8\"
#EXT-X-SESSION-KEY:METHOD=AES-128,URI=\"key?k=1\"
#EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS=\"avc1.4d401e,mp4a.40.2\",AUDIO=\"a\"
low/index.m3u8
#EXT-X-STREAM-INF:BANDWIDTH=1600000,AUDIO=\"a\"
# a note between the tag and its URI
mid/index.m3u8?n=4
#EXT-X-OUR-OWN:keep=\"this\"
#EXT-X-STREAM-INF:BANDWIDTH=4000000,AUDIO=\"a\"
http://node:81/renewal/high/index.m3u8
#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000,URI=\"low/iframes.m3u8\"
";

#[test]
fn a_multivariant_playlist_has_the_variants_within_the_rung() {
    let url = Url::parse("http://node:81/renewal/index.m3u8").unwrap();
    let master =
        playlist::rewrite_multivariant(MASTER.as_bytes(), &location(&url), 210.0, &session_uri).unwrap();
    expect![[r##"
        #EXTM3U
        #EXT-X-VERSION:6
        #EXT-X-INDEPENDENT-SEGMENTS
        #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="a",NAME="Tunisian, Arabic",URI="/renewal/T/mx/audio/index.m3u8"
        #EXT-X-SESSION-KEY:METHOD=AES-128,URI="/renewal/T/px/key?k=1"
        #EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS="avc1.4d401e,mp4a.40.2",AUDIO="a"
        /renewal/T/m0/low/index.m3u8
        #EXT-X-STREAM-INF:BANDWIDTH=1600000,AUDIO="a"
        # a note between the tag and its URI
        /renewal/T/m1/mid/index.m3u8?n=4
        #EXT-X-OUR-OWN:keep="this"
        #EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000,URI="/renewal/T/mx/low/iframes.m3u8"
    "##]]
    .assert_eq(&master.text);
    expect![[r#"[Variant { path: "low/index.m3u8", peak_kb_per_s: 100.0 }, Variant { path: "mid/index.m3u8?n=4", peak_kb_per_s: 200.0 }, Variant { path: "high/index.m3u8", peak_kb_per_s: 500.0 }], 1 left out"#]].assert_eq(&format!("{:?}, {} left out", master.variants, master.removed_variants));
    // An independent parser finds the expected variants.
    let m3u8_rs::Playlist::MasterPlaylist(read) =
        m3u8_rs::parse_playlist_res(master.text.as_bytes()).unwrap()
    else {
        panic!("no multivariant playlist");
    };
    let found: Vec<(u64, &str)> = read.variants.iter().map(|v| (v.bandwidth, v.uri.as_str())).collect();
    expect![[r#"[(800000, "/renewal/T/m0/low/index.m3u8"), (1600000, "/renewal/T/m1/mid/index.m3u8?n=4"), (90000, "/renewal/T/mx/low/iframes.m3u8")]"#]].assert_eq(&format!("{found:?}"));
    // If all variants exceed the limit, the lowest one is kept.
    let lowest =
        playlist::rewrite_multivariant(MASTER.as_bytes(), &location(&url), 1.0, &session_uri).unwrap();
    assert_eq!((lowest.removed_variants, lowest.text.matches("STREAM-INF").count()), (2, 1));
}

const MEDIA: &str = "#EXTM3U
#EXT-X-TARGETDURATION:4
#EXT-X-MEDIA-SEQUENCE:100
#EXT-X-SERVER-CONTROL:CAN-BLOCK-RELOAD=YES
#EXT-X-MAP:URI=\"init.mp4\",BYTERANGE=\"600@0\"
#EXT-X-KEY:METHOD=AES-128,URI=\"../key\",IV=0x00
#EXTINF:4,
#EXT-X-BYTERANGE:1000@600
100.m4s
#EXT-X-DISCONTINUITY
#EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00Z
#EXTINF:3.5,a title
/renewal/mid/101.m4s?n=4
#EXT-X-PART:DURATION=1,URI=\"102.1.m4s\"
#EXT-X-PRELOAD-HINT:TYPE=PART,URI=\"102.2.m4s\"
";

#[test]
fn a_media_playlist_keeps_all_but_its_uris_and_low_latency_tags() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8?n=4").unwrap();
    let media = playlist::rewrite_media(MEDIA.as_bytes(), &location(&url), &|path| {
        session_uri(RequestKind::Resource(Some(1)), path)
    })
    .unwrap();
    expect![[r##"
        #EXTM3U
        #EXT-X-TARGETDURATION:4
        #EXT-X-MEDIA-SEQUENCE:100
        #EXT-X-MAP:URI="/renewal/T/p1/mid/init.mp4",BYTERANGE="600@0"
        #EXT-X-KEY:METHOD=AES-128,URI="/renewal/T/p1/key",IV=0x00
        #EXTINF:4,
        #EXT-X-BYTERANGE:1000@600
        /renewal/T/p1/mid/100.m4s
        #EXT-X-DISCONTINUITY
        #EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00Z
        #EXTINF:3.5,a title
        /renewal/T/p1/mid/101.m4s?n=4
    "##]]
    .assert_eq(&media.text);
    assert_eq!((media.target_duration, media.ended, media.segment_count), (4.0, false, 2));
    let m3u8_rs::Playlist::MediaPlaylist(read) = m3u8_rs::parse_playlist_res(media.text.as_bytes()).unwrap()
    else {
        panic!("no media playlist");
    };
    let found: Vec<(&str, f32, bool)> =
        read.segments.iter().map(|s| (s.uri.as_str(), s.duration, s.discontinuity)).collect();
    expect![[r#"[("/renewal/T/p1/mid/100.m4s", 4.0, false), ("/renewal/T/p1/mid/101.m4s?n=4", 3.5, true)]"#]]
        .assert_eq(&format!("{found:?}"));
}

#[test]
fn invalid_playlists_and_uris_outside_of_the_title_are_rejected_with_their_line() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8").unwrap();
    let header = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n";
    let long = format!("{header}#{}\n", "x".repeat(9000));
    let huge = format!("{header}{}", "#EXTINF:4,\n1.ts\n".repeat(80_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("empty", b"".to_vec()),
        ("HTML page", b"<html>".to_vec()),
        ("binary data", b"#EXTM3U\n\xff\xfe".to_vec()),
        ("long line", long.into_bytes()),
        ("too many bytes", huge.into_bytes()),
        ("another host", format!("{header}#EXTINF:4,\nhttp://elsewhere/renewal/1.ts\n").into_bytes()),
        ("another port", format!("{header}#EXTINF:4,\n//node:82/renewal/1.ts\n").into_bytes()),
        ("another title", format!("{header}#EXTINF:4,\n../../theft/1.ts\n").into_bytes()),
        ("another scheme", format!("{header}#EXT-X-KEY:METHOD=AES-128,URI=\"data:x\"\n").into_bytes()),
        ("no duration", format!("{header}1.ts\n").into_bytes()),
        ("no target duration", b"#EXTM3U\n#EXTINF:4,\n1.ts\n".to_vec()),
        ("negative target duration", b"#EXTM3U\n#EXT-X-TARGETDURATION:-1\n".to_vec()),
        ("unterminated quote", format!("{header}#EXT-X-MAP:URI=\"init.mp4\n").into_bytes()),
    ];
    let mut trace = String::new();
    for (case, bytes) in cases {
        let result = match playlist::rewrite_media(&bytes, &location(&url), &|path| path.to_string()) {
            Ok(media) => format!("accepted: {media:?}"),
            Err(error) => error.to_string(),
        };
        trace += &format!("{case}: {result}\n");
    }
    let no_bandwidth = b"#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"x\"\nv.m3u8\n";
    trace += &format!(
        "{}\n",
        playlist::rewrite_multivariant(no_bandwidth, &location(&url), 1.0, &session_uri).unwrap_err()
    );
    trace += &format!(
        "{}\n",
        playlist::rewrite_multivariant(b"#EXTM3U\nv.m3u8\n", &location(&url), 1.0, &session_uri).unwrap_err()
    );
    trace += &format!(
        "{}\n",
        playlist::rewrite_multivariant(b"#EXTM3U\n", &location(&url), 1.0, &session_uri).unwrap_err()
    );
    expect![[r#"
        empty: line 1: missing #EXTM3U
        HTML page: line 1: missing #EXTM3U
        binary data: byte 8: invalid UTF-8
        long line: line 3: length of 9001 bytes exceeds the limit of 8192 bytes
        too many bytes: playlist of 1280032 bytes exceeds the limit of 1048576 bytes
        another host: line 4: "http://elsewhere/renewal/1.ts" is outside of the title's folder at the node
        another port: line 4: "//node:82/renewal/1.ts" is outside of the title's folder at the node
        another title: line 4: "../../theft/1.ts" is outside of the title's folder at the node
        another scheme: line 3: "data:x" is outside of the title's folder at the node
        no duration: line 3: segment without #EXTINF
        no target duration: line 1: missing #EXT-X-TARGETDURATION
        negative target duration: line 2: "-1" is not a valid target duration
        unterminated quote: line 3: unterminated quoted string
        line 2: variant has no valid BANDWIDTH
        line 2: URI without a preceding #EXT-X-STREAM-INF
        multivariant playlist has no variant
    "#]]
    .assert_eq(&trace);
}

#[test]
fn request_kinds_round_trip() {
    for kind in [
        RequestKind::MediaPlaylist(Some(0)),
        RequestKind::MediaPlaylist(None),
        RequestKind::Resource(Some(12)),
        RequestKind::Resource(None),
    ] {
        assert_eq!(RequestKind::parse(&kind.to_string()), Some(kind));
    }
    assert!(
        ["", "m", "q1", "m-1", "p99999999999999999999", "mé"]
            .iter()
            .all(|text| RequestKind::parse(text).is_none())
    );
}

#[test]
fn plain_uris_resolve_as_by_a_join() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8?n=4").unwrap();
    let session_uri = |path: &str| path.to_string();
    for uri in [
        "a.ts",
        "a/b.ts?x=1&y=2",
        "../a.ts",
        "./a.ts",
        "/renewal/x.ts",
        "a b.ts",
        "a//b.ts",
        "?x=1",
        "%2e%2e/a.ts",
        "a:b.ts",
        "é.ts",
    ] {
        let text = format!("#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXTINF:4,\n{uri}\n");
        let joined = url.join(uri).unwrap();
        let expected = joined.path().strip_prefix("/renewal/").map(|path| match joined.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_string(),
        });
        let resolved = playlist::rewrite_media(text.as_bytes(), &location(&url), &session_uri).ok();
        let resolved = resolved.and_then(|media| media.text.lines().last().map(str::to_string));
        assert_eq!(resolved, expected.filter(|_| joined.scheme() == "http"), "{uri}");
    }
}

#[test]
fn mutated_playlists_are_rewritten_or_rejected() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8").unwrap();
    let mut random = oorandom::Rand32::new(4);
    for _ in 0..3000 {
        let mut bytes = if random.rand_u32().is_multiple_of(2) { MASTER } else { MEDIA }.as_bytes().to_vec();
        for _ in 0..random.rand_range(1..6) {
            let at = random.rand_range(0..bytes.len() as u32) as usize;
            match random.rand_range(0..3) {
                0 => bytes[at] = random.rand_u32() as u8,
                1 => drop(bytes.remove(at)),
                _ => bytes.truncate(at.max(8)),
            }
        }
        // All URIs of segments and variants in a rewritten playlist are URIs of the session.
        let has_session_uris_only = |text: &str| {
            text.lines()
                .filter(|l| !l.starts_with('#') && !l.trim().is_empty())
                .all(|l| l.starts_with("/renewal/T/"))
        };
        if let Ok(media) = playlist::rewrite_media(&bytes, &location(&url), &|path| {
            session_uri(RequestKind::Resource(Some(0)), path)
        }) {
            assert!(has_session_uris_only(&media.text), "{}", media.text);
        }
        if let Ok(master) = playlist::rewrite_multivariant(&bytes, &location(&url), 210.0, &session_uri) {
            assert!(has_session_uris_only(&master.text), "{}", master.text);
        }
    }
}

#[test]
fn a_session_from_its_request_over_rung_changes_and_a_lost_node_to_its_idle_end() {
    let variants = |n: u32| -> Vec<Variant> {
        [100.0, 200.0, 500.0]
            .map(|peak_kb_per_s| Variant { path: format!("{peak_kb_per_s}/i.m3u8?n={n}"), peak_kb_per_s })
            .to_vec()
    };
    let mut session = Session::new(at(0.0));
    let mut trace = Vec::new();
    let mut record = |case: &str, result: &dyn std::fmt::Debug| trace.push(format!("{case}: {result:?}"));
    record(
        "request before the engine responds",
        &session.handle_request(RequestKind::MultivariantPlaylist, at(0.0)),
    );
    record("idle deadline before the engine responds", &session.idle_deadline());
    session.started(200.0, at(0.1));
    assert!(session.set_variants(variants(1)));
    record(
        "media playlist within the rung",
        &session.handle_request(RequestKind::MediaPlaylist(Some(1)), at(0.2)),
    );
    record(
        "media playlist above the rung",
        &session.handle_request(RequestKind::MediaPlaylist(Some(2)), at(0.2)),
    );
    record("segment above the rung", &session.handle_request(RequestKind::Resource(Some(2)), at(0.2)));
    record("audio rendition", &session.handle_request(RequestKind::Resource(None), at(0.2)));
    record("unknown variant", &session.handle_request(RequestKind::Resource(Some(9)), at(0.2)));
    session.set_target_duration(4.0);
    session.set_rung_rate(100.0, at(1.0));
    record(
        "lower rung, media playlist of the lower variant",
        &session.handle_request(RequestKind::MediaPlaylist(Some(1)), at(1.1)),
    );
    record(
        "segment of the previous variant in the grace period",
        &session.handle_request(RequestKind::Resource(Some(1)), at(8.9)),
    );
    record(
        "segment of the previous variant after the grace period",
        &session.handle_request(RequestKind::Resource(Some(1)), at(9.1)),
    );
    session.set_rung_rate(500.0, at(10.0));
    record("higher rung", &session.handle_request(RequestKind::MediaPlaylist(Some(2)), at(10.0)));
    record("node lost, reported twice", &(session.node_lost(), session.node_lost()));
    record("segment after the loss", &session.handle_request(RequestKind::Resource(Some(0)), at(10.5)));
    record("requests another node, once", &(session.start_failover(), session.start_failover()));
    session.started(100.0, at(11.0));
    record("same variants at the new node", &session.set_variants(variants(2)));
    record("variant path at the new node", &session.variant_path(0));
    record("other variants at the new node", &session.set_variants(variants(2)[..2].to_vec()));
    session.response_started();
    record("idle deadline while a segment is sent", &session.idle_deadline());
    session.response_finished(at(20.0));
    record("idle deadline in ms", &session.idle_deadline().map(|at| at.as_ms()));
    session.end();
    record("request after the end", &session.handle_request(RequestKind::MediaPlaylist(Some(0)), at(41.0)));
    session.started(100.0, at(42.0));
    record("remains ended", &session.is_ended());
    expect![[r#"
        request before the engine responds: Wait
        idle deadline before the engine responds: None
        media playlist within the rung: Fetch(Some(1))
        media playlist above the rung: Fetch(Some(1))
        segment above the rung: Withdrawn
        audio rendition: Fetch(None)
        unknown variant: Withdrawn
        lower rung, media playlist of the lower variant: Fetch(Some(0))
        segment of the previous variant in the grace period: Fetch(Some(1))
        segment of the previous variant after the grace period: Withdrawn
        higher rung: Fetch(Some(2))
        node lost, reported twice: (true, false)
        segment after the loss: Wait
        requests another node, once: (true, false)
        same variants at the new node: true
        variant path at the new node: Some("100/i.m3u8?n=2")
        other variants at the new node: false
        idle deadline while a segment is sent: None
        idle deadline in ms: Some(40000.0)
        request after the end: Gone(Ended)
        remains ended: true
    "#]]
    .assert_eq(&(trace.join("\n") + "\n"));
}
