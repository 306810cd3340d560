//! What client accounts ask of the pools that this host coordinates and what waits for these, for
//! operators.

use std::collections::HashMap;

use linnet_shares::AccountKey;
use linnet_telemetry::{AccountShareLine, PoolQueueLine};

use super::Gateway;

impl Gateway {
    /// Returns what client accounts ask of the pools that this host coordinates; empty unless shares
    /// are enabled.
    pub fn account_share_lines(&self) -> Vec<AccountShareLine> {
        let table = self.route_table();
        let accounts = table.iter().flat_map(|table| &table.config().accounts);
        let names: HashMap<AccountKey, &str> = accounts
            .map(|account| (AccountKey::new(&account.name), account.name.as_str()))
            .collect();
        let pools = self.coordinator.account_shares();
        let lines = pools.iter().flat_map(|(pool, shares)| {
            shares.iter().map(|share| AccountShareLine {
                service: pool.service.clone(),
                account_priority: share.rank.account_priority,
                route_priority: share.rank.route_priority,
                account: names.get(&share.account).map(|name| (*name).to_owned()),
                demand_per_s: share.demand_per_s,
                usual_per_s: share.usual_per_s,
                admit_permille: share.admit_permille,
            })
        });
        lines.collect()
    }

    /// Returns the pieces that wait for the pools that this host coordinates, by rank.
    pub fn pool_queue_lines(&self) -> Vec<PoolQueueLine> {
        let loads = self.coordinator.loads();
        let lines = loads.iter().flat_map(|(pool, load)| {
            load.waiting.iter().map(|(rank, pieces)| PoolQueueLine {
                service: pool.service.clone(),
                account_priority: rank.account_priority,
                route_priority: rank.route_priority,
                pieces: *pieces,
                targets: load.targets,
                free: load.free,
            })
        });
        lines.collect()
    }
}
