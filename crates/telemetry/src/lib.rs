//! Clock, numbered events and target notices shared by all linnetdale processes.
//!
//! - [`HybridClock`] stamps events so that causes sort before effects across processes.
//! - [`EventCode`] is the closed set of events; `docs/EVENTS.md` is its catalogue.
//! - [`EventRecorder`] keeps a bounded ring of events and writes them to the log.
//! - [`NoticeLine`] reports to operators what a target requested of an entry host.
//! - [`merge_events`] merges the rings of several processes into one timeline.

mod clock;
mod code;
mod notice_line;
mod recorder;
mod timeline;

pub use clock::{HybridClock, Stamp};
pub use code::{EventCode, EventLevel};
pub use notice_line::{NOTICES_PATH, NoticeLine, NoticeState};
pub use recorder::{Event, EventQuery, EventRecorder, RING_CAPACITY};
pub use timeline::{format_event, merge_events};
