//! Labels of the metrics of an entry host, and the values of those that only metrics have.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a finished request. They exclude routes and accounts, which would make the number of
/// series unbounded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// `ok`, `target_status` for an error status of the target, or the reason of a refusal.
    pub outcome: String,
    /// Priority of the request's route.
    pub priority: u8,
}

/// Labels of responses that this host makes itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OwnResponseLabels {
    /// The reason of the refusal.
    pub reason: String,
    /// The status code that the caller receives.
    pub status: u16,
}

/// What a refusal at admission followed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// The queues on its path were too long.
    Queue,
    /// Its account had used up its share of a pool.
    Share,
    /// The host itself was overloaded.
    Host,
}

/// Labels of refusals at admission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// `queue`, `share` or `host`.
    pub cause: &'static str,
}

/// What became of a request to the placer of a prompt at another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacerReply {
    /// It chose an engine, or found none.
    Answered,
    /// It did not reply in time.
    Late,
    /// The connection to it was lost.
    Lost,
}

/// Labels of requests to placers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlacerLabels {
    /// `answered`, `late` or `lost`.
    pub outcome: &'static str,
}

/// What admission decided about a request that its caller had sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReturnOutcome {
    AdmittedInTime,
    AdmittedLate,
    Refused,
}

/// Labels of requests that their callers had sent before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReturnLabels {
    /// `in_time`, `late` or `refused`.
    pub outcome: &'static str,
}

/// How the body of a target's response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// At the end of its framing.
    Clean,
    /// Before it was complete.
    Broken,
    /// At the limit of its size.
    TooLong,
}

/// Labels of the bodies of targets' responses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BodyLabels {
    /// `length`, `chunks` or `close`.
    pub framing: String,
    /// `clean`, `broken` or `too_long`.
    pub end: &'static str,
}

/// Labels of bodies that ended with their connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnframedLabels {
    /// `alive` if the target is known to run on; otherwise `unproved`, `crashed` or `unknown`.
    pub verdict: String,
}

/// Labels of responses that belong to other requests than those in whose place they were received.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ForeignLabels {
    /// `other_id`, `several_ids` or `no_id`.
    pub cause: &'static str,
}

/// Labels of denied retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabels {
    /// `failure`, `rejection` or `resume`.
    pub cause: String,
}

/// Labels of streams that callers take up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OriginLabels {
    /// How the version that began the stream was found, or why it was not.
    pub origin: String,
}

/// Labels of requests for streams that may be taken up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StartLabels {
    /// `new` or `taken_up`.
    pub kind: String,
    /// `begun`, `not_begun`, or `caller_left` before either was known.
    pub outcome: String,
}

/// Labels of streams whose run broke off.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResumptionLabels {
    /// What became of the stream, such as `resumed` or `no_target`.
    pub outcome: String,
}

/// Labels of streams that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamEndLabels {
    /// Why the stream ended, such as `complete` or `inside_event`.
    pub cause: String,
}

/// Labels of requests that ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct IncompleteLabels {
    /// Why, such as `stop` or `silence`.
    pub cause: String,
}

/// Labels of requests that were sent to targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SendLabels {
    /// `first`; the cause of a retry; `unsent` for those of the others that wrote nothing.
    pub kind: String,
}

/// Labels of checks of the incarnation that a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct IncarnationLabels {
    /// The verdict.
    pub outcome: String,
}

/// Labels of connections to targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionLabels {
    /// What the connection was opened for, such as `request` or `spare`.
    pub purpose: String,
}
