//! Runs a journal on its own thread, so that network tasks do not block on the disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use tokio::sync::oneshot;

use crate::{Journal, JournalError};

/// Size of the collected records at which a group is closed, so that it fits into one frame.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// Resolves when the records are durable, with an error if the write was refused.
pub type CommitReceiver = oneshot::Receiver<Result<(), WriteRefusal>>;

/// Why records were not written; the journal stays usable.
pub type WriteRefusal = String;

enum Job {
    Append(Vec<Vec<u8>>, oneshot::Sender<Result<(), WriteRefusal>>),
    Compact(
        Vec<u8>,
        Vec<Vec<u8>>,
        oneshot::Sender<Result<(), WriteRefusal>>,
    ),
    Barrier(oneshot::Sender<Result<(), WriteRefusal>>),
    Resume,
}

/// A handle to the thread that owns a journal. Jobs run in the order in which they are queued.
///
/// After a refused append every later job is refused too, until [`JournalWriter::resume`]: records
/// after a refused one would leave a gap in the journal.
#[derive(Clone)]
pub struct JournalWriter {
    jobs: Sender<Job>,
}

impl JournalWriter {
    /// Starts the thread. `on_fatal` is called once on a fatal disk error; it must end the process,
    /// since nothing acknowledged afterwards would be durable.
    pub fn new(journal: Journal, on_fatal: impl FnOnce(JournalError) + Send + 'static) -> Self {
        let (jobs, queue) = channel();
        thread::spawn(move || run_jobs(journal, queue, on_fatal));
        Self { jobs }
    }

    /// Queues records; all appends that are queued when the disk is idle share one frame and one
    /// sync.
    pub fn append(&self, records: Vec<Vec<u8>>) -> CommitReceiver {
        let (done, receiver) = oneshot::channel();
        // A closed queue drops `done`, which the receiver reports.
        let _ = self.jobs.send(Job::Append(records, done));
        receiver
    }

    /// Returns a receiver that resolves once all records that were passed on before are synced.
    pub fn barrier(&self) -> CommitReceiver {
        let (done, receiver) = oneshot::channel();
        let _ = self.jobs.send(Job::Barrier(done));
        receiver
    }

    /// Accepts jobs again after a refused append; to be called once the owner has rolled back the
    /// refused records.
    pub fn resume(&self) {
        let _ = self.jobs.send(Job::Resume);
    }

    /// Queues a compaction to a snapshot and the records that follow it.
    pub fn compact(&self, snapshot: Vec<u8>, records: Vec<Vec<u8>>) -> CommitReceiver {
        let (done, receiver) = oneshot::channel();
        let _ = self.jobs.send(Job::Compact(snapshot, records, done));
        receiver
    }
}

fn run_jobs(
    mut journal: Journal,
    queue: Receiver<Job>,
    on_fatal: impl FnOnce(JournalError) + Send + 'static,
) {
    let mut blocked = false;
    let mut next_job: Option<Job> = None;
    loop {
        let Some(job) = next_job.take().or_else(|| queue.recv().ok()) else {
            return;
        };
        let (result, waiters) = match job {
            Job::Resume => {
                blocked = false;
                continue;
            }
            Job::Append(_, done) | Job::Compact(_, _, done) | Job::Barrier(done) if blocked => {
                let _ = done.send(Err("an earlier write was refused".to_owned()));
                continue;
            }
            Job::Append(mut records, done) => {
                let mut waiters = vec![done];
                next_job = collect_group(&queue, &mut records, &mut waiters);
                let result = journal.append(&records);
                blocked = result.is_err();
                (result, waiters)
            }
            Job::Barrier(done) => (Ok(()), vec![done]),
            Job::Compact(snapshot, records, done) => {
                (journal.compact(&snapshot, &records), vec![done])
            }
        };
        if let Err(error) = notify_waiters(result, waiters) {
            on_fatal(error);
            return;
        }
    }
}

// Adds the queued appends to a group until it reaches `MAX_GROUP_BYTES`; returns the first other
// job.
fn collect_group(
    queue: &Receiver<Job>,
    records: &mut Vec<Vec<u8>>,
    waiters: &mut Vec<oneshot::Sender<Result<(), WriteRefusal>>>,
) -> Option<Job> {
    let mut bytes: usize = records.iter().map(Vec::len).sum();
    while bytes < MAX_GROUP_BYTES {
        match queue.try_recv() {
            Ok(Job::Append(more, done)) => {
                bytes += more.iter().map(Vec::len).sum::<usize>();
                records.extend(more);
                waiters.push(done);
            }
            Ok(Job::Barrier(done)) => waiters.push(done),
            Ok(other) => return Some(other),
            Err(_) => return None,
        }
    }
    None
}

// Reports a result to the waiters of a job, unless it is a fatal error, which is returned.
fn notify_waiters(
    result: Result<(), JournalError>,
    waiters: Vec<oneshot::Sender<Result<(), WriteRefusal>>>,
) -> Result<(), JournalError> {
    let outcome = match result {
        Ok(()) => Ok(()),
        Err(error) if error.is_fatal() => return Err(error),
        Err(error) => Err(error.to_string()),
    };
    for done in waiters {
        let _ = done.send(outcome.clone());
    }
    Ok(())
}
