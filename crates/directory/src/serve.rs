//! Serves subscribers on a control host.

mod additions;

use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_quarantine::PartRecord;
use linnet_rate::RateObservation;
use linnet_rollout::RolloutStore;
use linnet_wire::{MessageVersion, PeerReader, PeerWriter, WireError};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::document_sender::DocumentSender;
use crate::entry_host_push::EntryHostPush;
use crate::message::ReportTail;
use crate::message_v1::{DirectoryUpdateV1, SubscriberReportV1};
use crate::node::SubscriberState;
use crate::{
    DirectoryNode, DirectoryUpdate, DocumentKey, EntryHostRecord, EvacuationStore, LocalEntryHosts,
    RoleStatement, SubscriberHello, SubscriberReport,
};

use additions::{
    add_document, add_entry_hosts, add_evacuations, add_heartbeats, add_rollouts, add_withdrawn,
};

/// Maximum time between two updates to a subscriber; an update without changes is a keep-alive.
pub(crate) const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// A connection on which no byte arrived for this time is closed.
pub(crate) const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Minimum time between two updates to one entry host, per subscriber, so that the work for updates
/// does not grow with the number of changes: at most 2,900 updates per second, whatever the size of
/// the fleet. When 285 targets registered one by one after a power loss, each caused an update to
/// each of 295 entry hosts, and a leader was elected only 1.9 s after the start. With this limit
/// and the cached list of entry hosts, a control host of that fleet used 0.048 instead of 0.157
/// cores averaged over a day, and the first election ended 0.35 s after the start.
const UPDATE_SPACING_PER_SUBSCRIBER: Duration = Duration::from_micros(350);

/// Maximum number of targets in one update. A subscriber that is new or has a slow link gets the
/// rest after this part was sent, so a control host buffers one part per subscriber and not
/// everything that they lack: with 300 machines and 3,000 targets that was up to 222 of its 256 MB
/// after all processes had been killed.
const MAX_TARGETS_PER_UPDATE: usize = 128;

/// Maximum number of records of suspected requests in one message: some 20 KB.
pub(crate) const MAX_SUSPECTS_PER_MESSAGE: usize = 64;

/// Maximum number of records of suspected parts of prompts in one message: some 10 KB.
pub(crate) const MAX_PARTS_PER_MESSAGE: usize = 32;

/// Maximum number of rate limits of targets in one message: some 8 KB.
pub(crate) const MAX_RATE_LIMITS_PER_MESSAGE: usize = 256;

/// What has been pushed to one subscriber.
struct Pushed {
    subscriber_id: u64,
    is_control: bool,
    offer: Option<DocumentKey>,
    evacuations: Option<Arc<EvacuationStore>>,
    rollouts: Option<Arc<RolloutStore>>,
    /// Number of the last change of counts for roll-outs that was sent.
    counts_sent: u64,
    sender: DocumentSender,
    revision: u64,
    /// Registry revision up to which withdrawn targets were sent.
    withdrawn_sent: u64,
    entry_hosts: EntryHostPush<[EntryHostRecord]>,
    /// The list for another control host: the entry hosts connected to this one.
    local_entry_hosts: EntryHostPush<LocalEntryHosts>,
    /// Time until the next list of entry hosts is due, if one is delayed.
    next_list: Option<Duration>,
    control_addresses: Vec<std::net::SocketAddr>,
    /// When heartbeats were last sent.
    heartbeats_sent: Option<Instant>,
    /// Number of the last change of suspected requests that was sent.
    suspects_sent: u64,
    /// Number of the last change of suspected parts that was sent.
    parts_sent: u64,
    /// Number of the last change of a target's rate limit that was sent.
    rate_limits_sent: u64,
}

