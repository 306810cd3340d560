//! The replicated state: the configuration with the highest version, the evacuations of halls, held requests and
//! roll-outs.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use linnet_quarantine::SuspectRecord;
use linnet_quorum::StateMachineHooks;
use linnet_rollout::{RolloutCommand, RolloutOutcome, RolloutStore};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::held_requests::HeldRequests;
use crate::history::DocumentHistory;
use crate::{
    Document, DocumentKey, DocumentPayload, EvacuationBook, EvacuationOrder, EvacuationOutcome,
    HeldDocument,
};

/// Names of services.
pub type ServiceNames = BTreeSet<String>;

/// Reads the version of a valid document, or says what is wrong with it.
type VersionReader = Arc<dyn Fn(&[u8]) -> Result<u64, String> + Send + Sync>;

/// Reads the services that a valid document names.
type ServiceReader = Arc<dyn Fn(&[u8]) -> ServiceNames + Send + Sync>;

/// How documents are read.
#[derive(Clone)]
pub struct DocumentParser {
    /// Version, or what is wrong.
    pub version: VersionReader,
    /// Services that are named.
    pub services: ServiceReader,
}

/// A command of the replicated log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum DocumentCommand {
    /// Hold this document unless one of the same or a higher version is held.
    Put(Document),
    /// Answer the document that is held.
    Read,
    /// Take a hall out of work, or back.
    Evacuate(EvacuationOrder),
    /// Keep what is held against requests.
    Hold(Vec<SuspectRecord>),
    /// Begin, move or end a roll-out, or look at one.
    Rollout(RolloutCommand),
}

/// The answer to a [`DocumentCommand`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum DocumentAnswer {
    /// To `Put`: the version that is held now.
    Held(u64),
    /// To `Read`.
    Document(Option<Document>),
    /// To `Evacuate`.
    Evacuation(EvacuationOutcome),
    /// To `Hold`.
    Done,
    /// To `Rollout`.
    Rollout(RolloutOutcome),
}

/// The state machine of the replicated log.
#[derive(Clone, Default)]
pub struct DocumentMachine {
    history: Arc<Mutex<DocumentHistory>>,
    evacuations: Arc<Mutex<Arc<EvacuationBook>>>,
    held_requests: Arc<Mutex<HeldRequests>>,
    rollouts: Arc<Mutex<Arc<RolloutStore>>>,
    holds: Arc<watch::Sender<u64>>,
    changed: Arc<watch::Sender<u64>>,
}

impl DocumentMachine {
    /// Creates a machine that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the closures that the replicated log calls.
    pub fn hooks(&self) -> StateMachineHooks {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        StateMachineHooks::new(
            move |_, command| apply.apply(command),
            move || snapshot.snapshot(),
            move |bytes| restore.restore(bytes),
        )
    }

    /// Returns the committed document that this replica has reached.
    pub fn held(&self) -> Option<Arc<HeldDocument>> {
        self.lock().newest().cloned()
    }

    /// Returns the committed evacuations that this replica has reached.
    pub fn evacuations(&self) -> Arc<EvacuationBook> {
        self.lock_evacuations().clone()
    }

    /// Returns the committed roll-outs that this replica has reached.
    pub fn rollouts(&self) -> Arc<RolloutStore> {
        self.lock_rollouts().clone()
    }

    /// Returns what brings the configuration `wanted`, or the newest, to a subscriber with `base`.
    pub(crate) fn payload(
        &self,
        wanted: DocumentKey,
        base: Option<DocumentKey>,
    ) -> Option<Arc<DocumentPayload>> {
        self.lock().payload(wanted, base)
    }

