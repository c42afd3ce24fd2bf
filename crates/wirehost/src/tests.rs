//! Tests on hand-written frames: the replies byte for byte, and the errors on malformed input.

use ashglade::ids::{NodeId, SessionId};
use ashglade::interface::DecisionSink;
use expect_test::{Expect, expect};

const SETTINGS: &str = r#"{"balancers": 1, "myZone": 0, "unheard": [1, {"of": 2}],
    "familyInfo": {"ladderKb": [100, 200], "levelWorth": [0.5, 1], "linkUnitKb": 1000, "positions": 3,
        "kindStreams": [20]},
    "limits": {"mostTries": 2, "retryAfter": true, "maxRetryAfter": 1000},
    "rules": {"fall": 2000, "fallMultiple": 2, "startCapacity": 0.5, "warmAfter": 10000},
    "services": [{"aim": 800, "credit": 1, "effect": "retryable"}]}"#;

const NODE: &[u8] = &[10, 1, 2, 3, 80, 0];

fn frame(index: u32, records: &[Vec<u8>]) -> Vec<u8> {
    frame_at(5000.0, index, records)
}

fn frame_at(clock_ms: f64, index: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let clock = clock_ms.to_le_bytes();
    let [length, count] = [20 + body.len(), records.len()].map(|n| (n as u32).to_le_bytes());
    [&index.to_le_bytes()[..], &clock, &length, &count, &body].concat()
}

/// A record that selects the instance for the records after it.
fn select(instance: u16) -> Vec<u8> {
    [&[8][..], &instance.to_le_bytes()].concat()
}

/// A record that starts the selected instance.
fn open_instance(settings: &str) -> Vec<u8> {
    [&[5][..], &9u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()].concat()
}

/// A declaration of node list 0, with [`NODE`] in cell 0 as its only entry.
fn node_list(health: u8) -> Vec<u8> {
    let rest = [&[0, 0, 0, 0, health][..], &1.0f32.to_le_bytes(), &0.0f64.to_le_bytes()].concat();
    [&[14, 0][..], &1u32.to_le_bytes(), NODE, &rest].concat()
}

/// An event that refers to node list 0.
fn node_list_event(kind: u8) -> Vec<u8> {
    [&[2][..], &1u64.to_le_bytes(), &[0, kind]].concat()
}

fn session_request(session: u64) -> Vec<u8> {
    let (top_rung, first_cell, cell_count) =
        (1.0f32.to_le_bytes(), 0.0f32.to_le_bytes(), 3.0f32.to_le_bytes());
    let head =
        [&[11][..], &session.to_le_bytes(), &3000.0f64.to_le_bytes(), &[0], &top_rung, &first_cell].concat();
    [&head[..], &[0; 8], &7u64.to_le_bytes(), &[0], &[0; 4], &5u64.to_le_bytes(), &cell_count].concat()
}

/// Processes the input and returns the replies in hexadecimal, one per line, then the error, if any.
fn replies(input: &[u8]) -> String {
    replies_with_gossip(input, false)
}

fn replies_with_gossip(input: &[u8], gossip_enabled: bool) -> String {
    let mut output = Vec::new();
    let result = crate::serve(&mut &input[..], &mut output, gossip_enabled);
    let mut text = String::new();
    let mut rest = &output[..];
    while let Some(length) =
        rest.get(4..8).map(|field| u32::from_le_bytes([field[0], field[1], field[2], field[3]]) as usize)
    {
        text.extend(rest[..length].iter().map(|byte| format!("{byte:02x}")));
        text.push('\n');
        rest = &rest[length..];
    }
    match result {
        Ok(()) => text,
        Err(error) => format!("{text}{error}\n"),
    }
}

