//! Recovery, corruption, full disks and failed syncs.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use linnet_journal::{DataFolder, DiskOps, Journal, JournalError, JournalWriter};

fn record(number: u8) -> Vec<u8> {
    vec![number; 10 + number as usize]
}

fn open(
    path: &Path,
) -> Result<(Journal, linnet_journal::RecoveredJournal, DataFolder), JournalError> {
    let folder = DataFolder::open(path, 7)?;
    let (journal, recovered) = Journal::open(&folder, DiskOps::new())?;
    Ok((journal, recovered, folder))
}

fn journal_file(path: &Path) -> PathBuf {
    path.join("journal-0000000000000000")
}

/// Writes three frames of one record each and returns the length of the file after each.
fn write_three(path: &Path) -> Vec<usize> {
    let (mut journal, _, _folder) = open(path).unwrap();
    (1..=3)
        .map(|number| {
            journal.append(&[record(number)]).unwrap();
            journal.length_bytes() as usize
        })
        .collect()
}

#[test]
fn a_torn_write_at_any_byte_of_the_last_frame_is_truncated() {
    let dir = tempfile::tempdir().unwrap();
    let lengths = write_three(dir.path());
    let complete = fs::read(journal_file(dir.path())).unwrap();
    for length in lengths[1]..lengths[2] {
        fs::write(journal_file(dir.path()), &complete[..length]).unwrap();
        let (mut journal, recovered, folder) = open(dir.path()).unwrap();
        assert_eq!(
            recovered.records,
            [record(1), record(2)],
            "torn at byte {length}"
        );
        assert_eq!(recovered.torn_bytes as usize, length - lengths[1]);
        journal.append(&[record(9)]).unwrap();
        drop((journal, folder));
        let (_, again, _folder) = open(dir.path()).unwrap();
        assert_eq!(again.records, [record(1), record(2), record(9)]);
    }
}

#[test]
fn a_corrupt_byte_before_the_last_frame_is_rejected_with_the_offset_of_its_frame() {
    let dir = tempfile::tempdir().unwrap();
    let lengths = write_three(dir.path());
    let complete = fs::read(journal_file(dir.path())).unwrap();
    for position in 0..lengths[1] {
        let mut bytes = complete.clone();
        bytes[position] ^= 0x40;
        fs::write(journal_file(dir.path()), &bytes).unwrap();
        let frame_start = if position < lengths[0] { 0 } else { lengths[0] };
        match open(dir.path()) {
            Err(JournalError::Corrupt { offset, path, .. }) => {
                assert_eq!(offset as usize, frame_start, "byte {position}");
                assert_eq!(path, journal_file(dir.path()));
            }
            other => panic!(
                "corrupt byte {position} was accepted: {:?}",
                other.map(|found| found.1)
            ),
        }
    }
}

#[test]
fn a_compacted_journal_is_recovered_with_snapshot_and_later_records() {
    let dir = tempfile::tempdir().unwrap();
    {
        let (mut journal, _, _folder) = open(dir.path()).unwrap();
        journal.append(&[record(1), record(2)]).unwrap();
        journal.compact(b"state", &[record(2)]).unwrap();
        journal.append(&[record(3)]).unwrap();
    }
    let (_, recovered, _folder) = open(dir.path()).unwrap();
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
    assert_eq!(recovered.records, [record(2), record(3)]);
}

#[test]
fn a_crash_during_compaction_leaves_one_complete_generation() {
    let dir = tempfile::tempdir().unwrap();
    write_three(dir.path());
    // The snapshot of the next generation exists, its journal does not yet.
    fs::write(dir.path().join("snapshot-0000000000000001"), b"half").unwrap();
    let (_, recovered, _folder) = open(dir.path()).unwrap();
    assert_eq!(recovered.records.len(), 3);
    assert_eq!(recovered.snapshot, None);
}

