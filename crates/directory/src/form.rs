//! Forms the cluster from the seeds, or joins one, without an operator's hand.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_quorum::{Member, Members, NodeId};
use linnet_telemetry::EventCode;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::DirectoryNode;
use crate::call::call;
use crate::message::{DirectoryCall, DirectoryReply};

/// Wait between two tries.
const TRY_PERIOD: Duration = Duration::from_millis(150);

/// Wait between two looks whether this host is still a member.
const SETTLED_PERIOD: Duration = Duration::from_millis(1_000);

/// How long a control host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// How a control host becomes a member.
pub struct FormConfig {
    /// Whether this is the first start of the whole system, on empty disks. Only then may a
    /// cluster be formed.
    pub first_start: bool,
    /// Peer addresses of control hosts to start from.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// What a control host said of itself.
struct Identity {
    member: Member,
    cluster: Option<u64>,
    members: Members,
    leader: Option<NodeId>,
    unled: bool,
    last: u64,
}

/// Makes this control host a member of a cluster, and again whenever the others left it out while
/// it was cut off; never ends.
///
/// Invariant: a cluster is formed only by all seeds together, only at the first start of the
/// system, and its number follows from the founders' identities; so a try that was cut off half-way
/// is taken up again as the same one.
pub async fn form_or_join(node: DirectoryNode, config: FormConfig) {
    let mut told = false;
    loop {
        if is_settled(&node).await {
            sleep(SETTLED_PERIOD).await;
            continue;
        }
        let status = node.replica().status();
        let seeds = config.seeds.borrow().clone();
        let known = status.members.all().map(|member| member.peer);
        let mut asked: Vec<SocketAddr> = seeds.iter().copied().chain(known).collect();
        asked.sort();
        asked.dedup();
        let identities = identify_all(&node, &asked).await;
        let names_me = |other: &&Identity| other.members.is_voter(status.id);
        if let Some(founder) = identities.iter().filter(names_me).find(|other| other.unled) {
            take_founding(&node, founder).await;
        } else if let Some(other) = host_to_ask(&identities) {
            if !told {
                told = true;
                node.record(
                    EventCode::ClusterJoined,
                    &format!("asked={}", other.member.peer),
                );
            }
            ask_to_join(&node, other).await;
        } else if config.first_start {
            form(&node, &seeds, &identities).await;
        }
        sleep(TRY_PERIOD).await;
    }
}

/// Returns the control host that should be asked to take this one in: one that knows a leader, with the
/// longest log. One that was left out as well knows neither, and two such hosts would ask each other for
/// ever.
fn host_to_ask(identities: &[Identity]) -> Option<&Identity> {
    let members = identities
        .iter()
        .filter(|other| !other.members.voters.is_empty());
    members.max_by_key(|other| (other.leader.is_some(), other.last))
}

// A founder that was stopped half-way through the forming takes its part from one that finished.
// Safe since nobody has led that cluster yet, so its members are still the founders.
async fn take_founding(node: &DirectoryNode, founder: &Identity) {
    if let Some(cluster) = founder.cluster {
        let founders = founder.members.clone();
        let _ = node.replica().form_cluster(cluster, founders).await;
    }
}

// A member that was left out while it was cut off does not hear of it from the log; another
// member that knows a leader tells it.
async fn is_settled(node: &DirectoryNode) -> bool {
    let status = node.replica().status();
    if status.members.find(status.id).is_none() {
        return false;
    }
    if status.lease_lasts || status.members.voters.len() == 1 {
        return true;
    }
    let others = status.members.all().filter(|member| member.id != status.id);
    let asked = others.map(|member| identify(node, member.peer));
    let answers = futures_util::future::join_all(asked).await;
    let mut led = answers
        .into_iter()
        .flatten()
        .filter(|other| other.leader.is_some());
    !led.any(|other| other.last > status.last.index && other.members.find(status.id).is_none())
}

async fn identify_all(node: &DirectoryNode, seeds: &[SocketAddr]) -> Vec<Identity> {
    let me = node.member().peer;
    let others = seeds.iter().filter(|seed| **seed != me);
    let asked = others.map(|seed| identify(node, *seed));
    let answers = futures_util::future::join_all(asked).await;
    answers.into_iter().flatten().collect()
}

async fn identify(node: &DirectoryNode, seed: SocketAddr) -> Option<Identity> {
    let request = DirectoryCall::Identify;
    match call(node.identity(), seed, &request, ANSWER_TIMEOUT).await {
        Ok(DirectoryReply::Identity {
            member,
            cluster,
            members,
            leader,
            unled,
            last,
        }) => Some(Identity {
            member,
            cluster,
            members,
            leader,
            unled,
            last,
        }),
        _ => None,
    }
}

// The seed with the lowest address forms the cluster; the others wait for it.
async fn form(node: &DirectoryNode, seeds: &[SocketAddr], others: &[Identity]) {
    let me = node.member();
    let wanted: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
    let present = others.iter().map(|other| other.member.peer);
    let present: BTreeSet<SocketAddr> = present.chain([me.peer]).collect();
    let blank = others.iter().all(|other| other.cluster.is_none());
    if wanted.first() != Some(&me.peer) || wanted != present || !blank {
        return;
    }
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

async fn ask_to_join(node: &DirectoryNode, other: &Identity) {
    let mut member = node.member();
    // The same host with an empty disk takes the place of its former self.
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
