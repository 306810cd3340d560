//! The check that is made right before something is sent to a target.

use linnet_clock::BootInstant;

use crate::notice_store::NoticeStore;
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
}

impl<'a> SendGate<'a> {
    pub(crate) fn new(notices: &'a NoticeStore, target: &'a str, kind: SendKind) -> Self {
        Self {
            notices,
            target,
            kind,
            permit: SendPermit::UNRESTRICTED,
            is_trial: false,
        }
    }

    /// Sets the permit that was acquired for the request.
    pub(crate) fn with_permit(mut self, permit: SendPermit) -> Self {
        self.permit = permit;
        self
    }

    /// Returns whether the bytes may be written now, and counts the request as sent or withheld.
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
