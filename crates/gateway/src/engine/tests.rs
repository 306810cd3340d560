use linnet_directory::{TargetRecord, TargetState};

use super::*;
use crate::ask::Prompt;
use crate::hall_bytes::HallBytes;

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

/// Six engines in each of three halls, and targets of a heavy stage: two, two and one.
fn book() -> TargetStore {
    let engines = (0..18).map(|number| record(number, "engine", number % 3));
    let stages = [0, 0, 1, 1, 2].into_iter().enumerate();
    let stages = stages.map(|(number, hall)| record(number, "stage", hall));
    let mut book = TargetStore::default();
    book.replace(&engines.chain(stages).collect::<Vec<_>>(), Instant::now());
    book
}

fn shared(id: &str, tokens: u64) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

fn prompt(tokens_in: u64, shared: Vec<PromptPart>) -> Prompt {
    Prompt {
        tokens_in,
        tokens_out: 0,
        shared,
    }
}

fn ask(part: &str) -> PlaceAsk {
    PlaceAsk {
        service: "engine".to_owned(),
        prompt: prompt(15_000, vec![shared(part, 13_000)]),
        heavy_stage: None,
        results: HallBytes::default(),
        avoid: Vec::new(),
        closed: Vec::new(),
        apart: false,
        homes: None,
    }
}

#[test]
fn prompts_with_the_same_part_go_to_the_same_engine_until_it_has_much_to_read() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (key, first, _) = placer.place(&book, &ask("a"), now).unwrap();
    placer.note_read(key, now + Duration::from_millis(200));
    let (_, second, _) = placer.place(&book, &ask("a"), now).unwrap();
    assert_eq!(first, second);
    // The waits of many long prompts outweigh reading the part elsewhere.
    let mut engines = std::collections::BTreeSet::new();
    for _ in 0..40 {
        engines.insert(placer.place(&book, &ask("a"), now).unwrap().1.id);
    }
    assert!(engines.len() > 1);
}

#[test]
fn a_part_that_was_only_planned_is_not_taken_as_held() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (planned, facts) = placer.plan(&book, &ask("a"), now).unwrap();
    assert_eq!(facts.held, 0);
    let (_, chosen, facts) = placer.place(&book, &ask("a"), now).unwrap();
    assert_eq!((chosen, facts.held), (planned, 0));
    // All of the prompt is still to be read there, and the next one finds the part held.
    let (_, facts) = placer.plan(&book, &ask("a"), now).unwrap();
    assert_eq!((facts.held, facts.ahead), (13_000, 15_000));
}

#[test]
fn a_part_that_nobody_holds_goes_to_an_engine_with_little_to_read() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let first = placer.choose(&book, &ask("a"), now).unwrap();
    let mut busy = ask("");
    busy.avoid = book
        .of_service("engine")
        .map(|one| one.id.clone())
        .filter(|id| *id != first.id)
        .collect();
    let (_, chosen, _) = placer.place(&book, &busy, now).unwrap();
    assert_eq!(chosen, first);
    let other = placer.choose(&book, &ask("a"), now).unwrap();
    assert_ne!(other, first);
}

#[test]
fn hosts_that_know_nothing_choose_alike_and_spread_parts_over_engines() {
    let (book, now) = (book(), Instant::now());
    let (one, other) = (EnginePlacer::default(), EnginePlacer::default());
    let mut engines = std::collections::BTreeSet::new();
    for number in 0..200 {
        let ask = ask(&format!("part-{number}"));
        let chosen = one.choose(&book, &ask, now).unwrap();
        assert_eq!(Some(&chosen), other.choose(&book, &ask, now).as_ref());
        engines.insert(chosen.id);
    }
    assert_eq!(engines.len(), 18);
}

