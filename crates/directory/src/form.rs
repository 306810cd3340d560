//! Forms the cluster from the seeds, or joins an existing one, without operator action.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_quorum::{Member, Members, NodeId};
use linnet_telemetry::EventCode;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::DirectoryNode;
use crate::call::call;
use crate::message::{DirectoryCall, DirectoryReply};

/// Time between two attempts to form or join a cluster.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);

/// How long the seed with the lowest address has to form the cluster once all seeds are present, and
/// each one after it. A seed that was killed and started again may not form one.
const FORM_TURN: Duration = Duration::from_millis(2_000);

/// Time between two checks whether this host is still a member.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for the reply of a control host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// How a control host becomes a member.
pub struct FormConfig {
    /// Whether this is the first start of the complete system, on empty disks. Only then may a
    /// cluster be formed.
    pub first_start: bool,
    /// Peer addresses of control hosts to contact first.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// What a control host replied to [`DirectoryCall::Identify`].
struct Identity {
    member: Member,
    cluster: Option<u64>,
    members: Members,
    leader: Option<NodeId>,
    founding_only: bool,
    last: u64,
}

/// Makes this control host a member of a cluster, and again whenever the others removed it while it
/// was cut off; never returns.
///
/// Invariant: a cluster is formed only by all seeds together, only at the first start of the
/// system, and its number follows from the founders' identities; so an attempt that was interrupted
/// is resumed as the same one, by whichever seed.
pub async fn form_or_join(node: DirectoryNode, config: FormConfig) {
    let mut join_recorded = false;
    let mut blank_since = None;
    loop {
        if is_member(&node).await {
            sleep(MEMBERSHIP_CHECK_INTERVAL).await;
            continue;
        }
        let status = node.replica().status();
        let seeds = config.seeds.borrow().clone();
        let known = status.members.all().map(|member| member.peer);
        let mut contacted: Vec<SocketAddr> = seeds.iter().copied().chain(known).collect();
        contacted.sort();
        contacted.dedup();
        let identities = identify_all(&node, &contacted).await;
        let lists_this_host = |other: &&Identity| other.members.is_voter(status.id);
        if let Some(founder) = identities
            .iter()
            .filter(lists_this_host)
            .find(|other| other.founding_only)
        {
            adopt_founding(&node, founder).await;
        } else if let Some(other) = choose_sponsor(&identities) {
            if !join_recorded {
                join_recorded = true;
                node.record(
                    EventCode::ClusterJoined,
                    &format!("asked={}", other.member.peer),
                );
            }
            request_membership(&node, other).await;
        } else if config.first_start && are_all_blank(&node, &seeds, &identities) {
            let since: Instant = *blank_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= form_delay(&seeds, node.member().peer) {
                form(&node, &seeds, &identities).await;
            }
        } else {
            blank_since = None;
        }
        sleep(ATTEMPT_INTERVAL).await;
    }
}

/// Returns the control host to request membership from: preferably one that knows a leader, and
/// among these the one with the longest log. A host that was removed as well knows no leader, and
/// two such hosts would send each other requests for ever.
fn choose_sponsor(identities: &[Identity]) -> Option<&Identity> {
    let members = identities
        .iter()
        .filter(|other| !other.members.voters.is_empty());
    members.max_by_key(|other| (other.leader.is_some(), other.last))
}

// A founder that stopped while forming the cluster adopts the membership from one that finished.
// This is safe because the cluster has had no leader yet, so its members are still the founders.
async fn adopt_founding(node: &DirectoryNode, founder: &Identity) {
    if let Some(cluster) = founder.cluster {
        let founders = founder.members.clone();
        let _ = node.replica().form_cluster(cluster, founders).await;
    }
}

// A member that was removed while it was cut off does not learn of this from its own log, but from
// another member that knows a leader.
async fn is_member(node: &DirectoryNode) -> bool {
    let status = node.replica().status();
    if status.members.find(status.id).is_none() {
        return false;
    }
    if status.lease_lasts || status.members.voters.len() == 1 {
        return true;
    }
    let others = status.members.all().filter(|member| member.id != status.id);
    let contacted = others.map(|member| identify(node, member.peer));
    let replies = futures_util::future::join_all(contacted).await;
    let mut with_leader = replies
        .into_iter()
        .flatten()
        .filter(|other| other.leader.is_some());
    !with_leader
        .any(|other| other.last > status.last.index && other.members.find(status.id).is_none())
}

async fn identify_all(node: &DirectoryNode, seeds: &[SocketAddr]) -> Vec<Identity> {
    let own_address = node.member().peer;
    let others = seeds.iter().filter(|seed| **seed != own_address);
    let contacted = others.map(|seed| identify(node, *seed));
    let replies = futures_util::future::join_all(contacted).await;
    replies.into_iter().flatten().collect()
}

async fn identify(node: &DirectoryNode, seed: SocketAddr) -> Option<Identity> {
    let request = DirectoryCall::Identify;
    match call(node.identity(), seed, &request, ANSWER_TIMEOUT).await {
        Ok(DirectoryReply::Identity {
            member,
            cluster,
            members,
            leader,
            founding_only,
            last,
        }) => Some(Identity {
            member,
            cluster,
            members,
            leader,
            founding_only,
            last,
        }),
        _ => None,
    }
}

/// Returns whether all seeds are present, this host among them, and none is in a cluster.
fn are_all_blank(node: &DirectoryNode, seeds: &[SocketAddr], others: &[Identity]) -> bool {
    let expected: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
    let present = others.iter().map(|other| other.member.peer);
    let present: BTreeSet<SocketAddr> = present.chain([node.member().peer]).collect();
    expected == present && others.iter().all(|other| other.cluster.is_none())
}

/// Returns how long all seeds have to be present before the one with this address forms the cluster:
/// they take turns in the order of their addresses.
fn form_delay(seeds: &[SocketAddr], own: SocketAddr) -> Duration {
    let lower: BTreeSet<&SocketAddr> = seeds.iter().filter(|seed| **seed < own).collect();
    FORM_TURN * lower.len() as u32
}

/// Forms the cluster of all seeds, this host last.
async fn form(node: &DirectoryNode, seeds: &[SocketAddr], others: &[Identity]) {
    let me = node.member();
    let mut voters: Vec<Member> = others.iter().map(|other| other.member.clone()).collect();
    voters.push(me);
    voters.sort_by_key(|member| member.id);
    let cluster = cluster_number(&voters);
    let founders = Members {
        voters,
        learners: Vec::new(),
    };
    for founder in others.iter().map(|other| &other.member) {
        let request = DirectoryCall::Form {
            cluster,
            founders: founders.clone(),
        };
        let reply = call(node.identity(), founder.peer, &request, ANSWER_TIMEOUT).await;
        if !matches!(reply, Ok(DirectoryReply::Done)) {
            return;
        }
    }
    if node.replica().form_cluster(cluster, founders).await.is_ok() {
        let detail = format!("cluster={cluster:016x} seeds={}", seeds.len());
        node.record(EventCode::ClusterFormed, &detail);
    }
}

fn cluster_number(founders: &[Member]) -> u64 {
    // FNV-1a; the number only has to differ between clusters.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in founders.iter().flat_map(|member| member.id.0.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash
}

async fn request_membership(node: &DirectoryNode, other: &Identity) {
    let mut member = node.member();
    // A host that restarted with an empty disk replaces its former member entry.
    let former = other.members.all().find(|known| {
        known.id != member.id && (known.name == member.name || known.peer == member.peer)
    });
    member.replaces = former.map(|former| former.id);
    let leader = other.leader.and_then(|leader| other.members.find(leader));
    let mut address = leader.map_or(other.member.peer, |leader| leader.peer);
    for _ in 0..2 {
        let request = DirectoryCall::Join(member.clone());
        match call(node.identity(), address, &request, ANSWER_TIMEOUT).await {
            Ok(DirectoryReply::NotLeader(Some(leader))) => address = leader,
            _ => return,
        }
    }
}
