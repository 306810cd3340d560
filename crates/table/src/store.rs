//! One version of the complete table in compact maps.
//!
//! Names are stored once and referred to by `u32` ids, because a table of the design size has
//! 204,000 limit rows and every entry host keeps it in memory.

use std::collections::{HashMap, VecDeque};

use cranelift_entity::{PrimaryMap, entity_impl};
use serde::{Deserialize, Serialize};

use crate::{
    AccountRow, ChangeConflict, ChangeRefusal, KeyDigest, LimitRow, PipelineRow, RowKey, RowLimits,
    ServiceRow, StageRow, TableChange, TableRow, verify_change,
};

/// The maximum number of deletions retained to detect conflicts with changes based on older
/// versions.
const MAX_TOMBSTONES: usize = 4_096;

/// The id of a client account in a [`TableStore`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountId(u32);
entity_impl!(AccountId, "account");

/// The id of a pipeline or plain service in a [`TableStore`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteId(u32);
entity_impl!(RouteId, "route");

/// An account in the store.
#[derive(Debug, Clone)]
pub struct AccountEntry {
    /// The name.
    pub name: String,
    /// Its weight relative to other accounts when a stage is contended.
    pub weight: u32,
    /// Limits on all routes together.
    pub limits: RowLimits,
    /// Digests of its keys.
    pub key_digests: Vec<KeyDigest>,
    /// The version that wrote the row, or 0 if the row is deleted.
    version: u64,
}

/// The kind of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteKind {
    /// A chain of stages, in order of position.
    Pipeline(Vec<StageRow>),
    /// A plain service, with the name of its pool.
    Service(String),
}

/// A pipeline or plain service in the store.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The name.
    pub name: String,
    /// The kind of the route.
    pub kind: RouteKind,
    /// The longest deadline that a caller may request, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request may run more than once, unless the caller states otherwise.
    pub repeatable: bool,
    /// The version that wrote the row, or 0 if the row is deleted.
    version: u64,
    /// The version that last wrote each stage.
    stage_versions: Vec<(String, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct LimitEntry {
    weight: Option<u32>,
    limits: RowLimits,
    version: u64,
}

/// A row with the version that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row.
    pub row: TableRow,
    /// The version.
    pub version: u64,
}

/// One version of the table.
#[derive(Debug, Clone, Default)]
pub struct TableStore {
    version: u64,
    accounts: PrimaryMap<AccountId, AccountEntry>,
    accounts_by_name: HashMap<String, AccountId>,
    accounts_by_digest: HashMap<KeyDigest, AccountId>,
    routes: PrimaryMap<RouteId, RouteEntry>,
    routes_by_name: HashMap<String, RouteId>,
    limits: HashMap<(AccountId, RouteId), LimitEntry>,
    tombstones: VecDeque<(RowKey, u64)>,
}

impl TableStore {
    /// Creates an empty table at version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds rows of one part of a snapshot; [`TableStore::finish_snapshot`] completes the table.
    pub fn add_snapshot_rows(&mut self, rows: Vec<VersionedRow>) {
        for VersionedRow { row, version } in rows {
            self.put_row(row, version);
        }
    }

    /// Sets the version and the tombstones after the last part of a snapshot.
    pub fn finish_snapshot(&mut self, version: u64, tombstones: Vec<(RowKey, u64)>) {
        self.version = version;
        self.tombstones = tombstones.into();
    }

    /// Returns all rows with the versions that wrote them. Together with
    /// [`TableStore::tombstones`] they let a replica decide on changes exactly as this one does.
    pub fn snapshot_rows(&self) -> Vec<VersionedRow> {
        let rows = self.rows().into_iter().map(|row| VersionedRow {
            version: self.row_version(&row.key()),
            row,
        });
        rows.collect()
    }

    /// Returns the recorded deletions and their versions, oldest first; they serve to detect
    /// conflicts.
    pub fn tombstones(&self) -> Vec<(RowKey, u64)> {
        self.tombstones.iter().cloned().collect()
    }

    /// Returns the version, which never decreases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the account that has a key with this digest.
    pub fn find_account(&self, digest: &KeyDigest) -> Option<AccountId> {
        let id = *self.accounts_by_digest.get(digest)?;
        let account = &self.accounts[id];
        let matches = account.key_digests.iter().any(|own| own.matches(digest));
        (matches && account.version > 0).then_some(id)
    }