#[test]
fn halls_get_prompts_in_proportion_to_their_targets_of_the_heavy_stage() {
    let (book, now) = (book(), Instant::now());
    let placer = EnginePlacer::default();
    let mut halls: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for number in 0..2_000 {
        let mut ask = ask(&format!("part-{number}"));
        ask.heavy_stage = Some("stage".to_owned());
        let chosen = placer.choose(&book, &ask, now).unwrap();
        *halls.entry(chosen.hall).or_default() += 1;
    }
    assert!((700..900).contains(&halls["hall-0"]), "{halls:?}");
    assert!((700..900).contains(&halls["hall-1"]), "{halls:?}");
    assert!((300..500).contains(&halls["hall-2"]), "{halls:?}");
}

#[test]
fn engines_that_were_tried_are_avoided_and_ended_prompts_count_no_more() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (key, first, _) = placer.place(&book, &ask("a"), now).unwrap();
    let mut again = ask("a");
    again.avoid.push(first.id.clone());
    assert_ne!(placer.choose(&book, &again, now).unwrap().id, first.id);
    placer.end(key);
    placer.end(key);
    assert!(placer.loads.is_empty() && placer.placed.is_empty());
}

#[test]
fn parts_that_are_remembered_are_bounded() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    for number in 0..MAX_PARTS + 100 {
        placer.note_holder("engine-0", &format!("p{number}"), now);
    }
    assert_eq!(placer.holders.len(), MAX_PARTS);
    // Those not used for long make room.
    let later = now + PART_KEPT + Duration::from_secs(1);
    placer.note_holder("engine-0", "new", later);
    assert_eq!(placer.holders.len(), 1);
    assert!(placer.choose(&book, &ask("new"), later).is_some());
}

#[test]
fn an_engine_that_turned_slow_is_left_and_tried_again_later() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let late = now + Duration::from_secs(5);
    let slow = placer.choose(&book, &ask("a"), now).unwrap();
    let placed: Vec<_> = (0..2)
        .map(|_| placer.place(&book, &ask("a"), now).unwrap())
        .collect();
    for (key, chosen, _) in placed {
        assert_eq!(chosen, slow);
        placer.note_read(key, late);
        placer.end(key);
    }
    assert_ne!(placer.choose(&book, &ask("a"), late).unwrap().id, slow.id);
    let later = late + SLOWNESS_KEPT * 8;
    assert_eq!(placer.choose(&book, &ask("a"), later).unwrap().id, slow.id);
}

#[test]
fn a_part_that_follows_on_one_that_is_held_counts_only_what_is_missing() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let following = |id: &str| PlaceAsk {
        prompt: prompt(9_000, vec![shared("first", 2_500), shared(id, 3_800)]),
        ..ask("")
    };
    let held = |placer: &mut EnginePlacer, id: &str| {
        placer.place(&book, &following(id), now).unwrap().2.held
    };
    assert_eq!(held(&mut placer, "a"), 0);
    assert_eq!(held(&mut placer, "a"), 6_300);
    // What follows serves only behind the part before it.
    let alone = PlaceAsk {
        prompt: prompt(9_000, vec![shared("other", 2_500), shared("a", 3_800)]),
        ..ask("")
    };
    assert_eq!(placer.place(&book, &alone, now).unwrap().2.held, 0);
}

/// A request that may end its engine goes to the one where the fewest others run, whatever that engine has
/// to read.
#[test]
fn a_prompt_that_may_end_its_engine_goes_where_the_fewest_others_run() {
    let (book, now) = (book(), Instant::now());
    let mut placer = EnginePlacer::default();
    let (_, holder, _) = placer.place(&book, &ask("p"), now).unwrap();
    let apart = PlaceAsk {
        apart: true,
        ..ask("p")
    };
    let (key, first, _) = placer.place(&book, &apart, now).unwrap();
    assert_ne!(first.id, holder.id);
    // The next one goes to another engine, and no other request beside the first.
    let (other, second, _) = placer.place(&book, &apart, now).unwrap();
    assert_ne!(second.id, first.id);
    let (_, beside, _) = placer.place(&book, &ask("q"), now).unwrap();
    assert!(beside.id != first.id && beside.id != second.id);
    placer.end(key);
    placer.end(other);
    let load = placer.loads.get(&first.id);
    assert!(load.is_none_or(|load| load.apart == 0));
}
