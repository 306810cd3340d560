use super::*;

const REQUIRED: &str = r#"
name = "host"
hall = "hall-0"

[listen]
peers = "127.0.0.1:1"
metrics = "127.0.0.1:2"

[cluster]
seeds = ["127.0.0.1:3"]
peer_keys = "none"
"#;

fn parse(overload: &str) -> Result<OverloadSettings, String> {
    let text = format!("{REQUIRED}\n{overload}");
    NodeSettings::parse(&text, &[]).map(|settings| settings.overload)
}

/// Guards against a policy that an upgrade enables without a change of the settings.
#[test]
fn overload_policies_are_disabled_without_their_keys() {
    let disabled = OverloadSettings {
        measured_waits: false,
        planned_returns: false,
        fair_shares: false,
        ordered_succession: false,
        queue_returns: false,
        confirm_slow_targets: false,
        min_accounts: 0,
    };
    assert_eq!(parse("").unwrap(), disabled);
    assert_eq!(parse("[overload]\n").unwrap(), disabled);
}

/// Guards against a key that sets another policy or is not read at all.
#[test]
fn each_overload_policy_is_enabled_by_its_key() {
    let none = OverloadSettings::default();
    let cases = [
        (
            "measured_waits",
            OverloadSettings {
                measured_waits: true,
                ..none
            },
        ),
        (
            "planned_returns",
            OverloadSettings {
                planned_returns: true,
                ..none
            },
        ),
        (
            "fair_shares",
            OverloadSettings {
                fair_shares: true,
                ..none
            },
        ),
        (
            "ordered_succession",
            OverloadSettings {
                ordered_succession: true,
                ..none
            },
        ),
        (
            "queue_returns",
            OverloadSettings {
                queue_returns: true,
                ..none
            },
        ),
        (
            "confirm_slow_targets",
            OverloadSettings {
                confirm_slow_targets: true,
                ..none
            },
        ),
    ];
    for (key, expected) in cases {
        assert_eq!(parse(&format!("[overload]\n{key} = true")), Ok(expected));
        let overrides = [format!("overload.{key}=true")];
        let settings = NodeSettings::parse(REQUIRED, &overrides).unwrap();
        assert_eq!(settings.overload, expected, "override of {key}");
    }
}

/// Guards against a value such as "on" or 1 that is taken for false in silence.
#[test]
fn a_value_that_is_not_a_boolean_is_an_error_with_its_key() {
    for key in [
        "measured_waits",
        "planned_returns",
        "fair_shares",
        "ordered_succession",
        "queue_returns",
        "confirm_slow_targets",
    ] {
        for value in ["\"on\"", "1", "0.5", "[true]"] {
            let error = parse(&format!("[overload]\n{key} = {value}")).unwrap_err();
            assert!(error.contains(&format!("overload.{key}")), "{error}");
        }
    }
}

/// Guards against connections to the registered addresses of targets that are behind a relay.
#[test]
fn addresses_of_targets_are_mapped_as_the_settings_state() {
    let mapped = "[targets]\naddress_map = { \"127.0.0.1\" = \"127.0.0.2\" }\n";
    let settings = NodeSettings::parse(&format!("{REQUIRED}\n{mapped}"), &[]).unwrap();
    let expected = BTreeMap::from([([127, 0, 0, 1].into(), [127, 0, 0, 2].into())]);
    assert_eq!(settings.targets.address_map, expected);
    let default = NodeSettings::parse(REQUIRED, &[]).unwrap();
    assert!(default.targets.address_map.is_empty());
}

/// Guards against hosts that state a capacity which their settings do not name.
#[test]
fn the_processor_capacity_follows_from_share_and_speed() {
    let cases = [
        ("", 0),
        ("[processor]\n", 0),
        ("[processor]\nshare = 0.09\n", 90),
        ("[processor]\nshare = 0.3\nspeed = 2\n", 600),
        ("[processor]\nshare = 4\nspeed = 1.0\n", 4_000),
    ];
    for (text, capacity) in cases {
        let settings = NodeSettings::parse(&format!("{REQUIRED}\n{text}"), &[]).unwrap();
        assert_eq!(settings.processor.capacity(), capacity, "{text}");
    }
    let negative = format!("{REQUIRED}\n[processor]\nshare = -1.0\n");
    let errors = NodeSettings::parse(&negative, &[]).unwrap();
    let errors = errors.check(NodeRole::Control);
    assert!(errors.iter().any(|error| error.starts_with("processor")));
}
