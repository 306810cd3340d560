//! The history of one request from the logs of all processes.

mod refusal_cause;
mod takeup_chain;

use linnet_telemetry::EventCode;

use crate::LogLine;

use refusal_cause::{config_lines, part_lines};
use takeup_chain::takeup_lines;

/// Maximum number of lines about the request's targets; the newest lines are retained.
const MAX_TARGET_LINES: usize = 12;

/// The logged history of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHistory {
    /// Lines that concern the request, ordered by time.
    pub lines: Vec<LogLine>,
    /// Events of the targets that it was sent to, up to its last line. If it was refused because
    /// all targets of its service were unavailable, also the notices of these targets.
    pub target_lines: Vec<LogLine>,
    /// Quarantine events of the same request under other ids and at other hosts, up to its last
    /// line.
    pub held_lines: Vec<LogLine>,
    /// If a held part of its prompt refused it: the events of that part, and the crashes under
    /// requests with it.
    pub part_lines: Vec<LogLine>,
    /// If the configuration refused it: what the refusing host knew of configurations, and newer
    /// ones that control hosts had accepted.
    pub config_lines: Vec<LogLine>,
    /// How the stream was taken up under other ids, before and after this one.
    pub takeup_lines: Vec<LogLine>,
    /// The outcome and its cause, in one sentence.
    pub summary: String,
}

/// Collects the history of a request; returns `None` if no line concerns it.
pub fn explain_request(all: &[LogLine], request: &str) -> Option<RequestHistory> {
    let concerned = all.iter().filter(|line| line.concerns(request));
    let mut lines: Vec<LogLine> = concerned.cloned().collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let last = lines.last()?;
    let own = lines.iter().filter(|line| line.request.is_some());
    let targets: Vec<&str> = own.filter_map(|line| line.peer.as_deref()).collect();
    let unavailable = lines.iter().find_map(unavailable_service);
    let mut target_lines: Vec<LogLine> = all
        .iter()
        .filter(|line| is_target_event(line) && line.time <= last.time)
        .filter(|line| {
            let peer = line.peer.as_deref();
            let sent_to = peer.is_some_and(|peer| targets.contains(&peer));
            sent_to || unavailable.is_some_and(|service| explains_refusal(line, service))
        })
        .filter(|line| !line.concerns(request))
        .cloned()
        .collect();
    target_lines.sort_by(|a, b| a.time.cmp(&b.time));
    let excess = target_lines.len().saturating_sub(MAX_TARGET_LINES);
    target_lines.drain(..excess);
    let held_lines = held_lines(all, &lines, &last.time);
    let refusal = lines
        .iter()
        .rfind(|line| line.code == EventCode::RequestRefused);
    let part_lines = refusal.map_or_else(Vec::new, |line| part_lines(all, line));
    let config_lines = refusal.map_or_else(Vec::new, |line| config_lines(all, line));
    let summary = summarize(&lines);
    Some(RequestHistory {
        lines,
        target_lines,
        held_lines,
        part_lines,
        config_lines,
        takeup_lines: takeup_lines(all, request),
        summary,
    })
}

/// Returns the quarantine events, up to a time, of the same request under other ids. The lines are
/// matched by the request key, which quarantine events and the refusal contain.
fn held_lines(all: &[LogLine], own: &[LogLine], until: &str) -> Vec<LogLine> {
    let key_of = |line: &LogLine| line.field("key").map(str::to_owned);
    let Some(key) = own.iter().find_map(key_of) else {
        return Vec::new();
    };
    let is_related = |line: &&LogLine| {
        let is_quarantine_event = matches!(
            line.code,
            EventCode::RequestAccused
                | EventCode::RequestAcquitted
                | EventCode::RequestHeld
                | EventCode::RequestTried
                | EventCode::RequestReleased
        );
        is_quarantine_event && line.time.as_str() <= until && line.field("key") == Some(&key)
    };
    let mut held: Vec<LogLine> = all
        .iter()
        .filter(is_related)
        .filter(|line| !own.contains(line))
        .cloned()
        .collect();
    held.sort_by(|a, b| a.time.cmp(&b.time));
    held
}

/// Texts that follow the name of the service in a refusal because all its targets are unavailable:
/// they are backed off, or their rate limits are used up.
const UNAVAILABLE_PHRASES: [&str; 2] = [" wants no requests", " names a rate"];

/// The host and service of a refusal because all targets of the service were unavailable.
#[derive(Clone, Copy)]
struct UnavailableService<'a> {
    host: &'a str,
    service: &'a str,
}

fn unavailable_service(line: &LogLine) -> Option<UnavailableService<'_>> {
    let (_, cause) = line.detail.split_once("every target of ")?;
    let mut phrases = UNAVAILABLE_PHRASES.iter();
    let (service, _) = phrases.find_map(|phrase| cause.split_once(phrase))?;
    Some(UnavailableService {
        host: &line.host,
        service,
    })
}

/// Returns whether a line records that a target of an unavailable service backed off, limited its
/// rate or is leaving, as seen by the host that refused the request.
fn explains_refusal(line: &LogLine, unavailable: UnavailableService<'_>) -> bool {
    let is_notice = matches!(
        line.code,
        EventCode::TargetBackedOff | EventCode::TargetLeaving | EventCode::RateNamed
    );
    is_notice && line.host == unavailable.host && line.field("service") == Some(unavailable.service)
}

/// Returns whether a line records a failure, notice, departure or silence of a target.
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
    let result = match end.code {
        EventCode::RequestRefused => "refused, it did not run",
        EventCode::RequestFailed => "failed, it may have run",
        _ => "finished",
    };
    format!(
        "{result} at {}: {outcome}{}{}",
        end.host,
        describe_retry(end),
        describe_times(lines)
    )
}

/// Describes the retry delay that the caller was told, if the line has one.
fn describe_retry(end: &LogLine) -> String {
    let delay = end.field_ms("retry_after_ms");
    delay.map_or_else(String::new, |delay| {
        format!("; told to retry after {delay} ms")
    })
}

/// Describes the planned and the actual time until the response to a request began, from the first
/// line that has both. The times of calls to stage targets are in other lines, without a planned
/// time.
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