/// Pushes the directory to one subscriber until the connection is lost.
///
/// # Errors
///
/// Returns the [`WireError`] of the connection.
pub async fn serve_subscriber(
    node: &DirectoryNode,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let mut reader = reader.with_silence_timeout(PEER_SILENCE_TIMEOUT);
    let writer = writer.with_silence_timeout(PEER_SILENCE_TIMEOUT);
    let hello: SubscriberHello = reader.receive().await?;
    let request_changed = Arc::new(Notify::new());
    let (version_sender, message_version) = watch::channel(reader.message_version());
    let subscriber_id = add_subscriber(node, &hello, reader.message_version());
    let receiving = receive_reports(
        node,
        subscriber_id,
        &request_changed,
        version_sender,
        reader,
    );
    let sending = push_updates(
        node,
        subscriber_id,
        &hello,
        &request_changed,
        message_version,
        writer,
    );
    // The connection is lost when either half ends.
    let outcome = tokio::select! {
        outcome = receiving => outcome,
        outcome = sending => outcome,
    };
    unregister_subscriber(node, subscriber_id);
    outcome
}

fn add_subscriber(
    node: &DirectoryNode,
    hello: &SubscriberHello,
    message_version: Option<MessageVersion>,
) -> u64 {
    let mut state = node.lock();
    state.last_subscriber_id += 1;
    let id = state.last_subscriber_id;
    let subscriber = SubscriberState {
        is_control: hello.is_control,
        acknowledged: 0,
        entry_host: None,
        document_version: 0,
        document_request: None,
        // A control host needs every target.
        wants_lists: hello.is_control,
        message_version,
    };
    state.subscribers.insert(id, subscriber);
    id
}

fn unregister_subscriber(node: &DirectoryNode, subscriber_id: u64) {
    let mut state = node.lock();
    state.mark_subscriber_lost(subscriber_id, Instant::now());
    drop(state);
    node.notify_subscribers();
    // A withdrawal no longer waits for its acknowledgement.
    node.notify_acknowledged();
}

async fn receive_reports(
    node: &DirectoryNode,
    subscriber_id: u64,
    request_changed: &Notify,
    version_sender: watch::Sender<Option<MessageVersion>>,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    loop {
        let report = receive_report(node, subscriber_id, &version_sender, &mut reader).await?;
        node.merge_suspects(&report.suspects);
        node.merge_parts(&report.parts);
        node.merge_rate_limits(&report.rate_limits);
        node.record_counts(&report);
        let mut state = node.lock();
        let Some(changes) = state.set_entry_host(subscriber_id, report.entry_host) else {
            return Ok(());
        };
        let Some(subscriber) = state.subscribers.get_mut(&subscriber_id) else {
            return Ok(());
        };
        let newly_acknowledged = subscriber.acknowledged != report.acknowledged;
        let requests_more = subscriber.document_request != report.document_request
            || (report.wants_lists && !subscriber.wants_lists);
        subscriber.wants_lists = report.wants_lists;
        subscriber.acknowledged = report.acknowledged;
        subscriber.document_version = report.document_version;
        subscriber.document_request = report.document_request;
        drop(state);
        if newly_acknowledged {
            node.notify_acknowledged();
        }
        if changes {
            node.notify_subscribers();
        }
        if requests_more {
            request_changed.notify_one();
        }
    }
}

/// Receives a report. If the subscriber announced no message version, its first report reveals it.
async fn receive_report(
    node: &DirectoryNode,
    subscriber_id: u64,
    version_sender: &watch::Sender<Option<MessageVersion>>,
    reader: &mut PeerReader,
) -> Result<SubscriberReport, WireError> {
    let known = reader.message_version();
    let (mut report, tail, rate_limits, parts, role) = reader
        .receive_with_tails::<SubscriberReport, SubscriberReportV1, ReportTail, Vec<RateObservation>, Vec<PartRecord>, RoleStatement>()
        .await?;
    if let Some(entry_host) = &mut report.entry_host {
        entry_host.role = role;
    }
    report.rate_limits = rate_limits;
    report.parts = parts;
    report.incarnation = tail.incarnation;
    report.phase_counts = tail.phase_counts;
    if let (None, Some(message_version)) = (known, reader.message_version()) {
        node.record_message_version(subscriber_id, reader.peer(), message_version);
        version_sender.send_replace(Some(message_version));
    }
    Ok(report)
}