#[test]
fn a_write_to_a_full_disk_is_refused_and_earlier_records_are_kept() {
    let dir = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let is_full = full.clone();
    let ops = DiskOps::new().with_write(move |file, bytes| {
        if is_full.load(Ordering::Relaxed) {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        file.write_all(bytes)
    });
    let folder = DataFolder::open(dir.path(), 7).unwrap();
    let (mut journal, _) = Journal::open(&folder, ops).unwrap();
    journal.append(&[record(1)]).unwrap();
    full.store(true, Ordering::Relaxed);
    let refused = journal.append(&[record(2)]).unwrap_err();
    assert!(matches!(refused, JournalError::DiskFull { .. }));
    full.store(false, Ordering::Relaxed);
    journal.append(&[record(3)]).unwrap();
    drop((journal, folder));
    let (_, recovered, _folder) = open(dir.path()).unwrap();
    assert_eq!(recovered.records, [record(1), record(3)]);
}

#[test]
fn a_failed_sync_is_fatal_and_its_records_are_never_acknowledged() {
    let dir = tempfile::tempdir().unwrap();
    let folder = DataFolder::open(dir.path(), 7).unwrap();
    let ops = DiskOps::new().with_sync(|_| Err(io::Error::other("device gone")));
    let (journal, _) = Journal::open(&folder, ops).unwrap();
    let (fatal_sender, fatal_receiver) = std::sync::mpsc::channel();
    let writer = JournalWriter::new(journal, move |error| fatal_sender.send(error).unwrap());
    let first = writer.append(vec![record(1)]);
    assert!(fatal_receiver.recv().unwrap().is_fatal());
    assert!(first.blocking_recv().is_err());
    assert!(writer.append(vec![record(2)]).blocking_recv().is_err());
}

#[test]
fn a_locked_folder_cannot_be_opened_again() {
    let dir = tempfile::tempdir().unwrap();
    let _first = DataFolder::open(dir.path(), 1).unwrap();
    let second = DataFolder::open(dir.path(), 2).unwrap_err();
    assert!(matches!(second, JournalError::Locked { .. }));
}

#[test]
fn a_wiped_folder_gets_a_new_identity_and_records_without_metadata_are_rejected() {
    let dir = tempfile::tempdir().unwrap();
    write_three(dir.path());
    fs::remove_file(dir.path().join("mark")).unwrap();
    let refused = DataFolder::open(dir.path(), 8).unwrap_err();
    assert!(matches!(refused, JournalError::Corrupt { .. }));
    fs::remove_file(journal_file(dir.path())).unwrap();
    let wiped = DataFolder::open(dir.path(), 8).unwrap();
    assert_eq!(wiped.metadata().identity, 8);
    assert_eq!(wiped.metadata().cluster, None);
}

#[test]
fn appends_after_a_refused_one_are_refused_until_the_owner_resumes() {
    let dir = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(true));
    let is_full = full.clone();
    let ops = DiskOps::new().with_write(move |file, bytes| {
        if is_full.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        file.write_all(bytes)
    });
    let folder = DataFolder::open(dir.path(), 7).unwrap();
    let (journal, _) = Journal::open(&folder, ops).unwrap();
    let writer = JournalWriter::new(journal, |error| panic!("{error}"));
    assert!(
        writer
            .append(vec![record(1)])
            .blocking_recv()
            .unwrap()
            .is_err()
    );
    full.store(false, Ordering::Relaxed);
    assert!(
        writer
            .append(vec![record(2)])
            .blocking_recv()
            .unwrap()
            .is_err()
    );
    writer.resume();
    assert!(
        writer
            .append(vec![record(3)])
            .blocking_recv()
            .unwrap()
            .is_ok()
    );
    drop((writer, folder));
    let mut reopened = open(dir.path());
    while matches!(reopened, Err(JournalError::Locked { .. })) {
        reopened = open(dir.path());
    }
    assert_eq!(reopened.unwrap().1.records, [record(3)]);
}
