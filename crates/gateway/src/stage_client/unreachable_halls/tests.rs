use std::time::Instant;

use super::*;

#[test]
fn a_hall_is_unreachable_when_enough_of_its_connections_are_lost_and_none_is_up() {
    let opening = Some(LinkState::Opening(Instant::now()));
    let (up, lost, never) = (Some(LinkState::Up), Some(LinkState::Lost), None);
    // Connections to the hosts of another hall, and whether it counts as unreachable.
    let cases = [
        (vec![never, never, never], false),
        (vec![lost, never, never], false),
        (vec![lost, lost, never], true),
        (vec![lost, lost, opening], true),
        (vec![lost, lost, up], false),
        (vec![lost], true),
        (vec![opening], false),
    ];
    for (links, unreachable) in cases {
        let hosts = links.iter().map(|link| ("other", *link));
        let found = find_unreachable_halls("own", hosts);
        assert_eq!(found.contains("other"), unreachable, "{links:?}");
    }
}

#[test]
fn the_own_hall_is_never_unreachable() {
    let hosts = [
        ("own", Some(LinkState::Lost)),
        ("own", Some(LinkState::Lost)),
    ];
    assert!(find_unreachable_halls("own", hosts.into_iter()).is_empty());
}
