//! The replicated state machine: the configuration with the highest version, the evacuations of
//! halls, held requests and roll-outs.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use linnet_quarantine::{PartRecord, SuspectRecord};
use linnet_quorum::StateMachineHooks;
use linnet_rollout::{RolloutCommand, RolloutOutcome, RolloutStore};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::held_requests::{HeldParts, HeldRequests};
use crate::history::DocumentHistory;
use crate::{
    Document, DocumentKey, DocumentPayload, EvacuationOrder, EvacuationOutcome, EvacuationStore,
    StoredDocument,
};

/// Names of services.
pub type ServiceNames = BTreeSet<String>;

/// Returns the version of a valid document, or the reason why it is invalid.
type VersionReader = Arc<dyn Fn(&[u8]) -> Result<u64, String> + Send + Sync>;

/// Returns the services that a valid document names.
type ServiceReader = Arc<dyn Fn(&[u8]) -> ServiceNames + Send + Sync>;

/// How documents are parsed.
#[derive(Clone)]
pub struct DocumentParser {
    /// Returns the version, or the reason why the document is invalid.
    pub version: VersionReader,
    /// Returns the names of the services in the document.
    pub services: ServiceReader,
}

/// A command of the replicated log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum DocumentCommand {
    /// Stores a document unless one of the same or a higher version is stored.
    Put(Document),
    /// Returns the current document.
    Read,
    /// Evacuates a hall, or returns it to service.
    Evacuate(EvacuationOrder),
    /// Stores records of held requests.
    Hold(Vec<SuspectRecord>),
    /// Begins, advances, ends or reads a roll-out.
    Rollout(RolloutCommand),
    /// Stores records of held parts of prompts.
    HoldParts(Vec<PartRecord>),
}

/// The reply to a [`DocumentCommand`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum DocumentReply {
    /// The reply to `Put`: the current version afterwards.
    CurrentVersion(u64),
    /// The reply to `Read`.
    Document(Option<Document>),
    /// The reply to `Evacuate`.
    Evacuation(EvacuationOutcome),
    /// The reply to `Hold` and `HoldParts`.
    Done,
    /// The reply to `Rollout`.
    Rollout(RolloutOutcome),
}

/// The state machine of the replicated log.
#[derive(Clone, Default)]
pub struct DocumentMachine {
    history: Arc<Mutex<DocumentHistory>>,
    evacuations: Arc<Mutex<Arc<EvacuationStore>>>,
    held_requests: Arc<Mutex<HeldRequests>>,
    held_parts: Arc<Mutex<HeldParts>>,
    rollouts: Arc<Mutex<Arc<RolloutStore>>>,
    held_requests_changed: Arc<watch::Sender<u64>>,
    changed: Arc<watch::Sender<u64>>,
}

impl DocumentMachine {
    /// Creates a machine without any state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the callbacks of the replicated log.
    pub fn hooks(&self) -> StateMachineHooks {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        StateMachineHooks::new(
            move |_, command| apply.apply(command),
            move || snapshot.snapshot(),
            move |bytes| restore.restore(bytes),
        )
    }

    /// Returns the newest configuration that this replica has applied.
    pub fn current_document(&self) -> Option<Arc<StoredDocument>> {
        self.lock().newest().cloned()
    }

    /// Returns the evacuations that this replica has applied.
    pub fn evacuations(&self) -> Arc<EvacuationStore> {
        self.lock_evacuations().clone()
    }

    /// Returns the roll-outs that this replica has applied.
    pub fn rollouts(&self) -> Arc<RolloutStore> {
        self.lock_rollouts().clone()
    }

    /// Returns the payload that brings the configuration `wanted`, or the newest, to a subscriber
    /// that has `base`.
    pub(crate) fn payload(
        &self,
        wanted: DocumentKey,
        base: Option<DocumentKey>,
    ) -> Option<Arc<DocumentPayload>> {
        self.lock().payload(wanted, base)
    }

