//! Serves subscribers on a control host.

mod additions;

use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RateWord;
use linnet_rollout::RolloutBook;
use linnet_wire::{MessageVersion, PeerReader, PeerWriter, WireError};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::first_form::{FirstReport, FirstUpdate};
use crate::gateway_push::GatewayPush;
use crate::message::ReportTail;
use crate::node::SubscriberState;
use crate::sending::DocumentSending;
use crate::{
    DirectoryNode, DirectoryUpdate, DocumentKey, EvacuationBook, GatewayRecord, OwnGateways,
    SubscriberHello, SubscriberReport,
};

use additions::{
    add_document, add_evacuations, add_gateways, add_heard, add_rollouts, add_withdrawn,
};

/// Between two signs of life to a subscriber.
pub(crate) const UPDATE_PERIOD: Duration = Duration::from_millis(400);

/// A side from which no byte came for so long is taken as lost.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_600);

/// Time between two updates to one entry host for each subscriber, so that the work for updates does not
/// grow with what changes: 2,900 updates a second at most, whatever the fleet. When 285 targets
/// registered one by one after a loss of power, each sent an update to each of 295 entry hosts, and a
/// leader was elected 1.9 s after the start. With this and the list that is kept a control host of that
/// fleet used 0.048 cores in place of 0.157 on the mean of a day, and the first election came 0.35 s
/// after the start.
const SPAN_PER_SUBSCRIBER: Duration = Duration::from_micros(350);

/// Targets in one update, at most. A subscriber whose link is slow or that has just come gets the rest when
/// this part has passed, so a control host keeps one part for each of them and not all that they lack: with
/// 300 machines and 3,000 targets that was up to 222 of its 256 MB after all were killed.
const TARGETS_AT_ONCE: usize = 128;

/// Records of requests that may end targets in one message, at most: some 20 KB.
pub(crate) const SUSPECTS_AT_ONCE: usize = 64;

/// Rates of targets in one message, at most: some 8 KB.
pub(crate) const RATES_AT_ONCE: usize = 256;

/// What was pushed to one subscriber so far.
struct Pushed {
    subscriber: u64,
    control: bool,
    offer: Option<DocumentKey>,
    evacuations: Option<Arc<EvacuationBook>>,
    rollouts: Option<Arc<RolloutBook>>,
    /// The number of the last change up to which it was told of counts for roll-outs.
    counted: u64,
    sending: DocumentSending,
    number: u64,
    /// The number of the last change up to which it was told of targets that withdrew.
    withdrawn: u64,
    gateways: GatewayPush<[GatewayRecord]>,
    /// The same for another control host, which is told of those that this one hears itself.
    own_gateways: GatewayPush<OwnGateways>,
    /// When the next list of entry hosts is due, where one is held back.
    next_list: Option<Duration>,
    controls: Vec<std::net::SocketAddr>,
    /// When it was last told of heartbeats.
    heard: Option<Instant>,
    /// The number of the last change of what is held against requests that it was told.
    suspects: u64,
    /// The number of the last change of a target's rate that it was told.
    rates: u64,
}

/// Pushes the directory to one subscriber until it is lost.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub async fn serve_subscriber(
    node: &DirectoryNode,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let mut reader = reader.with_silence_timeout(SILENCE_LIMIT);
    let writer = writer.with_silence_timeout(SILENCE_LIMIT);
    let hello: SubscriberHello = reader.receive().await?;
    let wanted = Arc::new(Notify::new());
    let (told, form) = watch::channel(reader.message_version());
    let number = add_subscriber(node, &hello, reader.message_version());
    let taking = take_reports(node, number, &wanted, told, reader);
    let pushing = push_updates(node, number, &hello, &wanted, form, writer);
    // Either half ending means that the subscriber is lost.
    let outcome = tokio::select! {
        outcome = taking => outcome,
        outcome = pushing => outcome,
    };
    remove_subscriber(node, number);
    outcome
}

