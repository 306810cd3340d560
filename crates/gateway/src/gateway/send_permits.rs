//! Send permits for targets with a rate limit: which host issues them, and how this host requests
//! and issues them.

use std::rc::Rc;

use futures_util::FutureExt;
use linnet_clock::BootInstant;
use linnet_directory::RateLimitSource;

use super::Gateway;
use crate::rate_turn::{RateAnswer, RateAsk, RateSubject};
use crate::stage_client::SendPermitHost;

impl Gateway {
    /// Makes this gateway the requester of send permits for its own requests.
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

    /// Returns the rate limits that targets sent to this host, for the control hosts.
    pub fn rate_source(self: &Rc<Self>) -> RateLimitSource {
        let gateway = self.clone();
        RateLimitSource {
            changes: self.notices.rates.changes(),
            changed_after: Box::new(move |request| {
                let changed = gateway.notices.rates.changed_after(request);
                (changed.words, changed.number)
            }),
        }
    }

    async fn request_send_permit(&self, request: RateAsk) -> RateAnswer {
        match self.send_permit_host(&request.subject) {
            SendPermitHost::Local => self.issue_send_permit(&request),
            SendPermitHost::Remote(address) => {
                self.stage_client
                    .request_send_permit(address, request)
                    .await
            }
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
        self.stage_client.send_permit_host(subject.key(), &hall)
    }

    /// Handles the request of another host for a send permit.
    pub(crate) fn handle_send_permit_request(&self, request: &RateAsk) -> RateAnswer {
        if let RateSubject::Target(word) = &request.subject {
            self.notices.rates.take_word(word);
        }
        match self.send_permit_host(&request.subject) {
            SendPermitHost::Local => self.issue_send_permit(request),
            // Two hosts that issue permits for the same target would admit twice its rate.
            SendPermitHost::Remote(_) | SendPermitHost::Unreachable => {
                self.send_permit_issuer.forget(request.subject.key());
                RateAnswer::UNREACHED
            }
        }
    }

    /// Issues a send permit, as the responsible host.
    fn issue_send_permit(&self, request: &RateAsk) -> RateAnswer {
        if !self.directory.borrow().is_connected() && !self.stage_client.reaches_any_host() {
            // Hosts that cannot reach this one either select another host to issue permits.
            return RateAnswer::UNREACHED;
        }
        let rate = match &request.subject {
            RateSubject::Target(word) => self.notices.rates.rate(&word.target),
            RateSubject::Service(_, sum) => Some(*sum),
        };
        let Some(rate) = rate else {
            // The target has lifted its rate limit, and the requesting host has not received that
            // update yet.
            return RateAnswer::Granted {
                wait_ms: 0,
                more: 0,
                next_ms: 0,
            };
        };
        self.send_permit_issuer
            .give(rate, request, BootInstant::now())
    }

    /// Removes the state of targets for which no permit was requested for a long time.
    pub(super) fn expire_send_permits(&self) {
        self.send_permit_issuer.expire(BootInstant::now());
    }
}
