//! The log: one line an event, with key-values, on standard output.
//!
//! Writing a line never waits: lines go through a bounded queue to a thread of their own. Lines that
//! find the queue full are counted, and the count is told in a line of its own.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};

/// Lines that may wait for the reader of the log.
const MAX_QUEUED_LINES: usize = 4_096;

/// Lines are gathered for so long, so that a busy process writes seldom.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// How long the end of a process waits for the lines that are queued.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the log; the level comes from `RUST_LOG` and is `info` where that is not set.
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
        eprintln!("the log is set up already: {error}");
    }
}

static LOG_QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Waits, for a bounded time, until the lines that are queued are written.
pub fn flush_logs() {
    if let Some(queue) = LOG_QUEUE.get() {
        queue.flush_within(FLUSH_TIMEOUT);
    }
}

enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of lines in front of a writer that may be slow.
#[derive(Clone)]
pub struct LineQueue {
    jobs: SyncSender<Job>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes; at most `capacity` lines wait for it.
    pub fn start(out: Box<dyn Write + Send>, capacity: usize) -> Self {
        let (jobs, queue) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let out = Mutex::new(out);
        std::thread::spawn(move || write_lines(&out, &queue, &counted));
        Self { jobs, dropped }
    }

    /// Waits until everything that was queued before is written, or `bound` is over.
    pub fn flush_within(&self, bound: Duration) {
        let (done, written) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            let _ = written.recv_timeout(bound);
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
    let mut waiting = Vec::new();
    loop {
        match queue.recv() {
            Ok(Job::Line(line)) => text.extend(line),
            Ok(Job::Flush(done)) => waiting.push(done),
            Err(_) => return,
        }
        if waiting.is_empty() {
            std::thread::sleep(BATCH_INTERVAL);
        }
        loop {
            match queue.try_recv() {
                Ok(Job::Line(line)) => text.extend(line),
                Ok(Job::Flush(done)) => waiting.push(done),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = format!("{} WARN log lines dropped={lost}\n", now.as_millis());
            text.extend(line.into_bytes());
        }
        // Nothing can be told of a log that cannot be written.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        text.clear();
        for done in waiting.drain(..) {
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
