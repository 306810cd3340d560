//! Message version 1: without the start times of targets, and without suspected requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::message::ForwardedHeartbeat;
use crate::{
    DirectoryUpdate, DocumentKey, DocumentPart, DocumentRequest, EntryHostRecord, EvacuationStore,
    SubscriberReport, TargetRecord, TargetState,
};

/// A [`TargetRecord`]. The missing start time is read as 0, as for a target with a new identity at
/// each start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetRecordV1 {
    id: String,
    service: String,
    address: SocketAddr,
    hall: String,
    slots: u32,
    state: TargetState,
    sequence: u64,
    silent: bool,
    cold_ms: u32,
}

impl From<TargetRecordV1> for TargetRecord {
    fn from(message: TargetRecordV1) -> Self {
        Self {
            id: message.id,
            born: 0,
            service: message.service,
            address: message.address,
            hall: message.hall,
            slots: message.slots,
            state: message.state,
            sequence: message.sequence,
            silent: message.silent,
            cold_ms: message.cold_ms,
            version: String::new(),
        }
    }
}

impl From<TargetRecord> for TargetRecordV1 {
    fn from(record: TargetRecord) -> Self {
        Self {
            id: record.id,
            service: record.service,
            address: record.address,
            hall: record.hall,
            slots: record.slots,
            state: record.state,
            sequence: record.sequence,
            silent: record.silent,
            cold_ms: record.cold_ms,
        }
    }
}

/// A [`ForwardedHeartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedHeartbeatV1 {
    id: String,
    sequence: u64,
    age_ms: u64,
}

impl From<ForwardedHeartbeatV1> for ForwardedHeartbeat {
    fn from(message: ForwardedHeartbeatV1) -> Self {
        Self {
            id: message.id,
            born: 0,
            sequence: message.sequence,
            age_ms: message.age_ms,
        }
    }
}

impl From<ForwardedHeartbeat> for ForwardedHeartbeatV1 {
    fn from(heartbeat: ForwardedHeartbeat) -> Self {
        Self {
            id: heartbeat.id,
            sequence: heartbeat.sequence,
            age_ms: heartbeat.age_ms,
        }
    }
}

/// A [`DirectoryUpdate`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DirectoryUpdateV1 {
    revision: u64,
    offer: Option<DocumentKey>,
    part: Option<DocumentPart>,
    evacuations: Option<EvacuationStore>,
    lists_complete: bool,
    targets: Vec<TargetRecordV1>,
    entry_hosts: Option<Vec<EntryHostRecord>>,
    control_addresses: Option<Vec<SocketAddr>>,
    heartbeats: Vec<ForwardedHeartbeatV1>,
}

impl From<DirectoryUpdateV1> for DirectoryUpdate {
    fn from(message: DirectoryUpdateV1) -> Self {
        Self {
            revision: message.revision,
            offer: message.offer,
            part: message.part,
            evacuations: message.evacuations,
            lists_complete: message.lists_complete,
            targets: message
                .targets
                .into_iter()
                .map(TargetRecord::from)
                .collect(),
            entry_hosts: message.entry_hosts,
            control_addresses: message.control_addresses,
            heartbeats: message
                .heartbeats
                .into_iter()
                .map(ForwardedHeartbeat::from)
                .collect(),
            suspects: Vec::new(),
            rollouts: None,
            reporter_counts: Vec::new(),
            local_entry_hosts: None,
            leaderless: false,
            rate_limits: Vec::new(),
            parts: Vec::new(),
        }
    }
}

impl From<DirectoryUpdate> for DirectoryUpdateV1 {
    fn from(update: DirectoryUpdate) -> Self {
        Self {
            revision: update.revision,
            offer: update.offer,
            part: update.part,
            evacuations: update.evacuations,
            lists_complete: update.lists_complete,
            targets: update
                .targets
                .into_iter()
                .map(TargetRecordV1::from)
                .collect(),
            entry_hosts: update.entry_hosts,
            control_addresses: update.control_addresses,
            heartbeats: update
                .heartbeats
                .into_iter()
                .map(ForwardedHeartbeatV1::from)
                .collect(),
        }
    }
}

/// A [`SubscriberReport`]. Reports are always written in version 2: readers of version 1 skip the
/// bytes that follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SubscriberReportV1 {
    entry_host: Option<EntryHostRecord>,
    acknowledged: u64,
    document_version: u64,
    document_request: Option<DocumentRequest>,
    wants_lists: bool,
}

impl From<SubscriberReportV1> for SubscriberReport {
    fn from(message: SubscriberReportV1) -> Self {
        Self {
            entry_host: message.entry_host,
            acknowledged: message.acknowledged,
            document_version: message.document_version,
            document_request: message.document_request,
            wants_lists: message.wants_lists,
            suspects: Vec::new(),
            incarnation: 0,
            phase_counts: Vec::new(),
            rate_limits: Vec::new(),
            parts: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
