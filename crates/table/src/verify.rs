//! Finds all faults in a change before any part of it is applied.

use std::collections::{HashMap, HashSet};

use crate::{FaultCause, KeyDigest, RouteKind, RowFault, RowKey, StageRow, TableRow, TableStore};

/// The maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 16;

/// A view of the rows that a change touches, as they would be after the change.
struct ChangeView<'a> {
    store: &'a TableStore,
    upserts: &'a [TableRow],
    deleted: HashSet<&'a RowKey>,
    upserted: HashSet<RowKey>,
}

/// Verifies a complete table given as rows, as a change to an empty table.
pub fn verify_rows(rows: &[TableRow]) -> Vec<RowFault> {
    verify_change(&TableStore::new(), rows, &[])
}

/// Returns all faults that the table would have after a change; empty if the change is valid.
pub fn verify_change(
    store: &TableStore,
    upserts: &[TableRow],
    deletes: &[RowKey],
) -> Vec<RowFault> {
    let mut faults = Vec::new();
    let upserted = collect_upserted_keys(upserts, &mut faults);
    let view = ChangeView {
        store,
        upserts,
        deleted: deletes.iter().collect(),
        upserted,
    };
    verify_deletes(&view, deletes, &mut faults);
    verify_references(&view, &mut faults);
    verify_stage_chains(&view, &mut faults);
    verify_key_digests(&view, &mut faults);
    faults
}

fn collect_upserted_keys(upserts: &[TableRow], faults: &mut Vec<RowFault>) -> HashSet<RowKey> {
    let mut upserted = HashSet::with_capacity(upserts.len());
    for row in upserts {
        if !upserted.insert(row.key()) {
            faults.push(RowFault::new(row.key(), "kind", FaultCause::DuplicateRow));
        }
    }
    upserted
}

impl ChangeView<'_> {
    /// Returns whether a row will exist after the change.
    fn will_exist(&self, key: &RowKey) -> bool {
        self.upserted.contains(key) || (exists(self.store, key) && !self.deleted.contains(key))
    }

    fn will_have_route(&self, name: &str) -> bool {
        self.will_exist(&RowKey::Pipeline(name.to_owned()))
            || self.will_exist(&RowKey::Service(name.to_owned()))
    }
}

fn exists(store: &TableStore, key: &RowKey) -> bool {
    let route_kind = |name: &str| store.route_id(name).map(|id| &store.route(id).kind);
    match key {
        RowKey::Pipeline(name) => matches!(route_kind(name), Some(RouteKind::Pipeline(_))),
        RowKey::Service(name) => matches!(route_kind(name), Some(RouteKind::Service(_))),
        RowKey::Account(name) => store.account_id(name).is_some(),
        RowKey::Limit(account, route) => store.has_limit(account, route),
        RowKey::Stage(pipeline, stage) => match route_kind(pipeline) {
            Some(RouteKind::Pipeline(stages)) => stages.iter().any(|row| row.stage == *stage),
            _ => false,
        },
    }
}

fn verify_deletes(view: &ChangeView<'_>, deletes: &[RowKey], faults: &mut Vec<RowFault>) {
    for key in deletes {
        if !exists(view.store, key) {
            faults.push(RowFault::new(
                key.clone(),
                "kind",
                FaultCause::NothingToDelete,
            ));
        }
        if view.upserted.contains(key) {
            faults.push(RowFault::new(key.clone(), "kind", FaultCause::DuplicateRow));
        }
        let referrers = match key {
            RowKey::Account(name) => view.store.limit_keys_of(Some(name), None),
            RowKey::Pipeline(name) | RowKey::Service(name) if !view.will_have_route(name) => {
                view.store.limit_keys_of(None, Some(name))
            }
            _ => Vec::new(),
        };
        if view.upserted.contains(key) {
            continue;
        }
        for referrer in referrers
            .iter()
            .filter(|referrer| view.will_exist(referrer))
        {
            let cause = FaultCause::StillReferenced(referrer.to_string());
            faults.push(RowFault::new(key.clone(), "kind", cause));
        }
    }
}

fn verify_references(view: &ChangeView<'_>, faults: &mut Vec<RowFault>) {
    for row in view.upserts {
        match row {
            TableRow::Stage(stage) => {
                let pipeline = RowKey::Pipeline(stage.pipeline.clone());
                if !view.will_exist(&pipeline) {
                    let cause = FaultCause::UnknownReference(pipeline.to_string());
                    faults.push(RowFault::new(row.key(), "pipeline", cause));
                }
            }
            TableRow::Limit(limit) => {
                let account = RowKey::Account(limit.account.clone());
                if !view.will_exist(&account) {
                    let cause = FaultCause::UnknownReference(account.to_string());
                    faults.push(RowFault::new(row.key(), "account", cause));
                }
                if !view.will_have_route(&limit.pipeline) {
                    let cause = FaultCause::UnknownReference(format!(
                        "pipeline or service {}",
                        limit.pipeline
                    ));
                    faults.push(RowFault::new(row.key(), "pipeline", cause));
                }
            }
            TableRow::Pipeline(pipeline) => {
                verify_unique_name(view, row, &pipeline.pipeline, faults)
            }
            TableRow::Service(service) => verify_unique_name(view, row, &service.service, faults),
            TableRow::Account(_) => {}
        }
    }
}

