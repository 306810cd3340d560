//! The reservation of a retry for a request of a caller.

use std::rc::Rc;

use crate::caller_request::CallerRequest;
use crate::retry_budget::RetryBudget;
use crate::retry_cause::RetryCause;

impl RetryBudget {
    /// Returns whether a request may be sent to another target. If it has reached one before, a retry
    /// is reserved for it.
    pub(crate) fn allow_retry(
        self: &Rc<Self>,
        request: &CallerRequest,
        service: &str,
        cause: RetryCause,
    ) -> bool {
        if request.sends.may_send() {
            return true;
        }
        let permit = self.reserve(&request.id, service, cause);
        let is_reserved = permit.is_some();
        if let Some(permit) = permit {
            request.sends.set_permit(permit);
        }
        is_reserved
    }
}
