//! One bound on what a host holds of answers that are not complete, since targets may send bytes without
//! end on many connections.

use std::cell::Cell;
use std::rc::Rc;

use derive_more::Display;

use crate::response_body::MAX_RESPONSE_BYTES;

/// Number of bytes of unfinished answers from which on the larger ones are cut: those of one answer of the
/// maximum size. The smallest hosts have 160 MB, and a buffer that grows takes up to three times its size.
const MAX_HELD_BYTES: usize = MAX_RESPONSE_BYTES;

/// An answer holds more than an even share of what all may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("longer than an even share of the {MAX_HELD_BYTES} bytes for unfinished answers")]
pub(crate) struct ShareExceeded;

#[derive(Debug, Default)]
struct HeldState {
    bytes: Cell<usize>,
    /// Number of answers that hold bytes.
    holders: Cell<usize>,
}

/// What a host holds of unfinished answers. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldBytes(Rc<HeldState>);

/// What one unfinished answer holds; given back when dropped.
#[derive(Debug)]
pub(crate) struct HeldShare {
    state: Rc<HeldState>,
    bytes: usize,
}

impl HeldBytes {
    /// Returns the share of an answer that begins.
    pub(crate) fn begin(&self) -> HeldShare {
        HeldShare {
            state: self.0.clone(),
            bytes: 0,
        }
    }
}

impl HeldShare {
    /// Sets the number of bytes that the answer holds.
    ///
    /// # Errors
    ///
    /// [`ShareExceeded`] if it grows while all hold too much, and this one more than an even share.
    pub(crate) fn set(&mut self, bytes: usize) -> Result<(), ShareExceeded> {
        let state = &self.state;
        let holders = match (self.bytes, bytes) {
            (0, 1..) => state.holders.get() + 1,
            (1.., 0) => state.holders.get() - 1,
            _ => state.holders.get(),
        };
        let total = state.bytes.get() - self.bytes + bytes;
        let even_share = MAX_HELD_BYTES / holders.max(1);
        if bytes > self.bytes && total > MAX_HELD_BYTES && bytes > even_share {
            return Err(ShareExceeded);
        }
        state.bytes.set(total);
        state.holders.set(holders);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        // Only growth fails.
        let _ = self.set(0);
    }
}

#[cfg(test)]
mod tests;
