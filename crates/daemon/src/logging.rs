//! The log: one line per event, with key-values, on standard output.
//!
//! Writing a line never blocks: lines go through a bounded queue to a writer thread. Lines that are dropped
//! because the queue is full are counted, and the count is logged as a separate line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};

/// Maximum number of lines queued for the writer thread.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are collected before they are written, so that a busy process makes few writes.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time that a process waits at its end for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the log; the level is taken from `RUST_LOG`, by default `info` for linnetdale and `warn` for the rest.
pub fn start_logging() {
    let settings = env_logger::Env::default().default_filter_or("linnetdale=info,warn");
    let queue = LineQueue::start(Box::new(io::stdout()), MAX_QUEUED_LINES);
    let _ = LOG_QUEUE.set(queue.clone());
    let started = env_logger::Builder::from_env(settings)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(|out, record| {
            write!(out, "{} {}", out.timestamp_millis(), record.level())?;
            let mut pairs = KeyValueWriter { out };
            let _ = record.key_values().visit(&mut pairs);
            writeln!(pairs.out, " {}", record.args())
        })
        .try_init();
    if let Err(error) = started {
        eprintln!("cannot start the log, a logger is already set: {error}");
    }
}

static LOG_QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Waits, for at most `FLUSH_TIMEOUT`, until the queued lines are written.
pub fn flush_logs() {
    if let Some(queue) = LOG_QUEUE.get() {
        queue.flush_within(FLUSH_TIMEOUT);
    }
}

enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of lines for a writer thread, whose output may be slow.
#[derive(Clone)]
pub struct LineQueue {
    jobs: SyncSender<Job>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer thread; at most `capacity` lines are queued for it.
    pub fn start(out: Box<dyn Write + Send>, capacity: usize) -> Self {
        let (jobs, queue) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let out = Mutex::new(out);
        std::thread::spawn(move || write_lines(&out, &queue, &counted));
        Self { jobs, dropped }
    }

    /// Waits until everything queued so far is written, for at most `limit`.
    pub fn flush_within(&self, limit: Duration) {
        let (done, written) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            let _ = written.recv_timeout(limit);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.jobs.try_send(Job::Line(line.to_vec())) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(out: &Mutex<Box<dyn Write + Send>>, queue: &Receiver<Job>, dropped: &AtomicU64) {
    let mut out = out.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = Vec::new();
    let mut flush_waiters = Vec::new();
    loop {
        match queue.recv() {
            Ok(Job::Line(line)) => text.extend(line),
            Ok(Job::Flush(done)) => flush_waiters.push(done),
            Err(_) => return,
        }
        if flush_waiters.is_empty() {
            std::thread::sleep(BATCH_INTERVAL);
        }
        loop {
            match queue.try_recv() {
                Ok(Job::Line(line)) => text.extend(line),
                Ok(Job::Flush(done)) => flush_waiters.push(done),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = format!(
                "{} WARN log lines dropped={dropped_lines}\n",
                now.as_millis()
            );
            text.extend(line.into_bytes());
        }
        // An error of the log output cannot be reported anywhere.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in flush_waiters.drain(..) {
            let _ = done.send(());
        }
    }
}

struct KeyValueWriter<'a> {
    out: &'a mut env_logger::fmt::Formatter,
}

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if !text.is_empty() {
            write!(self.out, " {key}={text}")?;
        }
        Ok(())
    }
}
