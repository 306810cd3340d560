//! Tests of the CSV format, verification, conflicts and incremental changes of the table.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_table::{
    ChangeRefusal, KeyDigest, RowKey, TableChange, TableRow, TableStore, diff_rows, parse_csv,
    verify_rows, write_csv,
};
use proptest::prelude::*;

const HEADER: &str = "kind,account,pipeline,stage,position,pool,weight,rate,in_flight,tokens,deadline_ms,repeatable,streams,key_digest\n";

fn good_csv() -> String {
    let (a, b) = (KeyDigest::of_key(b"key-a"), KeyDigest::of_key(b"key-b"));
    format!(
        "{HEADER}pipeline,,yard,,,,,,,,2000,yes,,
stage,,yard,encode,1,encoders,,,,,,,no,
stage,,yard,generate,2,linnet-pool,,,,,,,yes,
service,,orders,,,orders,,,,,1500,no,,
account,acme,,,,,3,100,20,9000,,,,{a}
account,birch,,,,,1,,,,,,,{b}
limit,acme,yard,,,,5,50,10,,,,,
"
    )
}

fn good_rows() -> Vec<TableRow> {
    let parsed = parse_csv(&good_csv());
    assert_eq!(parsed.faults, []);
    parsed.rows
}

fn change(base_version: u64, upserts: Vec<TableRow>, deletes: Vec<RowKey>) -> TableChange {
    TableChange {
        change_key: "c".to_owned(),
        author: "op".to_owned(),
        base_version,
        rebase: false,
        upserts,
        deletes,
    }
}

fn loaded_store() -> TableStore {
    let mut store = TableStore::new();
    store.apply(&change(0, good_rows(), Vec::new())).unwrap();
    store
}

