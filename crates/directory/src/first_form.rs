//! Messages as the first form has them: without the births of targets, and without a word of requests that
//! end targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::message::HeardTarget;
use crate::{
    DirectoryUpdate, DocumentKey, DocumentPart, DocumentWant, EvacuationBook, GatewayRecord,
    SubscriberReport, TargetRecord, TargetState,
};

/// A [`TargetRecord`]; what it lacks is read as 0, a target with another identity at each start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstTarget {
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

impl From<FirstTarget> for TargetRecord {
    fn from(told: FirstTarget) -> Self {
        Self {
            id: told.id,
            born: 0,
            service: told.service,
            address: told.address,
            hall: told.hall,
            slots: told.slots,
            state: told.state,
            sequence: told.sequence,
            silent: told.silent,
            cold_ms: told.cold_ms,
            version: String::new(),
        }
    }
}

impl From<TargetRecord> for FirstTarget {
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

/// A [`HeardTarget`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstHeard {
    id: String,
    sequence: u64,
    age_ms: u64,
}

impl From<FirstHeard> for HeardTarget {
    fn from(told: FirstHeard) -> Self {
        Self {
            id: told.id,
            born: 0,
            sequence: told.sequence,
            age_ms: told.age_ms,
        }
    }
}

impl From<HeardTarget> for FirstHeard {
    fn from(heard: HeardTarget) -> Self {
        Self {
            id: heard.id,
            sequence: heard.sequence,
            age_ms: heard.age_ms,
        }
    }
}

/// A [`DirectoryUpdate`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstUpdate {
    number: u64,
    offer: Option<DocumentKey>,
    part: Option<DocumentPart>,
    evacuations: Option<EvacuationBook>,
    lists_whole: bool,
    targets: Vec<FirstTarget>,
    gateways: Option<Vec<GatewayRecord>>,
    controls: Option<Vec<SocketAddr>>,
    heard: Vec<FirstHeard>,
}

impl From<FirstUpdate> for DirectoryUpdate {
    fn from(told: FirstUpdate) -> Self {
        Self {
            number: told.number,
            offer: told.offer,
            part: told.part,
            evacuations: told.evacuations,
            lists_whole: told.lists_whole,
            targets: told.targets.into_iter().map(TargetRecord::from).collect(),
            gateways: told.gateways,
            controls: told.controls,
            heard: told.heard.into_iter().map(HeardTarget::from).collect(),
            suspects: Vec::new(),
            rollouts: None,
            counted: Vec::new(),
            own_gateways: None,
            unled: false,
            rates: Vec::new(),
        }
    }
}

impl From<DirectoryUpdate> for FirstUpdate {
    fn from(update: DirectoryUpdate) -> Self {
        Self {
            number: update.number,
            offer: update.offer,
            part: update.part,
            evacuations: update.evacuations,
            lists_whole: update.lists_whole,
            targets: update.targets.into_iter().map(FirstTarget::from).collect(),
            gateways: update.gateways,
            controls: update.controls,
            heard: update.heard.into_iter().map(FirstHeard::from).collect(),
        }
    }
}

/// A [`SubscriberReport`]. It is written in the second form to everybody: readers of the first form pass over
/// what stands behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstReport {
    gateway: Option<GatewayRecord>,
    acknowledged: u64,
    document_version: u64,
    want: Option<DocumentWant>,
    lists: bool,
}

impl From<FirstReport> for SubscriberReport {
    fn from(told: FirstReport) -> Self {
        Self {
            gateway: told.gateway,
            acknowledged: told.acknowledged,
            document_version: told.document_version,
            want: told.want,
            lists: told.lists,
            suspects: Vec::new(),
            start: 0,
            counted: Vec::new(),
            rates: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
