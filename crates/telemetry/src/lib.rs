//! Clock, numbered events and metrics that every linnetdale process shares.
//!
//! - [`HybridClock`] stamps events so that causes sort before effects across processes.
//! - [`EventCode`] is the closed set of events; `docs/EVENTS.md` is its catalogue.
//! - [`EventRecorder`] keeps a bounded ring of events and writes them to the log.
//! - [`NoticeLine`] is what entry hosts tell operators of what a target asked.
//! - [`merge_events`] joins the rings of many processes into one time line.

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
