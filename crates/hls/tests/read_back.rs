//! Generates playlists from a seed, rewrites them and parses the result with two parsers that share no code
//! with the rewriter: a grammar of RFC 8216 and `m3u8-rs`.

use ashglade_hls::RequestKind;
use ashglade_hls::playlist::{self, PlaylistLocation};
use pest::Parser;
use url::Url;

#[derive(pest_derive::Parser)]
#[grammar = "../tests/rfc8216.pest"]
struct Rfc8216;

fn location(url: &Url) -> PlaylistLocation<'_> {
    PlaylistLocation { url, folder: "/renewal/" }
}

fn session_uri(kind: RequestKind, path: &str) -> String {
    format!("/renewal/T/{kind}/{path}")
}

/// Returns the URIs of variants or segments that the grammar found.
fn uris(pairs: pest::iterators::Pairs<Rule>) -> Vec<String> {
    pairs.flatten().filter(|pair| pair.as_rule() == Rule::uri).map(|pair| pair.as_str().to_string()).collect()
}

#[test]
fn rewritten_media_playlists_are_complete() {
    let url = Url::parse("http://node:81/renewal/mid/index.m3u8").unwrap();
    for seed in 0..400 {
        let mut random = oorandom::Rand32::new(seed);
        let mut chance = |of: u32| random.rand_range(0..of) == 0;
        let mut text = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-TARGETDURATION:6\n".to_string();
        let mut expected = Vec::new();
        let count = seed as usize % 30;
        for n in 0..count {
            if chance(5) {
                text += "#EXT-X-DISCONTINUITY\n";
            }
            if chance(5) {
                text += &format!("#EXT-X-MAP:URI=\"init-{n}.mp4\",BYTERANGE=\"600@{n}\"\n");
            }
            if chance(6) {
                text += &format!("#EXT-X-KEY:METHOD=AES-128,URI=\"key?n={n}\",IV=0x{n:032x}\n");
            }
            if chance(7) {
                text += "# a comment, with \"quotes\" and = signs\n";
            }
            if chance(7) {
                text += "#EXT-X-DATERANGE:ID=\"ad,1\",START-DATE=\"2026-12-01T10:00:00Z\",DURATION=15.0,X-OURS=\"a,b=c\"\n";
            }
            text += &format!("#EXTINF:{}.5,a title\n", n % 6);
            if chance(3) {
                text += &format!("#EXT-X-BYTERANGE:1000@{n}\n");
            }
            if chance(4) {
                text += &format!("#EXT-X-PART:DURATION=1.0,URI=\"part-{n}.m4s\"\n\n");
            }
            let name = match n % 3 {
                0 => format!("{n}.m4s"),
                1 => format!("../mid/{n}.m4s?q={n}"),
                _ => format!("http://node:81/renewal/mid/{n}.m4s"),
            };
            expected.push(match n % 3 {
                1 => session_uri(RequestKind::Resource(Some(1)), &format!("mid/{n}.m4s?q={n}")),
                _ => session_uri(RequestKind::Resource(Some(1)), &format!("mid/{n}.m4s")),
            });
            text += &format!("{name}\n");
        }
        if seed % 2 == 0 {
            text += "#EXT-X-ENDLIST\n";
        }
        if seed % 3 == 0 {
            text = text.replace('\n', "\r\n");
        }
        let media = playlist::rewrite_media(text.as_bytes(), &location(&url), &|path| {
            session_uri(RequestKind::Resource(Some(1)), path)
        })
        .unwrap();
        assert_eq!((media.segment_count, media.ended), (count, seed % 2 == 0), "seed {seed}");
        let parsed = Rfc8216::parse(Rule::media, &media.text).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(uris(parsed), expected, "seed {seed}");
        let parsed =
            m3u8_rs::parse_media_playlist_res(media.text.as_bytes()).expect("a valid media playlist");
        let parsed_uris: Vec<String> = parsed.segments.into_iter().map(|segment| segment.uri).collect();
        assert_eq!(parsed_uris, expected, "seed {seed}");
        // Only URIs and partial segments have changed: the number of tags of each other kind is the same.
        for tag in [
            "#EXT-X-MAP",
            "#EXT-X-KEY",
            "#EXT-X-DATERANGE",
            "#EXT-X-DISCONTINUITY",
            "# a comment",
            "#EXT-X-BYTERANGE",
        ] {
            assert_eq!(media.text.matches(tag).count(), text.matches(tag).count(), "seed {seed}: {tag}");
        }
    }
}

#[test]
fn rewritten_multivariant_playlists_have_the_variants_within_any_rung() {
    let url = Url::parse("http://node:81/renewal/index.m3u8").unwrap();
    for seed in 0..400u64 {
        let mut random = oorandom::Rand32::new(seed);
        let mut text = "#EXTM3U\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"one, two\",DEFAULT=YES,URI=\"a/i.m3u8\"\n".to_string();
        let rates: Vec<u32> = (0..=seed % 7).map(|_| random.rand_range(1..500) * 8000).collect();
        for (n, rate) in rates.iter().enumerate() {
            text += &format!(
                "#EXT-X-STREAM-INF:BANDWIDTH={rate},RESOLUTION=640x360,CODECS=\"avc1,mp4a\",AUDIO=\"a\"\nv{n}/i.m3u8\n"
            );
        }
        let max_rate = f64::from(random.rand_range(1..500));
        let master =
            playlist::rewrite_multivariant(text.as_bytes(), &location(&url), max_rate, &session_uri).unwrap();
        let within: Vec<usize> =
            (0..rates.len()).filter(|&n| f64::from(rates[n]) / 8e3 <= max_rate).collect();
        let lowest = (0..rates.len()).min_by_key(|&n| rates[n]).unwrap();
        let offered = if within.is_empty() { vec![lowest] } else { within };
        let expected: Vec<String> = offered
            .iter()
            .map(|&n| session_uri(RequestKind::MediaPlaylist(Some(n)), &format!("v{n}/i.m3u8")))
            .collect();
        let parsed =
            Rfc8216::parse(Rule::master, &master.text).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(uris(parsed), expected, "seed {seed}");
        let parsed = m3u8_rs::parse_master_playlist_res(master.text.as_bytes())
            .expect("a valid multivariant playlist");
        let parsed_uris: Vec<String> = parsed.variants.into_iter().map(|variant| variant.uri).collect();
        assert_eq!(parsed_uris, expected, "seed {seed}");
        assert_eq!(parsed.alternatives[0].uri.as_deref(), Some("/renewal/T/mx/a/i.m3u8"));
    }
}
