//! The journal: an append-only file of frames that continues a snapshot.
//!
//! Generation `g` is the pair `snapshot-g` and `journal-g`; generation 0 has no snapshot.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use crate::folder::replace_file;
use crate::frame::{decode_frame, encode_frame, find_frame};
use crate::{DataFolder, DiskOps, JournalError, JournalStep};

/// Content of a journal when it was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveredJournal {
    /// The snapshot before the records, if there is one.
    pub snapshot: Option<Vec<u8>>,
    /// The records after the snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Size of a torn last frame that was truncated.
    pub torn_bytes: u64,
}

/// An open journal. Each append is one frame, synced before it returns.
pub struct Journal {
    folder: PathBuf,
    generation: u64,
    path: PathBuf,
    file: File,
    length: u64,
    next_sequence: u64,
    ops: DiskOps,
    frame_buffer: Vec<u8>,
}

impl Journal {
    /// Opens the journal of a data folder and reads its snapshot and records.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] with file and offset if bytes before the last frame are invalid;
    /// a fatal error if files cannot be read.
    pub fn open(
        folder: &DataFolder,
        ops: DiskOps,
    ) -> Result<(Self, RecoveredJournal), JournalError> {
        let path = folder.path();
        let generation = newest_generation(path)?;
        let snapshot = read_snapshot(path, generation)?;
        let journal_path = path.join(journal_name(generation));
        let bytes = read_or_create(path, &journal_path, generation)?;
        let scan = scan_frames(&journal_path, &bytes)?;
        let mut file = OpenOptions::new()
            .write(true)
            .open(&journal_path)
            .map_err(|error| JournalError::fatal(JournalStep::Recover, &journal_path, error))?;
        let torn_bytes = bytes.len() as u64 - scan.length;
        truncate_to(&mut file, scan.length)
            .map_err(|error| JournalError::fatal(JournalStep::Recover, &journal_path, error))?;
        remove_other_generations(path, generation);
        let recovered = RecoveredJournal {
            snapshot,
            records: scan.records,
            torn_bytes,
        };
        let journal = Self {
            folder: path.to_owned(),
            generation,
            path: journal_path,
            file,
            length: scan.length,
            next_sequence: scan.next_sequence,
            ops,
            frame_buffer: Vec::new(),
        };
        Ok((journal, recovered))
    }

    /// Appends records as one frame and syncs it.
    ///
    /// # Errors
    ///
    /// [`JournalError::DiskFull`] if the disk is full: the write is undone and the journal stays
    /// usable. A fatal error if a write could not be undone or a sync failed: the state of the disk
    /// is unknown then, and a second sync that succeeds would not prove that the data is durable.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), JournalError> {
        let payload = encode_records(records);
        self.frame_buffer.clear();
        encode_frame(self.next_sequence, &payload, &mut self.frame_buffer);
        if let Err(source) = (self.ops.write)(&mut self.file, &self.frame_buffer) {
            return Err(self.undo_write(source));
        }
        (self.ops.sync)(&self.file)
            .map_err(|error| JournalError::fatal(JournalStep::Sync, &self.path, error))?;
        self.length += self.frame_buffer.len() as u64;
        self.next_sequence += 1;
        Ok(())
    }

    /// Replaces the content of the journal by a snapshot and the records that follow it.
    ///
    /// # Errors
    ///
    /// [`JournalError::DiskFull`] if the new generation could not be written: the old one stays in
    /// use. A fatal error if the new journal file cannot be opened.
    pub fn compact(&mut self, snapshot: &[u8], records: &[Vec<u8>]) -> Result<(), JournalError> {
        let generation = self.generation + 1;
        let mut frame = Vec::new();
        encode_frame(generation, snapshot, &mut frame);
        let name = snapshot_name(generation);
        replace_file(&self.folder, &name, &frame).map_err(|error| self.compact_error(error))?;
        frame.clear();
        encode_frame(0, &encode_records(records), &mut frame);
        let name = journal_name(generation);
        replace_file(&self.folder, &name, &frame).map_err(|error| self.compact_error(error))?;
        let path = self.folder.join(name);
        let opened = OpenOptions::new().append(true).open(&path);
        self.file =
            opened.map_err(|error| JournalError::fatal(JournalStep::Compact, &path, error))?;
        self.generation = generation;
        self.path = path;
        self.length = frame.len() as u64;
        self.next_sequence = 1;
        remove_other_generations(&self.folder, generation);
        Ok(())
    }

    /// Returns the size of the journal file in bytes.
    pub fn length_bytes(&self) -> u64 {
        self.length
    }

    fn undo_write(&mut self, source: io::Error) -> JournalError {
        let truncated = truncate_to(&mut self.file, self.length);
        let is_full = source.kind() == io::ErrorKind::StorageFull
            || source.kind() == io::ErrorKind::QuotaExceeded;
        match truncated {
            Ok(()) if is_full => JournalError::DiskFull {
                step: JournalStep::Write,
                path: self.path.clone(),
                source,
            },
            _ => JournalError::fatal(JournalStep::Write, &self.path, source),
        }
    }

    fn compact_error(&self, source: io::Error) -> JournalError {
        JournalError::DiskFull {
            step: JournalStep::Compact,
            path: self.folder.clone(),
            source,
        }
    }
}

