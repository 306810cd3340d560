//! What a connection tells about the process at its other end.

use std::time::{Duration, Instant};

/// Time from the sending of a heartbeat until the record of its target has reached this host; heartbeats
/// may be seconds late.
const RECORD_DELAY: Duration = Duration::from_secs(4);

/// What is known of the process at the other end of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum StatedStart {
    /// It was not asked yet.
    #[default]
    Unasked,
    /// It stated that it started at this Unix millisecond.
    Stated(u64),
    /// It was asked and did not state when it started.
    Unstated,
}

/// Whether a connection leads to the incarnation that a record names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum IncarnationVerdict {
    /// It does.
    #[display("proved")]
    Proved,
    /// The process started later than the record says: the record is of a former incarnation.
    #[display("record_outdated")]
    RecordOutdated,
    /// The process started earlier than the record says, so it has ended.
    #[display("connection_outdated")]
    ConnectionOutdated,
    /// Neither is known.
    #[display("unproved")]
    Unproved,
}

/// A record of a target, as far as it tells incarnations apart.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListedIncarnation {
    /// Start time of the incarnation, see [`linnet_directory::TargetRecord::born`].
    pub(crate) born: u64,
    /// When this host first listed it.
    pub(crate) since: Instant,
}

impl StatedStart {
    /// Compares the process at the other end of a connection that was opened at `opened` with a record.
    /// A process that does not state its start is the listed one if both the connection and the record
    /// are older than the heartbeat of a later process could be.
    pub(crate) fn compare(
        self,
        opened: Instant,
        listed: ListedIncarnation,
        heartbeat_interval: Duration,
        now: Instant,
    ) -> IncarnationVerdict {
        let newest = opened.max(listed.since);
        match self {
            Self::Stated(born) if born == listed.born => IncarnationVerdict::Proved,
            Self::Stated(born) if born > listed.born => IncarnationVerdict::RecordOutdated,
            Self::Stated(_) => IncarnationVerdict::ConnectionOutdated,
            Self::Unasked | Self::Unstated
                if now.saturating_duration_since(newest) > heartbeat_interval + RECORD_DELAY =>
            {
                IncarnationVerdict::Proved
            }
            Self::Unasked | Self::Unstated => IncarnationVerdict::Unproved,
        }
    }
}
