//! What connections to targets are opened for.

use derive_more::Display;

/// What a connection to a target is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ConnectionUse {
    /// A request that found no idle connection.
    #[display("request")]
    Request,
    /// Releases of results.
    #[display("release")]
    Release,
    /// Proof of the end of a body without framing.
    #[display("spare")]
    Spare,
    /// A check whether a target has crashed.
    #[display("crash_check")]
    CrashCheck,
    /// A check whether the path to a silent target is lost.
    #[display("path_check")]
    PathCheck,
    /// A direct attempt to a target whose path was lost.
    #[display("restore")]
    Restore,
}
