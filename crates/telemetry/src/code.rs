//! The closed set of numbered events.

use serde::{Deserialize, Serialize};

/// How loud an event is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// Ordinary progress.
    Info,
    /// Something was refused, dropped or retried.
    Warn,
    /// A fault that an operator should look at.
    Error,
}

macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// One kind of event, with a number that never changes its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventCode {
            $(#[doc = $text] $name,)*
        }

        impl EventCode {
            /// Every code, in rising order of number.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$name,)*];

            /// Returns the number of the event as it stands in the catalogue.
            pub fn number(self) -> u16 {
                match self { $(EventCode::$name => $number,)* }
            }

            /// Returns the name of the event as it stands in the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(EventCode::$name => stringify!($name),)* }
            }

            /// Returns the level at which the event goes to the log.
            pub fn level(self) -> EventLevel {
                match self { $(EventCode::$name => EventLevel::$level,)* }
            }

            /// Returns one sentence that says when the event is written.
            pub fn meaning(self) -> &'static str {
                match self { $(EventCode::$name => $text,)* }
            }
        }
    };
}

event_codes! {
    ProcessStarted = 101, Info, "A process opened its sockets and serves.";
    StopRequested = 102, Info, "A planned stop was asked for; readiness goes first.";
    ProcessStopped = 103, Info, "A planned stop ended with nothing in flight.";
    StopTimedOut = 104, Error, "A planned stop reached its bound with requests in flight.";
    SettingsReloaded = 105, Info, "The settings were read again.";
    PeerConnected = 110, Info, "A connection to or from a peer passed its handshake.";
    PeerLost = 111, Warn, "A connection to a peer ended or could not be opened.";
    PeerRefused = 112, Error, "A peer failed authentication or sent a frame over its limit.";
    PeerEarlier = 113, Info, "A peer of an earlier build, which announces no form of messages, is spoken to in its own.";
    ElectionStarted = 201, Info, "A voter won its pre-vote and asks for votes in a new term.";
    LeaderElected = 202, Info, "A voter won a term and leads it.";
    LeaderSteppedDown = 203, Warn, "A leader gave up its term, by a higher term or a lapsed lease.";
    SnapshotTaken = 204, Info, "The state was written as a snapshot and the journal shortened.";
    SnapshotInstalled = 205, Info, "A replica took over a snapshot from the leader.";
    MembersChanged = 206, Info, "A membership entry took effect.";
    JournalRecovered = 207, Info, "The journal was read at start; a torn tail may have been cut.";
    DiskRefused = 208, Error, "The disk refused a write and nothing of it was kept.";
    ChangeAccepted = 301, Info, "A change of the table was committed.";
    ChangeRefused = 302, Warn, "A change of the table was refused whole.";
    TableInForce = 303, Info, "A process put a version of the table in force.";
    TableSourceChanged = 304, Info, "An entry follows another source of the table.";
    ClaimCommitted = 310, Info, "A claim on a request key was committed.";
    ClaimRefused = 311, Warn, "A claim was refused, or no quorum answered in time.";
    ClaimFinished = 312, Info, "The outcome of a claimed request was recorded.";
    DeferredAccepted = 320, Info, "A deferred request was accepted durably.";
    DeferredTaken = 321, Warn, "A deferred request was taken over from a host that was lost.";
    DeferredFinished = 322, Info, "The end of a deferred request was recorded.";
    DeferredAcknowledged = 323, Info, "The answer of a deferred request was acknowledged and forgotten.";
    RequestAccepted = 401, Info, "A request passed its checks and admission.";
    RequestRefused = 402, Warn, "A request was refused and no target took any stage of it.";
    RequestFinished = 403, Info, "The caller got the whole answer.";
    RequestFailed = 404, Warn, "A request ended without a whole answer after a target took a stage.";
    RequestCancelled = 405, Warn, "The caller went away before its answer was whole.";
    AttemptStarted = 410, Info, "An attempt at a stage was sent to a target.";
    AttemptFinished = 411, Info, "The answer of an attempt was taken.";
    AttemptFailed = 412, Warn, "An attempt ended without a usable answer.";
    AnswerDropped = 413, Error, "An answer of another attempt, or one cut short, was dropped.";
    StreamResumed = 414, Info, "A stream went on at another target from the token it had reached.";
    StagesRunAgain = 415, Warn, "The stages of a request are run again, since results of them were lost.";
    RequestAccused = 420, Warn, "A target ended while this request ran there.";
    RequestAcquitted = 421, Info, "A request that was accused ran whole, and nothing is held against it any more.";
    RequestHeld = 422, Error, "A request was found to end the targets that run it; every host refuses it.";
    RequestTried = 423, Warn, "A held request is run once more, alone, to see whether it still ends targets.";
    RequestReleased = 424, Info, "A held request is free again: it did not come for long, or an operator released it.";
    AccountsConfined = 425, Error, "Accounts that send ever new requests which end targets share a few targets; none: no more.";
    TargetListed = 501, Info, "A target came into the host list.";
    TargetLeaving = 502, Info, "A target is leaving and gets no new work.";
    TargetGone = 503, Info, "A target is no longer in a whole read of the host list.";
    TargetEjected = 504, Warn, "A target failed too often and gets no work for a while.";
    HostListFailed = 505, Warn, "A read of the host list failed or was partial; nothing was removed.";
    TargetEnded = 506, Warn, "A target ended while requests of this host ran there.";
    TargetBackedOff = 507, Warn, "A target turned a request of this host away and wants no other for a while.";
    TargetReopened = 508, Info, "A target that wanted no requests for a while gets some again.";
    RateNamed = 509, Warn, "A target names the requests a second that it takes from all hosts, or another number than before.";
    RateEnded = 510, Info, "A target that named the requests a second that it takes does not any more.";
    RoutingAccepted = 601, Info, "A routing configuration was committed, or a newer one was held already.";
    RoutingRefused = 602, Warn, "A routing configuration was refused or could not be committed in time.";
    RoutingInForce = 603, Info, "A process put a routing configuration in force.";
    RoutingRead = 604, Info, "The routing configuration was read after a round of the quorum.";
    RoutingFetched = 605, Info, "A process got a newer routing configuration from control hosts.";
    RoutingFetchTurned = 606, Warn, "Another control host is asked for the rest of a routing configuration.";
    RoutingFetchFailed = 607, Warn, "What came of a routing configuration could not be used; it is asked for whole.";
    EvacuationAccepted = 608, Info, "An order that takes a data hall out of work, or back, was committed.";
    EvacuationFailed = 609, Warn, "Such an order could not be committed in time; it may come into force.";
    TargetRegistered = 610, Info, "A target registered itself by a heartbeat.";
    TargetWithdrawn = 611, Info, "A target said that it drains or leaves; it gets no new work.";
    TargetSilent = 612, Warn, "No heartbeat of a target came for several periods.";
    EvacuationInForce = 613, Info, "An entry host was told which data halls are out of work.";
    HoldFailed = 614, Warn, "Held requests could not be put into the log in time; it is tried again.";
    HoldKept = 615, Info, "Held requests are in the log, and outlast a loss of all power.";
    ControlFollowed = 620, Info, "A process follows the directory of a control host.";
    ControlLost = 621, Warn, "The directory of a control host could not be followed any more.";
    ClusterFormed = 630, Info, "The control hosts named as seeds formed a cluster.";
    ClusterJoined = 631, Info, "A control host asked to become a member of the cluster.";
    RolloutAccepted = 640, Info, "An order to roll a version out was committed, or had been.";
    RolloutRefused = 641, Warn, "Such an order was refused, or could not be committed in time; it may come into force.";
    RolloutMoved = 642, Info, "A version that is rolled out gets another share of the requests.";
    RolloutCompleted = 643, Info, "All requests of a service go to the version that was rolled out.";
    RolloutReverted = 644, Error, "A version that was rolled out gets no requests any more.";
    RolloutStepFailed = 645, Warn, "A step of a roll-out could not be committed in time; it is decided anew.";
    RolloutInForce = 646, Info, "An entry host was told of a step of a roll-out.";
    StageCallFinished = 701, Info, "A call with pieces of stages was answered by a target.";
    StageCallFailed = 702, Warn, "A call with pieces of stages failed; its pieces go to another target.";
    StageCallLate = 703, Warn, "A call is late; its pieces go to other targets as well, and the first results count.";
    StageCallsShared = 704, Info, "Other hosts begin or end to send the calls that this host gathers.";
}