fn verify_unique_name(
    view: &ChangeView<'_>,
    row: &TableRow,
    name: &str,
    faults: &mut Vec<RowFault>,
) {
    let both = view.will_exist(&RowKey::Pipeline(name.to_owned()))
        && view.will_exist(&RowKey::Service(name.to_owned()));
    if both {
        faults.push(RowFault::new(row.key(), "pipeline", FaultCause::SharedName));
    }
}

/// Verifies the stage chain of every pipeline that the change touches.
fn verify_stage_chains(view: &ChangeView<'_>, faults: &mut Vec<RowFault>) {
    let mut upserted_stages: HashMap<&str, Vec<&StageRow>> = HashMap::new();
    let mut touched: Vec<&str> = Vec::new();
    for row in view.upserts {
        match row {
            TableRow::Stage(stage) => {
                upserted_stages
                    .entry(&stage.pipeline)
                    .or_default()
                    .push(stage);
                touched.push(&stage.pipeline);
            }
            TableRow::Pipeline(pipeline) => touched.push(&pipeline.pipeline),
            _ => {}
        }
    }
    for key in &view.deleted {
        if let RowKey::Stage(pipeline, _) | RowKey::Pipeline(pipeline) = key {
            touched.push(pipeline);
        }
    }
    touched.sort_unstable();
    touched.dedup();
    for pipeline in touched {
        let upserted = upserted_stages
            .get(pipeline)
            .map(Vec::as_slice)
            .unwrap_or_default();
        verify_stage_chain(view, pipeline, upserted, faults);
    }
}

fn verify_stage_chain(
    view: &ChangeView<'_>,
    pipeline: &str,
    upserted: &[&StageRow],
    faults: &mut Vec<RowFault>,
) {
    let key = RowKey::Pipeline(pipeline.to_owned());
    let mut chain: Vec<&StageRow> = upserted.to_vec();
    chain.extend(unchanged_stages(view, pipeline));
    chain.sort_by_key(|stage| stage.position);
    if !view.will_exist(&key) {
        for stage in chain.iter().filter(|stage| !upserted.contains(stage)) {
            let cause = FaultCause::StillReferenced(format!("stage {}/{}", pipeline, stage.stage));
            faults.push(RowFault::new(key.clone(), "kind", cause));
        }
        return;
    }
    if chain.is_empty() || chain.len() > MAX_STAGES {
        let cause = FaultCause::BadStageCount {
            pipeline: pipeline.to_owned(),
            count: chain.len(),
            max: MAX_STAGES,
        };
        faults.push(RowFault::new(key, "stage", cause));
        return;
    }
    let in_order = chain
        .iter()
        .zip(1..)
        .all(|(stage, position)| stage.position == position);
    if !in_order {
        let cause = FaultCause::BadPositions(pipeline.to_owned());
        faults.push(RowFault::new(key, "position", cause));
    }
    for stage in &chain[..chain.len() - 1] {
        if stage.streams {
            let key = RowKey::Stage(pipeline.to_owned(), stage.stage.clone());
            faults.push(RowFault::new(
                key,
                "streams",
                FaultCause::StreamsBeforeLastStage,
            ));
        }
    }
}

fn unchanged_stages<'a>(view: &'a ChangeView<'_>, pipeline: &'a str) -> Vec<&'a StageRow> {
    let Some(id) = view.store.route_id(pipeline) else {
        return Vec::new();
    };
    let RouteKind::Pipeline(stages) = &view.store.route(id).kind else {
        return Vec::new();
    };
    stages
        .iter()
        .filter(|stage| {
            let key = RowKey::Stage(pipeline.to_owned(), stage.stage.clone());
            !view.upserted.contains(&key) && !view.deleted.contains(&key)
        })
        .collect()
}

/// Verifies that no two accounts share a key; otherwise one could act as the other.
fn verify_key_digests(view: &ChangeView<'_>, faults: &mut Vec<RowFault>) {
    let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
    for row in view.upserts {
        let TableRow::Account(account) = row else {
            continue;
        };
        for digest in &account.key_digests {
            let in_change = owners.insert(*digest, &account.account);
            let in_store = view
                .store
                .find_account(digest)
                .map(|id| view.store.account(id).name.as_str())
                .filter(|name| {
                    let key = RowKey::Account((*name).to_owned());
                    !view.upserted.contains(&key) && !view.deleted.contains(&key)
                });
            let other = in_change
                .or(in_store)
                .filter(|name| *name != account.account);
            if let Some(other) = other {
                let cause = FaultCause::SharedKey(other.to_owned());
                faults.push(RowFault::new(row.key(), "key_digest", cause));
            }
        }
    }
}
