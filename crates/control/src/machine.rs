//! The replicated state machine: the table, the change keys, the claims and the deferred requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use linnet_claim::{
    ClaimCommand, ClaimReply, ClaimTable, DeferredCommand, DeferredCommandReply, DeferredQuery,
    DeferredQueryReply, DeferredTable,
};
use linnet_feed::TableFeed;
use linnet_quorum::StateMachineHooks;
use linnet_table::{ChangeRefusal, RowKey, TableChange, TableStore, VersionedRow};
use linnet_telemetry::{EventCode, EventRecorder};
use serde::{Deserialize, Serialize};

use crate::change_store::{ChangeRecord, ChangeStore, content_digest};

/// A command of the replicated log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ControlCommand {
    /// A change of the table.
    Change(TableChange),
    /// A command on a claim.
    Claim(ClaimCommand),
    /// A command on a deferred request.
    Deferred(DeferredCommand),
}

/// The reply to a [`ControlCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommandReply {
    /// The version that the change created, or why it was refused.
    Change(Result<u64, ChangeRefusal>),
    /// The reply of the claim table.
    Claim(ClaimReply),
    /// The reply of the table of deferred requests.
    Deferred(DeferredCommandReply),
    /// The command could not be decoded by this build.
    Unreadable,
}

/// Content of a snapshot.
#[derive(Serialize, Deserialize)]
struct MachineImage {
    version: u64,
    rows: Vec<VersionedRow>,
    tombstones: Vec<(RowKey, u64)>,
    changes: ChangeStore,
    claims: ClaimTable,
    deferred: DeferredTable,
}

#[derive(Default)]
struct MachineState {
    changes: ChangeStore,
    claims: ClaimTable,
    deferred: DeferredTable,
}

/// The state machine. The table is shared with the tasks that serve it to followers.
#[derive(Clone)]
pub struct ControlMachine {
    feed: Arc<TableFeed>,
    state: Arc<Mutex<MachineState>>,
    recorder: Arc<EventRecorder>,
}

impl ControlMachine {
    /// Creates a state machine that stores its table in `feed`.
    pub fn new(feed: Arc<TableFeed>, recorder: Arc<EventRecorder>) -> Self {
        Self {
            feed,
            state: Arc::default(),
            recorder,
        }
    }

    /// Returns the callbacks for the replicated log.
    pub fn hooks(&self) -> StateMachineHooks {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        StateMachineHooks::new(
            move |_, command| apply.apply(command),
            move || snapshot.snapshot(),
            move |bytes| restore.restore(bytes),
        )
    }

    /// Returns the accepted change with a change key.
    pub fn find_change(&self, change_key: &str) -> Option<ChangeRecord> {
        self.lock().changes.find(change_key)
    }

    /// Returns the number of stored claims.
    pub fn claim_count(&self) -> usize {
        self.lock().claims.len()
    }

    /// Returns the number of stored deferred requests.
    pub fn deferred_count(&self) -> usize {
        self.lock().deferred.len()
    }

    /// Executes a query on deferred requests.
    pub fn query_deferred(&self, query: &DeferredQuery) -> DeferredQueryReply {
        self.lock().deferred.query(query)
    }

    /// Applies one committed command and returns its encoded reply.
    pub fn apply(&self, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(ControlCommand::Change(change)) => {
                ControlCommandReply::Change(self.apply_change(&change))
            }
            Ok(ControlCommand::Claim(step)) => {
                ControlCommandReply::Claim(self.lock().claims.apply(step))
            }
            Ok(ControlCommand::Deferred(step)) => {
                ControlCommandReply::Deferred(self.lock().deferred.apply(step))
            }
            Err(_) => ControlCommandReply::Unreadable,
        };
        postcard::to_stdvec(&reply).unwrap_or_default()
    }

    fn apply_change(&self, change: &TableChange) -> Result<u64, ChangeRefusal> {
        let mut state = self.lock();
        if let Some(record) = state.changes.find(&change.change_key) {
            return if record.content_digest == content_digest(change) {
                Ok(record.version)
            } else {
                Err(ChangeRefusal::KeyReused(record.version))
            };
        }
        let result = self.feed.apply_change(change);
        match &result {
            Ok(version) => {
                state.changes.record(change, *version);
                let detail = format!(
                    "version={version} key={} rows={} deleted={}",
                    change.change_key,
                    change.upserts.len(),
                    change.deletes.len()
                );
                self.recorder
                    .record(EventCode::ChangeAccepted, &change.author, detail);
            }
            Err(refusal) => {
                let detail = format!("key={} {refusal}", change.change_key);
                self.recorder
                    .record(EventCode::ChangeRefused, &change.author, detail);
            }
        }
        result
    }

    fn snapshot(&self) -> Vec<u8> {
        let state = self.lock();
        let table = self.feed.read();
        let image = MachineImage {
            version: table.version(),
            rows: table.snapshot_rows(),
            tombstones: table.tombstones(),
            changes: state.changes.clone(),
            claims: state.claims.clone(),
            deferred: state.deferred.clone(),
        };
        postcard::to_stdvec(&image).unwrap_or_default()
    }

    fn restore(&self, bytes: &[u8]) {
        // The checksum of the snapshot was verified, so bytes that cannot be decoded come from a
        // newer build. Continuing with an empty state would lose accepted changes.
        let image: MachineImage = match postcard::from_bytes(bytes) {
            Ok(image) => image,
            Err(error) => {
                log::error!(target: "linnetdale", "cannot decode the snapshot, ending the process: {error}");
                std::process::exit(1);
            }
        };
        let mut table = TableStore::new();
        table.add_snapshot_rows(image.rows);
        table.finish_snapshot(image.version, image.tombstones);
        let mut state = self.lock();
        state.changes = image.changes;
        state.claims = image.claims;
        state.deferred = image.deferred;
        self.feed.restore(table);
    }

    fn lock(&self) -> MutexGuard<'_, MachineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
