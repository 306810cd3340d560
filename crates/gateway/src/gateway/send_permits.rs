//! Send permits for targets with a rate limit: which host issues them, and how this host requests
//! and issues them.

use std::rc::Rc;

use futures_util::FutureExt;
use linnet_clock::BootInstant;
use linnet_directory::RateLimitSource;

use super::Gateway;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest, SendPermitScope};
use crate::stage_client::SendPermitHost;

impl Gateway {
    /// Makes this gateway the requester of send permits for its own requests.
    pub(super) fn install_permit_requester(self: &Rc<Self>) {
        let weak = Rc::downgrade(self);
        self.notices.rates.set_requester(Box::new(move |request| {
            let gateway = weak.upgrade();
            async move {
                match gateway {
                    Some(gateway) => gateway.request_send_permit(request).await,
                    None => SendPermitReply::UNREACHABLE,
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
                (changed.observations, changed.revision)
            }),
        }
    }

    async fn request_send_permit(&self, request: SendPermitRequest) -> SendPermitReply {
        match self.send_permit_host(&request.scope) {
            SendPermitHost::Local => self.issue_send_permit(&request),
            SendPermitHost::Remote(address) => {
                self.stage_client
                    .request_send_permit(address, request)
                    .await
            }
            SendPermitHost::Unreachable => SendPermitReply::UNREACHABLE,
        }
    }

    fn send_permit_host(&self, subject: &SendPermitScope) -> SendPermitHost {
        let hall = match subject {
            SendPermitScope::Target(observation) => {
                let targets = self.targets.borrow();
                let found = targets.find_by_id(&observation.target);
                found.map_or(String::new(), |(_, target)| target.hall.clone())
            }
            SendPermitScope::Service(..) => String::new(),
        };
        self.stage_client.send_permit_host(subject.key(), &hall)
    }

    /// Handles the request of another host for a send permit.
    pub(crate) fn handle_send_permit_request(
        &self,
        request: &SendPermitRequest,
    ) -> SendPermitReply {
        if let SendPermitScope::Target(observation) = &request.scope {
            self.notices.rates.apply_peer_observation(observation);
        }
        match self.send_permit_host(&request.scope) {
            SendPermitHost::Local => self.issue_send_permit(request),
            // Two hosts that issue permits for the same target would admit twice its rate.
            SendPermitHost::Remote(_) | SendPermitHost::Unreachable => {
                self.send_permit_issuer.remove(request.scope.key());
                SendPermitReply::UNREACHABLE
            }
        }
    }

    /// Issues a send permit, as the responsible host.
    fn issue_send_permit(&self, request: &SendPermitRequest) -> SendPermitReply {
        if !self.directory.borrow().is_connected() && !self.stage_client.reaches_any_host() {
            // Hosts that cannot reach this one either select another host to issue permits.
            return SendPermitReply::UNREACHABLE;
        }
        let rate = match &request.scope {
            SendPermitScope::Target(observation) => {
                self.notices.rates.rate_limit(&observation.target)
            }
            SendPermitScope::Service(_, sum) => Some(*sum),
        };
        let Some(rate) = rate else {
            // The target has lifted its rate limit, and the requesting host has not received that
            // update yet.
            return SendPermitReply::Granted {
                wait_ms: 0,
                more: 0,
                next_ms: 0,
            };
        };
        self.send_permit_issuer
            .issue(rate, request, BootInstant::now())
    }

    /// Removes the state of targets for which no permit was requested for a long time.
    pub(super) fn expire_send_permits(&self) {
        self.send_permit_issuer.expire(BootInstant::now());
    }
}
