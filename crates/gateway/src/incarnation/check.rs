//! The check of the incarnation that is made right before a request is sent to a target.

use std::cell::RefCell;
use std::time::Instant;

use crate::Gateway;
use crate::caller_request::{CallerRequest, is_resumable};
use crate::protocol::TargetProtocol;
use crate::send_error::SendError;
use crate::stated_start::{IncarnationVerdict, ListedIncarnation, StatedStart};
use crate::target::ChosenTarget;

/// An incarnation of a target that is known to run a request. Only [`IncarnationCheck`] creates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ProvedIncarnation {
    version: String,
}

impl ProvedIncarnation {
    /// Returns the software version; empty if the target names none.
    pub(crate) fn version(&self) -> &str {
        &self.version
    }
}

impl CallerRequest {
    /// Lets only targets of the software version of an incarnation run the request from now on.
    pub(crate) fn bind_incarnation(&self, incarnation: &ProvedIncarnation) {
        self.bound_version
            .get_or_init(|| incarnation.version().to_owned());
    }
}

/// The check that a connection leads to the incarnation from whose record the software version of a
/// request is taken. Every request whose stream may go on elsewhere, or that continues one, passes it.
pub(crate) struct IncarnationCheck<'a> {
    gateway: &'a Gateway,
    request: &'a CallerRequest,
    service: &'a str,
    chosen: &'a ChosenTarget,
    listed: ListedIncarnation,
    proved: RefCell<Option<ProvedIncarnation>>,
}

impl<'a> IncarnationCheck<'a> {
    /// Returns the check for a request that is about to be sent; `None` if no version matters to it.
    pub(crate) fn new(
        gateway: &'a Gateway,
        request: &'a CallerRequest,
        service: &'a str,
        chosen: &'a ChosenTarget,
    ) -> Option<Self> {
        if !is_resumable(request) {
            return None;
        }
        let since = gateway.targets.borrow().listed_since(service, &chosen.id);
        Some(Self {
            gateway,
            request,
            service,
            chosen,
            listed: ListedIncarnation {
                born: chosen.born,
                since: since.unwrap_or_else(Instant::now),
            },
            proved: RefCell::default(),
        })
    }

    /// Returns how targets are asked when they started; `None` if the identity of the target already
    /// tells its incarnations apart, in which case it refuses a request that is meant for another one.
    pub(crate) fn report(&self) -> Option<&TargetProtocol> {
        (self.listed.born > 0).then_some(&self.gateway.config.protocol.targets)
    }

    /// Decides whether the request may be sent on a connection that was opened at `opened`. Returns
    /// `false` if only another connection may do.
    ///
    /// # Errors
    ///
    /// [`SendError::Unproved`] if the request must not be sent to the target now.
    pub(crate) fn accept(&self, life: StatedStart, opened: Instant) -> Result<bool, SendError> {
        if self.listed.born == 0 {
            self.set_proved(true);
            return Ok(true);
        }
        let interval = self.gateway.config.heartbeat_interval;
        let verdict = life.compare(opened, self.listed, interval, Instant::now());
        self.gateway.metrics.count_incarnation(verdict);
        match verdict {
            IncarnationVerdict::Proved => self.set_proved(true),
            IncarnationVerdict::ConnectionOutdated => return Ok(false),
            IncarnationVerdict::RecordOutdated => self.accept_outdated(life)?,
            IncarnationVerdict::Unproved => self.accept_unproved()?,
        }
        Ok(true)
    }

    /// Decides whether the request may be sent to an incarnation that is not known.
    ///
    /// # Errors
    ///
    /// [`SendError::Unproved`] if the request is bound to a version.
    pub(crate) fn accept_unproved(&self) -> Result<(), SendError> {
        if self.request.bound_version.get().is_some() {
            let mut targets = self.gateway.targets.borrow_mut();
            targets.mark_unproved(self.service, &self.chosen.id, Instant::now());
            return Err(SendError::Unproved);
        }
        self.set_proved(false);
        Ok(())
    }

    /// Decides whether the request may be sent to an incarnation that started after the listed one. A
    /// stream may begin there if no other target was available, which is when one is selected although
    /// its record is known to be outdated.
    fn accept_outdated(&self, life: StatedStart) -> Result<(), SendError> {
        let StatedStart::Stated(born) = life else {
            return self.accept_unproved();
        };
        let targets = self.gateway.targets.borrow();
        let is_known = targets.is_known_outdated(self.service, &self.chosen.id, born);
        drop(targets);
        if is_known {
            return self.accept_unproved();
        }
        self.gateway.mark_outdated(self.service, self.chosen, born);
        Err(SendError::Unproved)
    }

    fn set_proved(&self, is_proved: bool) {
        let version = self.chosen.version.clone();
        let proved = is_proved.then_some(ProvedIncarnation { version });
        self.proved.replace(proved);
    }

    /// Returns the incarnation that the request was sent to, if it is proved.
    pub(crate) fn into_proved(self) -> Option<ProvedIncarnation> {
        self.proved.into_inner()
    }
}
