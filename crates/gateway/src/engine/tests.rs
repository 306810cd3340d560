use linnet_directory::{TargetRecord, TargetState};

use super::*;
use crate::hall_bytes::HallBytes;
use crate::prompt::Prompt;

mod cold_hall;
mod placing_cost;

fn record(number: usize, service: &str, hall: usize) -> TargetRecord {
    TargetRecord {
        version: String::new(),
        id: format!("{service}-{number}"),
        born: 0,
        service: service.to_owned(),
        address: format!("127.0.{hall}.1:{}", 1_000 + number)
            .parse()
            .unwrap(),
        hall: format!("hall-{hall}"),
        slots: 64,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    }
}

/// Six engines in each of three halls, and targets of a stage with large results: two, two and one.
fn target_store() -> TargetStore {
    let engines = (0..18).map(|number| record(number, "engine", number % 3));
    let stages = [0, 0, 1, 1, 2].into_iter().enumerate();
    let stages = stages.map(|(number, hall)| record(number, "stage", hall));
    let mut store = TargetStore::default();
    store.replace(&engines.chain(stages).collect::<Vec<_>>(), Instant::now());
    store
}

fn shared(id: &str, tokens: u64) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

fn prompt(input_tokens: u64, shared: Vec<PromptPart>) -> Prompt {
    Prompt {
        input_tokens,
        max_output_tokens: 0,
        shared_parts: shared,
    }
}

fn request(part: &str) -> PlacementRequest {
    PlacementRequest {
        service: "engine".to_owned(),
        prompt: prompt(15_000, vec![shared(part, 13_000)]),
        large_result_stage: None,
        results: HallBytes::default(),
        tried: Vec::new(),
        excluded: Vec::new(),
        isolated: false,
        allowed_halls: None,
    }
}

#[test]
fn prompts_with_the_same_part_go_to_one_engine_until_its_prefill_queue_is_long() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (key, first, _) = placer.place(&store, &request("a"), now).unwrap();
    placer.record_prefill(key, now + Duration::from_millis(200));
    let (_, second, _) = placer.place(&store, &request("a"), now).unwrap();
    assert_eq!(first, second);
    // The waits of many long prompts outweigh the prefill of the part elsewhere.
    let mut engines = std::collections::BTreeSet::new();
    for _ in 0..40 {
        engines.insert(placer.place(&store, &request("a"), now).unwrap().1.id);
    }
    assert!(engines.len() > 1);
}

#[test]
fn a_planned_placement_does_not_count_as_cached() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (planned, facts) = placer.plan(&store, &request("a"), now).unwrap();
    assert_eq!(facts.cached_tokens, 0);
    let (_, chosen, facts) = placer.place(&store, &request("a"), now).unwrap();
    assert_eq!((chosen, facts.cached_tokens), (planned, 0));
    // The complete prompt is still pending there, and the next prompt finds the part cached.
    let (_, facts) = placer.plan(&store, &request("a"), now).unwrap();
    assert_eq!((facts.cached_tokens, facts.queued_tokens), (13_000, 15_000));
}

#[test]
fn an_uncached_part_goes_to_an_engine_with_a_short_prefill_queue() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let first = placer.choose(&store, &request("a"), now).unwrap();
    let mut busy = request("");
    busy.tried = store
        .of_service("engine")
        .map(|one| one.id.clone())
        .filter(|id| *id != first.id)
        .collect();
    let (_, chosen, _) = placer.place(&store, &busy, now).unwrap();
    assert_eq!(chosen, first);
    let other = placer.choose(&store, &request("a"), now).unwrap();
    assert_ne!(other, first);
}

#[test]
fn hosts_without_placements_choose_alike_and_distribute_parts_over_engines() {
    let (store, now) = (target_store(), Instant::now());
    let (one, other) = (EnginePlacer::default(), EnginePlacer::default());
    let mut engines = std::collections::BTreeSet::new();
    for number in 0..200 {
        let request = request(&format!("part-{number}"));
        let chosen = one.choose(&store, &request, now).unwrap();
        assert_eq!(Some(&chosen), other.choose(&store, &request, now).as_ref());
        engines.insert(chosen.id);
    }
    assert_eq!(engines.len(), 18);
}

