//! Settings that can't be, or that nobody here knows, end the reading with the field's name.

use expect_test::expect;

const SETTINGS: &str = r#"{"balancers": 2.0, "discovery": "on_request", "myNumber": 1, "myZone": 1, "azs": ["east", "west"],
"familyInfo": {"ladderKb": [100, 200, 400], "levelWorth": [0.3, 0.6, 1], "linkUnitKb": 1000, "positions": 3,
"classSeats": [0, 4], "floorByClass": [0, 1], "highestRung": [2, 9], "kindStreams": [20], "see": 800},
"limits": {"mostTries": 3, "retryAfter": true, "maxRetryAfter": 2000},
"rules": {"askWithin": 9000, "fall": 2000, "fallMultiple": 2, "startCapacity": 0.5, "warmAfter": 10000},
"services": [{"aim": 800, "credit": 1, "effect": "retryable"},
{"aim": 400, "credit": 2, "effect": "dedup", "group": "cell", "repeatWindow": 5000}],
"telemetry": {"fields": ["util", "moods"], "via": "pull"}, "somethingNew": {"of": "no use here"}}"#;

#[test]
fn what_cannot_be_or_is_not_known_is_refused_with_its_field() {
    let site = ashglade_site::read(7, SETTINGS.as_bytes()).unwrap();
    let tops: Vec<u8> = site.headend.groups.iter().map(|group| group.top_rung.0).collect();
    let mut shown = format!("as it stands: tops {tops:?}, reports {:?}\n", site.headend.load_metrics);
    let edits = [
        ("\"balancers\": 2.0", "\"balancers\": 0"),
        ("\"balancers\": 2.0", "\"balancers\": 2.5"),
        ("\"myZone\": 1", "\"myZone\": 2"),
        ("on_request", "by_post"),
        ("\"askWithin\": 9000", "\"askWithin\": 0"),
        ("[100, 200, 400]", "[]"),
        ("[100, 200, 400]", "[100, 0, 400]"),
        ("[100, 200, 400]", "[100, 400, 200]"),
        ("[0.3, 0.6, 1]", "[0.3, 1]"),
        ("\"positions\": 3", "\"positions\": 70000"),
        ("\"linkUnitKb\": 1000", "\"linkUnitKb\": -1"),
        ("[0, 4]", "[0, 4, 4]"),
        ("[0, 1]", "[0, 3]"),
        ("\"mostTries\": 3", "\"mostTries\": 0"),
        ("\"startCapacity\": 0.5", "\"startCapacity\": 1.5"),
        ("\"warmAfter\": 10000", "\"warmAfter\": -5"),
        ("\"warmAfter\": 10000", "\"warmAfter\": 1e999"),
        ("\"aim\": 400", "\"aim\": 0"),
        ("\"dedup\"", "\"sometimes\""),
        ("\"group\": \"cell\"", "\"group\": \"shelf\""),
        ("\"via\": \"pull\"", "\"via\": \"pigeon\""),
    ];
    for (is, becomes) in edits {
        let text = SETTINGS.replace(is, becomes);
        let told = ashglade_site::read(7, text.as_bytes()).map_or_else(|error| error, |_| "taken".into());
        shown += &format!("{becomes}: {}\n", told);
    }
    expect![[r#"
        as it stands: tops [2, 2], reports [Link, Other]
        "balancers": 0: settings: balancers: 0 is not a whole number from 1 to 4294967295 at line 1 column 15
        "balancers": 2.5: settings: balancers: 2.5 is not a whole number from 1 to 4294967295 at line 1 column 17
        "myZone": 2: settings: myZone: 2 is not one of the 2 azs
        by_post: settings: discovery: unknown variant `by_post`, expected `pushed` or `on_request` at line 1 column 41
        "askWithin": 0: settings: rules.askWithin: the list comes on request, and no time is told to ask within
        []: settings: familyInfo.ladderKb: a ladder of 0 rungs
        [100, 0, 400]: settings: familyInfo.ladderKb[1]: 0 is not above 0 at line 2 column 36
        [100, 400, 200]: settings: familyInfo.ladderKb[2]: 200 is under the rung below
        [0.3, 1]: settings: familyInfo.levelWorth: 2 figures, but ladderKb has 3 rungs
        "positions": 70000: settings: familyInfo.positions: 70000 is not a whole number from 1 to 65535 at line 2 column 111
        "linkUnitKb": -1: settings: familyInfo.linkUnitKb: -1 is not above 0 at line 2 column 89
        [0, 4, 4]: settings: familyInfo.classSeats: 3 figures for 2 services
        [0, 3]: settings: familyInfo.floorByClass[1]: rung 3 is above the highest, 2
        "mostTries": 0: settings: limits.mostTries: 0 is not a whole number from 1 to 4294967295 at line 4 column 25
        "startCapacity": 1.5: settings: rules.startCapacity: 1.5 is not from 0 to 1 at line 5 column 82
        "warmAfter": -5: settings: rules.warmAfter: -5 is not 0 or more at line 5 column 100
        "warmAfter": 1e999: settings: rules.warmAfter: number out of range at line 5 column 102
        "aim": 0: settings: services[1].aim: 0 is not above 0 at line 7 column 9
        "sometimes": settings: services[1].effect: unknown variant `sometimes`, expected one of `retryable`, `dedup`, `fragile` at line 7 column 47
        "group": "shelf": settings: services[1].group: unknown variant `shelf`, expected one of `all`, `zone`, `cell` at line 7 column 61
        "via": "pigeon": settings: telemetry.via: unknown variant `pigeon`, expected one of `piggyback`, `pull`, `silent` at line 8 column 58
    "#]].assert_eq(&shown);
}
