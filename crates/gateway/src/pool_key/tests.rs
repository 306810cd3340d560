use linnet_directory::TargetState;

use super::*;
use crate::caller_request::PromptPart;

/// Targets of one service: so many in each hall.
fn records(halls: &[usize]) -> Vec<TargetRecord> {
    let mut records = Vec::new();
    for (hall, count) in halls.iter().enumerate() {
        for number in 0..*count {
            records.push(TargetRecord {
                version: String::new(),
                id: format!("t-{hall}-{number}"),
                born: 0,
                service: "stage".to_owned(),
                address: format!("127.0.{hall}.1:{}", 1_000 + number)
                    .parse()
                    .unwrap(),
                hall: format!("hall-{hall}"),
                slots: 1,
                state: TargetState::Ready,
                sequence: 1,
                silent: false,
                cold_ms: 0,
            });
        }
    }
    records
}

fn map(records: &[TargetRecord]) -> PoolMap {
    let targets = records.iter();
    PoolMap::new(targets.map(|one| (one.service.as_str(), one.hall.as_str(), one.id.as_str())))
}

#[test]
fn each_target_belongs_to_exactly_one_part_and_no_part_is_large() {
    // Targets by hall, and how many parts there are.
    let cases: [(&[usize], usize); 7] = [
        (&[2, 2, 1], 1),
        (&[24], 1),
        (&[8, 8, 8], 1),
        (&[9, 8, 8], 3),
        (&[18, 18, 18], 3),
        (&[7, 7, 7, 7], 4),
        (&[0, 25], 2),
    ];
    for (halls, parts) in cases {
        let records = records(halls);
        let map = map(&records);
        let keys = map.parts_of("stage");
        assert_eq!(keys.len(), parts, "{halls:?}");
        for record in &records {
            let holders = keys.iter().filter(|(key, _)| key.holds(record)).count();
            assert_eq!(holders, 1, "{halls:?} {}", record.id);
        }
        let total: u32 = keys.iter().map(|(_, count)| count).sum();
        assert_eq!(total as usize, records.len());
    }
    assert!(PoolMap::default().parts_of("stage").is_empty());
}

#[test]
fn a_large_hall_is_split_about_evenly() {
    let map = map(&records(&[192]));
    let counts: Vec<u32> = map.parts_of("stage").iter().map(|part| part.1).collect();
    assert_eq!(counts.len(), 8);
    assert!(
        counts.iter().all(|count| (10..=40).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn the_key_of_a_whole_pool_holds_its_targets_also_after_the_pool_was_split() {
    let records = records(&[18, 18]);
    let whole = PoolKey::whole("stage");
    assert!(records.iter().all(|record| whole.holds(record)));
    assert!(!PoolKey::whole("other").holds(&records[0]));
}

/// What is counted in one walk is what each part holds, also when one pool is taken anew.
#[test]
fn each_part_is_counted_with_the_targets_that_it_holds() {
    let records = records(&[30, 0, 100, 7]);
    let mut map = map(&records);
    let targets = records.iter();
    map.replace(
        "stage",
        targets.map(|one| (one.hall.as_str(), one.id.as_str())),
    );
    for (key, count) in map.parts_of("stage") {
        let held = records.iter().filter(|record| key.holds(record)).count();
        assert_eq!(*count as usize, held, "{key:?}");
    }
    map.replace("stage", std::iter::empty());
    assert!(map.parts_of("stage").is_empty());
}

fn prompt(shared: &str, input_tokens: u64) -> Prompt {
    let part = PromptPart {
        id: shared.to_owned(),
        tokens: 100,
    };
    Prompt {
        input_tokens,
        max_output_tokens: 1,
        shared_parts: if shared.is_empty() {
            Vec::new()
        } else {
            vec![part]
        },
    }
}

fn halls(engines: u32) -> Vec<(String, u32)> {
    (0..5)
        .map(|hall| (format!("hall-{hall}"), engines / 5))
        .collect()
}

/// What one host looks at for a prompt, and how many prompts it places, must not grow with the fleet.
#[test]
fn the_engines_and_prompts_of_one_placer_are_bounded_however_many_there_are() {
    for engines in [100, 1_000, 5_715, 20_000] {
        let halls = halls(engines);
        let mut placed: BTreeMap<PoolKey, u32> = BTreeMap::new();
        const PROMPTS: u32 = 40_000;
        for number in 0..PROMPTS {
            let key = place_key("engine", &halls, &prompt(&number.to_string(), 5));
            *placed.entry(key).or_default() += 1;
        }
        let most = placed.values().max().copied().unwrap();
        let even = PROMPTS / placed.len() as u32;
        assert!(most <= even * 3 / 2, "{engines}: {most} of {even}");
        for key in placed.keys() {
            let Some(part) = &key.part else {
                assert!(engines <= MAX_PLACED_TARGETS);
                continue;
            };
            assert!(engines / 5 / u32::from(part.of) <= MAX_PLACED_TARGETS);
        }
    }
}

#[test]
fn prompts_with_the_same_shared_part_go_to_the_same_engines_and_others_are_spread() {
    let halls = halls(5_000);
    let key = |shared: &str, tokens| place_key("engine", &halls, &prompt(shared, tokens));
    assert_eq!(key("a", 1), key("a", 900));
    let spread: std::collections::BTreeSet<PoolKey> =
        (0..200).map(|tokens| key("", tokens)).collect();
    assert!(spread.len() > 15, "{}", spread.len());
    // A few engines more or less move few prompts.
    let mut other = halls.clone();
    other[0].1 += 1;
    let moved = (0..500).filter(|number| {
        let prompt = prompt(&format!("p{number}"), 1);
        place_key("engine", &halls, &prompt) != place_key("engine", &other, &prompt)
    });
    let moved = moved.count();
    assert!(moved < 10, "{moved}");
}