#[test]
fn halls_get_prompts_in_proportion_to_their_targets_of_the_large_result_stage() {
    let (store, now) = (target_store(), Instant::now());
    let placer = EnginePlacer::default();
    let mut halls: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for number in 0..2_000 {
        let mut request = request(&format!("part-{number}"));
        request.large_result_stage = Some("stage".to_owned());
        let chosen = placer.choose(&store, &request, now).unwrap();
        *halls.entry(chosen.hall).or_default() += 1;
    }
    assert!((700..900).contains(&halls["hall-0"]), "{halls:?}");
    assert!((700..900).contains(&halls["hall-1"]), "{halls:?}");
    assert!((300..500).contains(&halls["hall-2"]), "{halls:?}");
}

#[test]
fn engines_that_were_tried_are_avoided_and_ended_prompts_count_no_more() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (key, first, _) = placer.place(&store, &request("a"), now).unwrap();
    let mut again = request("a");
    again.tried.push(first.id.clone());
    assert_ne!(placer.choose(&store, &again, now).unwrap().id, first.id);
    placer.end_placement(key);
    placer.end_placement(key);
    assert!(placer.loads.is_empty() && placer.placed.is_empty());
}

#[test]
fn tracked_parts_are_bounded() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    for number in 0..MAX_PARTS + 100 {
        placer.record_holder("engine-0", &format!("p{number}"), now);
    }
    assert_eq!(placer.holders.len(), MAX_PARTS);
    // Parts that were not used for a long time are evicted.
    let later = now + PART_TTL + Duration::from_secs(1);
    placer.record_holder("engine-0", "new", later);
    assert_eq!(placer.holders.len(), 1);
    assert!(placer.choose(&store, &request("new"), later).is_some());
}

#[test]
fn an_engine_that_became_slow_is_avoided_and_tried_again_later() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let late = now + Duration::from_secs(5);
    let slow = placer.choose(&store, &request("a"), now).unwrap();
    let placed: Vec<_> = (0..2)
        .map(|_| placer.place(&store, &request("a"), now).unwrap())
        .collect();
    for (key, chosen, _) in placed {
        assert_eq!(chosen, slow);
        placer.record_prefill(key, late);
        placer.end_placement(key);
    }
    assert_ne!(
        placer.choose(&store, &request("a"), late).unwrap().id,
        slow.id
    );
    let later = late + SLOWNESS_TIME_CONSTANT * 8;
    assert_eq!(
        placer.choose(&store, &request("a"), later).unwrap().id,
        slow.id
    );
}

#[test]
fn only_uncached_parts_of_a_prompt_count_as_missing() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let following = |id: &str| PlacementRequest {
        prompt: prompt(9_000, vec![shared("first", 2_500), shared(id, 3_800)]),
        ..request("")
    };
    let held = |placer: &mut EnginePlacer, id: &str| {
        placer
            .place(&store, &following(id), now)
            .unwrap()
            .2
            .cached_tokens
    };
    assert_eq!(held(&mut placer, "a"), 0);
    assert_eq!(held(&mut placer, "a"), 6_300);
    // A part is usable only behind the part before it.
    let alone = PlacementRequest {
        prompt: prompt(9_000, vec![shared("other", 2_500), shared("a", 3_800)]),
        ..request("")
    };
    assert_eq!(
        placer.place(&store, &alone, now).unwrap().2.cached_tokens,
        0
    );
}

/// A request that may crash its engine goes to the engine with the fewest other requests, whatever
/// is pending there.
#[test]
fn a_prompt_that_may_crash_its_engine_goes_where_the_fewest_others_run() {
    let (store, now) = (target_store(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (_, holder, _) = placer.place(&store, &request("p"), now).unwrap();
    let isolated = PlacementRequest {
        isolated: true,
        ..request("p")
    };
    let (key, first, _) = placer.place(&store, &isolated, now).unwrap();
    assert_ne!(first.id, holder.id);
    // The next one goes to another engine, and no other request is placed beside the first.
    let (other, second, _) = placer.place(&store, &isolated, now).unwrap();
    assert_ne!(second.id, first.id);
    let (_, beside, _) = placer.place(&store, &request("q"), now).unwrap();
    assert!(beside.id != first.id && beside.id != second.id);
    placer.end_placement(key);
    placer.end_placement(other);
    let load = placer.loads.get(&first.id);
    assert!(load.is_none_or(|load| load.isolated == 0));
}
