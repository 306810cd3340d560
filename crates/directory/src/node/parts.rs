//! Parts of prompts suspected of crashing targets, on a control host.

use std::time::Instant;

use linnet_quarantine::{PartKey, PartLine, PartRecord};
use linnet_telemetry::EventCode;

use super::{DirectoryError, DirectoryNode};

impl DirectoryNode {
    /// Merges records of suspected parts from another process, and wakes the pushes if others need
    /// them.
    pub(crate) fn merge_parts(&self, records: &[PartRecord]) {
        if records.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut changed = false;
        {
            let store = &mut self.lock().parts;
            for record in records {
                changed |= store.merge(record, now) && store.is_shared(record.subject.key);
            }
        }
        if changed {
            self.notify_subscribers();
        }
    }

    /// Returns the suspected parts, for operators.
    pub fn part_lines(&self) -> Vec<PartLine> {
        let now = Instant::now();
        let store = &mut self.lock().parts;
        store.decide_due(now);
        let records = store.all_records(now);
        let lines = records
            .iter()
            .map(|record| PartLine::new(record, store.is_held(record.subject.key)));
        lines.collect()
    }

    /// Returns the number of held parts.
    pub fn held_part_count(&self) -> usize {
        self.lock().parts.counts().0
    }

    /// Releases a part on an operator's order; returns whether there was a record of it.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::OrderOutdated`] changes nothing.
    pub fn release_part(&self, key: PartKey) -> Result<bool, DirectoryError> {
        self.admit_order()?;
        let known = self.lock().parts.release(key);
        if known {
            let detail = format!("key={key} cause=an operator");
            self.record(EventCode::PartReleased, &detail);
            self.notify_subscribers();
        }
        Ok(known)
    }

    /// Returns the held parts, and all known parts that are in the log in another state.
    pub(super) fn parts_missing_from_log(&self) -> Vec<PartRecord> {
        let now = Instant::now();
        let store = &mut self.lock().parts;
        store.decide_due(now);
        let machine = &self.shared.machine;
        machine.parts_missing_from_log(store.all_records(now), |record| {
            store.is_held(record.subject.key)
        })
    }
}

/// Loads the held parts from the log, at the start and after each change.
pub(super) async fn load_held_parts(node: DirectoryNode) {
    let mut changes = node.shared.machine.held_request_changes();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        node.merge_parts(&node.shared.machine.held_parts());
    }
}
