//! What a refusal of a request followed from: a held part of its prompt, or the configuration.

use linnet_telemetry::EventCode;

use crate::LogLine;

/// Maximum number of crashes under requests with a part; the newest are retained. A record has at
/// most 32 crashes, each of which may have interrupted several requests.
const MAX_ACCUSED_LINES: usize = 64;

/// Maximum number of lines about configurations; the newest are retained.
const MAX_CONFIG_LINES: usize = 12;

/// Maximum number of lines about configurations that control hosts accepted; the newest are
/// retained.
const MAX_ACCEPTED_LINES: usize = 4;

/// A part of prompts, and the only account whose requests with it are refused.
struct HeldPart<'a> {
    id: &'a str,
    /// `None` if requests of all accounts are refused.
    account: Option<&'a str>,
}

impl<'a> HeldPart<'a> {
    fn new(line: &'a LogLine) -> Option<Self> {
        let account = line.field("account")?;
        Some(Self {
            id: line.field("part")?,
            account: (account != "*").then_some(account),
        })
    }

    /// Returns whether a line records that a target crashed under a request with the part, or right
    /// after it. Lines of the latter do not name the account.
    fn is_accused(&self, line: &LogLine) -> bool {
        let is_crash = matches!(
            line.code,
            EventCode::RequestAccused | EventCode::PartAccused
        );
        let account = line.field("account");
        let is_in_scope = match (self.account, account) {
            (Some(part_account), Some(account)) => part_account == account,
            _ => true,
        };
        let mut parts = line.field("parts").unwrap_or_default().split(',');
        is_crash && is_in_scope && parts.any(|part| part == self.id)
    }
}

/// Returns the events, up to a refusal, of the part of prompts that it names by its key. All hosts
/// hold a part at about the same time, so of the lines that each host writes only those of the
/// refusing host are returned, if it wrote one.
pub(super) fn part_lines(all: &[LogLine], refusal: &LogLine) -> Vec<LogLine> {
    let Some(key) = refusal.field("key") else {
        return Vec::new();
    };
    let earlier = || all.iter().filter(|line| line.time <= refusal.time);
    let events: Vec<&LogLine> = earlier()
        .filter(|line| is_part_event(line) && line.field("key") == Some(key))
        .collect();
    let is_own = |line: &&LogLine| line.host == refusal.host;
    let has_own = events.iter().copied().any(|line| is_own(&line));
    let Some(part) = events.iter().find_map(|line| HeldPart::new(line)) else {
        return copy_newest(events, usize::MAX);
    };
    let accused = earlier().filter(|line| part.is_accused(line)).collect();
    let mut lines = copy_newest(accused, MAX_ACCUSED_LINES);
    let told = events
        .into_iter()
        .filter(|line| !has_own || line.code == EventCode::PartTried || is_own(line));
    lines.extend(told.cloned());
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

fn is_part_event(line: &LogLine) -> bool {
    matches!(
        line.code,
        EventCode::PartHeld | EventCode::PartTried | EventCode::PartReleased
    )
}

/// Returns, for a refusal that followed from the configuration, what its host knew of configurations
/// and control hosts, and the newest ones that control hosts had accepted.
pub(super) fn config_lines(all: &[LogLine], refusal: &LogLine) -> Vec<LogLine> {
    if !matches!(
        refusal.outcome(),
        Some("no_route" | "unauthorized" | "body_too_large")
    ) {
        return Vec::new();
    }
    let earlier = || all.iter().filter(|line| line.time <= refusal.time);
    let is_own = |line: &&LogLine| line.host == refusal.host && is_config_event(line);
    let mut lines = copy_newest(earlier().filter(is_own).collect(), MAX_CONFIG_LINES);
    let accepted = earlier().filter(|line| line.code == EventCode::RoutingAccepted);
    lines.extend(copy_newest(accepted.collect(), MAX_ACCEPTED_LINES));
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

/// Returns whether a line records the start of a process, what became of a configuration there, or
/// a change of its connections to control hosts.
fn is_config_event(line: &LogLine) -> bool {
    matches!(
        line.code,
        EventCode::ProcessStarted
            | EventCode::RoutingInForce
            | EventCode::RoutingRefused
            | EventCode::RoutingFetched
            | EventCode::RoutingFetchTurned
            | EventCode::RoutingFetchFailed
            | EventCode::ControlFollowed
            | EventCode::ControlLost
    )
}

/// Copies the newest lines, ordered by time.
fn copy_newest(mut lines: Vec<&LogLine>, max: usize) -> Vec<LogLine> {
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let excess = lines.len().saturating_sub(max);
    lines.into_iter().skip(excess).cloned().collect()
}
