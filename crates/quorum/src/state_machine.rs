//! The state machine that committed commands are applied to.

use crate::LogPosition;

type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
type RestoreFn = Box<dyn FnMut(&[u8]) + Send>;

/// A state machine as three closures.
///
/// `apply` must return the same result on every replica: it may use no clock, randomness or
/// settings.
pub struct StateMachineHooks {
    pub(crate) apply: ApplyFn,
    pub(crate) snapshot: SnapshotFn,
    pub(crate) restore: RestoreFn,
}

impl StateMachineHooks {
    /// Creates a state machine: `apply` takes an index and a command and returns the result,
    /// `snapshot` returns the complete state as bytes, and `restore` replaces the state by such
    /// bytes.
    pub fn new(
        apply: impl FnMut(u64, &[u8]) -> Vec<u8> + Send + 'static,
        snapshot: impl FnMut() -> Vec<u8> + Send + 'static,
        restore: impl FnMut(&[u8]) + Send + 'static,
    ) -> Self {
        Self {
            apply: Box::new(apply),
            snapshot: Box::new(snapshot),
            restore: Box::new(restore),
        }
    }
}

/// The state machine and the position up to which entries are applied.
pub(crate) struct AppliedStateMachine {
    pub(crate) hooks: StateMachineHooks,
    pub(crate) applied: LogPosition,
}
