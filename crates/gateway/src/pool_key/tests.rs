use linnet_directory::TargetState;

use super::*;
use crate::prompt::PromptPart;

/// Returns targets of one service, with the given number in each hall.
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
    PoolMap::new(targets.map(|target| {
        (
            target.service.as_str(),
            target.hall.as_str(),
            target.id.as_str(),
        )
    }))
}

#[test]
fn each_target_belongs_to_exactly_one_partition() {
    // Number of targets by hall, and the expected number of partitions.
    let cases: [(&[usize], usize); 7] = [
        (&[2, 2, 1], 1),
        (&[24], 1),
        (&[8, 8, 8], 1),
        (&[9, 8, 8], 3),
        (&[18, 18, 18], 3),
        (&[7, 7, 7, 7], 4),
        (&[0, 25], 2),
    ];
    for (halls, expected) in cases {
        let records = records(halls);
        let map = map(&records);
        let keys = map.partitions_of("stage");
        assert_eq!(keys.len(), expected, "{halls:?}");
        for record in &records {
            let containing = keys.iter().filter(|(key, _)| key.contains(record)).count();
            assert_eq!(containing, 1, "{halls:?} {}", record.id);
        }
        let total: u32 = keys.iter().map(|(_, count)| count).sum();
        assert_eq!(total as usize, records.len());
    }
    assert!(PoolMap::default().partitions_of("stage").is_empty());
}

#[test]
fn a_large_hall_is_split_about_evenly() {
    let map = map(&records(&[192]));
    let counts: Vec<u32> = map
        .partitions_of("stage")
        .iter()
        .map(|partition| partition.1)
        .collect();
    assert_eq!(counts.len(), 8);
    assert!(
        counts.iter().all(|count| (10..=40).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn the_key_of_a_complete_pool_contains_its_targets_after_the_pool_was_partitioned() {
    let records = records(&[18, 18]);
    let whole = PoolKey::whole("stage");
    assert!(records.iter().all(|record| whole.contains(record)));
    assert!(!PoolKey::whole("other").contains(&records[0]));
}

/// The single-pass count must match `PoolKey::contains`, also after a pool was replaced.
#[test]
fn the_size_of_each_partition_is_the_number_of_targets_that_it_contains() {
    let records = records(&[30, 0, 100, 7]);
    let mut map = map(&records);
    let targets = records.iter();
    map.replace_service(
        "stage",
        targets.map(|target| (target.hall.as_str(), target.id.as_str())),
    );
    for (key, count) in map.partitions_of("stage") {
        let contained = records.iter().filter(|record| key.contains(record)).count();
        assert_eq!(*count as usize, contained, "{key:?}");
    }
    map.replace_service("stage", std::iter::empty());
    assert!(map.partitions_of("stage").is_empty());
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

/// The work of one placer must not grow with the fleet: neither the engines that it examines for a
/// prompt nor its share of the prompts.
#[test]
fn the_engines_and_prompts_of_one_placer_are_bounded_in_large_fleets() {
    for engines in [100, 1_000, 5_715, 20_000] {
        let halls = halls(engines);
        let mut placed: BTreeMap<PoolKey, u32> = BTreeMap::new();
        const PROMPTS: u32 = 40_000;
        for number in 0..PROMPTS {
            let key = placement_pool_key("engine", &halls, &prompt(&number.to_string(), 5));
            *placed.entry(key).or_default() += 1;
        }
        let most = placed.values().max().copied().unwrap();
        let even = PROMPTS / placed.len() as u32;
        assert!(most <= even * 3 / 2, "{engines}: {most} of {even}");
        for key in placed.keys() {
            let Some(partition) = &key.partition else {
                assert!(engines <= MAX_PLACER_TARGETS);
                continue;
            };
            assert!(engines / 5 / u32::from(partition.partition_count) <= MAX_PLACER_TARGETS);
        }
    }
}

#[test]
fn prompts_with_the_same_shared_part_go_to_the_same_engines_and_others_are_spread() {
    let halls = halls(5_000);
    let key = |shared: &str, tokens| placement_pool_key("engine", &halls, &prompt(shared, tokens));
    assert_eq!(key("a", 1), key("a", 900));
    let spread: std::collections::BTreeSet<PoolKey> =
        (0..200).map(|tokens| key("", tokens)).collect();
    assert!(spread.len() > 15, "{}", spread.len());
    // Adding an engine moves few prompts.
    let mut other = halls.clone();
    other[0].1 += 1;
    let moved = (0..500).filter(|number| {
        let prompt = prompt(&format!("p{number}"), 1);
        placement_pool_key("engine", &halls, &prompt)
            != placement_pool_key("engine", &other, &prompt)
    });
    let moved = moved.count();
    assert!(moved < 10, "{moved}");
}
