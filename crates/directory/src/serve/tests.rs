use super::*;

#[test]
fn update_spacing_grows_with_subscribers_but_not_for_control_hosts() {
    assert_eq!(min_update_spacing(true, 300), Duration::ZERO);
    assert!(min_update_spacing(false, 10) < Duration::from_millis(5));
    let spacing = min_update_spacing(false, 300);
    assert!(
        spacing > Duration::from_millis(100) && spacing < UPDATE_INTERVAL / 3,
        "{spacing:?}"
    );
}
