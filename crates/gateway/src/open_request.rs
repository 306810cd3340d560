//! Counts of requests that are in flight or that wait.

use std::cell::Cell;
use std::rc::Rc;

/// A count of requests of one entry host. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenRequestCount(Rc<Cell<usize>>);

impl OpenRequestCount {
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts one request for as long as it exists.
pub(crate) struct OpenRequestGuard(OpenRequestCount);

impl OpenRequestGuard {
    pub(crate) fn new(count: &OpenRequestCount) -> Self {
        count.0.set(count.0.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
