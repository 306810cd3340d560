//! Why requests are sent once more.

use derive_more::Display;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum RetryCause {
    /// A target failed it or did not answer in time.
    #[display("failure")]
    Failure,
    /// A target rejected it without running it.
    #[display("rejection")]
    Rejection,
    /// Its stream broke and resumes at another target.
    #[display("resume")]
    Resume,
}
