//! Leave to send to targets that name rates: whom this host asks, and what it answers.

use std::rc::Rc;

use futures_util::FutureExt;
use linnet_clock::BootInstant;
use linnet_directory::RateSource;

use super::Gateway;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest, SendPermitScope};
use crate::stage_client::RateHost;

impl Gateway {
    /// Has leave asked for by this host.
    pub(super) fn watch_rates(self: &Rc<Self>) {
        let watching = Rc::downgrade(self);
        self.notices.rates.set_requester(Box::new(move |ask| {
            let gateway = watching.upgrade();
            async move {
                match gateway {
                    Some(gateway) => gateway.ask_rate(ask).await,
                    None => SendPermitReply::UNREACHABLE,
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
                (changed.observations, changed.revision)
            }),
        }
    }

    async fn ask_rate(&self, ask: SendPermitRequest) -> SendPermitReply {
        match self.rate_host(&ask.scope) {
            RateHost::Here => self.give_rate(&ask),
            RateHost::Remote(address) => self.stages.ask_rate(address, ask).await,
            RateHost::Unreached => SendPermitReply::UNREACHABLE,
        }
    }

    fn rate_host(&self, subject: &SendPermitScope) -> RateHost {
        let hall = match subject {
            SendPermitScope::Target(word) => {
                let targets = self.targets.borrow();
                let found = targets.find_by_id(&word.target);
                found.map_or(String::new(), |(_, target)| target.hall.clone())
            }
            SendPermitScope::Service(..) => String::new(),
        };
        self.stages.rate_host(subject.key(), &hall)
    }

    /// Answers another host that asks for leave.
    pub(crate) fn answer_rate(&self, ask: &SendPermitRequest) -> SendPermitReply {
        if let SendPermitScope::Target(word) = &ask.scope {
            self.notices.rates.apply_peer_observation(word);
        }
        match self.rate_host(&ask.scope) {
            RateHost::Here => self.give_rate(ask),
            // Two that give leave would let twice the rate through.
            RateHost::Remote(_) | RateHost::Unreached => {
                self.rate_turns.remove(ask.scope.key());
                SendPermitReply::UNREACHABLE
            }
        }
    }

    /// Gives leave, as the host that does for all.
    fn give_rate(&self, ask: &SendPermitRequest) -> SendPermitReply {
        if !self.view.borrow().is_connected() && !self.stages.reaches_any() {
            // Others that do not reach this host either take another one.
            return SendPermitReply::UNREACHABLE;
        }
        let rate = match &ask.scope {
            SendPermitScope::Target(word) => self.notices.rates.rate_limit(&word.target),
            SendPermitScope::Service(_, sum) => Some(*sum),
        };
        let Some(rate) = rate else {
            // The host that asks has yet to hear that the target takes any rate.
            return SendPermitReply::Granted {
                wait_ms: 0,
                more: 0,
                next_ms: 0,
            };
        };
        self.rate_turns.issue(rate, ask, BootInstant::now())
    }

    /// Forgets targets for which nobody has asked for long.
    pub(super) fn expire_rates(&self) {
        self.rate_turns.expire(BootInstant::now());
    }
}
