//! The closed set of numbered events.

use serde::{Deserialize, Serialize};

/// Log level of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// Normal operation.
    Info,
    /// Something was refused, dropped or retried.
    Warn,
    /// A fault that an operator should look at.
    Error,
}

macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A kind of event. The meaning of a number never changes.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventCode {
            $(#[doc = $text] $name,)*
        }

        impl EventCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$name,)*];

            /// Returns the number of the event in the catalogue.
            pub fn number(self) -> u16 {
                match self { $(EventCode::$name => $number,)* }
            }

            /// Returns the name of the event in the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(EventCode::$name => stringify!($name),)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> EventLevel {
                match self { $(EventCode::$name => EventLevel::$level,)* }
            }

            /// Returns one sentence that says when the event is recorded.
            pub fn meaning(self) -> &'static str {
                match self { $(EventCode::$name => $text,)* }
            }
        }
    };
}

event_codes! {
    ProcessStarted = 101, Info, "A process has opened its sockets and accepts requests.";
    StopRequested = 102, Info, "A planned stop was requested; the process reports itself as not ready first.";
    ProcessStopped = 103, Info, "A planned stop completed with no requests in flight.";
    StopTimedOut = 104, Error, "A planned stop reached its time limit with requests still in flight.";
    SettingsReloaded = 105, Info, "The settings were reloaded.";
    PeerConnected = 110, Info, "A connection to or from a peer completed its handshake.";
    PeerLost = 111, Warn, "A connection to a peer was lost or could not be opened.";
    PeerRefused = 112, Error, "A peer failed authentication or sent a frame over its limit.";
    PeerEarlier = 113, Info, "A peer of an earlier build, which announces no message version, is sent messages of its version.";
    ElectionStarted = 201, Info, "A voter won its pre-vote and requests votes in a new term.";
    LeaderElected = 202, Info, "A voter was elected leader of a term.";
    LeaderSteppedDown = 203, Warn, "A leader stepped down because of a higher term or an expired lease.";
    SnapshotTaken = 204, Info, "The state was written as a snapshot and the journal was truncated.";
    SnapshotInstalled = 205, Info, "A replica installed a snapshot from the leader.";
    MembersChanged = 206, Info, "A membership entry took effect.";
    JournalRecovered = 207, Info, "The journal was read at start; a torn last frame may have been truncated.";
    DiskRefused = 208, Error, "The disk refused a write, which was undone.";
    ChangeAccepted = 301, Info, "A change of the table was committed.";
    ChangeRefused = 302, Warn, "A change of the table was refused completely.";
    TableInForce = 303, Info, "A process put a version of the table in force.";
    TableSourceChanged = 304, Info, "An entry host follows another source of the table.";
    ClaimCommitted = 310, Info, "A claim on a request key was committed.";
    ClaimRefused = 311, Warn, "A claim was refused, or no quorum answered in time.";
    ClaimFinished = 312, Info, "The outcome of a claimed request was recorded.";
    DeferredAccepted = 320, Info, "A deferred request was accepted and stored durably.";
    DeferredTaken = 321, Warn, "A deferred request was taken over from a lost host.";
    DeferredFinished = 322, Info, "The outcome of a deferred request was recorded.";
    DeferredAcknowledged = 323, Info, "The answer of a deferred request was acknowledged and forgotten.";
    RequestAccepted = 401, Info, "A request passed its checks and admission.";
    RequestRefused = 402, Warn, "A request was refused before any target ran a stage of it.";
    RequestFinished = 403, Info, "The caller received the complete response.";
    RequestFailed = 404, Warn, "A request ended without a complete response after a target had accepted a stage.";
    RequestCancelled = 405, Warn, "The caller disconnected before its response was complete.";
    AttemptStarted = 410, Info, "An attempt at a stage was sent to a target.";
    AttemptFinished = 411, Info, "The answer of an attempt was taken.";
    AttemptFailed = 412, Warn, "An attempt ended without a usable response.";
    AnswerDropped = 413, Error, "An answer of another attempt, or one cut short, was dropped.";
    StreamResumed = 414, Info, "A stream was resumed at another target from the last token received.";
    StagesRunAgain = 415, Warn, "The stages of a request are run again because results of them were lost.";
    RequestRepeated = 416, Info, "A request is sent to a target once more, within the retry budget of its service.";
    RetryDenied = 417, Warn, "The retry budget of a service allowed no further attempt, and the request ends.";
    StreamTakenUp = 418, Info, "A caller takes up a stream that broke; the line names the version that began it, or why it is not known.";
    StreamRunBroken = 419, Warn, "A run of a stream broke off at its target; another target is to go on.";
    RequestAccused = 420, Warn, "A target crashed while this request was running on it.";
    RequestAcquitted = 421, Info, "A request that was accused ran whole, and nothing is held against it any more.";
    RequestHeld = 422, Error, "A request was found to crash the targets that run it; every host refuses it.";
    RequestTried = 423, Warn, "A held request is run once, isolated, to test whether it still crashes targets.";
    RequestReleased = 424, Info, "A held request was released, by expiry without new requests or by an operator.";
    AccountsConfined = 425, Error, "Accounts that keep sending new requests which crash targets are confined to a few targets; none: no account is.";
    PartHeld = 426, Error, "A part of prompts was found to crash the targets that answer on it; every host refuses requests with it.";
    PartTried = 427, Warn, "A request with a held part of its prompt is run once, to test whether the part still crashes targets.";
    PartReleased = 428, Info, "A held part of prompts was released, by completed runs, by expiry or by an operator.";
    PartAccused = 429, Warn, "A target crashed right after it had answered a request with these parts in its prompt.";
    HostDelayed = 430, Warn, "This host delays requests itself, by its processor or its links; the line says by how much.";
    HostRecovered = 431, Info, "This host no longer delays requests.";
    RolesYielded = 432, Warn, "This host has been delayed for some time; others rank before it for the roles of pools.";
    RolesResumed = 433, Info, "This host has not been delayed for some time and ranks for roles as before.";
    TakeupEnded = 434, Info, "A request that took up a stream ended; the line says what it waited for and how it ended.";
    TargetListed = 501, Info, "A target was added to the host list.";
    TargetLeaving = 502, Info, "A target is leaving and gets no new requests.";
    TargetGone = 503, Info, "A target is missing from a complete read of the host list.";
    TargetEjected = 504, Warn, "A target failed too often and gets no requests for a while.";
    HostListFailed = 505, Warn, "A read of the host list failed or was partial; nothing was removed.";
    TargetEnded = 506, Warn, "A target crashed while requests of this host were running on it.";
    TargetBackedOff = 507, Warn, "A target refused a request of this host and asked for a back-off.";
    TargetReopened = 508, Info, "The back-off of a target is over and it gets requests again.";
    RateNamed = 509, Warn, "A target names the requests a second that it takes from all hosts, or another number than before.";
    RateEnded = 510, Info, "A target that stated a rate limit no longer does.";
    PathLost = 511, Warn, "This host cannot reach a target that another entry host reaches; it opens connections to it through other hosts.";
    PathRestored = 512, Info, "A target can be reached directly again.";
    PathUnknown = 513, Warn, "A target cannot be reached, and too few other entry hosts answered to tell whether it is down.";
    TunnelRefused = 514, Warn, "A connection to a target was not opened for another entry host.";
    RecordOutdated = 515, Warn, "A target restarted since its record was written; no stream goes on there until its next record arrives.";
    UnframedEnded = 516, Info, "A body without a length or chunks ended with its connection; the line says whether its target is known to run on.";
    RoutingAccepted = 601, Info, "A routing configuration was committed, or a newer one was already stored.";
    RoutingRefused = 602, Warn, "A routing configuration was refused or could not be committed in time.";
    RoutingInForce = 603, Info, "A process put a routing configuration in force.";
    RoutingRead = 604, Info, "The routing configuration was read after a quorum round.";
    RoutingFetched = 605, Info, "A process fetched a newer routing configuration from control hosts.";
    RoutingFetchTurned = 606, Warn, "The rest of a routing configuration is requested from another control host.";
    RoutingFetchFailed = 607, Warn, "The received parts of a routing configuration were unusable; all of it is requested again.";
    EvacuationAccepted = 608, Info, "An order to evacuate a data hall, or to end its evacuation, was committed.";
    EvacuationFailed = 609, Warn, "An evacuation order could not be committed in time; it may still come into force.";
    TargetRegistered = 610, Info, "A target registered itself by a heartbeat.";
    TargetWithdrawn = 611, Info, "A target announced that it is draining or leaving; it gets no new requests.";
    TargetSilent = 612, Warn, "No heartbeat of a target arrived for several intervals.";
    EvacuationInForce = 613, Info, "An entry host received the list of evacuated data halls.";
    HoldFailed = 614, Warn, "Held requests could not be committed to the log in time; the commit is retried.";
    HoldKept = 615, Info, "Held requests were committed to the log and survive a complete power loss.";
    HostResumed = 616, Warn, "A control host was suspended; orders that may have waited meanwhile are refused.";
    ControlFollowed = 620, Info, "A process follows the directory of a control host.";
    ControlLost = 621, Warn, "The connection to the directory of a control host was lost.";
    ClusterFormed = 630, Info, "The control hosts named as seeds formed a cluster.";
    ClusterJoined = 631, Info, "A control host requested to become a member of the cluster.";
    RolloutAccepted = 640, Info, "A roll-out order was committed, or had been committed before.";
    RolloutRefused = 641, Warn, "A roll-out order was refused, or could not be committed in time and may still come into force.";
    RolloutMoved = 642, Info, "The share of requests for a version that is being rolled out changed.";
    RolloutCompleted = 643, Info, "A roll-out completed; all requests of the service go to its version.";
    RolloutReverted = 644, Error, "A roll-out was reverted; its version gets no more requests.";
    RolloutStepFailed = 645, Warn, "A step of a roll-out could not be committed in time; the step is decided again.";
    RolloutInForce = 646, Info, "An entry host received a step of a roll-out.";
    StageCallFinished = 701, Info, "A target responded to a call with pieces of stages.";
    StageCallFailed = 702, Warn, "A call with pieces of stages failed; its pieces are sent to another target.";
    StageCallLate = 703, Warn, "A call is late; its pieces are also sent to other targets, and the first results are used.";
    StageCallsShared = 704, Info, "Delegation of the calls of this host to other entry hosts started or ended.";
    CoordinatesOutOfOrder = 705, Warn, "A host began to coordinate a pool although a better host is listed.";
    QueueReturned = 706, Info, "A host returned the queue of a pool, as a better coordinator is reachable.";
}