    /// Returns a receiver that wakes when a newer document is held or an evacuation has changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn apply(&self, command: &[u8]) -> Vec<u8> {
        let answer = match postcard::from_bytes(command) {
            Ok(DocumentCommand::Put(document)) => DocumentAnswer::Held(self.put(document)),
            Ok(DocumentCommand::Read) => {
                DocumentAnswer::Document(self.held().map(|held| held.document().clone()))
            }
            Ok(DocumentCommand::Evacuate(order)) => {
                DocumentAnswer::Evacuation(self.evacuate(&order))
            }
            Ok(DocumentCommand::Hold(records)) => {
                self.hold(&records);
                DocumentAnswer::Done
            }
            Ok(DocumentCommand::Rollout(command)) => DocumentAnswer::Rollout(self.roll(&command)),
            // A command of a later build changes nothing here, where that build should not have sent it.
            Err(error) => {
                log::error!(
                    "a command of the log cannot be read and changes nothing here: {error}"
                );
                DocumentAnswer::Held(self.held().map_or(0, |held| held.version()))
            }
        };
        postcard::to_stdvec(&answer).unwrap_or_default()
    }

    fn put(&self, document: Document) -> u64 {
        let mut history = self.lock();
        if let Some(held) = history.newest()
            && document.version <= held.version()
        {
            return held.version();
        }
        let version = document.version;
        history.push(Arc::new(HeldDocument::new(document)));
        drop(history);
        self.changed.send_replace(version);
        version
    }

    fn evacuate(&self, order: &EvacuationOrder) -> EvacuationOutcome {
        let outcome = Arc::make_mut(&mut *self.lock_evacuations()).apply(order);
        self.changed.send_modify(|_| {});
        outcome
    }

    fn roll(&self, command: &RolloutCommand) -> RolloutOutcome {
        let outcome = Arc::make_mut(&mut *self.lock_rollouts()).apply(command);
        self.changed.send_modify(|_| {});
        outcome
    }

    /// Returns the held requests that the log keeps.
    pub(crate) fn held_requests(&self) -> Vec<SuspectRecord> {
        self.lock_held().records()
    }

    /// Returns those of some records that the log does not have as they are.
    pub(crate) fn lacking(&self, known: Vec<SuspectRecord>) -> Vec<SuspectRecord> {
        self.lock_held().lacking(known)
    }

    /// Returns a receiver that wakes when the held requests have changed.
    pub(crate) fn holds(&self) -> watch::Receiver<u64> {
        self.holds.subscribe()
    }

    fn hold(&self, records: &[SuspectRecord]) {
        self.lock_held().apply(records);
        self.holds.send_modify(|count| *count += 1);
    }

    fn snapshot(&self) -> Vec<u8> {
        let held = self.held().map(|held| held.document().clone());
        let evacuations = self.evacuations();
        let requests = self.lock_held();
        let rollouts = self.rollouts();
        postcard::to_stdvec(&(held, &*evacuations, &*requests, &*rollouts)).unwrap_or_default()
    }

    fn restore(&self, bytes: &[u8]) {
        // A snapshot passed its checksum, so bytes that cannot be read come from a newer program.
        // Going on with an empty state would lose what was accepted.
        let (document, evacuations, requests, rollouts) = match read_snapshot(bytes) {
            Ok(state) => state,
            Err(error) => {
                log::error!(target: "linnetdale", "the snapshot cannot be read: {error}");
                std::process::exit(1);
            }
        };
        *self.lock_evacuations() = Arc::new(evacuations);
        *self.lock_rollouts() = Arc::new(rollouts);
        *self.lock_held() = requests;
        self.holds.send_modify(|count| *count += 1);
        let version = document.as_ref().map_or(0, |document| document.version);
        if let Some(document) = document {
            self.lock().push(Arc::new(HeldDocument::new(document)));
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

    fn lock_rollouts(&self) -> MutexGuard<'_, Arc<RolloutStore>> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, Arc<EvacuationBook>> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

type Snapshot = (Option<Document>, EvacuationBook, HeldRequests, RolloutStore);

/// Reads a snapshot. One of an older program ends after the document, or after a later part.
fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
    let (document, rest) = postcard::take_from_bytes(bytes)?;
    let (evacuations, rest) = read_part(rest)?;
    let (requests, rest) = read_part(rest)?;
    let (rollouts, _) = read_part(rest)?;
    Ok((document, evacuations, requests, rollouts))
}

fn read_part<T: Default + DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        bytes => postcard::take_from_bytes(bytes),
    }
}

#[cfg(test)]
mod tests;
