//! Clock, numbered events and target notices shared by all linnetdale processes.
//!
//! - [`HybridClock`] stamps events so that causes sort before effects across processes.
//! - [`EventCode`] is the closed set of events; `docs/EVENTS.md` is its catalogue.
//! - [`EventRecorder`] keeps a bounded ring of events and writes them to the log.
//! - [`NoticeLine`] reports to operators what a target requested of an entry host.
//! - [`AccountShareLine`] and [`PoolQueueLine`] report to operators on the pools of a coordinator.
//! - [`merge_events`] merges the rings of several processes into one timeline.

mod clock;
mod code;
mod notice_line;
mod pool_page;
mod recorder;
mod timeline;

pub use clock::{HybridClock, Stamp};
pub use code::{EventCode, EventLevel};
pub use notice_line::{NOTICES_PATH, NoticeLine, NoticeState};
pub use pool_page::{ACCOUNT_SHARES_PATH, AccountShareLine, POOL_QUEUES_PATH, PoolQueueLine};
pub use recorder::{Event, EventQuery, EventRecorder, RING_CAPACITY};
pub use timeline::{format_event, merge_events};
