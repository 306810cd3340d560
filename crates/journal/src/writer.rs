//! Runs a journal on a thread of its own, so that no network task waits for the disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use tokio::sync::oneshot;

use crate::{Journal, JournalError};

/// Records that one frame takes at most, so that a group stays within a frame.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// Resolves when the records are durable, with an error when they were not kept.
pub type CommitReceiver = oneshot::Receiver<Result<(), WriteRefusal>>;

/// Why records were not kept; the journal goes on.
pub type WriteRefusal = String;

enum Job {
    Append(Vec<Vec<u8>>, oneshot::Sender<Result<(), WriteRefusal>>),
    Compact(
        Vec<u8>,
        Vec<Vec<u8>>,
        oneshot::Sender<Result<(), WriteRefusal>>,
    ),
    Resume,
}

/// A handle to the thread that owns a journal. Jobs are done in the order they were given.
///
/// After a refused write every later job is refused too, until [`JournalWriter::resume`]: the
/// records after a refused one would stand in the journal with a gap before them.
#[derive(Clone)]
pub struct JournalWriter {
    jobs: Sender<Job>,
}

impl JournalWriter {
    /// Starts the thread. `on_fatal` runs once when the disk fails for good; it must end the
    /// process, since nothing that is answered after it would be durable.
    pub fn new(journal: Journal, on_fatal: impl FnOnce(JournalError) + Send + 'static) -> Self {
        let (jobs, queue) = channel();
        thread::spawn(move || run_jobs(journal, queue, on_fatal));
        Self { jobs }
    }

    /// Queues records; all that waits when the disk is free goes into one frame and one sync.
    pub fn append(&self, records: Vec<Vec<u8>>) -> CommitReceiver {
        let (done, ticket) = oneshot::channel();
        // A closed queue drops `done`, which the ticket reports.
        let _ = self.jobs.send(Job::Append(records, done));
        ticket
    }

    /// Says that the owner took back what was refused; jobs queued from here on are done again.
    pub fn resume(&self) {
        let _ = self.jobs.send(Job::Resume);
    }

    /// Queues a snapshot together with the records that continue it.
    pub fn compact(&self, snapshot: Vec<u8>, records: Vec<Vec<u8>>) -> CommitReceiver {
        let (done, ticket) = oneshot::channel();
        let _ = self.jobs.send(Job::Compact(snapshot, records, done));
        ticket
    }
}

fn run_jobs(
    mut journal: Journal,
    queue: Receiver<Job>,
    on_fatal: impl FnOnce(JournalError) + Send + 'static,
) {
    let mut blocked = false;
    let mut held: Option<Job> = None;
    loop {
        let Some(job) = held.take().or_else(|| queue.recv().ok()) else {
            return;
        };
        let (result, waiting) = match job {
            Job::Resume => {
                blocked = false;
                continue;
            }
            Job::Append(_, done) | Job::Compact(_, _, done) if blocked => {
                let _ = done.send(Err("an earlier write was refused".to_owned()));
                continue;
            }
            Job::Append(mut records, done) => {
                let mut waiting = vec![done];
                held = gather_group(&queue, &mut records, &mut waiting);
                let result = journal.append(&records);
                blocked = result.is_err();
                (result, waiting)
            }
            Job::Compact(snapshot, records, done) => {
                (journal.compact(&snapshot, &records), vec![done])
            }
        };
        if let Err(error) = finish(result, waiting) {
            on_fatal(error);
            return;
        }
    }
}

// Takes appends that already wait into the group, up to its size; returns the first other job.
fn gather_group(
    queue: &Receiver<Job>,
    records: &mut Vec<Vec<u8>>,
    waiting: &mut Vec<oneshot::Sender<Result<(), WriteRefusal>>>,
) -> Option<Job> {
    let mut bytes: usize = records.iter().map(Vec::len).sum();
    while bytes < MAX_GROUP_BYTES {
        match queue.try_recv() {
            Ok(Job::Append(more, done)) => {
                bytes += more.iter().map(Vec::len).sum::<usize>();
                records.extend(more);
                waiting.push(done);
            }
            Ok(other) => return Some(other),
            Err(_) => return None,
        }
    }
    None
}

fn finish(
    result: Result<(), JournalError>,
    waiting: Vec<oneshot::Sender<Result<(), WriteRefusal>>>,
) -> Result<(), JournalError> {
    let answer = match result {
        Ok(()) => Ok(()),
        Err(error) if error.is_fatal() => return Err(error),
        Err(error) => Err(error.to_string()),
    };
    for done in waiting {
        let _ = done.send(answer.clone());
    }
    Ok(())
}
