//! Checks that docs/PROOFS.csv and docs/CALLERS.md match the code.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path::{Path, PathBuf};

use linnetdale::entry::ErrorCode;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the text of all test files of the workspace: the files in `tests` of each crate, and the
/// `tests.rs` files and `tests` folders of its modules.
fn test_sources() -> String {
    let mut text = String::new();
    let crates = std::fs::read_dir(root().join("crates")).unwrap();
    let crates = crates.map(|krate| krate.unwrap().path());
    for krate in crates.chain([root().join("platform")]) {
        add_files(
            &krate.join("tests"),
            &|path| path.extension().is_some_and(|end| end == "rs"),
            &mut text,
        );
        add_files(&krate.join("src"), &is_module_test, &mut text);
    }
    text
}

fn is_module_test(path: &Path) -> bool {
    let folder = path.parent().and_then(Path::file_name);
    path.ends_with("tests.rs") || folder.is_some_and(|name| name == "tests")
}

fn add_files(folder: &Path, wanted: &dyn Fn(&Path) -> bool, text: &mut String) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.map(|entry| entry.unwrap().path()) {
        if path.is_dir() {
            add_files(&path, wanted, text);
        } else if wanted(&path) {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

#[test]
fn every_proof_refers_to_an_existing_test_or_states_why_there_is_none() {
    let sources = test_sources();
    let table = std::fs::read_to_string(root().join("docs/PROOFS.csv")).unwrap();
    let mut rows = csv::Reader::from_reader(table.as_bytes());
    assert_eq!(
        rows.headers().unwrap(),
        vec!["promise", "fault", "test", "kind", "result"]
    );
    let mut count = 0;
    for row in rows.records().map(Result::unwrap) {
        let (test, result) = (&row[2], &row[4]);
        let defined =
            sources.contains(&format!("fn {test}(")) || sources.contains(&format!("    {test}: "));
        assert!(test.is_empty() || defined, "no test {test}");
        assert!(!result.is_empty(), "{row:?} has no result");
        count += 1;
    }
    assert!(count > 50, "{count} rows");
}

#[test]
fn the_callers_page_lists_every_error() {
    let page = std::fs::read_to_string(root().join("docs/CALLERS.md")).unwrap();
    for code in ErrorCode::ALL {
        let row = format!(
            "| `{}` | {} | {} |",
            code.text(),
            code.status(),
            code.meaning()
        );
        assert!(page.contains(&row), "{row}");
    }
}