fn add_subscriber(
    node: &DirectoryNode,
    hello: &SubscriberHello,
    form: Option<MessageVersion>,
) -> u64 {
    let mut state = node.lock();
    state.next_subscriber += 1;
    let number = state.next_subscriber;
    let subscriber = SubscriberState {
        control: hello.control,
        acknowledged: 0,
        gateway: None,
        document_version: 0,
        want: None,
        // A control host wants every target.
        lists: hello.control,
        form,
    };
    state.subscribers.insert(number, subscriber);
    number
}

fn remove_subscriber(node: &DirectoryNode, number: u64) {
    let mut state = node.lock();
    state.lose_subscriber(number, Instant::now());
    drop(state);
    node.wake();
    // Nobody waits for what it would have acknowledged.
    node.note_acknowledged();
}

async fn take_reports(
    node: &DirectoryNode,
    number: u64,
    wanted: &Notify,
    told: watch::Sender<Option<MessageVersion>>,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    loop {
        let report = receive_report(node, number, &told, &mut reader).await?;
        node.take_suspects(&report.suspects);
        node.take_rates(&report.rates);
        node.take_counts(&report);
        let mut state = node.lock();
        let Some(changes) = state.set_gateway(number, report.gateway) else {
            return Ok(());
        };
        let Some(subscriber) = state.subscribers.get_mut(&number) else {
            return Ok(());
        };
        let acknowledges = subscriber.acknowledged != report.acknowledged;
        let wants = subscriber.want != report.want || (report.lists && !subscriber.lists);
        subscriber.lists = report.lists;
        subscriber.acknowledged = report.acknowledged;
        subscriber.document_version = report.document_version;
        subscriber.want = report.want;
        drop(state);
        if acknowledges {
            node.note_acknowledged();
        }
        if changes {
            node.wake();
        }
        if wants {
            wanted.notify_one();
        }
    }
}

/// Receives a report. The first one of a subscriber that announced no form tells it.
async fn receive_report(
    node: &DirectoryNode,
    number: u64,
    told: &watch::Sender<Option<MessageVersion>>,
    reader: &mut PeerReader,
) -> Result<SubscriberReport, WireError> {
    let known = reader.message_version();
    let (mut report, tail, rates) = reader
        .receive_with_tails::<SubscriberReport, FirstReport, ReportTail, Vec<RateWord>>()
        .await?;
    report.rates = rates;
    report.start = tail.start;
    report.counted = tail.counted;
    if let (None, Some(form)) = (known, reader.message_version()) {
        node.note_form(number, reader.peer(), form);
        told.send_replace(Some(form));
    }
    Ok(report)
}

async fn push_updates(
    node: &DirectoryNode,
    subscriber: u64,
    hello: &SubscriberHello,
    wanted: &Notify,
    mut form: watch::Receiver<Option<MessageVersion>>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    // Whoever takes the reports is gone, and with it the subscriber, where none came.
    let Ok(form) = form.wait_for(Option::is_some).await.map(|form| *form) else {
        return Ok(());
    };
    let mut changes = node.changes();
    let mut pushed = Pushed {
        subscriber,
        control: hello.control,
        offer: None,
        evacuations: None,
        rollouts: None,
        counted: 0,
        sending: DocumentSending::default(),
        number: 0,
        withdrawn: 0,
        gateways: GatewayPush::default(),
        own_gateways: GatewayPush::default(),
        next_list: None,
        controls: Vec::new(),
        heard: None,
        suspects: 0,
        rates: 0,
    };
    let mut last_sent: Option<Instant> = None;
    loop {
        changes.mark_unchanged();
        let update = next_update(node, &mut pushed);
        let due = last_sent.is_none_or(|at| at.elapsed() >= UPDATE_PERIOD);
        if due || !is_empty(&update) {
            last_sent = Some(Instant::now());
            send_update(&mut writer, form, &update).await?;
        }
        let is_part = update.part.is_some()
            || update.targets.len() == TARGETS_AT_ONCE
            || update.suspects.len() == SUSPECTS_AT_ONCE
            || update.rates.len() == RATES_AT_ONCE;
        if is_part {
            // What else changed meanwhile goes out with the next part.
            continue;
        }
        let patience = pushed.next_list.unwrap_or(UPDATE_PERIOD).min(UPDATE_PERIOD);
        let span = push_span(hello.control, node.lock().subscribers.len());
        let changed = async {
            let _ = timeout(patience, changes.changed()).await;
            let since = last_sent.map_or(span, |at| at.elapsed());
            sleep(span.saturating_sub(since)).await;
        };
        tokio::select! {
            () = changed => {}
            () = wanted.notified() => {}
        }
    }
}

