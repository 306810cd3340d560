//! What the log and the metrics tell about the runs of streams.

use std::fmt::{self, Display, Formatter, Write};

use derive_more::Display;

/// Maximum length of a text of a caller or target in a line of the log.
const MAX_TEXT_CHARS: usize = 64;

/// Why the origin of a stream is known, or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum OriginSource {
    /// This host holds it.
    #[display("local")]
    Local,
    /// Another entry host holds it.
    #[display("peer")]
    Peer,
    /// It is not known, but the service has had one version only.
    #[display("sole-version")]
    SoleVersion,
    /// The caller did not name the stream.
    #[display("missing-name")]
    MissingName,
    /// The caller named the stream in a way that cannot be read.
    #[display("malformed-name")]
    MalformedName,
    /// No host that was reached holds it.
    #[display("not-found")]
    NotFound,
    /// It is not known, the service has had one version only as far as this host knows, and no update
    /// showed in time that its lists are current.
    #[display("outdated-lists")]
    OutdatedLists,
    /// The incarnation of the target that began it was not proved.
    #[display("unproved")]
    Unproved,
    /// The route no longer leads to its service.
    #[display("other-service")]
    OtherService,
}

/// What became of a stream whose run broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ResumptionOutcome {
    /// Another target goes on.
    #[display("resumed")]
    Resumed,
    /// Another target has no further event.
    #[display("no_further_event")]
    NoFurtherEvent,
    /// No target was available in time.
    #[display("no_target")]
    NoTarget,
    /// The retry budget of the service allowed no further attempt.
    #[display("budget")]
    Budget,
    /// The run that broke off was the last attempt of the route.
    #[display("attempts_used")]
    AttemptsUsed,
    /// The route allows one run only.
    #[display("not_repeatable")]
    NotRepeatable,
    /// It is not known which software version began the stream.
    #[display("unknown_version")]
    UnknownVersion,
    /// No id names the last event of the caller to another target.
    #[display("unknown_position")]
    UnknownPosition,
    /// The request may crash further targets.
    #[display("may_crash")]
    MayCrash,
    /// The request got no run permit.
    #[display("run_permit")]
    RunPermit,
    /// All further attempts failed.
    #[display("failed")]
    Failed,
}

/// Why a stream ended towards its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum StreamEnd {
    /// Its last run was complete.
    #[display("complete")]
    Complete,
    /// A target that was to resume it had no further event.
    #[display("no_further_event")]
    NoFurtherEvent,
    /// The connection to the target broke.
    #[display("connection")]
    Connection,
    /// The body ended inside an event.
    #[display("inside_event")]
    InsideEvent,
    /// A body without framing ended, and the target is not known to run.
    #[display("unconfirmed_close")]
    UnconfirmedClose,
    /// A body without framing ended, and the target was silent from then on.
    #[display("silent_target")]
    SilentTarget,
    /// An event was too long.
    #[display("too_long")]
    TooLong,
    /// An event was out of order.
    #[display("out_of_order")]
    OutOfOrder,
    /// The deadline was reached.
    #[display("timed_out")]
    TimedOut,
    /// This host stopped.
    #[display("stopped")]
    Stopped,
    /// The caller left.
    #[display("caller_left")]
    CallerLeft,
}

/// A text of a caller or target for the log: one word of bounded length.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogText<'a>(pub(crate) &'a str);

impl Display for LogText<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_char('-');
        }
        for letter in self.0.chars().take(MAX_TEXT_CHARS) {
            let is_plain = letter.is_ascii_graphic();
            formatter.write_char(if is_plain { letter } else { '?' })?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
