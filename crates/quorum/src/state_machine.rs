//! The state machine that committed commands go to.

use crate::LogPosition;

type ApplyFn = Box<dyn FnMut(u64, &[u8]) -> Vec<u8> + Send>;
type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
type RestoreFn = Box<dyn FnMut(&[u8]) + Send>;

/// A state machine as three closures.
///
/// `apply` must give the same answer on every replica: no clock, no randomness, no settings.
pub struct StateMachineHooks {
    pub(crate) apply: ApplyFn,
    pub(crate) snapshot: SnapshotFn,
    pub(crate) restore: RestoreFn,
}

impl StateMachineHooks {
    /// Creates a state machine: `apply` takes index and command and returns the answer, `snapshot`
    /// returns the whole state as bytes, `restore` takes it back.
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

/// The state machine together with the position that it has reached.
pub(crate) struct AppliedStateMachine {
    pub(crate) hooks: StateMachineHooks,
    pub(crate) applied: LogPosition,
}
