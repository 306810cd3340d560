//! Keeps this host's shares of fleet-wide limits true to what accounts ask of the hall.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::EntityRef;
use linnet_dispatch::{ShareFacts, share_of};
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::hall::{BEAT_PERIOD, HallView};

/// Accounts whose demand one message to the hall names; those that ask most.
const MAX_DEMANDS: usize = 32;

/// How old a message may be whose demand still counts.
pub(crate) const DEMAND_LIFE: Duration = Duration::from_secs(3);

/// What one account asked of one host of late. The account is named by a digest of its name, since
/// its number differs from host to host.
pub(crate) type AccountDemand = (u32, u32);

/// What the other hosts of the hall told.
#[derive(Debug, Default)]
pub(crate) struct HeardDemand {
    /// Hosts that are heard.
    pub(crate) hosts: u32,
    /// What each account asks of them together, by the digest of its name.
    pub(crate) by_account: HashMap<u32, f64>,
}

struct OwnDemand {
    account: u32,
    digest: u32,
    amount: f64,
}

/// Computes the shares again with every round of messages to the hall.
pub(crate) async fn follow_demand(entry: Arc<EntryContext>, view: Arc<HallView>) {
    loop {
        sleep(BEAT_PERIOD).await;
        let own = own_demand(&entry);
        let mut told: Vec<AccountDemand> = own
            .iter()
            .map(|demand| (demand.digest, demand.amount as u32))
            .collect();
        told.sort_by_key(|(_, amount)| std::cmp::Reverse(*amount));
        told.truncate(MAX_DEMANDS);
        view.tell_demand(told);
        set_shares(&entry, &view, &own);
    }
}

fn own_demand(entry: &EntryContext) -> Vec<OwnDemand> {
    let table = entry.feed.read();
    let report = entry.quotas.report_demand();
    let named = report.into_iter().map(|(account, amount)| {
        let id = linnet_table::AccountId::new(account as usize);
        OwnDemand {
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

fn set_shares(entry: &EntryContext, view: &HallView, own: &[OwnDemand]) {
    let heard = view.heard_demand();
    let hall = view.hall_size();
    let facts = |own_demand, heard_demand| ShareFacts {
        // Until the fleet is known the hall counts as the whole of it.
        fleet: entry.feed.entry_host_count().max(hall),
        hall,
        heard: heard.hosts,
        own_demand,
        heard_demand,
    };
    let shares: HashMap<u32, f64> = own
        .iter()
        .map(|demand| {
            let others = heard.by_account.get(&demand.digest).copied().unwrap_or(0.0);
            (demand.account, share_of(&facts(demand.amount, others)))
        })
        .collect();
    entry.quotas.set_shares(share_of(&facts(0.0, 0.0)), shares);
}
