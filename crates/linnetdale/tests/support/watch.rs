//! Watches all hosts while a test runs and notes what must never be seen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::operator::Operator;

/// A thread that asks every host again and again.
pub struct Watch {
    stop: Arc<AtomicBool>,
    faults: Arc<Mutex<Vec<String>>>,
    samples: Arc<Mutex<u64>>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Watches that no term has two leases and that no process sees its table version fall.
    pub fn start(controls: &[SocketAddr], entries: &[SocketAddr]) -> Self {
        let mut watch = Self {
            stop: Arc::default(),
            faults: Arc::default(),
            samples: Arc::default(),
            threads: Vec::new(),
        };
        let leases: Arc<Mutex<HashMap<u64, u64>>> = Arc::default();
        for host in controls.iter().copied() {
            let leases = leases.clone();
            let mut last = ((0, 0), 0);
            watch.spawn(move |operator, faults| {
                let Some(status) = operator.control_status(host) else {
                    return false;
                };
                let replica = &status.replica;
                if replica.lease_lasts {
                    let holder = *leases
                        .lock()
                        .unwrap()
                        .entry(replica.term)
                        .or_insert(replica.id.0);
                    if holder != replica.id.0 {
                        faults.push(format!("term {} has two leases", replica.term));
                    }
                }
                // A started-again process reads its journal anew, and a wiped disk is another
                // replica, so versions count per identity and process.
                let process = (replica.id.0, replica.incarnation);
                if last.0 == process && status.table_version < last.1 {
                    faults.push(format!(
                        "{host}: version {} after {}",
                        status.table_version, last.1
                    ));
                }
                last = (process, status.table_version);
                true
            });
        }
        for host in entries.iter().copied() {
            let mut last = (0, 0);
            watch.spawn(move |operator, faults| {
                let Some(status) = operator.entry_status(host) else {
                    return false;
                };
                // A process that was started again begins without a table, however quickly.
                if last.0 == status.incarnation && status.table_version < last.1 {
                    faults.push(format!(
                        "{host}: version {} after {}",
                        status.table_version, last.1
                    ));
                }
                last = (status.incarnation, status.table_version);
                true
            });
        }
        watch
    }

    fn spawn(
        &mut self,
        mut look: impl FnMut(&Operator, &mut Vec<String>) -> bool + Send + 'static,
    ) {
        let (stop, faults) = (self.stop.clone(), self.faults.clone());
        let samples = self.samples.clone();
        self.threads.push(std::thread::spawn(move || {
            let operator = Operator::with_timeout(Duration::from_millis(500));
            while !stop.load(Ordering::Relaxed) {
                let mut found = Vec::new();
                if look(&operator, &mut found) {
                    *samples.lock().unwrap() += 1;
                }
                faults.lock().unwrap().extend(found);
                std::thread::sleep(Duration::from_millis(8));
            }
        }));
    }

    /// Stops and fails the test where anything forbidden was seen, or where nothing was seen.
    pub fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        assert!(
            *self.samples.lock().unwrap() > 20,
            "the watch saw too little"
        );
        let faults = self.faults.lock().unwrap();
        assert!(faults.is_empty(), "{faults:#?}");
    }
}
