//! The check that is made right before something is sent to a target.

use http::HeaderValue;
use linnet_clock::BootInstant;

use crate::incarnation::IncarnationCheck;
use crate::metrics::GatewayMetrics;
use crate::notice_store::NoticeStore;
use crate::request_sends::RequestSends;
use crate::send_error::{ForeignCause, SendError};
use crate::send_permit::SendPermit;
use crate::target_restriction::TargetAvailability;

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// A request to run.
    Work,
    /// A control message about finished work, which a leaving target accepts as well.
    Control,
}

/// The check that is made right before something is sent to a target.
pub(crate) struct SendGate<'a> {
    notices: &'a NoticeStore,
    target: &'a str,
    kind: SendKind,
    permit: SendPermit,
    /// Whether this is the trial request after a back-off.
    is_trial: bool,
    /// The sends of the caller's request, if it is one.
    sends: Option<(&'a RequestSends, &'a GatewayMetrics)>,
    incarnation: Option<&'a IncarnationCheck<'a>>,
    /// Whether the response may end with its connection.
    may_be_unframed: bool,
}

impl NoticeStore {
    /// Returns the check that is made right before something is sent to a target.
    pub(crate) fn gate<'a>(&'a self, target: &'a str, kind: SendKind) -> SendGate<'a> {
        SendGate::new(self, target, kind)
    }
}

impl<'a> SendGate<'a> {
    fn new(notices: &'a NoticeStore, target: &'a str, kind: SendKind) -> Self {
        Self {
            notices,
            target,
            kind,
            permit: SendPermit::UNRESTRICTED,
            is_trial: false,
            sends: None,
            incarnation: None,
            may_be_unframed: false,
        }
    }

    /// Sets the permit that was acquired for the request.
    pub(crate) fn with_permit(mut self, permit: SendPermit) -> Self {
        self.permit = permit;
        self
    }

    /// Makes the gate count the sends of a caller's request.
    pub(crate) fn with_sends(
        mut self,
        sends: &'a RequestSends,
        metrics: &'a GatewayMetrics,
    ) -> Self {
        self.sends = Some((sends, metrics));
        self
    }

    /// Lets the request be sent only on connections that pass a check.
    pub(crate) fn with_incarnation(mut self, check: Option<&'a IncarnationCheck<'a>>) -> Self {
        self.incarnation = check;
        self
    }

    /// Tells whether the response may end with its connection.
    pub(crate) fn with_may_be_unframed(mut self, may_be_unframed: bool) -> Self {
        self.may_be_unframed = may_be_unframed;
        self
    }

    /// Returns whether the response may end with its connection, so that another one is to be open beside
    /// it.
    pub(crate) fn may_be_unframed(&self) -> bool {
        self.may_be_unframed
    }

    /// Returns the check that connections must pass.
    pub(crate) fn incarnation(&self) -> Option<&'a IncarnationCheck<'a>> {
        self.incarnation
    }

    /// Returns whether the target may be asked for a report before the request. It takes no permit under
    /// a rate limit.
    pub(crate) fn allows_report(&self) -> bool {
        let now = BootInstant::now();
        self.notices.availability(self.target, now) == TargetAvailability::Open
    }

    /// Checks that the bytes may be written now, and counts the request as sent. Called again for
    /// each connection that is tried.
    ///
    /// # Errors
    ///
    /// [`SendError::OverBudget`] if the request was sent before and the retry budget does not allow
    /// to send it again, [`SendError::Withheld`] if the target does not accept it now.
    pub(crate) fn begin_send(&mut self) -> Result<(), SendError> {
        if self.sends.is_some_and(|(sends, _)| !sends.is_paid()) {
            return Err(SendError::OverBudget);
        }
        if !self.try_pass() {
            return Err(SendError::Withheld);
        }
        if let Some((sends, metrics)) = self.sends {
            sends.record_sent(metrics);
        }
        Ok(())
    }

    /// Takes back the last send, which turned out to have written nothing.
    pub(crate) fn take_back(&self) {
        if let Some((sends, metrics)) = self.sends {
            sends.take_back(metrics);
        }
    }

    /// Records a response that belongs to another request than the one with this identifier, in whose
    /// place it was received.
    pub(crate) fn record_foreign_response(&self, cause: ForeignCause, id: &HeaderValue) {
        self.notices.record_foreign_response(self.target, cause, id);
    }

    /// Returns whether the target accepts the bytes now, and counts the request as sent or withheld.
    /// Called again for each connection that is tried.
    pub(crate) fn try_pass(&mut self) -> bool {
        let now = BootInstant::now();
        let open = match self.notices.availability(self.target, now) {
            // An acquired permit stays valid even if no further ones are available.
            TargetAvailability::Open | TargetAvailability::RateLimited(_) => {
                self.notices.rates.allows(self.target, self.permit, now)
            }
            TargetAvailability::Leaving => self.kind == SendKind::Control,
            // Only requests other than the trial are held back by the trial.
            TargetAvailability::BackedOff(_) => {
                self.is_trial && self.notices.back_off_has_elapsed(self.target, now)
            }
        };
        if open {
            self.is_trial |= self.notices.begin_trial(self.target, now);
            self.notices.rates.count_sent(self.target);
        } else {
            self.notices.count_withheld(self.target);
        }
        open
    }
}
