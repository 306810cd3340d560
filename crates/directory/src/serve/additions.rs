//! What is added to an update where it changed.

use std::time::Instant;

use super::{Pushed, UPDATE_PERIOD};
use crate::gateway_push::GatewayDue;
use crate::node::NodeState;
use crate::{DirectoryNode, DirectoryUpdate, Registry};

/// Tells an entry host of all entry hosts, and another control host of those that this one hears.
pub(super) fn add_gateways(
    state: &mut NodeState,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    if pushed.control {
        match pushed.own_gateways.due(state.own_gateways(now), now) {
            GatewayDue::Never => {}
            GatewayDue::Now(list) => update.own_gateways = Some((*list).clone()),
            GatewayDue::After(span) => pushed.next_list = Some(span),
        }
        return;
    }
    match pushed.gateways.due(state.gateways(now), now) {
        GatewayDue::Never => {}
        GatewayDue::Now(list) => update.gateways = Some(list.to_vec()),
        GatewayDue::After(span) => pushed.next_list = Some(span),
    }
}

/// Tells another control host of the heartbeats that came since it was told last, a few times a second: told
/// with each change of a target, the work for one heartbeat would grow with the changes of the fleet.
pub(super) fn add_heard(
    registry: &Registry,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    let since = pushed.heard;
    if since.is_some_and(|since| now.saturating_duration_since(since) < UPDATE_PERIOD) {
        return;
    }
    update.heard = registry.heard_since(since, now);
    pushed.heard = Some(now);
}

/// Tells a subscriber that takes lists from others of the targets that get no new work, all the same: those
/// others may be cut off from this host.
pub(super) fn add_withdrawn(
    registry: &Registry,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
    now: Instant,
) {
    update.targets = registry.withdrawn_after(pushed.withdrawn, now);
    update.number = registry.number();
    pushed.withdrawn = update.number;
}

pub(super) fn add_evacuations(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let held = node.evacuations();
    if pushed.evacuations.as_ref() != Some(&held) {
        update.evacuations = Some((*held).clone());
        pushed.evacuations = Some(held);
    }
}

pub(super) fn add_rollouts(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let held = node.rollouts();
    if pushed.rollouts.as_ref() != Some(&held) {
        update.rollouts = Some((*held).clone());
        pushed.rollouts = Some(held);
    }
}

pub(super) fn add_document(
    node: &DirectoryNode,
    pushed: &mut Pushed,
    update: &mut DirectoryUpdate,
) {
    let held = node.held_document().map(|held| held.key());
    if held != pushed.offer {
        pushed.offer = held;
        update.offer = held;
    }
    let want = {
        let state = node.lock();
        let subscriber = state.subscribers.get(&pushed.subscriber);
        subscriber.and_then(|subscriber| subscriber.want.clone())
    };
    let find = |want: &_| node.payload(want);
    pushed.sending.take_want(want.as_ref(), find);
    update.part = pushed.sending.next_part();
}
