//! The requests under which callers took up one stream, again and again.

use std::collections::BTreeSet;

use linnet_telemetry::EventCode;

use crate::LogLine;

/// Returns the lines of all requests that took up the stream of a request, or whose stream it took up,
/// ordered by time, without those of the request itself.
pub(super) fn takeup_lines(all: &[LogLine], request: &str) -> Vec<LogLine> {
    let takeups: Vec<(&str, &str)> = all.iter().filter_map(takeup_ids).collect();
    let mut chain: BTreeSet<&str> = BTreeSet::from([request]);
    loop {
        let known = chain.len();
        for (id, resumes) in &takeups {
            if chain.contains(id) || chain.contains(resumes) {
                chain.extend([id, resumes]);
            }
        }
        if chain.len() == known {
            break;
        }
    }
    let is_other = |line: &&LogLine| {
        let own = line.request.as_deref();
        let is_takeup = matches!(line.code, EventCode::StreamTakenUp | EventCode::TakeupEnded);
        is_takeup && own.is_some_and(|id| id != request && chain.contains(id))
    };
    let mut lines: Vec<LogLine> = all.iter().filter(is_other).cloned().collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

/// Returns the id of a request that takes up a stream, and the id that it names.
fn takeup_ids(line: &LogLine) -> Option<(&str, &str)> {
    let is_takeup = line.code == EventCode::StreamTakenUp;
    let resumes = line.field("resumes").filter(|id| *id != "-")?;
    is_takeup.then_some((line.request.as_deref()?, resumes))
}
