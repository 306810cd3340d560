use super::*;

#[test]
fn the_heaviest_hall_counts_bytes_and_not_results() {
    let mut places = HallBytes::default();
    assert_eq!(places.heaviest(), None);
    // Many small results in one hall, one large one in another.
    for _ in 0..16 {
        places.add("a", 6_000);
    }
    places.add("b", 3_000_000);
    assert_eq!(places.heaviest(), Some(("b", 3_000_000)));
    assert_eq!(places.crossing_to("b"), 96_000);
    assert_eq!(places.crossing_to("a"), 3_000_000);
    assert_eq!(places.crossing_to("c"), 3_096_000);
}
