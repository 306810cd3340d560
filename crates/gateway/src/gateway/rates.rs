//! Leave to send to targets that name rates: whom this host asks, and what it answers.

use std::rc::Rc;

use futures_util::FutureExt;
use linnet_clock::BootInstant;
use linnet_directory::RateSource;

use super::Gateway;
use crate::rate_turn::{RateAnswer, RateAsk, RateSubject};
use crate::stage_client::SendPermitHost;

impl Gateway {
    /// Has leave asked for by this host.
    pub(super) fn watch_rates(self: &Rc<Self>) {
        let watching = Rc::downgrade(self);
        self.notices.rates.set_asker(Box::new(move |ask| {
            let gateway = watching.upgrade();
            async move {
                match gateway {
                    Some(gateway) => gateway.request_send_permit(ask).await,
                    None => RateAnswer::UNREACHED,
                }
            }
            .boxed_local()
        }));
    }

    /// Returns the rates that targets named to this host, for the control hosts.
    pub fn rate_source(self: &Rc<Self>) -> RateSource {
        let gateway = self.clone();
        RateSource {
            changes: self.notices.rates.changes(),
            changed_after: Box::new(move |ask| {
                let changed = gateway.notices.rates.changed_after(ask);
                (changed.words, changed.number)
            }),
        }
    }

    async fn request_send_permit(&self, ask: RateAsk) -> RateAnswer {
        match self.send_permit_host(&ask.subject) {
            SendPermitHost::Local => self.give_rate(&ask),
            SendPermitHost::Remote(address) => self.stages.request_send_permit(address, ask).await,
            SendPermitHost::Unreachable => RateAnswer::UNREACHED,
        }
    }

    fn send_permit_host(&self, subject: &RateSubject) -> SendPermitHost {
        let hall = match subject {
            RateSubject::Target(word) => {
                let targets = self.targets.borrow();
                let found = targets.find_anywhere(&word.target);
                found.map_or(String::new(), |(_, target)| target.hall.clone())
            }
            RateSubject::Service(..) => String::new(),
        };
        self.stages.send_permit_host(subject.key(), &hall)
    }

    /// Answers another host that asks for leave.
    pub(crate) fn answer_rate(&self, ask: &RateAsk) -> RateAnswer {
        if let RateSubject::Target(word) = &ask.subject {
            self.notices.rates.take_word(word);
        }
        match self.send_permit_host(&ask.subject) {
            SendPermitHost::Local => self.give_rate(ask),
            // Two that give leave would let twice the rate through.
            SendPermitHost::Remote(_) | SendPermitHost::Unreachable => {
                self.rate_turns.forget(ask.subject.key());
                RateAnswer::UNREACHED
            }
        }
    }

    /// Gives leave, as the host that does for all.
    fn give_rate(&self, ask: &RateAsk) -> RateAnswer {
        if !self.view.borrow().is_connected() && !self.stages.reaches_any_host() {
            // Others that do not reach this host either take another one.
            return RateAnswer::UNREACHED;
        }
        let rate = match &ask.subject {
            RateSubject::Target(word) => self.notices.rates.rate(&word.target),
            RateSubject::Service(_, sum) => Some(*sum),
        };
        let Some(rate) = rate else {
            // The host that asks has yet to hear that the target takes any rate.
            return RateAnswer::Granted {
                wait_ms: 0,
                more: 0,
                next_ms: 0,
            };
        };
        self.rate_turns.give(rate, ask, BootInstant::now())
    }

    /// Forgets targets for which nobody has asked for long.
    pub(super) fn expire_rates(&self) {
        self.rate_turns.expire(BootInstant::now());
    }
}