    /// Returns a receiver that wakes when the configuration, the evacuations or the roll-outs have
    /// changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn apply(&self, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(DocumentCommand::Put(document)) => DocumentReply::CurrentVersion(self.put(document)),
            Ok(DocumentCommand::Read) => DocumentReply::Document(
                self.current_document()
                    .map(|current| current.document().clone()),
            ),
            Ok(DocumentCommand::Evacuate(order)) => {
                DocumentReply::Evacuation(self.evacuate(&order))
            }
            Ok(DocumentCommand::Hold(records)) => {
                self.store_held(&records);
                DocumentReply::Done
            }
            Ok(DocumentCommand::HoldParts(records)) => {
                self.store_held_parts(&records);
                DocumentReply::Done
            }
            Ok(DocumentCommand::Rollout(command)) => {
                DocumentReply::Rollout(self.apply_rollout(&command))
            }
            // A command of a later build is ignored here; that build should not have sent it.
            Err(error) => {
                log::error!("ignoring a log command that cannot be decoded: {error}");
                DocumentReply::CurrentVersion(
                    self.current_document()
                        .map_or(0, |current| current.version()),
                )
            }
        };
        postcard::to_stdvec(&reply).unwrap_or_default()
    }

    fn put(&self, document: Document) -> u64 {
        let mut history = self.lock();
        if let Some(current) = history.newest()
            && document.version <= current.version()
        {
            return current.version();
        }
        let version = document.version;
        history.push(Arc::new(StoredDocument::new(document)));
        drop(history);
        self.changed.send_replace(version);
        version
    }

    fn evacuate(&self, order: &EvacuationOrder) -> EvacuationOutcome {
        let outcome = Arc::make_mut(&mut *self.lock_evacuations()).apply(order);
        self.changed.send_modify(|_| {});
        outcome
    }

    fn apply_rollout(&self, command: &RolloutCommand) -> RolloutOutcome {
        let outcome = Arc::make_mut(&mut *self.lock_rollouts()).apply(command);
        self.changed.send_modify(|_| {});
        outcome
    }

    /// Returns the held requests that the log stores.
    pub(crate) fn held_requests(&self) -> Vec<SuspectRecord> {
        self.lock_held().records()
    }

    /// Returns the records that the log lacks or has in another state.
    pub(crate) fn missing_from_log(&self, known: Vec<SuspectRecord>) -> Vec<SuspectRecord> {
        self.lock_held().missing(known)
    }

    /// Returns the held parts that the log stores.
    pub(crate) fn held_parts(&self) -> Vec<PartRecord> {
        self.lock_held_parts().records()
    }

    /// Returns the part records that the log lacks or has in another state.
    pub(crate) fn parts_missing_from_log(
        &self,
        known: Vec<PartRecord>,
        is_held: impl Fn(&PartRecord) -> bool,
    ) -> Vec<PartRecord> {
        self.lock_held_parts().missing(known, is_held)
    }

    /// Returns a receiver that wakes when the held requests or parts have changed.
    pub(crate) fn held_request_changes(&self) -> watch::Receiver<u64> {
        self.held_requests_changed.subscribe()
    }

    fn store_held(&self, records: &[SuspectRecord]) {
        self.lock_held().apply(records);
        self.held_requests_changed.send_modify(|count| *count += 1);
    }

    fn store_held_parts(&self, records: &[PartRecord]) {
        self.lock_held_parts().apply(records);
        self.held_requests_changed.send_modify(|count| *count += 1);
    }

    fn snapshot(&self) -> Vec<u8> {
        let current = self
            .current_document()
            .map(|current| current.document().clone());
        let evacuations = self.evacuations();
        let requests = self.lock_held();
        let rollouts = self.rollouts();
        let parts = self.lock_held_parts();
        let state = (current, &*evacuations, &*requests, &*rollouts);
        // Without held parts, earlier builds find the snapshot that they write themselves.
        let bytes = match parts.is_empty() {
            true => postcard::to_stdvec(&state),
            false => postcard::to_stdvec(&(state, &*parts)),
        };
        bytes.unwrap_or_default()
    }

    fn restore(&self, bytes: &[u8]) {
        // The snapshot passed its checksum, so if it cannot be decoded, a newer program wrote it.
        // Continuing with an empty state would lose committed data.
        let (document, evacuations, requests, rollouts, parts) = match read_snapshot(bytes) {
            Ok(state) => state,
            Err(error) => {
                log::error!(target: "linnetdale", "cannot decode the snapshot, exiting: {error}");
                std::process::exit(1);
            }
        };
        *self.lock_evacuations() = Arc::new(evacuations);
        *self.lock_rollouts() = Arc::new(rollouts);
        *self.lock_held() = requests;
        *self.lock_held_parts() = parts;
        self.held_requests_changed.send_modify(|count| *count += 1);
        let version = document.as_ref().map_or(0, |document| document.version);
        if let Some(document) = document {
            self.lock().push(Arc::new(StoredDocument::new(document)));
        }
        self.changed.send_replace(version);
    }

    fn lock(&self) -> MutexGuard<'_, DocumentHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_held(&self) -> MutexGuard<'_, HeldRequests> {
        self.held_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_held_parts(&self) -> MutexGuard<'_, HeldParts> {
        self.held_parts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_rollouts(&self) -> MutexGuard<'_, Arc<RolloutStore>> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, Arc<EvacuationStore>> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

type Snapshot = (
    Option<Document>,
    EvacuationStore,
    HeldRequests,
    RolloutStore,
    HeldParts,
);

/// Decodes a snapshot. One that an older program wrote ends after the document, or after one of the
/// later parts.
fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
    let (document, rest) = postcard::take_from_bytes(bytes)?;
    let (evacuations, rest) = read_part(rest)?;
    let (requests, rest) = read_part(rest)?;
    let (rollouts, rest) = read_part(rest)?;
    let (parts, _) = read_part(rest)?;
    Ok((document, evacuations, requests, rollouts, parts))
}

fn read_part<T: Default + DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        bytes => postcard::take_from_bytes(bytes),
    }
}

#[cfg(test)]
mod tests;
