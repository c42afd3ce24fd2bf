use expect_test::expect;

use super::*;

const VALID_SETTINGS: &str = r#"zone: "a" zone: "b"
model { name: "small" places: 24 }
rung { kb_per_s: 100 utility: 0.3 }
rung { kb_per_s: 200 utility: 1 }
group {
  name: "lesson" start_target_ms: 1000
  setup_timeout_ms: 4000 # as agreed
  utility: 2 care: SAFE
}
title { name: "renewal" home: 0 copies: 2 }
links { unit_kb_per_s: 160 cells: 3 racks: 1 }
limits { setups_per_session: 3 answer_margin_ms: 200 most_sessions: 100 }
cold { from: 0.4 warm_after_ms: 4000 fall_multiple: 3 fall_span_ms: 2000 }
reports { probe_timeout_ms: 250 notice_ms: 1000 }
director { number: 0 directors: 2 zone: "b" seed: 1 }
front {
  listen: "127.0.0.1:8554" default_group: "lesson" most_connections: 10
  session_timeout_s: 60 write_timeout_ms: 5000 connect_timeout_ms: 250 answer_timeout_ms: 2000
  idle_connections: 4 keep_alive_ms: 2000 drain_ms: 3000 list_poll_ms: 100
}
box_list: "boxes.txtpb"
"#;

#[test]
fn settings_are_converted_to_the_policy_configuration() {
    let parsed = parse_settings("h.txtpb", VALID_SETTINGS).unwrap();
    let config = &parsed.director_config;
    let text = format!(
        "director {} of {} in zone {}; {:?}; {} holds cells {}+{}; margin {} ms",
        config.director_index,
        config.director_count,
        config.zone.0,
        config.ladder,
        parsed.titles.keys().next().unwrap(),
        parsed.titles["renewal"].first_cell.0,
        parsed.titles["renewal"].cell_count,
        parsed.answer_margin.as_ms()
    );
    expect![
        "director 0 of 2 in zone 1; [(100.0, 0.3), (200.0, 1.0)]; renewal holds cells 0+2; margin 200 ms"
    ]
    .assert_eq(&text);
}