fn check(input: &[Vec<u8>], expected: Expect) {
    expected.assert_eq(&replies(&input.concat()));
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    check(
        &[frame(1, &[])],
        expect![[r#"
        0100000008000000
    "#]],
    );
}

#[test]
fn instances_in_one_batch_send_their_own_setups() {
    let start = |instance| vec![select(instance), open_instance(SETTINGS), node_list(0), node_list_event(0)];
    let both =
        [start(3), start(5), vec![select(3), session_request(77), select(5), session_request(78)]].concat();
    check(
        &[frame(2, &both)],
        expect![[r#"
            020000006a0000004f0300450000000000000000000079404d4d0000000000000001414d000000000000000a0102035000000000000018b5404f0500450000000000000000000079404d4e0000000000000001414e000000000000000a0102035000000000000018b540
        "#]],
    );
}

#[test]
fn an_event_uses_the_node_list_as_declared_before_it_and_an_instance_can_restart() {
    let opened = vec![
        select(0),
        open_instance(SETTINGS),
        node_list(0),
        node_list_event(0),
        node_list(1),
        node_list_event(3),
        session_request(1),
    ];
    let again = vec![
        select(0),
        vec![3],
        open_instance(SETTINGS),
        node_list(0),
        node_list_event(0),
        session_request(2),
    ];
    check(
        &[frame(1, &opened), frame(2, &again)],
        expect![[r#"
            01000000290000004f0000450000000000000000000079404201000000000000000000000000407f40
            02000000390000004f0000450000000000000000000079404d0200000000000000014102000000000000000a0102035000000000000018b540
        "#]],
    );
}

#[test]
fn actions_without_a_decision_that_uses_them_are_encoded() {
    let mut actions = crate::host::ActionWriter::default();
    actions.watch_node_list(false);
    actions.fetch_node_list();
    actions.reconnect_viewer(SessionId(77));
    actions.close_idle_connections(NodeId(0x50_0302_010a));
    actions.send_message(Some(2), b"hi");
    actions.send_message(None, &[7; 300]);
    actions.log("two");
    actions.director_failed("x");
    let encoded: String = actions.reply.bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    expect![
        "4f00004b004c4e4d00000000000000470a01020350004802000200686948ffff0001(256 x 07)49030074776f4a010078"
    ]
    .assert_eq(&encoded.replace(&"07".repeat(256), "(256 x 07)"));
}

#[test]
fn errors_on_malformed_input_have_its_byte_offset() {
    let mut partial_header = frame(1, &[]);
    partial_header.truncate(11);
    let mut partial_batch = frame(1, &[select(0)]);
    partial_batch.truncate(21);
    let mut short_length = frame(1, &[]);
    short_length[12] = 3;
    let mut nan_clock = frame(1, &[]);
    nan_clock[4..12].copy_from_slice(&f64::NAN.to_le_bytes());
    let oversized_list = [&[14, 0][..], &u32::MAX.to_le_bytes()].concat();
    let inputs = [
        vec![frame(0, &[]), partial_header],
        vec![partial_batch],
        vec![short_length],
        vec![nan_clock],
        vec![frame(1, &[select(0), vec![200]])],
        vec![frame(1, &[vec![3]])],
        vec![frame(1, &[select(4), session_request(1)])],
        vec![frame(1, &[oversized_list])],
        vec![frame(1, &[select(0), open_instance(SETTINGS), node_list_event(0)])],
        vec![frame(1, &[select(0), open_instance("{\"balancers\": ")])],
        vec![frame(1, &[select(0), open_instance("{\"balancers\": 1, \"myZone\": 0}")])],
        vec![frame(1, &[select(0), vec![9, 1]])],
        vec![frame(1, &[]), [frame(2, &[]), vec![0; 4]].concat()],
    ];
    let texts: Vec<String> = inputs.iter().map(|input| replies(&input.concat())).collect();
    let errors: Vec<&str> = texts.iter().filter_map(|text| text.lines().last()).collect();
    expect![[r#"
        input ends within the header of a batch at byte 31 of the input
        input ends within a batch of 23 bytes at byte 21 of the input
        batch length 3 is shorter than its header at byte 12 of the input
        clock value NaN is not finite at byte 4 of the input
        unknown event code 200 at byte 23 of the input
        event before the first SELECT at byte 20 of the input
        event for instance 4, which is not open at byte 23 of the input
        batch ends within a field of 98784247785 bytes at byte 26 of the input
        node list was not declared at byte 458 of the input
        settings: balancers: EOF while parsing a value at line 1 column 14 at byte 32 of the input
        settings: missing field `familyInfo` at line 1 column 29 at byte 32 of the input
        batch ends within a field of 8 bytes at byte 24 of the input
        input ends within the header of a batch at byte 44 of the input"#]]
    .assert_eq(&errors.join("\n"));
}

/// A SETUP that ended with a fault of [`NODE`].
fn failed_setup(session: u64) -> Vec<u8> {
    let head = [&[4][..], &session.to_le_bytes(), &0u16.to_le_bytes(), NODE, &5u16.to_le_bytes()].concat();
    [&head[..], &10.0f64.to_le_bytes(), &[0, 0]].concat()
}

/// Guards against gossip that is sent without `--share` or on a site that doesn't allow messages. With both,
/// a failed SETUP is reported to the other director.
#[test]
fn gossip_is_sent_only_if_enabled_and_allowed() {
    let two_directors = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 2, \"myNumber\": 1");
    let with_messages = two_directors.replace("\"mostTries\": 2", "\"mostTries\": 2, \"mayTell\": true");
    let frames = |settings: &str| {
        let start =
            vec![select(1), open_instance(settings), node_list(0), node_list_event(0), session_request(77)];
        [frame(1, &start), frame_at(6000.0, 2, &[select(1), failed_setup(77)])].concat()
    };
    let run = |settings: &str, gossip_enabled| replies_with_gossip(&frames(settings), gossip_enabled);
    assert_eq!(run(&two_directors, true), run(&two_directors, false));
    assert_eq!(run(&with_messages, false), run(&two_directors, false));
    expect![[r#"
        01000000290000004f010045000000000000000000007940424d000000000000000000000000407f40
        02000000210000004f010048000011000001018a828898800a818080c413010100
    "#]]
    .assert_eq(&run(&with_messages, true));
    // A message that can't be decoded is ignored.
    let undecodable = [&[1][..], &0u16.to_le_bytes(), &4u16.to_le_bytes(), b"\xff\xff\xff\xff"].concat();
    let input = [frames(&with_messages), frame_at(6001.0, 3, &[select(1), undecodable])].concat();
    assert!(replies_with_gossip(&input, true).lines().count() == 3, "{}", replies_with_gossip(&input, true));
}
