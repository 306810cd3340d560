use super::*;

#[test]
fn the_heaviest_hall_is_chosen_by_bytes_and_not_by_results() {
    let mut results = HallBytes::default();
    assert_eq!(results.heaviest(), None);
    // Many small results in one hall, one large one in another.
    for _ in 0..16 {
        results.add("a", 6_000);
    }
    results.add("b", 3_000_000);
    assert_eq!(results.heaviest(), Some(("b", 3_000_000)));
    assert_eq!(results.bytes_crossing_to("b"), 96_000);
    assert_eq!(results.bytes_crossing_to("a"), 3_000_000);
    assert_eq!(results.bytes_crossing_to("c"), 3_096_000);
}
