//! The bound on interim responses (status 1xx), of which a target may send any number before a response.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use derive_more::Display;
use http::Request;
use hyper::ext::on_informational;

/// Maximum number of interim responses to one request. Targets send a few at most.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// More than [`MAX_INTERIM_RESPONSES`] came before the response.
#[derive(Debug, Display, derive_more::Error)]
#[display("more than {MAX_INTERIM_RESPONSES} interim responses")]
pub(crate) struct TooManyInterims;

/// Counts the interim responses to the present request of a connection. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct InterimCount(Arc<AtomicU32>);

impl InterimCount {
    /// Counts the interim responses to a request that is sent next.
    pub(super) fn begin<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = self.0.clone();
        on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Checks that no more have come than may.
    ///
    /// # Errors
    ///
    /// [`TooManyInterims`], which ends the connection.
    pub(super) fn check(&self) -> Result<(), Error> {
        match self.0.load(Ordering::Relaxed) <= MAX_INTERIM_RESPONSES {
            true => Ok(()),
            false => Err(Error::new(ErrorKind::InvalidData, TooManyInterims)),
        }
    }
}