struct FrameScan {
    records: Vec<Vec<u8>>,
    length: u64,
    next_sequence: u64,
}

// An invalid last frame is a torn write, which was never acknowledged, so it is truncated. An
// invalid frame before a valid one had been synced, so the file is rejected as corrupt.
fn scan_frames(path: &Path, bytes: &[u8]) -> Result<FrameScan, JournalError> {
    let corrupt = |offset: usize, reason: String| JournalError::Corrupt {
        step: JournalStep::Recover,
        path: path.to_owned(),
        offset: offset as u64,
        reason,
    };
    let mut scan = FrameScan {
        records: Vec::new(),
        length: 0,
        next_sequence: 0,
    };
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(frame) = decode_frame(bytes, offset) else {
            return match find_frame(bytes, offset + 1) {
                Some(next) => Err(corrupt(
                    offset,
                    format!("invalid frame, but a valid one follows at byte {next}"),
                )),
                None => Ok(scan),
            };
        };
        if frame.sequence != scan.next_sequence {
            let reason = format!(
                "sequence number {}, expected {}",
                frame.sequence, scan.next_sequence
            );
            return Err(corrupt(offset, reason));
        }
        let records = decode_records(frame.payload)
            .ok_or_else(|| corrupt(offset, "record lengths do not match the frame".to_owned()))?;
        scan.records.extend(records);
        scan.next_sequence += 1;
        offset = frame.end;
        scan.length = offset as u64;
    }
    Ok(scan)
}

fn encode_records(records: &[Vec<u8>]) -> Vec<u8> {
    let mut payload = Vec::new();
    for record in records {
        payload.extend_from_slice(&(record.len() as u32).to_le_bytes());
        payload.extend_from_slice(record);
    }
    payload
}

fn decode_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (head, rest) = payload.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*head) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        payload = rest;
    }
    Some(records)
}

fn newest_generation(folder: &Path) -> Result<u64, JournalError> {
    let listing = fs::read_dir(folder)
        .map_err(|error| JournalError::fatal(JournalStep::Recover, folder, error))?;
    let newest = listing
        .filter_map(Result::ok)
        .filter_map(|entry| parse_generation(&entry.file_name().to_string_lossy(), "journal-"))
        .max();
    Ok(newest.unwrap_or(0))
}

fn parse_generation(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}

fn journal_name(generation: u64) -> String {
    format!("journal-{generation:016x}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:016x}")
}

fn read_snapshot(folder: &Path, generation: u64) -> Result<Option<Vec<u8>>, JournalError> {
    if generation == 0 {
        return Ok(None);
    }
    let path = folder.join(snapshot_name(generation));
    let bytes =
        fs::read(&path).map_err(|error| JournalError::fatal(JournalStep::Recover, &path, error))?;
    let frame = decode_frame(&bytes, 0)
        .filter(|frame| frame.sequence == generation && frame.end == bytes.len());
    match frame {
        Some(frame) => Ok(Some(frame.payload.to_vec())),
        None => Err(JournalError::Corrupt {
            step: JournalStep::Recover,
            path,
            offset: 0,
            reason: "the snapshot is incomplete or invalid".to_owned(),
        }),
    }
}

fn read_or_create(folder: &Path, path: &Path, generation: u64) -> Result<Vec<u8>, JournalError> {
    let fatal = |error| JournalError::fatal(JournalStep::Recover, path, error);
    if generation == 0 && !path.exists() {
        replace_file(folder, &journal_name(0), &[]).map_err(fatal)?;
    }
    fs::read(path).map_err(fatal)
}

fn truncate_to(file: &mut File, length: u64) -> io::Result<()> {
    file.set_len(length)?;
    file.seek(SeekFrom::Start(length))?;
    file.sync_all()
}

// Called once the given generation is complete, so the others are not needed. A failure to remove
// them costs disk space, not data.
fn remove_other_generations(folder: &Path, generation: u64) {
    let Ok(listing) = fs::read_dir(folder) else {
        return;
    };
    for entry in listing.filter_map(Result::ok) {
        let name = entry.file_name().to_string_lossy().into_owned();
        let found = parse_generation(&name, "journal-").or(parse_generation(&name, "snapshot-"));
        if found.is_some_and(|found| found != generation) {
            let _ = fs::remove_file(entry.path());
        }
    }
}