async fn push_updates(
    node: &DirectoryNode,
    subscriber_id: u64,
    hello: &SubscriberHello,
    request_changed: &Notify,
    mut message_version: watch::Receiver<Option<MessageVersion>>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    // The task that receives reports ended before the first report, and removes the subscriber.
    let Ok(message_version) = message_version
        .wait_for(Option::is_some)
        .await
        .map(|message_version| *message_version)
    else {
        return Ok(());
    };
    let mut changes = node.changes();
    let mut pushed = Pushed {
        subscriber_id,
        is_control: hello.is_control,
        offer: None,
        evacuations: None,
        rollouts: None,
        counts_sent: 0,
        sender: DocumentSender::default(),
        revision: 0,
        withdrawn_sent: 0,
        entry_hosts: EntryHostPush::default(),
        local_entry_hosts: EntryHostPush::default(),
        next_list: None,
        control_addresses: Vec::new(),
        heartbeats_sent: None,
        suspects_sent: 0,
        parts_sent: 0,
        rate_limits_sent: 0,
    };
    let mut last_sent: Option<Instant> = None;
    loop {
        changes.mark_unchanged();
        let update = next_update(node, &mut pushed);
        let due = last_sent.is_none_or(|at| at.elapsed() >= UPDATE_INTERVAL);
        if due || !is_empty(&update) {
            last_sent = Some(Instant::now());
            send_update(&mut writer, message_version, &update).await?;
        }
        let is_partial = update.part.is_some()
            || update.targets.len() == MAX_TARGETS_PER_UPDATE
            || update.suspects.len() == MAX_SUSPECTS_PER_MESSAGE
            || update.rate_limits.len() == MAX_RATE_LIMITS_PER_MESSAGE
            || update.parts.len() == MAX_PARTS_PER_MESSAGE;
        if is_partial {
            // Other changes of the meantime go out with the next part.
            continue;
        }
        let max_wait = pushed
            .next_list
            .unwrap_or(UPDATE_INTERVAL)
            .min(UPDATE_INTERVAL);
        let spacing = min_update_spacing(hello.is_control, node.lock().subscribers.len());
        let changed = async {
            let _ = timeout(max_wait, changes.changed()).await;
            let since = last_sent.map_or(spacing, |at| at.elapsed());
            sleep(spacing.saturating_sub(since)).await;
        };
        tokio::select! {
            () = changed => {}
            () = request_changed.notified() => {}
        }
    }
}

async fn send_update(
    writer: &mut PeerWriter,
    message_version: Option<MessageVersion>,
    update: &DirectoryUpdate,
) -> Result<(), WireError> {
    if message_version == Some(MessageVersion::V1) {
        return writer.send(&DirectoryUpdateV1::from(update.clone())).await;
    }
    if let Some(roles) = update.role_tail() {
        let tail = update.tail().unwrap_or_default();
        let tails = (tail, &update.rate_limits, &update.parts, roles);
        return writer.send(&(update, tails)).await;
    }
    match update.tail() {
        tail if !update.parts.is_empty() => {
            let tails = (tail.unwrap_or_default(), &update.rate_limits, &update.parts);
            writer.send(&(update, tails)).await
        }
        tail if !update.rate_limits.is_empty() => {
            let tails = (tail.unwrap_or_default(), &update.rate_limits);
            writer.send(&(update, tails)).await
        }
        Some(tail) => writer.send(&(update, tail)).await,
        None => writer.send(update).await,
    }
}

