//! Frames by hand, in and out.

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

fn frame_at(ms: f64, index: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let clock = ms.to_le_bytes();
    let [length, count] = [20 + body.len(), records.len()].map(|n| (n as u32).to_le_bytes());
    [&index.to_le_bytes()[..], &clock, &length, &count, &body].concat()
}

fn select(instance: u16) -> Vec<u8> {
    [&[8][..], &instance.to_le_bytes()].concat()
}

fn open(settings: &str) -> Vec<u8> {
    [&[5][..], &9u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()].concat()
}

/// List 0 with one node at cell 0 in the health given.
fn pool(health: u8) -> Vec<u8> {
    let rest = [&[0, 0, 0, 0, health][..], &1.0f32.to_le_bytes(), &0.0f64.to_le_bytes()].concat();
    [&[14, 0][..], &1u32.to_le_bytes(), NODE, &rest].concat()
}

fn announce(kind: u8) -> Vec<u8> {
    [&[2][..], &1u64.to_le_bytes(), &[0, kind]].concat()
}

fn order(id: u64) -> Vec<u8> {
    let (best, home, copies) = (1.0f32.to_le_bytes(), 0.0f32.to_le_bytes(), 3.0f32.to_le_bytes());
    let head = [&[11][..], &id.to_le_bytes(), &3000.0f64.to_le_bytes(), &[0], &best, &home].concat();
    [&head[..], &[0; 8], &7u64.to_le_bytes(), &[0], &[0; 4], &5u64.to_le_bytes(), &copies].concat()
}

/// Serves the input and shows the replies and the complaint, if any.
fn serve(input: &[u8]) -> String {
    served(input, false)
}

fn served(input: &[u8], shares: bool) -> String {
    let mut output = Vec::new();
    let result = crate::serve(&mut &input[..], &mut output, shares);
    let mut shown = String::new();
    let mut rest = &output[..];
    while let Some(length) = rest.get(4..8).map(|f| u32::from_le_bytes([f[0], f[1], f[2], f[3]]) as usize) {
        shown.extend(rest[..length].iter().map(|byte| format!("{byte:02x}")));
        shown.push('\n');
        rest = &rest[length..];
    }
    match result {
        Ok(()) => shown,
        Err(trouble) => format!("{shown}{trouble}\n"),
    }
}

