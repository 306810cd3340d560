//! The spans of time that agreement depends on.

use std::time::Duration;

/// Spans of time of a quorum; all replicas of a cluster use the same.
///
/// Invariant: `lease` is shorter than `min_election_timeout`, with room for clocks that run at different
/// speed. A voter refuses every vote for `min_election_timeout` after it heard a leader, so no other
/// leader can be elected while a lease lasts.
#[derive(Debug, Clone, Copy)]
pub struct QuorumTiming {
    /// Between two heartbeats of a leader to one peer.
    pub heartbeat_interval: Duration,
    /// How long a leader may act on a heartbeat that a majority answered, from its sending.
    pub lease_duration: Duration,
    /// The least silence of a leader after which a voter takes part in an election.
    pub min_election_timeout: Duration,
    /// The greatest silence that a voter waits for, by chance, before it starts an election.
    pub max_election_timeout: Duration,
    /// The least and the greatest wait of a replica that has heard no leader since its start before
    /// it asks whether any voter has.
    pub min_first_election_timeout: Duration,
    /// See [`QuorumTiming::min_first_election_timeout`].
    pub max_first_election_timeout: Duration,
    /// How long a peer may take to answer a vote request.
    pub vote_timeout: Duration,
    /// How long a peer may take to answer entries or a part of a snapshot.
    pub append_timeout: Duration,
    /// How long a member may be silent before the leader takes it out, where enough others are
    /// left; nothing where only operators take members out.
    pub removal_timeout: Option<Duration>,
}

impl QuorumTiming {
    /// Creates the spans for halls that lie a few milliseconds apart.
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

    /// Sets the pace of heartbeats; lease and elections follow it.
    pub fn with_heartbeat_interval(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self.lease_duration = interval.mul_f64(3.2);
        self.min_election_timeout = interval.mul_f64(4.2);
        self.max_election_timeout = interval.mul_f64(7.0);
        self
    }

    /// Lets the leader take out members that are silent for a span.
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