#[test]
fn rows_survive_a_round_trip_through_store_and_csv() {
    let store = loaded_store();
    let text = write_csv(&store.rows());
    let reparsed = parse_csv(&text);
    assert_eq!(reparsed.faults, []);
    assert!(diff_rows(&good_rows(), &reparsed.rows).is_empty());
    assert_eq!(store.row_count(), 7);
    let acme = store.find_account(&KeyDigest::of_key(b"key-a")).unwrap();
    let yard = store.route_id("yard").unwrap();
    assert_eq!(store.weight(acme, yard), 5);
    assert_eq!(store.route_limits(acme, yard).rate, Some(50));
    assert_eq!(store.find_account(&KeyDigest::of_key(b"other")), None);
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let digest = KeyDigest::of_key(b"key-a");
    let text = format!(
        "{HEADER}pipeline,,yard,,,,,,,,0,maybe,,
stage,,yard,encode,1,encoders,,,,,,,yes,
stage,,yard,rank,3,,,,,,,,no,
stage,,Nowhere,rank,3,p,,,,,,,no,
service,,yard,,,orders,,,,,1500,no,,
account,acme,,,,,0,-1,x,,,,,{digest}
account,birch,,,,,1,,,,,,,{digest}
account,birch,,,,,1,,,,,,,zz
limit,ghost,moon,,,,,,,,,,,
frog,acme,,,,,1,,,,,,,
account,cedar,,,,,1,,,,99,,,{digest}
account,too,short
"
    );
    let parsed = parse_csv(&text);
    let mut faults = parsed.faults.clone();
    for fault in verify_rows(&parsed.rows) {
        let line = fault.key.as_ref().and_then(|key| parsed.line_of(key));
        faults.push(fault.with_line(line));
    }
    let shown: Vec<_> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn files_without_the_table_header_are_refused() {
    for text in ["", "kind,account\n", "a,b\n1,2\n", "\u{0}\u{ff}"] {
        assert_eq!(parse_csv(text).faults.len(), 1, "{text:?}");
    }
}

#[test]
fn conflicts_state_the_current_version_and_the_clashing_rows() {
    let mut store = loaded_store();
    let mut acme = good_rows()[4].clone();
    let mut birch = good_rows()[5].clone();
    if let (TableRow::Account(acme), TableRow::Account(birch)) = (&mut acme, &mut birch) {
        acme.weight = 9;
        birch.weight = 8;
    }
    store.apply(&change(1, vec![acme.clone()], vec![])).unwrap();
    let same_row = store.apply(&change(1, vec![acme], vec![])).unwrap_err();
    let ChangeRefusal::Conflict(conflict) = same_row else {
        panic!("{same_row}");
    };
    assert_eq!(conflict.current, 2);
    assert_eq!(conflict.clashing, [RowKey::Account("acme".to_owned())]);
    let mut other_row = change(1, vec![birch], vec![]);
    let refused = store.apply(&other_row).unwrap_err();
    assert!(matches!(refused, ChangeRefusal::Conflict(ref c) if c.clashing.is_empty()));
    other_row.rebase = true;
    assert_eq!(store.apply(&other_row), Ok(3));
}

#[test]
fn a_deleted_row_conflicts_with_a_later_edit_based_on_an_older_version() {
    let mut store = loaded_store();
    let limit = RowKey::Limit("acme".to_owned(), "yard".to_owned());
    store
        .apply(&change(1, vec![], vec![limit.clone()]))
        .unwrap();
    let mut late = change(1, vec![good_rows()[6].clone()], vec![]);
    late.rebase = true;
    let refused = store.apply(&late).unwrap_err();
    assert!(matches!(refused, ChangeRefusal::Conflict(ref c) if c.clashing == [limit.clone()]));
}

#[test]
fn deletes_are_refused_while_other_rows_refer_to_the_row() {
    let stage = |name: &str| RowKey::Stage("yard".to_owned(), name.to_owned());
    let account = RowKey::Account("acme".to_owned());
    let pipeline = RowKey::Pipeline("yard".to_owned());
    let limit = RowKey::Limit("acme".to_owned(), "yard".to_owned());
    // (rows to delete, number of faults)
    let cases = [
        (vec![account.clone()], 1),
        (vec![account.clone(), limit.clone()], 0),
        (vec![pipeline.clone()], 3),
        (
            vec![
                pipeline.clone(),
                stage("encode"),
                stage("generate"),
                limit.clone(),
            ],
            0,
        ),
        (vec![stage("encode")], 1),
        (vec![stage("generate")], 0),
        (vec![stage("encode"), stage("generate")], 1),
        (vec![RowKey::Service("nothing".to_owned())], 1),
    ];
    for (number, (deletes, count)) in cases.into_iter().enumerate() {
        let store = loaded_store();
        let result = store.check(&change(1, vec![], deletes));
        let found = match result {
            Ok(()) => 0,
            Err(ChangeRefusal::Faults(faults)) => faults.len(),
            Err(other) => panic!("{other}"),
        };
        assert_eq!(found, count, "case {number}");
    }
}

fn small_change() -> impl Strategy<Value = Vec<(u8, u8, bool)>> {
    prop::collection::vec((0..6_u8, 1..9_u8, any::<bool>()), 1..6)
}

proptest! {
    /// A replica that applies each change has the same rows as the original, and so has one that
    /// is rebuilt from a snapshot.
    #[test]
    fn replicas_that_apply_changes_or_load_snapshots_agree(steps in prop::collection::vec(small_change(), 1..20)) {
        let mut store = loaded_store();
        let mut follower = store.clone();
        for (number, step) in steps.into_iter().enumerate() {
            let mut next = change(store.version(), vec![], vec![]);
            next.change_key = number.to_string();
            for (account, weight, delete) in step {
                let name = format!("account-{account}");
                let digest = KeyDigest::of_key(name.as_bytes());
                if delete {
                    next.deletes.push(RowKey::Account(name));
                } else {
                    next.upserts.push(TableRow::Account(linnet_table::AccountRow {
                        account: name,
                        weight: weight.into(),
                        limits: Default::default(),
                        key_digests: vec![digest],
                    }));
                }
            }
            let before = store.rows();
            match store.apply(&next) {
                Ok(version) => follower.apply_checked(&next, version),
                Err(_) => prop_assert_eq!(&before, &store.rows()),
            }
            prop_assert_eq!(follower.rows(), store.rows());
            let mut rebuilt = TableStore::new();
            rebuilt.add_snapshot_rows(store.snapshot_rows());
            rebuilt.finish_snapshot(store.version(), store.tombstones());
            prop_assert_eq!(rebuilt.snapshot_rows(), store.snapshot_rows());
            prop_assert_eq!(rebuilt.tombstones(), store.tombstones());
        }
    }

    /// Parsing returns rows or faults for any text after the header.
    #[test]
    fn the_csv_parser_does_not_panic_on_any_text(body in ".{0,200}") {
        let parsed = parse_csv(&format!("{HEADER}{body}"));
        let _ = verify_rows(&parsed.rows);
    }
}