fn check(input: &[Vec<u8>], shown: Expect) {
    shown.assert_eq(&serve(&input.concat()));
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
fn a_session_is_set_up_and_a_second_instance_is_told_apart() {
    let start = |i| vec![select(i), open(SETTINGS), pool(0), announce(0)];
    let both = [start(3), start(5), vec![select(3), order(77), select(5), order(78)]].concat();
    check(
        &[frame(2, &both)],
        expect![[r#"
            020000006a0000004f0300450000000000000000000079404d4d0000000000000001414d000000000000000a0102035000000000000018b5404f0500450000000000000000000079404d4e0000000000000001414e000000000000000a0102035000000000000018b540
        "#]],
    );
}

#[test]
fn lists_are_taken_as_they_stood_and_an_instance_may_be_replaced() {
    let opened = vec![select(0), open(SETTINGS), pool(0), announce(0), pool(1), announce(3), order(1)];
    let again = vec![select(0), vec![3], open(SETTINGS), pool(0), announce(0), order(2)];
    check(
        &[frame(1, &opened), frame(2, &again)],
        expect![[r#"
            01000000290000004f0000450000000000000000000079404201000000000000000000000000407f40
            02000000390000004f0000450000000000000000000079404d0200000000000000014102000000000000000a0102035000000000000018b540
        "#]],
    );
}

#[test]
fn actions_that_no_decision_uses_yet_are_written_as_the_wire_has_them() {
    let mut answers = crate::host::Answers::default();
    answers.watch_node_list(false);
    answers.fetch_node_list();
    answers.reconnect_viewer(SessionId(77));
    answers.close_idle_connections(NodeId(0x50_0302_010a));
    answers.send_message(Some(2), b"hi");
    answers.send_message(None, &[7; 300]);
    answers.log("two");
    answers.failed("x");
    let shown: String = answers.reply.bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    expect![
        "4f00004b004c4e4d00000000000000470a01020350004802000200686948ffff0001(256 x 07)49030074776f4a010078"
    ]
    .assert_eq(&shown.replace(&"07".repeat(256), "(256 x 07)"));
}

#[test]
fn what_is_malformed_is_named_with_its_byte() {
    let mut long = frame(1, &[]);
    long.truncate(11);
    let mut cut = frame(1, &[select(0)]);
    cut.truncate(21);
    let mut tiny = frame(1, &[]);
    tiny[12] = 3;
    let mut late = frame(1, &[]);
    late[4..12].copy_from_slice(&f64::NAN.to_le_bytes());
    let list = [&[14, 0][..], &u32::MAX.to_le_bytes()].concat();
    let inputs = [
        vec![frame(0, &[]), long],
        vec![cut],
        vec![tiny],
        vec![late],
        vec![frame(1, &[select(0), vec![200]])],
        vec![frame(1, &[vec![3]])],
        vec![frame(1, &[select(4), order(1)])],
        vec![frame(1, &[list])],
        vec![frame(1, &[select(0), open(SETTINGS), announce(0)])],
        vec![frame(1, &[select(0), open("{\"balancers\": ")])],
        vec![frame(1, &[select(0), open("{\"balancers\": 1, \"myZone\": 0}")])],
        vec![frame(1, &[select(0), vec![9, 1]])],
        vec![frame(1, &[]), [frame(2, &[]), vec![0; 4]].concat()],
    ];
    let shown: Vec<String> = inputs.iter().map(|input| serve(&input.concat())).collect();
    let complaints: Vec<&str> = shown.iter().filter_map(|s| s.lines().last()).collect();
    expect![[r#"
        input ends within a batch's header at byte 31 of the input
        input ends within a batch of 23 bytes at byte 21 of the input
        a batch can't be 3 bytes long at byte 12 of the input
        the clock can't stand at NaN at byte 4 of the input
        unknown event code 200 at byte 23 of the input
        an event before any SELECT at byte 20 of the input
        news for instance 4, which is not open at byte 23 of the input
        the batch ends within a field of 98784247785 bytes at byte 26 of the input
        a list that was never declared at byte 458 of the input
        settings: balancers: EOF while parsing a value at line 1 column 14 at byte 32 of the input
        settings: missing field `familyInfo` at line 1 column 29 at byte 32 of the input
        the batch ends within a field of 8 bytes at byte 24 of the input
        input ends within a batch's header at byte 44 of the input"#]]
    .assert_eq(&complaints.join("\n"));
}

/// A set-up that ended with an error, for the node of [`pool`].
fn ended(id: u64) -> Vec<u8> {
    let head = [&[4][..], &id.to_le_bytes(), &0u16.to_le_bytes(), NODE, &5u16.to_le_bytes()].concat();
    [&head[..], &10.0f64.to_le_bytes(), &[0, 0]].concat()
}

/// With `--share`, and where the site allows messages, what failed is told the other; else the frames are as they were.
#[test]
fn what_fails_is_told_only_where_it_is_asked_for_and_allowed() {
    let two = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 2, \"myNumber\": 1");
    let may = two.replace("\"mostTries\": 2", "\"mostTries\": 2, \"mayTell\": true");
    let frames = |settings: &str| {
        let start = vec![select(1), open(settings), pool(0), announce(0), order(77)];
        [frame(1, &start), frame_at(6000.0, 2, &[select(1), ended(77)])].concat()
    };
    let told = |settings: &str, shares| served(&frames(settings), shares);
    assert_eq!(told(&two, true), told(&two, false));
    assert_eq!(told(&may, false), told(&two, false));
    expect![[r#"
        01000000290000004f010045000000000000000000007940424d000000000000000000000000407f40
        02000000210000004f010048000011000001018a828898800a818080c413010100
    "#]]
    .assert_eq(&told(&may, true));
    // What another says that is none of ours is passed over.
    let note = [&[1][..], &0u16.to_le_bytes(), &4u16.to_le_bytes(), b"\xff\xff\xff\xff"].concat();
    let noted = [frames(&may), frame_at(6001.0, 3, &[select(1), note])].concat();
    assert!(served(&noted, true).lines().count() == 3, "{}", served(&noted, true));
}
