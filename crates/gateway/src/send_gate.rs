//! The last look before something is sent to a target.

use linnet_clock::BootInstant;

use crate::notice_book::NoticeBook;
use crate::rate_permit::SendPermit;
use crate::target_ask::TargetStanding;

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// Something to run.
    Work,
    /// A word about work that it has done, which one that leaves takes as well.
    Word,
}

/// The last look before something is sent to a target.
pub(crate) struct SendGate<'a> {
    book: &'a NoticeBook,
    target: &'a str,
    kind: SendKind,
    permit: SendPermit,
    /// Whether this is the request that tries the target after a back-off.
    tries: bool,
}

impl<'a> SendGate<'a> {
    pub(crate) fn new(book: &'a NoticeBook, target: &'a str, kind: SendKind) -> Self {
        Self {
            book,
            target,
            kind,
            permit: SendPermit::FREE,
            tries: false,
        }
    }

    /// Sends with leave that was taken before.
    pub(crate) fn with_permit(mut self, permit: SendPermit) -> Self {
        self.permit = permit;
        self
    }

    /// Says whether the bytes may be written now. Asked once more for each connection that is tried.
    pub(crate) fn passes(&mut self) -> bool {
        let now = BootInstant::now();
        let open = match self.book.standing(self.target, now) {
            // Leave that was taken holds also where there is none for others.
            TargetStanding::Open | TargetStanding::Paced(_) => {
                self.book.rates.allows(self.target, self.permit, now)
            }
            TargetStanding::Leaving => self.kind == SendKind::Word,
            // Its own trial holds back only the others.
            TargetStanding::BackedOff(_) => self.tries && self.book.has_waited(self.target, now),
        };
        if open {
            self.tries |= self.book.begin_trial(self.target, now);
            self.book.rates.count_sent(self.target);
        } else {
            self.book.count_withheld(self.target);
        }
        open
    }
}
