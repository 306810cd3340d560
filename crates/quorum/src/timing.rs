//! The spans of time that agreement depends on.

use std::time::Duration;

/// Spans of time of a quorum; all replicas of a cluster use the same.
///
/// Invariant: `lease` is shorter than `election_min`, with room for clocks that run at different
/// speed. A voter refuses every vote for `election_min` after it heard a leader, so no other
/// leader can be elected while a lease lasts.
#[derive(Debug, Clone, Copy)]
pub struct QuorumTiming {
    /// Between two heartbeats of a leader to one peer.
    pub heartbeat: Duration,
    /// How long a leader may act on a heartbeat that a majority answered, from its sending.
    pub lease: Duration,
    /// The least silence of a leader after which a voter takes part in an election.
    pub election_min: Duration,
    /// The greatest silence that a voter waits for, by chance, before it starts an election.
    pub election_max: Duration,
    /// The least and the greatest wait of a replica that has heard no leader since its start before
    /// it asks whether any voter has.
    pub first_election_min: Duration,
    /// See [`QuorumTiming::first_election_min`].
    pub first_election_max: Duration,
    /// How long a peer may take to answer a vote request.
    pub vote_timeout: Duration,
    /// How long a peer may take to answer entries or a part of a snapshot.
    pub append_timeout: Duration,
    /// How long a member may be silent before the leader takes it out, where enough others are
    /// left; nothing where only operators take members out.
    pub removal: Option<Duration>,
}

impl QuorumTiming {
    /// Creates the spans for halls that lie a few milliseconds apart.
    pub fn new() -> Self {
        Self {
            heartbeat: Duration::from_millis(150),
            lease: Duration::from_millis(500),
            election_min: Duration::from_millis(650),
            election_max: Duration::from_millis(1_100),
            first_election_min: Duration::from_millis(40),
            first_election_max: Duration::from_millis(120),
            vote_timeout: Duration::from_millis(300),
            append_timeout: Duration::from_secs(5),
            removal: None,
        }
    }

    /// Sets the pace of heartbeats; lease and elections follow it.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self.lease = heartbeat.mul_f64(3.2);
        self.election_min = heartbeat.mul_f64(4.2);
        self.election_max = heartbeat.mul_f64(7.0);
        self
    }

    /// Lets the leader take out members that are silent for a span.
    pub fn with_removal(mut self, span: Duration) -> Self {
        self.removal = Some(span);
        self
    }
}

impl Default for QuorumTiming {
    fn default() -> Self {
        Self::new()
    }
}
