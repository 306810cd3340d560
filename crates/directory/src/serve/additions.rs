//! Adds what has changed to an update.

use std::time::Instant;

use super::{Pushed, UPDATE_INTERVAL};
use crate::entry_host_push::PushDue;
use crate::node::NodeState;
use crate::{DirectoryNode, DirectoryUpdate, Registry};

/// Adds all entry hosts for an entry host, and the locally connected ones for another control host.
pub(super) fn add_entry_hosts(
    state: &mut NodeState,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    if pushed.is_control {
        match pushed
            .local_entry_hosts
            .due(state.local_entry_hosts(now), now)
        {
            PushDue::UpToDate => {}
            PushDue::Now(list) => update.local_entry_hosts = Some((*list).clone()),
            PushDue::After(span) => pushed.next_list = Some(span),
        }
        return;
    }
    match pushed.entry_hosts.due(state.entry_hosts(now), now) {
        PushDue::UpToDate => {}
        PushDue::Now(list) => update.entry_hosts = Some(list.to_vec()),
        PushDue::After(span) => pushed.next_list = Some(span),
    }
}

/// Adds the heartbeats received since heartbeats were last sent, for another control host and only
/// a few times a second: with heartbeats in each update, the work per heartbeat would grow with the
/// number of changes in the fleet.
pub(super) fn add_heartbeats(
    registry: &Registry,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    let since = pushed.heartbeats_sent;
    if since.is_some_and(|since| now.saturating_duration_since(since) < UPDATE_INTERVAL) {
        return;
    }
    update.heartbeats = registry.heartbeats_since(since, now);
    pushed.heartbeats_sent = Some(now);
}

/// Adds withdrawn targets for a subscriber that receives its lists from other control hosts, since
/// those may be cut off from this host.
pub(super) fn add_withdrawn(
    registry: &Registry,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    update.targets = registry.withdrawn_after(pushed.withdrawn_sent, now);
    update.revision = registry.revision();
    pushed.withdrawn_sent = update.revision;
}

pub(super) fn add_evacuations(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let current = node.evacuations();
    if pushed.evacuations.as_ref() != Some(&current) {
        update.evacuations = Some((*current).clone());
        pushed.evacuations = Some(current);
    }
}

pub(super) fn add_rollouts(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let current = node.rollouts();
    if pushed.rollouts.as_ref() != Some(&current) {
        update.rollouts = Some((*current).clone());
        pushed.rollouts = Some(current);
    }
}

pub(super) fn add_document(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let current = node.current_document().map(|current| current.key());
    if current != pushed.offer {
        pushed.offer = current;
        update.offer = current;
    }
    let request = {
        let state = node.lock();
        let subscriber = state.subscribers.get(&pushed.subscriber_id);
        subscriber.and_then(|subscriber| subscriber.document_request.clone())
    };
    let find = |request: &_| node.payload(request);
    pushed.sender.set_request(request.as_ref(), find);
    update.part = pushed.sender.next_part();
}