/// Returns the minimum time between two updates to one of `subscribers` subscribers; further parts
/// of a configuration or of a list are not subject to it. Other control hosts get updates at once,
/// since the withdrawal of a target waits for them.
fn min_update_spacing(is_control: bool, subscribers: usize) -> Duration {
    if is_control {
        return Duration::ZERO;
    }
    UPDATE_SPACING_PER_SUBSCRIBER * subscribers as u32
}

fn is_empty(update: &DirectoryUpdate) -> bool {
    update.offer.is_none()
        && update.part.is_none()
        && update.evacuations.is_none()
        && update.rollouts.is_none()
        && update.reporter_counts.is_empty()
        && update.local_entry_hosts.is_none()
        && update.targets.is_empty()
        && update.entry_hosts.is_none()
        && update.control_addresses.is_none()
        && update.heartbeats.is_empty()
        && update.suspects.is_empty()
        && update.rate_limits.is_empty()
        && update.parts.is_empty()
}

fn next_update(node: &DirectoryNode, pushed: &mut Pushed) -> DirectoryUpdate {
    let mut update = DirectoryUpdate {
        leaderless: !pushed.is_control && !node.replica().has_recent_leader(),
        ..DirectoryUpdate::default()
    };
    if !pushed.is_control && node.may_announce_state() {
        add_evacuations(node, pushed, &mut update);
        add_rollouts(node, pushed, &mut update);
        add_document(node, pushed, &mut update);
    }
    let addresses = node.control_addresses();
    if addresses != pushed.control_addresses {
        pushed.control_addresses.clone_from(&addresses);
        update.control_addresses = Some(addresses);
    }
    let mut state = node.lock();
    pushed.next_list = None;
    let now = Instant::now();
    // Two entry hosts may share no control host, so control hosts send each other all records.
    let suspects = match pushed.is_control {
        true => state
            .suspects
            .changed_after(pushed.suspects_sent, MAX_SUSPECTS_PER_MESSAGE, now),
        false => state
            .suspects
            .shared_after(pushed.suspects_sent, MAX_SUSPECTS_PER_MESSAGE, now),
    };
    pushed.suspects_sent = suspects.revision;
    update.suspects = suspects.records;
    let parts = match pushed.is_control {
        true => state
            .parts
            .changed_after(pushed.parts_sent, MAX_PARTS_PER_MESSAGE, now),
        false => state
            .parts
            .shared_after(pushed.parts_sent, MAX_PARTS_PER_MESSAGE, now),
    };
    pushed.parts_sent = parts.revision;
    update.parts = parts.records;
    let rate_limits = state.rate_limits.changed_after(
        pushed.rate_limits_sent,
        MAX_RATE_LIMITS_PER_MESSAGE,
        true,
        BootInstant::now(),
    );
    pushed.rate_limits_sent = rate_limits.revision;
    update.rate_limits = rate_limits.observations;
    if !state.sends_lists_to(pushed.subscriber_id) {
        // Everything is sent again once the subscriber requests lists from this host.
        pushed.revision = 0;
        pushed.entry_hosts = EntryHostPush::default();
        add_withdrawn(&state.registry, pushed, &mut update, now);
        return update;
    }
    if state.registry.revision() > pushed.revision {
        let changed = state
            .registry
            .changed_after(pushed.revision, MAX_TARGETS_PER_UPDATE, now);
        update.targets = changed.records;
        pushed.revision = changed.revision;
    }
    update.revision = pushed.revision;
    pushed.withdrawn_sent = pushed.revision;
    let is_complete = pushed.revision >= state.registry.revision();
    add_entry_hosts(&mut state, pushed, &mut update, now);
    update.lists_complete =
        is_complete && pushed.next_list.is_none() && node.is_discovery_complete();
    if pushed.is_control {
        (update.reporter_counts, pushed.counts_sent) =
            state.evidence.changed_after(pushed.counts_sent);
        add_heartbeats(&state.registry, pushed, &mut update, now);
    }
    update
}

#[cfg(test)]
mod tests;
