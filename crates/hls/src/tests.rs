use ashglade::ids::{GroupId, SessionId, TitleId};
use ashglade::time::Instant;
use expect_test::expect;
use url::Url;

use super::*;

fn keys(ids: &[u8]) -> Keys {
    Keys::new(ids.iter().map(|&id| Key { id, secret: vec![id; 20] }).collect()).unwrap()
}

fn at(secs: f64) -> Instant {
    Instant::from_ms(secs * 1e3)
}

const TOKEN: Token = Token { sess: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 };

#[test]
fn a_token_holds_for_its_session_its_title_and_its_time() {
    let signed = keys(&[1]).sign(&TOKEN);
    let mut told = String::new();
    let mut tell = |name: &str, keys: &Keys, text: &str, title: u64, now: u64| {
        let verdict = match keys.verify(text, TitleId(title), now) {
            Ok(token) => format!("{token:?}"),
            Err(forged) => forged.to_string(),
        };
        told += &format!("{name}: {verdict}\n");
    };
    tell("as signed", &keys(&[1]), &signed, 5, 999);
    tell("expired", &keys(&[1]), &signed, 5, 1000);
    tell("another title", &keys(&[1]), &signed, 6, 1);
    tell("a new key before the old", &keys(&[2, 1]), &signed, 5, 1);
    tell("the old key is gone", &keys(&[2]), &signed, 5, 1);
    tell("cut", &keys(&[1]), &signed[..signed.len() - 2], 5, 1);
    tell("nothing", &keys(&[1]), "", 5, 1);
    expect![[r#"
        as signed: Token { sess: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 }
        expired: the token has expired
        another title: the token is for another title
        a new key before the old: Token { sess: SessionId(77), title: TitleId(5), group: GroupId(2), expires: 1000 }
        the old key is gone: the token was not signed here
        cut: the token is not well-formed
        nothing: the token is not well-formed
    "#]]
    .assert_eq(&told);
    // Any one character changed is told, or was no part of what is signed.
    for i in 0..signed.len() {
        let mut text = signed.clone().into_bytes();
        text[i] = if text[i] == b'A' { b'B' } else { b'A' };
        let text = String::from_utf8(text).unwrap();
        assert!(keys(&[1]).verify(&text, TitleId(5), 1).is_err(), "{i}");
    }
    let path = keys(&[1]).sign_path(SessionId(77), "v1/3.ts");
    assert_eq!(keys(&[2, 1]).verify_path(SessionId(77), "v1/3.ts", &path), Ok(()));
    assert_eq!(keys(&[1]).verify_path(SessionId(78), "v1/3.ts", &path), Err(Forged::Path));
    assert_eq!(keys(&[1]).verify_path(SessionId(77), "v2/3.ts", &path), Err(Forged::Path));
    assert_eq!(keys(&[1]).verify_path(SessionId(77), "v1/3.ts", ""), Err(Forged::Path));
    assert_eq!(format!("{:?}", keys(&[3])), "Keys[3]");
}

fn place(url: &Url) -> playlist::Place<'_> {
    playlist::Place { url, folder: "/renewal/" }
}

fn give(ask: Ask, path: &str) -> String {
    format!("/renewal/T/{ask}/{path}")
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
fn a_multivariant_playlist_offers_what_the_rung_allows() {
    let url = Url::parse("http://node:81/renewal/index.m3u8").unwrap();
    let master = playlist::master(MASTER.as_bytes(), &place(&url), 210.0, &give).unwrap();
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
    expect![[r#"[Variant { path: "low/index.m3u8", rate: 100.0 }, Variant { path: "mid/index.m3u8?n=4", rate: 200.0 }, Variant { path: "high/index.m3u8", rate: 500.0 }], 1 left out"#]].assert_eq(&format!("{:?}, {} left out", master.variants, master.left_out));
    // Another reader finds in it what it should.
    let m3u8_rs::Playlist::MasterPlaylist(read) =
        m3u8_rs::parse_playlist_res(master.text.as_bytes()).unwrap()
    else {
        panic!("no multivariant playlist");
    };
    let found: Vec<(u64, &str)> = read.variants.iter().map(|v| (v.bandwidth, v.uri.as_str())).collect();
    expect![[r#"[(800000, "/renewal/T/m0/low/index.m3u8"), (1600000, "/renewal/T/m1/mid/index.m3u8?n=4"), (90000, "/renewal/T/mx/low/iframes.m3u8")]"#]].assert_eq(&format!("{found:?}"));
    // Below the lowest, the lowest.
    let lowest = playlist::master(MASTER.as_bytes(), &place(&url), 1.0, &give).unwrap();
    assert_eq!((lowest.left_out, lowest.text.matches("STREAM-INF").count()), (2, 1));
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
fn a_media_playlist_keeps_all_but_its_uris_and_low_latency_parts() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8?n=4").unwrap();
    let media =
        playlist::media(MEDIA.as_bytes(), &place(&url), &|path| give(Ask::Part(Some(1)), path)).unwrap();
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
    assert_eq!((media.target, media.ended, media.segments), (4.0, false, 2));
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
fn what_is_no_playlist_or_leads_away_is_refused_by_line() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8").unwrap();
    let head = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n";
    let long = format!("{head}#{}\n", "x".repeat(9000));
    let huge = format!("{head}{}", "#EXTINF:4,\n1.ts\n".repeat(80_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("empty", b"".to_vec()),
        ("a page", b"<html>".to_vec()),
        ("not text", b"#EXTM3U\n\xff\xfe".to_vec()),
        ("a long line", long.into_bytes()),
        ("too much", huge.into_bytes()),
        ("another host", format!("{head}#EXTINF:4,\nhttp://elsewhere/renewal/1.ts\n").into_bytes()),
        ("another port", format!("{head}#EXTINF:4,\n//node:82/renewal/1.ts\n").into_bytes()),
        ("another title", format!("{head}#EXTINF:4,\n../../theft/1.ts\n").into_bytes()),
        ("another scheme", format!("{head}#EXT-X-KEY:METHOD=AES-128,URI=\"data:x\"\n").into_bytes()),
        ("no length", format!("{head}1.ts\n").into_bytes()),
        ("no target", b"#EXTM3U\n#EXTINF:4,\n1.ts\n".to_vec()),
        ("a target of none", b"#EXTM3U\n#EXT-X-TARGETDURATION:-1\n".to_vec()),
        ("an open quote", format!("{head}#EXT-X-MAP:URI=\"init.mp4\n").into_bytes()),
    ];
    let mut told = String::new();
    for (name, bytes) in cases {
        let verdict = match playlist::media(&bytes, &place(&url), &|path| path.to_string()) {
            Ok(media) => format!("taken: {media:?}"),
            Err(trouble) => trouble.to_string(),
        };
        told += &format!("{name}: {verdict}\n");
    }
    let bare = b"#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"x\"\nv.m3u8\n";
    told += &format!("{}\n", playlist::master(bare, &place(&url), 1.0, &give).unwrap_err());
    told += &format!("{}\n", playlist::master(b"#EXTM3U\nv.m3u8\n", &place(&url), 1.0, &give).unwrap_err());
    told += &format!("{}\n", playlist::master(b"#EXTM3U\n", &place(&url), 1.0, &give).unwrap_err());
    expect![[r#"
        empty: line 1: #EXTM3U is wanted
        a page: line 1: #EXTM3U is wanted
        not text: byte 8: no UTF-8
        a long line: line 3: 9001 bytes long; 8192 is the most
        too much: the playlist has 1280032 bytes; 1048576 is the most
        another host: line 4: "http://elsewhere/renewal/1.ts" leaves its title at its node
        another port: line 4: "//node:82/renewal/1.ts" leaves its title at its node
        another title: line 4: "../../theft/1.ts" leaves its title at its node
        another scheme: line 3: "data:x" leaves its title at its node
        no length: line 3: a segment without #EXTINF
        no target: line 1: no #EXT-X-TARGETDURATION follows
        a target of none: line 2: "-1" is no target duration
        an open quote: line 3: a quote that doesn't end
        line 2: a variant without a BANDWIDTH
        line 2: a URI that no #EXT-X-STREAM-INF goes before
        no variant is within the rung
    "#]]
    .assert_eq(&told);
}

#[test]
fn what_a_request_is_for_reads_back_as_written() {
    for ask in [Ask::Media(Some(0)), Ask::Media(None), Ask::Part(Some(12)), Ask::Part(None)] {
        assert_eq!(Ask::read(&ask.to_string()), Some(ask));
    }
    assert!(
        ["", "m", "q1", "m-1", "p99999999999999999999", "mé"].iter().all(|text| Ask::read(text).is_none())
    );
}

#[test]
fn a_plain_name_means_what_joining_it_means() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8?n=4").unwrap();
    let give = |path: &str| path.to_string();
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
        let wanted = joined.path().strip_prefix("/renewal/").map(|path| match joined.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_string(),
        });
        let got = playlist::media(text.as_bytes(), &place(&url), &give).ok();
        let got = got.and_then(|media| media.text.lines().last().map(str::to_string));
        assert_eq!(got, wanted.filter(|_| joined.scheme() == "http"), "{uri}");
    }
}

#[test]
fn any_bytes_are_read_or_refused() {
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
        // No URI that is given leads anywhere but to the session's own paths.
        let own = |text: &str| {
            text.lines()
                .filter(|l| !l.starts_with('#') && !l.trim().is_empty())
                .all(|l| l.starts_with("/renewal/T/"))
        };
        if let Ok(media) = playlist::media(&bytes, &place(&url), &|path| give(Ask::Part(Some(0)), path)) {
            assert!(own(&media.text), "{}", media.text);
        }
        if let Ok(master) = playlist::master(&bytes, &place(&url), 210.0, &give) {
            assert!(own(&master.text), "{}", master.text);
        }
    }
}

#[test]
fn a_session_from_its_request_over_a_drop_and_a_lost_node_to_its_quiet_end() {
    let variants = |n: u32| -> Vec<Variant> {
        [100.0, 200.0, 500.0].map(|rate| Variant { path: format!("{rate}/i.m3u8?n={n}"), rate }).to_vec()
    };
    let mut session = Session::new(at(0.0));
    let mut told = Vec::new();
    let mut tell = |what: &str, step: &dyn std::fmt::Debug| told.push(format!("{what}: {step:?}"));
    tell("asked before the answer", &session.asked(Ask::Master, at(0.0)));
    tell("quiet while asking", &session.quiet_at());
    session.plays(200.0, at(0.1));
    assert!(session.has(variants(1)));
    tell("its playlist", &session.asked(Ask::Media(Some(1)), at(0.2)));
    tell("one above the rung", &session.asked(Ask::Media(Some(2)), at(0.2)));
    tell("a segment above the rung", &session.asked(Ask::Part(Some(2)), at(0.2)));
    tell("audio", &session.asked(Ask::Part(None), at(0.2)));
    tell("a variant that there is not", &session.asked(Ask::Part(Some(9)), at(0.2)));
    session.target(4.0);
    session.rung(100.0, at(1.0));
    tell("a drop: its playlist is the lower one's", &session.asked(Ask::Media(Some(1)), at(1.1)));
    tell("segments of the old playlist for a while", &session.asked(Ask::Part(Some(1)), at(8.9)));
    tell("and not for ever", &session.asked(Ask::Part(Some(1)), at(9.1)));
    session.rung(500.0, at(10.0));
    tell("a climb", &session.asked(Ask::Media(Some(2)), at(10.0)));
    tell("lost, and lost again", &(session.lost(), session.lost()));
    tell("a segment then", &session.asked(Ask::Part(Some(0)), at(10.5)));
    tell("asks for another node, once", &(session.seeks(), session.seeks()));
    session.plays(100.0, at(11.0));
    tell("the same there", &session.has(variants(2)));
    tell("its path there", &session.path(0));
    tell("something else there", &session.has(variants(2)[..2].to_vec()));
    session.begins();
    tell("quiet while a segment is on its way", &session.quiet_at());
    session.done(at(20.0));
    tell("quiet", &session.quiet_at().map(|at| at.as_ms()));
    session.over();
    tell("after its end", &session.asked(Ask::Media(Some(0)), at(41.0)));
    session.plays(100.0, at(42.0));
    tell("and it stays over", &session.is_over());
    expect![[r#"
        asked before the answer: Wait
        quiet while asking: None
        its playlist: Fetch(Some(1))
        one above the rung: Fetch(Some(1))
        a segment above the rung: Withdrawn
        audio: Fetch(None)
        a variant that there is not: Withdrawn
        a drop: its playlist is the lower one's: Fetch(Some(0))
        segments of the old playlist for a while: Fetch(Some(1))
        and not for ever: Withdrawn
        a climb: Fetch(Some(2))
        lost, and lost again: (true, false)
        a segment then: Wait
        asks for another node, once: (true, false)
        the same there: true
        its path there: Some("100/i.m3u8?n=2")
        something else there: false
        quiet while a segment is on its way: None
        quiet: Some(40000.0)
        after its end: Gone(Over)
        and it stays over: true
    "#]]
    .assert_eq(&(told.join("\n") + "\n"));
}