#[test]
fn settings_errors_name_file_line_and_field() {
    let cases = [
        ("places: 24", "places: 0"),
        ("places: 24", "places: many"),
        ("places: 24", "place: 24"),
        ("kb_per_s: 200", "kb_per_s: 50"),
        ("setup_timeout_ms: 4000", "setup_timeout_ms: 900"),
        ("setup_timeout_ms: 4000", ""),
        ("care: SAFE", ""),
        ("care: SAFE", "care: DEDUP"),
        ("utility: 2", "utility: nan"),
        ("home: 0", "home: 3"),
        ("\"renewal\"", "\"a/b\""),
        ("zone: \"b\" seed", "zone: \"c\" seed"),
        ("answer_margin_ms: 200", "answer_margin_ms: 2100"),
        ("number: 0", "number: 2"),
        ("\"127.0.0.1:8554\"", "\"here\""),
        ("front {", "front { { "),
        ("box_list: \"boxes.txtpb\"", ""),
        ("zone: \"a\" zone: \"b\"", "zone: \"b\" zone: \"b\""),
    ];
    let mut messages = String::new();
    for (from, to) in cases {
        let text = VALID_SETTINGS.replacen(from, to, 1);
        assert_ne!(text, VALID_SETTINGS, "the settings contain no {from}");
        messages += &match parse_settings("h.txtpb", &text) {
            Ok(_) => format!("{to} was accepted\n"),
            Err(error) => format!("{error}\n"),
        };
    }
    expect![[r#"
        h.txtpb:2: model[0].places: is 0; expected 1 to 1000000
        h.txtpb:2: expected an integer, but found 'many'
        h.txtpb:2: field 'place' not found for message 'ashglade.headend.Model'
        h.txtpb:4: rung[1].kb_per_s: rates of the ladder must increase from rung to rung, and utilities must not decrease
        h.txtpb:7: group[0].setup_timeout_ms: is 900; expected 1000 to 86400000
        h.txtpb:5: group[0].setup_timeout_ms: is missing
        h.txtpb:5: group[0].care: is missing; expected SAFE, DEDUP or FRAGILE
        h.txtpb:5: group[0].repeat_window_ms: is missing
        h.txtpb:8: group[0].utility: is NaN; expected 0.000001 to 1000000
        h.txtpb:10: title[0].home: is 3; expected 0 to 2
        h.txtpb:10: title[0].name: must be a URL path segment without '/', '?', '#', '%' or spaces
        h.txtpb:15: director.zone: is "c"; expected one of: a, b
        h.txtpb:7: group[0].setup_timeout_ms: must be at least twice limits.answer_margin_ms; otherwise no request can be answered in time
        h.txtpb:15: director.number: is 2; expected 0 to 1
        h.txtpb:17: front.listen: "here" is not an address and port such as 127.0.0.1:8554
        h.txtpb:16: expected '}' or a field name, but found '{'
        h.txtpb:1: box_list: is missing
        h.txtpb:1: zone[1]: "b" is listed twice
    "#]].assert_eq(&messages);
}

#[test]
fn admission_shares_and_limits_are_validated() {
    let door = "door { most_waiting: 50 first: 8 least: 2 most: 100 tenant_query: \"t\" tenant { name: \"x\" share: 2 } }\n";
    let valid_settings = VALID_SETTINGS.replace("front {", &format!("{door}front {{"));
    assert_eq!(parse_settings("h.txtpb", &valid_settings).unwrap().admission.unwrap().tenants.len(), 2);
    let mut messages = String::new();
    for (from, to) in
        [("utility: 2 ", "utility: 2 share: 0 "), ("share: 2", "share: 0"), ("least: 2", "least: 9")]
    {
        messages += &parse_settings("h.txtpb", &valid_settings.replacen(from, to, 1))
            .map_or_else(|e| format!("{e}\n"), |_| "accepted\n".into());
    }
    expect![[r#"
        h.txtpb:8: group[0].share: is 0; expected 0.001 to 1000000
        h.txtpb:16: door.tenant[0].share: is 0; expected 0.001 to 1000000
        h.txtpb:16: door.first: is 8; expected 9 to 1000000
    "#]]
    .assert_eq(&messages);
}

#[test]
fn hls_settings_are_validated_and_require_http_addresses_of_nodes() {
    let hls = "hls { listen: \"127.0.0.1:8080\" most_connections: 9 token_life_s: 60 key { id: 1 secret: \"0123456789abcdef\" } }\n";
    let valid_settings = VALID_SETTINGS.replace("front {", &format!("{hls}front {{"));
    let parsed = parse_settings("h.txtpb", &valid_settings).unwrap();
    assert_eq!(format!("{:?}", parsed.hls.unwrap()), "Hls(127.0.0.1:8080, 1 keys)");
    let mut messages = String::new();
    for (from, to) in [
        ("127.0.0.1:8080", "8080"),
        ("id: 1", "id: 300"),
        ("0123456789abcdef", "short"),
        ("} }\nfront", "} key { id: 1 secret: \"0123456789abcdef\" } }\nfront"),
        ("key { id: 1 secret: \"0123456789abcdef\" }", ""),
    ] {
        let text = valid_settings.replacen(from, to, 1);
        assert_ne!(text, valid_settings, "{from}");
        messages +=
            &parse_settings("h.txtpb", &text).map_or_else(|e| format!("{e}\n"), |_| "accepted\n".into());
    }
    let node_list_with = |extra_fields: &str| {
        format!(
            "generation: 1\nbox {{ name: \"n\" address: \"127.0.0.1:1\" zone: \"a\" model: \"small\" cell: 1 weight: 1 {extra_fields}}}"
        )
    };
    messages += &format!("{}\n", parse_node_list("b.txtpb", &node_list_with(""), &parsed.names).unwrap_err());
    messages += &format!(
        "{}\n",
        parse_node_list("b.txtpb", &node_list_with("http: \"x\""), &parsed.names).unwrap_err()
    );
    let list = parse_node_list("b.txtpb", &node_list_with("http: \"127.0.0.1:2\" "), &parsed.names).unwrap();
    assert_eq!(
        parse_node_list("b.txtpb", &format_node_list(&list, &parsed.names), &parsed.names).unwrap(),
        list
    );
    expect![[r#"
        h.txtpb:16: hls.listen: "8080" is not an address and port such as 127.0.0.1:8080
        h.txtpb:16: hls.key[0].id: is 300; expected 0 to 255
        h.txtpb:16: hls.key[0].secret: has 5 characters; at least 16 are required
        h.txtpb:16: hls.key[1].id: 1 is listed twice
        h.txtpb:16: hls.key: is missing; at least one is required
        b.txtpb:2: box[0].http: is missing; the settings contain `hls`, which requires it
        b.txtpb:2: box[0].http: "x" is not an address and port such as 127.0.0.1:8080
    "#]]
    .assert_eq(&messages);
}

#[test]
fn peer_settings_list_each_director_once() {
    let talk =
        "talk { peer: \"127.0.0.1:1\" peer: \"127.0.0.1:2\" secret: \"0123456789abcdef\" lease_ms: 3000 }\n";
    let valid_settings = VALID_SETTINGS.replace("front {", &format!("{talk}front {{"));
    assert_eq!(
        format!("{:?}", parse_settings("h.txtpb", &valid_settings).unwrap().peering.unwrap()),
        "Talk([127.0.0.1:1, 127.0.0.1:2])"
    );
    let mut messages = String::new();
    for (from, to) in [
        ("peer: \"127.0.0.1:2\"", ""),
        ("127.0.0.1:2", "127.0.0.1:1"),
        ("127.0.0.1:2", "two"),
        ("0123456789abcdef", "0123"),
        ("lease_ms: 3000", "lease_ms: 10"),
        ("lease_ms: 3000", "lease_ms: 3000 drift: 0.9"),
    ] {
        messages += &parse_settings("h.txtpb", &valid_settings.replacen(from, to, 1))
            .map_or_else(|e| format!("{e}\n"), |_| "accepted\n".into());
    }
    expect![[r#"
        h.txtpb:16: talk.peer: has 1 entries for 2 directors
        h.txtpb:16: talk.peer[1]: "127.0.0.1:1" is listed twice
        h.txtpb:16: talk.peer[1]: "two" is not an address and port such as 127.0.0.1:7000
        h.txtpb:16: talk.secret: has 4 characters; at least 16 are required
        h.txtpb:16: talk.lease_ms: is 10; expected 500 to 86400000
        h.txtpb:16: talk.drift: is 0.9; expected 0 to 0.5
    "#]]
    .assert_eq(&messages);
}

#[test]
fn sharing_errors_name_line_and_field() {
    let talk = "talk { peer: \"127.0.0.1:1\" peer: \"127.0.0.1:2\" secret: \"0123456789abcdef\" lease_ms: 3000\n\
                peer_zone: \"a\" peer_zone: \"b\"\n\
                share { repeats { at_node: 10 span_ms: 2000 kept: 1 } } }\n";
    let valid_settings = VALID_SETTINGS.replace("front {", &format!("{talk}front {{"));
    let parsed = parse_settings("h.txtpb", &valid_settings).map(|settings| {
        settings.peering.and_then(|peering| Some((peering.zones, peering.max_voters, peering.sharing?)))
    });
    let mut messages = format!("{parsed:?}\n");
    for (from, to) in [
        ("peer_zone: \"b\"", ""),
        ("peer_zone: \"b\"", "peer_zone: \"x\""),
        ("lease_ms: 3000", "lease_ms: 3000 council: 0"),
        ("share {", "share { fade_ms: 10"),
        ("share {", "share { gossip_ms: 1"),
        ("share {", "share { bytes_per_s: 10"),
        ("at_node: 10", "at_node: 0"),
        ("at_node: 10 span_ms: 2000", "at_node: 10 span_ms: 1"),
        ("kept: 1", "kept: 6"),
        ("kept: 1", "kept: one"),
    ] {
        messages += &parse_settings("h.txtpb", &valid_settings.replacen(from, to, 1))
            .map_or_else(|e| format!("{e}\n"), |_| "accepted\n".into());
    }
    expect![[r#"
        Ok(Some(([0, 1], 9, SharingSettings { report_ttl: 10s, gossip_interval: 200ms, max_bytes_per_second: 65536.0, retry_limit: Some(RetryLimit { max_per_node: 10, reserved_per_director: 1, window: Span(2000000) }), status_path: None })))
        h.txtpb:17: talk.peer_zone: has 1 entries for 2 directors
        h.txtpb:17: talk.peer_zone[1]: is "x"; expected one of: a, b
        h.txtpb:16: talk.council: is 0; expected 1 to 99
        h.txtpb:18: talk.share.fade_ms: is 10; expected 1000 to 600000
        h.txtpb:18: talk.share.gossip_ms: is 1; expected 20 to 60000
        h.txtpb:18: talk.share.bytes_per_s: is 10; expected 4096 to 1000000000
        h.txtpb:18: talk.share.repeats.at_node: is 0; expected 1 to 10000
        h.txtpb:18: talk.share.repeats.span_ms: is 1; expected 100 to 86400000
        h.txtpb:18: talk.share.repeats.kept: 6 for each of 2 directors exceeds at_node, which is 10
        h.txtpb:18: expected an integer, but found 'one'
    "#]].assert_eq(&messages);
}

#[test]
fn node_lists_round_trip_and_errors_name_the_field() {
    let names = parse_settings("h.txtpb", VALID_SETTINGS).unwrap().names;
    let text = r#"generation: 4
box { name: "n1" address: "127.0.0.1:9001" zone: "a" model: "small" cell: 1 weight: 2.5 started_ms: 77 }
box { name: "n2" address: "[::1]:9002" zone: "b" model: "small" cell: 2 weight: 1 standing: DRAINING }
"#;
    let list = parse_node_list("b.txtpb", text, &names).unwrap();
    assert_eq!(parse_node_list("b.txtpb", &format_node_list(&list, &names), &names).unwrap(), list);
    let mut messages = String::new();
    for (from, to) in [
        ("generation: 4", ""),
        ("cell: 2", "cell: 3"),
        ("model: \"small\" cell: 2", "model: \"big\" cell: 2"),
        ("127.0.0.1:9001", "node-1"),
        ("weight: 1 ", "weight: -1 "),
        ("standing: DRAINING", "standing: AWAY"),
        ("standing: DRAINING }", ""),
    ] {
        messages +=
            &format!("{}\n", parse_node_list("b.txtpb", &text.replacen(from, to, 1), &names).unwrap_err());
    }
    expect![[r#"
        b.txtpb:1: generation: is missing
        b.txtpb:3: box[1].cell: is 3; expected 0 to 2
        b.txtpb:3: box[1].model: is "big"; expected one of: small
        b.txtpb:2: box[0].address: "node-1" is not an address and port such as 127.0.0.1:8554
        b.txtpb:3: box[1].weight: is -1; expected 0.000001 to 1000000000
        b.txtpb:3: value 'AWAY' was not found for enum 'ashglade.boxes.Standing'
        b.txtpb:4: expected '}' or a field name, but reached end of input
    "#]]
    .assert_eq(&messages);
}
