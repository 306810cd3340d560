//! What targets have asked of this host, for as long as it holds.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_directory::TargetRecord;
use linnet_telemetry::{EventCode, EventRecorder};

use crate::notice::TargetNotice;

/// What one start of a target has asked.
#[derive(Debug, Clone)]
struct TargetAsk {
    /// When that start began; see [`TargetRecord::born`].
    born: u64,
    /// Until when it wants nothing from this host.
    until: Option<BootInstant>,
    leaving: bool,
}

#[derive(Default)]
struct BookState {
    asks: HashMap<String, TargetAsk>,
    /// When the start of each target that takes work began.
    births: HashMap<String, u64>,
}

/// What targets have asked of this host, by their identity.
pub(crate) struct NoticeBook {
    state: RefCell<BookState>,
    recorder: Arc<EventRecorder>,
}

impl NoticeBook {
    pub(crate) fn new(recorder: Arc<EventRecorder>) -> Self {
        Self {
            state: RefCell::default(),
            recorder,
        }
    }

    /// Takes the list of targets that take work. What a former start of one has asked holds no more.
    pub(crate) fn set_targets(&self, records: &[TargetRecord]) {
        let mut state = self.state.borrow_mut();
        let births = records
            .iter()
            .map(|record| (record.id.clone(), record.born));
        state.births = births.collect();
        let BookState { asks, births } = &mut *state;
        asks.retain(|id, ask| births.get(id).is_none_or(|born| *born <= ask.born));
    }

    /// Takes what an answer of a target said of it.
    pub(crate) fn note(&self, target: &str, notice: TargetNotice, now: BootInstant) {
        if notice == TargetNotice::default() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let born = state.births.get(target).copied().unwrap_or(0);
        let ask = state.asks.entry(target.to_owned()).or_insert(TargetAsk {
            born,
            until: None,
            leaving: false,
        });
        if let Some(wait) = notice.back_off {
            let former = ask.until.map_or(Duration::ZERO, |until| until - now);
            let until = now + wait;
            ask.until = ask.until.max(Some(until));
            let detail = format!(
                "wait_ms={} former_left_ms={}",
                wait.as_millis(),
                former.as_millis()
            );
            let code = EventCode::TargetBackedOff;
            self.recorder.record(code, target, detail);
        }
        if notice.leaving && !ask.leaving {
            ask.leaving = true;
            let detail = "cause=said in an answer".to_owned();
            let code = EventCode::TargetLeaving;
            self.recorder.record(code, target, detail);
        }
    }
}
