//! Leave to send to targets that name rates: whom this host asks, and what it answers.

use std::rc::Rc;

use futures_util::FutureExt;
use linnet_clock::BootInstant;
use linnet_directory::RateSource;

use super::Gateway;
use crate::rate_turn::{RateAnswer, RateAsk, RateSubject};
use crate::stage_client::RateHost;

impl Gateway {
    /// Has leave asked for by this host.
    pub(super) fn install_permit_requester(self: &Rc<Self>) {
        let weak = Rc::downgrade(self);
        self.notices.rates.set_asker(Box::new(move |request| {
            let gateway = weak.upgrade();
            async move {
                match gateway {
                    Some(gateway) => gateway.request_send_permit(request).await,
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
            changed_after: Box::new(move |request| {
                let changed = gateway.notices.rates.changed_after(request);
                (changed.words, changed.number)
            }),
        }
    }

    async fn request_send_permit(&self, request: RateAsk) -> RateAnswer {
        match self.send_permit_host(&request.subject) {
            RateHost::Here => self.issue_send_permit(&request),
            RateHost::Remote(address) => self.stage_client.ask_rate(address, request).await,
            RateHost::Unreached => RateAnswer::UNREACHED,
        }
    }

    fn send_permit_host(&self, subject: &RateSubject) -> RateHost {
        let hall = match subject {
            RateSubject::Target(word) => {
                let targets = self.targets.borrow();
                let found = targets.find_anywhere(&word.target);
                found.map_or(String::new(), |(_, target)| target.hall.clone())
            }
            RateSubject::Service(..) => String::new(),
        };
        self.stage_client.rate_host(subject.key(), &hall)
    }

    /// Answers another host that asks for leave.
    pub(crate) fn handle_send_permit_request(&self, request: &RateAsk) -> RateAnswer {
        if let RateSubject::Target(word) = &request.subject {
            self.notices.rates.take_word(word);
        }
        match self.send_permit_host(&request.subject) {
            RateHost::Here => self.issue_send_permit(request),
            // Two that give leave would let twice the rate through.
            RateHost::Remote(_) | RateHost::Unreached => {
                self.send_permit_issuer.forget(request.subject.key());
                RateAnswer::UNREACHED
            }
        }
    }

    /// Gives leave, as the host that does for all.
    fn issue_send_permit(&self, request: &RateAsk) -> RateAnswer {
        if !self.directory.borrow().is_connected() && !self.stage_client.reaches_any() {
            // Others that do not reach this host either take another one.
            return RateAnswer::UNREACHED;
        }
        let rate = match &request.subject {
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
        self.send_permit_issuer
            .give(rate, request, BootInstant::now())
    }

    /// Forgets targets for which nobody has asked for long.
    pub(super) fn expire_send_permits(&self) {
        self.send_permit_issuer.expire(BootInstant::now());
    }
}
