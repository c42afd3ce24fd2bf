//! Guards against invalid settings that are accepted, or rejected with an error that doesn't name the field.

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
fn invalid_settings_are_rejected_with_the_field_name() {
    let settings = ashglade_site::parse(7, SETTINGS.as_bytes()).unwrap();
    let top_rungs: Vec<u8> = settings.director.groups.iter().map(|group| group.top_rung.0).collect();
    let mut results =
        format!("unedited: top rungs {top_rungs:?}, load metrics {:?}\n", settings.director.load_metrics);
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
    for (original, replacement) in edits {
        let text = SETTINGS.replace(original, replacement);
        let result =
            ashglade_site::parse(7, text.as_bytes()).map_or_else(|error| error, |_| "accepted".into());
        results += &format!("{replacement}: {}\n", result);
    }
    expect![[r#"
        unedited: top rungs [2, 2], load metrics [Link, Other]
        "balancers": 0: settings: balancers: 0 is not an integer from 1 to 4294967295 at line 1 column 15
        "balancers": 2.5: settings: balancers: 2.5 is not an integer from 1 to 4294967295 at line 1 column 17
        "myZone": 2: settings: myZone: 2 is not the index of one of the 2 azs
        by_post: settings: discovery: unknown variant `by_post`, expected `pushed` or `on_request` at line 1 column 41
        "askWithin": 0: settings: rules.askWithin: must be greater than 0 if discovery is on_request
        []: settings: familyInfo.ladderKb: 0 rungs, but a ladder has 1 to 255
        [100, 0, 400]: settings: familyInfo.ladderKb[1]: 0 is not greater than 0 at line 2 column 36
        [100, 400, 200]: settings: familyInfo.ladderKb[2]: 200 is less than the rate of the rung below
        [0.3, 1]: settings: familyInfo.levelWorth: 2 values, but ladderKb has 3 rungs
        "positions": 70000: settings: familyInfo.positions: 70000 is not an integer from 1 to 65535 at line 2 column 111
        "linkUnitKb": -1: settings: familyInfo.linkUnitKb: -1 is not greater than 0 at line 2 column 89
        [0, 4, 4]: settings: familyInfo.classSeats: 3 values for 2 services
        [0, 3]: settings: familyInfo.floorByClass[1]: rung 3 is above the highest rung, 2
        "mostTries": 0: settings: limits.mostTries: 0 is not an integer from 1 to 4294967295 at line 4 column 25
        "startCapacity": 1.5: settings: rules.startCapacity: 1.5 is not between 0 and 1 at line 5 column 82
        "warmAfter": -5: settings: rules.warmAfter: -5 is not 0 or greater at line 5 column 100
        "warmAfter": 1e999: settings: rules.warmAfter: number out of range at line 5 column 102
        "aim": 0: settings: services[1].aim: 0 is not greater than 0 at line 7 column 9
        "sometimes": settings: services[1].effect: unknown variant `sometimes`, expected one of `retryable`, `dedup`, `fragile` at line 7 column 47
        "group": "shelf": settings: services[1].group: unknown variant `shelf`, expected one of `all`, `zone`, `cell` at line 7 column 61
        "via": "pigeon": settings: telemetry.via: unknown variant `pigeon`, expected one of `piggyback`, `pull`, `silent` at line 8 column 58
    "#]].assert_eq(&results);
}
