//! Adapts this host's shares of fleet-wide limits to the demand of accounts in the hall.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::EntityRef;
use linnet_dispatch::{ShareInputs, compute_share};
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::hall::{HEARTBEAT_INTERVAL, HallView};

/// The maximum number of accounts whose demand is published to the hall; those with the most
/// demand.
const MAX_PUBLISHED_ACCOUNTS: usize = 32;

/// The maximum age of a heartbeat whose demand counts, unless the timeout of peers is longer.
pub(crate) const DEMAND_LIFETIME: Duration = Duration::from_secs(3);

/// The recent demand of one account at one host, as a digest of the account name and the demand.
/// The index of an account differs between hosts.
pub(crate) type AccountDemand = (u32, u32);

/// The demand published by the other hosts of the hall.
#[derive(Debug, Default)]
pub(crate) struct PeerDemand {
    /// The number of hosts with a recent heartbeat.
    pub(crate) hosts: u32,
    /// The total demand of each account at these hosts, by the digest of its name.
    pub(crate) by_account: HashMap<u32, f64>,
}

struct LocalDemand {
    account: u32,
    digest: u32,
    amount: f64,
}

/// Publishes the demand at this host and recomputes the shares at every heartbeat interval.
pub(crate) async fn update_shares(entry: Arc<EntryContext>, view: Arc<HallView>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let own = local_demand(&entry);
        let mut published: Vec<AccountDemand> = own
            .iter()
            .map(|demand| (demand.digest, demand.amount as u32))
            .collect();
        published.sort_by_key(|(_, amount)| std::cmp::Reverse(*amount));
        published.truncate(MAX_PUBLISHED_ACCOUNTS);
        view.publish_demand(published);
        set_shares(&entry, &view, &own);
    }
}

fn local_demand(entry: &EntryContext) -> Vec<LocalDemand> {
    let table = entry.feed.read();
    let report = entry.quotas.sample_demand();
    let named = report.into_iter().map(|(account, amount)| {
        let id = linnet_table::AccountId::new(account as usize);
        LocalDemand {
            account,
            digest: digest_of(&table.account(id).name),
            amount,
        }
    });
    named.collect()
}

fn digest_of(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

fn set_shares(entry: &EntryContext, view: &HallView, own: &[LocalDemand]) {
    let peers = view.peer_demand();
    let hall = view.hall_size();
    let inputs = |local_demand, peer_demand| ShareInputs {
        // Until the size of the fleet is known, the hall counts as the complete fleet.
        fleet_hosts: entry.feed.entry_host_count().max(hall),
        hall_hosts: hall,
        live_peers: peers.hosts,
        local_demand,
        peer_demand,
    };
    let shares: HashMap<u32, f64> = own
        .iter()
        .map(|demand| {
            let others = peers.by_account.get(&demand.digest).copied().unwrap_or(0.0);
            (
                demand.account,
                compute_share(&inputs(demand.amount, others)),
            )
        })
        .collect();
    entry
        .quotas
        .set_shares(compute_share(&inputs(0.0, 0.0)), shares);
}
