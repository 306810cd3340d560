//! How many requests are in flight, or wait for something.

use std::cell::Cell;
use std::rc::Rc;

/// The count of one entry host. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts a request until it is dropped.
pub(crate) struct OpenRequest(OpenCount);

impl OpenRequest {
    pub(crate) fn new(count: &OpenCount) -> Self {
        count.0.set(count.0.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
