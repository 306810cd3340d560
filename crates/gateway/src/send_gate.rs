//! The last look before something is sent to a target.

use linnet_clock::BootInstant;

use crate::notice_store::NoticeStore;
use crate::send_permit::SendPermit;
use crate::target_restriction::TargetAvailability;

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// Something to run.
    Work,
    /// A word about work that it has done, which one that leaves takes as well.
    Control,
}

/// The last look before something is sent to a target.
pub(crate) struct SendGate<'a> {
    notices: &'a NoticeStore,
    target: &'a str,
    kind: SendKind,
    permit: SendPermit,
    /// Whether this is the request that is_trial the target after a back-off.
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

    /// Sends with leave that was taken before.
    pub(crate) fn with_permit(mut self, permit: SendPermit) -> Self {
        self.permit = permit;
        self
    }

    /// Says whether the bytes may be written now. Asked once more for each connection that is tried.
    pub(crate) fn try_pass(&mut self) -> bool {
        let now = BootInstant::now();
        let open = match self.notices.availability(self.target, now) {
            // Leave that was taken holds also where there is none for others.
            TargetAvailability::Open | TargetAvailability::RateLimited(_) => {
                self.notices.rates.allows(self.target, self.permit, now)
            }
            TargetAvailability::Leaving => self.kind == SendKind::Control,
            // Its own trial holds back only the others.
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
