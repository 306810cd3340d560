use super::*;

/// Guards against small answers that are cut since others hold too much.
#[test]
fn only_answers_above_an_even_share_are_cut() {
    let held = HeldBytes::default();
    let (mut large, mut small, mut next) = (held.begin(), held.begin(), held.begin());
    assert_eq!(large.set(MAX_HELD_BYTES), Ok(()));
    assert_eq!(small.set(1_000), Ok(()));
    assert_eq!(large.set(MAX_HELD_BYTES + 1), Err(ShareExceeded));
    assert_eq!(next.set(MAX_HELD_BYTES / 3), Ok(()));
    assert_eq!(next.set(MAX_HELD_BYTES / 3 + 1), Err(ShareExceeded));
    drop(large);
    assert_eq!(next.set(MAX_HELD_BYTES / 2), Ok(()));
}

/// Guards against a bound that shrinks with each answer.
#[test]
fn answers_that_have_ended_hold_nothing() {
    let held = HeldBytes::default();
    for _ in 0..3 {
        let mut share = held.begin();
        assert_eq!(share.set(MAX_HELD_BYTES), Ok(()));
        assert_eq!(share.set(0), Ok(()));
        assert_eq!(share.set(MAX_HELD_BYTES), Ok(()));
    }
    assert_eq!((held.0.bytes.get(), held.0.holders.get()), (0, 0));
}
