//! Polls all hosts while a test runs and records violations of invariants.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::operator::Operator;

/// Threads that poll the status of every host.
pub struct InvariantMonitor {
    stop: Arc<AtomicBool>,
    violations: Arc<Mutex<Vec<String>>>,
    samples: Arc<Mutex<u64>>,
    threads: Vec<JoinHandle<()>>,
}

impl InvariantMonitor {
    /// Checks that no term has two lease holders and that no process decreases its table version.
    pub fn start(controls: &[SocketAddr], entries: &[SocketAddr]) -> Self {
        let mut monitor = Self {
            stop: Arc::default(),
            violations: Arc::default(),
            samples: Arc::default(),
            threads: Vec::new(),
        };
        let leases: Arc<Mutex<HashMap<u64, u64>>> = Arc::default();
        for host in controls.iter().copied() {
            let leases = leases.clone();
            let mut previous = ((0, 0), 0);
            monitor.spawn(move |operator, violations| {
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
                        violations.push(format!("term {} has two lease holders", replica.term));
                    }
                }
                // A restarted process reads its journal again, and a wiped disk makes another
                // replica, so versions are compared per identity and process.
                let process = (replica.id.0, replica.incarnation);
                if previous.0 == process && status.table_version < previous.1 {
                    violations.push(format!(
                        "{host}: version {} after {}",
                        status.table_version, previous.1
                    ));
                }
                previous = (process, status.table_version);
                true
            });
        }
        for host in entries.iter().copied() {
            let mut previous = (0, 0);
            monitor.spawn(move |operator, violations| {
                let Some(status) = operator.entry_status(host) else {
                    return false;
                };
                // A restarted process starts without a table, so versions are compared per process.
                if previous.0 == status.incarnation && status.table_version < previous.1 {
                    violations.push(format!(
                        "{host}: version {} after {}",
                        status.table_version, previous.1
                    ));
                }
                previous = (status.incarnation, status.table_version);
                true
            });
        }
        monitor
    }

    fn spawn(
        &mut self,
        mut check: impl FnMut(&Operator, &mut Vec<String>) -> bool + Send + 'static,
    ) {
        let (stop, violations) = (self.stop.clone(), self.violations.clone());
        let samples = self.samples.clone();
        self.threads.push(std::thread::spawn(move || {
            let operator = Operator::with_timeout(Duration::from_millis(500));
            while !stop.load(Ordering::Relaxed) {
                let mut new_violations = Vec::new();
                if check(&operator, &mut new_violations) {
                    *samples.lock().unwrap() += 1;
                }
                violations.lock().unwrap().extend(new_violations);
                std::thread::sleep(Duration::from_millis(8));
            }
        }));
    }

    /// Stops; fails the test if an invariant was violated or too few samples were taken.
    pub fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        assert!(
            *self.samples.lock().unwrap() > 20,
            "the invariant monitor took too few samples"
        );
        let violations = self.violations.lock().unwrap();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}
