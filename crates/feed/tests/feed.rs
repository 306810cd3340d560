//! The version of the table that readers of a process see never decreases.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_feed::TableFeed;
use linnet_table::{TableChange, TableStore};

fn change(base_version: u64) -> TableChange {
    TableChange {
        change_key: format!("c{base_version}"),
        author: "op".to_owned(),
        base_version,
        rebase: false,
        upserts: Vec::new(),
        deletes: Vec::new(),
    }
}

/// Returns the complete table of a version, as a source sends it.
fn image(version: u64) -> TableStore {
    let mut image = TableStore::new();
    image.finish_snapshot(version, Vec::new());
    image
}

#[test]
fn late_images_and_changes_of_a_second_source_do_not_lower_the_version() {
    let feed = TableFeed::new();
    let versions = feed.subscribe();
    assert!(feed.apply_image(image(5)));
    assert!(feed.apply_checked_change(6, change(5)));
    for late in [0, 4, 5, 6] {
        assert!(!feed.apply_image(image(late)), "image {late}");
        assert!(
            !feed.apply_checked_change(late, change(late)),
            "change {late}"
        );
        assert_eq!((feed.version(), *versions.borrow()), (6, 6));
    }
    // A change that does not follow would skip those between.
    assert!(!feed.apply_checked_change(8, change(7)));
    assert!(feed.apply_image(image(9)));
    assert_eq!(feed.read().version(), 9);
    assert_eq!(*versions.borrow(), 9);
}
