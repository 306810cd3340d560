//! Timing parameters of the consensus protocol.

use std::time::Duration;

/// Timing parameters of a quorum, equal for all replicas of a cluster.
///
/// Invariant: `lease_duration` is shorter than `min_election_timeout`, with a margin for clocks
/// that run at different speeds. A voter refuses all votes for `min_election_timeout` after contact
/// with a leader, so no other leader can be elected while a lease is valid.
#[derive(Debug, Clone, Copy)]
pub struct QuorumTiming {
    /// Interval between heartbeats of a leader to each peer.
    pub heartbeat_interval: Duration,
    /// Duration of a leader's lease, measured from the sending of a heartbeat that a majority
    /// acknowledged.
    pub lease_duration: Duration,
    /// Minimum time without contact with a leader after which a voter takes part in an election.
    pub min_election_timeout: Duration,
    /// Maximum of the random time without contact with a leader after which a voter starts an
    /// election.
    pub max_election_timeout: Duration,
    /// Minimum and maximum time that a replica without contact with a leader since its start waits
    /// before it queries whether any voter has had contact.
    pub min_first_election_timeout: Duration,
    /// See [`QuorumTiming::min_first_election_timeout`].
    pub max_first_election_timeout: Duration,
    /// Timeout for the reply to a vote request.
    pub vote_timeout: Duration,
    /// Timeout for the reply to entries or to a chunk of a snapshot.
    pub append_timeout: Duration,
    /// Time without contact after which the leader removes a member, if enough others remain;
    /// `None` if only operators remove members.
    pub removal_timeout: Option<Duration>,
}

impl QuorumTiming {
    /// Creates the timing for data halls a few milliseconds apart.
    pub fn new() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            lease_duration: Duration::from_millis(500),
            min_election_timeout: Duration::from_millis(650),
            max_election_timeout: Duration::from_millis(1_100),
            min_first_election_timeout: Duration::from_millis(40),
            max_first_election_timeout: Duration::from_millis(120),
            vote_timeout: Duration::from_millis(300),
            append_timeout: Duration::from_secs(5),
            removal_timeout: None,
        }
    }

    /// Sets the heartbeat interval, and the lease duration and election timeouts in proportion.
    pub fn with_heartbeat_interval(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self.lease_duration = interval.mul_f64(3.2);
        self.min_election_timeout = interval.mul_f64(4.2);
        self.max_election_timeout = interval.mul_f64(7.0);
        self
    }

    /// Lets the leader remove members that have been silent for `timeout`.
    pub fn with_removal_timeout(mut self, timeout: Duration) -> Self {
        self.removal_timeout = Some(timeout);
        self
    }
}

impl Default for QuorumTiming {
    fn default() -> Self {
        Self::new()
    }
}