    /// Finds an account by name.
    pub fn account_id(&self, name: &str) -> Option<AccountId> {
        let id = *self.accounts_by_name.get(name)?;
        (self.accounts[id].version > 0).then_some(id)
    }

    /// Returns an account.
    pub fn account(&self, id: AccountId) -> &AccountEntry {
        &self.accounts[id]
    }

    /// Returns all accounts that are not deleted.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountId, &AccountEntry)> {
        self.accounts
            .iter()
            .filter(|(_, account)| account.version > 0)
    }

    /// Finds a pipeline or service by name.
    pub fn route_id(&self, name: &str) -> Option<RouteId> {
        let id = *self.routes_by_name.get(name)?;
        (self.routes[id].version > 0).then_some(id)
    }

    /// Returns a pipeline or service.
    pub fn route(&self, id: RouteId) -> &RouteEntry {
        &self.routes[id]
    }

    /// Returns all pipelines and services that are not deleted.
    pub fn routes(&self) -> impl Iterator<Item = (RouteId, &RouteEntry)> {
        self.routes.iter().filter(|(_, route)| route.version > 0)
    }

    /// Returns the weight of an account on a route.
    pub fn weight(&self, account: AccountId, route: RouteId) -> u32 {
        let own = self
            .limits
            .get(&(account, route))
            .and_then(|limit| limit.weight);
        own.unwrap_or(self.accounts[account].weight)
    }

    /// Returns the limits of an account on a route, which apply in addition to those of the
    /// account.
    pub fn route_limits(&self, account: AccountId, route: RouteId) -> RowLimits {
        let limit = self.limits.get(&(account, route));
        limit.map(|limit| limit.limits).unwrap_or_default()
    }

    /// Returns whether a limit row exists.
    pub fn has_limit(&self, account: &str, route: &str) -> bool {
        match (
            self.accounts_by_name.get(account),
            self.routes_by_name.get(route),
        ) {
            (Some(account), Some(route)) => self.limits.contains_key(&(*account, *route)),
            _ => false,
        }
    }

    /// Returns the keys of the limit rows that refer to an account or route.
    pub fn limit_keys_of(&self, account: Option<&str>, route: Option<&str>) -> Vec<RowKey> {
        let account = account.and_then(|name| self.accounts_by_name.get(name));
        let route = route.and_then(|name| self.routes_by_name.get(name));
        self.limits
            .keys()
            .filter(|(limit_account, limit_route)| {
                account == Some(limit_account) || route == Some(limit_route)
            })
            .map(|(limit_account, limit_route)| {
                RowKey::Limit(
                    self.accounts[*limit_account].name.clone(),
                    self.routes[*limit_route].name.clone(),
                )
            })
            .collect()
    }

    /// Returns the number of rows.
    pub fn row_count(&self) -> usize {
        let stages: usize = self
            .routes()
            .map(|(_, route)| match &route.kind {
                RouteKind::Pipeline(stages) => stages.len(),
                RouteKind::Service(_) => 0,
            })
            .sum();
        self.accounts().count() + self.routes().count() + stages + self.limits.len()
    }

    /// Returns all rows in a fixed order: pipelines (each followed by its stages) and services by
    /// name, accounts by name, limits by account and route.
    pub fn rows(&self) -> Vec<TableRow> {
        let mut rows = Vec::with_capacity(self.row_count());
        let mut routes: Vec<_> = self.routes().map(|(_, route)| route).collect();
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        for route in routes {
            push_route_rows(route, &mut rows);
        }
        let mut accounts: Vec<_> = self.accounts().map(|(_, account)| account).collect();
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
        rows.extend(accounts.into_iter().map(account_row));
        let mut limits: Vec<_> = self.limits.iter().collect();
        limits.sort_by_key(|((account, route), _)| {
            (&self.accounts[*account].name, &self.routes[*route].name)
        });
        for ((account, route), limit) in limits {
            rows.push(TableRow::Limit(LimitRow {
                account: self.accounts[*account].name.clone(),
                pipeline: self.routes[*route].name.clone(),
                weight: limit.weight,
                limits: limit.limits,
            }));
        }
        rows
    }

    /// Checks a change against this version and, if it is valid, applies it as the next version.
    ///
    /// # Errors
    ///
    /// Returns the [`ChangeRefusal`]; the table is unchanged.
    pub fn apply(&mut self, change: &TableChange) -> Result<u64, ChangeRefusal> {
        self.check(change)?;
        self.apply_checked(change, self.version + 1);
        Ok(self.version)
    }

    /// Checks a change against this version without applying it.
    ///
    /// # Errors
    ///
    /// The same as for [`TableStore::apply`].
    pub fn check(&self, change: &TableChange) -> Result<(), ChangeRefusal> {
        if change.base_version != self.version {
            let clashing = self.conflicting_keys(change);
            if !change.rebase || !clashing.is_empty() || change.base_version > self.version {
                return Err(ChangeRefusal::Conflict(ChangeConflict {
                    current: self.version,
                    clashing,
                }));
            }
        }
        let faults = verify_change(self, &change.upserts, &change.deletes);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ChangeRefusal::Faults(faults))
        }
    }

    /// Applies a change as `version`, without checks; another process has checked it.
    pub fn apply_checked(&mut self, change: &TableChange, version: u64) {
        for key in &change.deletes {
            self.delete_row(key, version);
        }
        for row in &change.upserts {
            self.put_row(row.clone(), version);
        }
        self.version = version;
    }

    fn conflicting_keys(&self, change: &TableChange) -> Vec<RowKey> {
        let base = change.base_version;
        // Deletions before the oldest tombstone may have been discarded, so any row may conflict.
        let discarded = self.tombstones.len() == MAX_TOMBSTONES
            && self
                .tombstones
                .front()
                .is_some_and(|(_, version)| *version > base);
        change
            .touched_keys()
            .filter(|key| discarded || self.row_version(key) > base)
            .collect()
    }

    fn row_version(&self, key: &RowKey) -> u64 {
        let present = match key {
            RowKey::Account(name) => self.account_id(name).map(|id| self.accounts[id].version),
            RowKey::Pipeline(name) | RowKey::Service(name) => {
                self.route_id(name).map(|id| self.routes[id].version)
            }
            RowKey::Stage(pipeline, stage) => self.route_id(pipeline).and_then(|id| {
                let versions = &self.routes[id].stage_versions;
                versions
                    .iter()
                    .find(|(name, _)| name == stage)
                    .map(|(_, version)| *version)
            }),
            RowKey::Limit(account, route) => {
                let account = self.accounts_by_name.get(account);
                let route = self.routes_by_name.get(route);
                account
                    .zip(route)
                    .and_then(|(account, route)| self.limits.get(&(*account, *route)))
                    .map(|limit| limit.version)
            }
        };
        let deletion_version = || {
            let mut tombstones = self.tombstones.iter().rev();
            tombstones
                .find(|(deleted, _)| deleted == key)
                .map(|(_, version)| *version)
        };
        present.or_else(deletion_version).unwrap_or(0)
    }

    fn put_row(&mut self, row: TableRow, version: u64) {
        match row {
            TableRow::Pipeline(row) => self.put_pipeline(row, version),
            TableRow::Service(row) => self.put_service(row, version),
            TableRow::Stage(row) => self.put_stage(row, version),
            TableRow::Account(row) => self.put_account(row, version),
            TableRow::Limit(row) => self.put_limit(row, version),
        }
    }

    fn put_pipeline(&mut self, row: PipelineRow, version: u64) {
        let id = self.intern_route(&row.pipeline);
        let route = &mut self.routes[id];
        if !matches!(route.kind, RouteKind::Pipeline(_)) {
            route.kind = RouteKind::Pipeline(Vec::new());
        }
        route.deadline_ms = row.deadline_ms;
        route.repeatable = row.repeatable;
        route.version = version;
    }

    fn put_service(&mut self, row: ServiceRow, version: u64) {
        let id = self.intern_route(&row.service);
        let route = &mut self.routes[id];
        route.kind = RouteKind::Service(row.pool);
        route.deadline_ms = row.deadline_ms;
        route.repeatable = row.repeatable;
        route.version = version;
    }

    fn put_stage(&mut self, row: StageRow, version: u64) {
        let id = self.intern_route(&row.pipeline);
        let route = &mut self.routes[id];
        route.stage_versions.retain(|(name, _)| *name != row.stage);
        route.stage_versions.push((row.stage.clone(), version));
        if let RouteKind::Pipeline(stages) = &mut route.kind {
            stages.retain(|stage| stage.stage != row.stage);
            stages.push(row);
            stages.sort_by_key(|stage| stage.position);
        }
    }

    fn put_account(&mut self, row: AccountRow, version: u64) {
        let id = self.intern_account(&row.account);
        for digest in std::mem::take(&mut self.accounts[id].key_digests) {
            self.remove_digest(&digest, id);
        }
        for digest in &row.key_digests {
            self.accounts_by_digest.insert(*digest, id);
        }
        let account = &mut self.accounts[id];
        account.weight = row.weight;
        account.limits = row.limits;
        account.key_digests = row.key_digests;
        account.version = version;
    }

    fn put_limit(&mut self, row: LimitRow, version: u64) {
        let account = self.intern_account(&row.account);
        let route = self.intern_route(&row.pipeline);
        let entry = LimitEntry {
            weight: row.weight,
            limits: row.limits,
            version,
        };
        self.limits.insert((account, route), entry);
    }

    // Removes a digest only if it still belongs to `owner`: if one change moves a key to another
    // account and writes the old owner last, the key must stay with the new owner.
    fn remove_digest(&mut self, digest: &KeyDigest, owner: AccountId) {
        if self.accounts_by_digest.get(digest) == Some(&owner) {
            self.accounts_by_digest.remove(digest);
        }
    }

    fn delete_row(&mut self, key: &RowKey, version: u64) {
        match key {
            RowKey::Pipeline(name) | RowKey::Service(name) => {
                if let Some(id) = self.route_id(name) {
                    self.routes[id].version = 0;
                }
            }
            RowKey::Stage(pipeline, stage) => self.delete_stage(pipeline, stage),
            RowKey::Account(name) => self.delete_account(name),
            RowKey::Limit(account, route) => {
                let account = self.accounts_by_name.get(account);
                let route = self.routes_by_name.get(route);
                if let (Some(account), Some(route)) = (account, route) {
                    self.limits.remove(&(*account, *route));
                }
            }
        }
        if self.tombstones.len() == MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
        self.tombstones.push_back((key.clone(), version));
    }

    fn delete_stage(&mut self, pipeline: &str, stage: &str) {
        let Some(id) = self.routes_by_name.get(pipeline) else {
            return;
        };
        let route = &mut self.routes[*id];
        route.stage_versions.retain(|(name, _)| name != stage);
        if let RouteKind::Pipeline(stages) = &mut route.kind {
            stages.retain(|row| row.stage != stage);
        }
    }

    fn delete_account(&mut self, name: &str) {
        let Some(id) = self.account_id(name) else {
            return;
        };
        for digest in std::mem::take(&mut self.accounts[id].key_digests) {
            self.remove_digest(&digest, id);
        }
        self.accounts[id].version = 0;
    }

    fn intern_account(&mut self, name: &str) -> AccountId {
        if let Some(id) = self.accounts_by_name.get(name) {
            return *id;
        }
        let id = self.accounts.push(AccountEntry {
            name: name.to_owned(),
            weight: 1,
            limits: RowLimits::default(),
            key_digests: Vec::new(),
            version: 0,
        });
        self.accounts_by_name.insert(name.to_owned(), id);
        id
    }

    fn intern_route(&mut self, name: &str) -> RouteId {
        if let Some(id) = self.routes_by_name.get(name) {
            return *id;
        }
        let id = self.routes.push(RouteEntry {
            name: name.to_owned(),
            kind: RouteKind::Pipeline(Vec::new()),
            deadline_ms: 0,
            repeatable: true,
            version: 0,
            stage_versions: Vec::new(),
        });
        self.routes_by_name.insert(name.to_owned(), id);
        id
    }
}

fn push_route_rows(route: &RouteEntry, rows: &mut Vec<TableRow>) {
    match &route.kind {
        RouteKind::Pipeline(stages) => {
            rows.push(TableRow::Pipeline(PipelineRow {
                pipeline: route.name.clone(),
                deadline_ms: route.deadline_ms,
                repeatable: route.repeatable,
            }));
            rows.extend(stages.iter().cloned().map(TableRow::Stage));
        }
        RouteKind::Service(pool) => rows.push(TableRow::Service(ServiceRow {
            service: route.name.clone(),
            pool: pool.clone(),
            deadline_ms: route.deadline_ms,
            repeatable: route.repeatable,
        })),
    }
}

fn account_row(account: &AccountEntry) -> TableRow {
    TableRow::Account(AccountRow {
        account: account.name.clone(),
        weight: account.weight,
        limits: account.limits,
        key_digests: account.key_digests.clone(),
    })
}
