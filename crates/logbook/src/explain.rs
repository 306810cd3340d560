//! What all processes wrote of one request.

use linnet_telemetry::EventCode;

use crate::LogLine;

/// Lines about the request's targets that are told beside its own, the newest ones.
const MAX_TARGET_LINES: usize = 12;

/// What is known of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHistory {
    /// The lines about it, in the order of their times.
    pub lines: Vec<LogLine>,
    /// What happened to targets that it was sent to, until its last line.
    pub target_lines: Vec<LogLine>,
    /// What was held against it, also when it came under other ids and at other hosts, until its last line.
    pub held_lines: Vec<LogLine>,
    /// What decided its end, in a sentence.
    pub summary: String,
}

/// Gathers what was written of a request; nothing where no line names it.
pub fn explain_request(all: &[LogLine], request: &str) -> Option<RequestHistory> {
    let named = all.iter().filter(|line| line.concerns(request));
    let mut lines: Vec<LogLine> = named.cloned().collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let last = lines.last()?;
    let own = lines.iter().filter(|line| line.request.is_some());
    let targets: Vec<&str> = own.filter_map(|line| line.peer.as_deref()).collect();
    let closed = lines.iter().find_map(unavailable_service);
    let mut target_lines: Vec<LogLine> = all
        .iter()
        .filter(|line| is_target_event(line) && line.time <= last.time)
        .filter(|line| {
            let peer = line.peer.as_deref();
            let sent_to = peer.is_some_and(|peer| targets.contains(&peer));
            sent_to || closed.is_some_and(|closed| explains_refusal(line, closed))
        })
        .filter(|line| !line.concerns(request))
        .cloned()
        .collect();
    target_lines.sort_by(|a, b| a.time.cmp(&b.time));
    let more = target_lines.len().saturating_sub(MAX_TARGET_LINES);
    target_lines.drain(..more);
    let held_lines = held_lines(all, &lines, &last.time);
    let summary = summarize(&lines);
    Some(RequestHistory {
        lines,
        target_lines,
        held_lines,
        summary,
    })
}

/// Returns what was written, until a time, of the same request under other ids: its key stands in lines on
/// suspects and in its refusal.
fn held_lines(all: &[LogLine], own: &[LogLine], until: &str) -> Vec<LogLine> {
    let key_of = |line: &LogLine| line.field("key").map(str::to_owned);
    let Some(key) = own.iter().find_map(key_of) else {
        return Vec::new();
    };
    let tells = |line: &&LogLine| {
        let tells = matches!(
            line.code,
            EventCode::RequestAccused
                | EventCode::RequestAcquitted
                | EventCode::RequestHeld
                | EventCode::RequestTried
                | EventCode::RequestReleased
        );
        tells && line.time.as_str() <= until && line.field("key") == Some(&key)
    };
    let mut held: Vec<LogLine> = all
        .iter()
        .filter(tells)
        .filter(|line| !own.contains(line))
        .cloned()
        .collect();
    held.sort_by(|a, b| a.time.cmp(&b.time));
    held
}

/// What a refusal says of all targets of a service behind its name: they wanted nothing, or their rates were used up.
const UNAVAILABLE_PHRASES: [&str; 2] = [" wants no requests", " names a rate"];

/// Where a request was refused since all targets of a service wanted none.
#[derive(Clone, Copy)]
struct UnavailableService<'a> {
    host: &'a str,
    service: &'a str,
}

fn unavailable_service(line: &LogLine) -> Option<UnavailableService<'_>> {
    let (_, told) = line.detail.split_once("every target of ")?;
    let mut causes = UNAVAILABLE_PHRASES.iter();
    let (service, _) = causes.find_map(|cause| told.split_once(cause))?;
    Some(UnavailableService {
        host: &line.host,
        service,
    })
}

/// Says whether a line tells that a target of a closed service wanted no requests of the host.
fn explains_refusal(line: &LogLine, closed: UnavailableService<'_>) -> bool {
    let asked = matches!(
        line.code,
        EventCode::TargetBackedOff | EventCode::TargetLeaving | EventCode::RateNamed
    );
    asked && line.host == closed.host && line.field("service") == Some(closed.service)
}

/// Says whether a line tells that a target failed, leaves or is silent.
fn is_target_event(line: &LogLine) -> bool {
    matches!(
        line.code,
        EventCode::TargetEjected
            | EventCode::TargetWithdrawn
            | EventCode::TargetSilent
            | EventCode::TargetEnded
            | EventCode::TargetBackedOff
            | EventCode::TargetReopened
            | EventCode::TargetLeaving
            | EventCode::RateNamed
            | EventCode::RateEnded
            | EventCode::StageCallFailed
            | EventCode::StageCallLate
    )
}

fn summarize(lines: &[LogLine]) -> String {
    let mut ends = lines.iter().filter(|line| {
        matches!(
            line.code,
            EventCode::RequestRefused | EventCode::RequestFinished | EventCode::RequestFailed
        )
    });
    let Some(end) = ends.next_back() else {
        return "no line tells its end: it may still run, or its host was lost".to_owned();
    };
    let outcome = end
        .detail
        .split_once("outcome=")
        .map_or("", |(_, text)| text);
    let what = match end.code {
        EventCode::RequestRefused => "refused, it did not run",
        EventCode::RequestFailed => "failed, it may have run",
        _ => "finished",
    };
    format!("{what} at {}: {outcome}{}", end.host, describe_times(lines))
}

/// Returns the planned and the real time until the answer of a request began, where a line has both;
/// lines of calls have times of their own.
fn describe_times(lines: &[LogLine]) -> String {
    let both = lines.iter().find_map(|line| {
        let planned = line.field_ms("planned_ms")?;
        Some((planned, line.field_ms("took_ms")?))
    });
    both.map_or_else(String::new, |(planned, took)| {
        format!("; planned {planned} ms, took {took} ms")
    })
}

#[cfg(test)]
mod tests;