async fn send_update(
    writer: &mut PeerWriter,
    form: Option<MessageVersion>,
    update: &DirectoryUpdate,
) -> Result<(), WireError> {
    if form == Some(MessageVersion::V1) {
        return writer.send(&FirstUpdate::from(update.clone())).await;
    }
    match update.tail() {
        tail if !update.rates.is_empty() => {
            let tails = (tail.unwrap_or_default(), &update.rates);
            writer.send(&(update, tails)).await
        }
        Some(tail) => writer.send(&(update, tail)).await,
        None => writer.send(update).await,
    }
}

/// Returns the least time between two updates to one subscriber, of so many, beside parts of a
/// configuration. Other control hosts are told at once: a target that leaves waits for them.
fn push_span(control: bool, subscribers: usize) -> Duration {
    if control {
        return Duration::ZERO;
    }
    SPAN_PER_SUBSCRIBER * subscribers as u32
}

fn is_empty(update: &DirectoryUpdate) -> bool {
    update.offer.is_none()
        && update.part.is_none()
        && update.evacuations.is_none()
        && update.rollouts.is_none()
        && update.counted.is_empty()
        && update.own_gateways.is_none()
        && update.targets.is_empty()
        && update.gateways.is_none()
        && update.controls.is_none()
        && update.heard.is_empty()
        && update.suspects.is_empty()
        && update.rates.is_empty()
}

fn next_update(node: &DirectoryNode, pushed: &mut Pushed) -> DirectoryUpdate {
    let mut update = DirectoryUpdate {
        unled: !pushed.control && !node.replica().hears_leader(),
        ..DirectoryUpdate::default()
    };
    if !pushed.control && node.tells_state() {
        add_evacuations(node, pushed, &mut update);
        add_rollouts(node, pushed, &mut update);
        add_document(node, pushed, &mut update);
    }
    let controls = node.controls();
    if controls != pushed.controls {
        pushed.controls.clone_from(&controls);
        update.controls = Some(controls);
    }
    let mut state = node.lock();
    pushed.next_list = None;
    let now = Instant::now();
    // Two entry hosts may have no control host in common, so control hosts tell each other all.
    let suspects = match pushed.control {
        true => state
            .suspects
            .changed_after(pushed.suspects, SUSPECTS_AT_ONCE, now),
        false => state
            .suspects
            .shared_after(pushed.suspects, SUSPECTS_AT_ONCE, now),
    };
    pushed.suspects = suspects.number;
    update.suspects = suspects.records;
    let rates = state
        .rates
        .changed_after(pushed.rates, RATES_AT_ONCE, true, BootInstant::now());
    pushed.rates = rates.number;
    update.rates = rates.words;
    if !state.wants_lists(pushed.subscriber) {
        // All of it is told once it wants lists from here.
        pushed.number = 0;
        pushed.gateways = GatewayPush::default();
        add_withdrawn(&state.registry, pushed, &mut update, now);
        return update;
    }
    if state.registry.number() > pushed.number {
        let changed = state
            .registry
            .changed_after(pushed.number, TARGETS_AT_ONCE, now);
        update.targets = changed.records;
        pushed.number = changed.number;
    }
    update.number = pushed.number;
    pushed.withdrawn = pushed.number;
    let is_all = pushed.number >= state.registry.number();
    add_gateways(&mut state, pushed, &mut update, now);
    update.lists_whole = is_all && pushed.next_list.is_none() && node.has_heard_all();
    if pushed.control {
        (update.counted, pushed.counted) = state.evidence.changed_after(pushed.counted);
        add_heard(&state.registry, pushed, &mut update, now);
    }
    update
}

#[cfg(test)]
mod tests;
