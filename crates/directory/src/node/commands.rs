//! Commands that a control host proposes to the replicated log: configurations, evacuations and
//! held requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_quorum::ProposeError;
use linnet_telemetry::EventCode;
use linnet_wire::MessageVersion;
use tokio::time::{sleep, timeout};

use super::{DirectoryError, DirectoryNode};
use crate::call::call;
use crate::machine::{DocumentCommand, DocumentReply};
use crate::message::{DirectoryCall, DirectoryReply};
use crate::{Document, EvacuationOrder, EvacuationOutcome};

/// Delay before a command is retried while no leader is known.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Timeout for one attempt to commit a small command. A frozen leader answers nothing; the next one
/// is elected within half a second, so that the next attempt reaches it, and the command is not
/// refused for lack of time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Size up to which a command counts as small. Larger commands cross several links before they are
/// committed, and an attempt that is aborted sends them again: one of 4 MB was never acknowledged
/// over links of 24 Mbit/s.
const MAX_SMALL_COMMAND_BYTES: usize = 64 * 1024;

/// Maximum number of attempts to order a change of a hall while others change it as well.
const MAX_ORDER_ATTEMPTS: usize = 3;

/// Assumed minimum transfer rate of a command and its reply between control hosts, in bytes per
/// second. With one timeout for every size, a configuration of 4 MB was committed but never
/// acknowledged over links of 24 Mbit/s, and each attempt sent it again.
const MIN_BYTES_PER_S: f64 = 2_000_000.0;

/// Links that a command crosses one after the other: from this host to the leader, and from there to
/// the other hosts. With the time for one, a configuration of 2 MB was committed over links of the
/// assumed rate, but refused by every host that did not lead.
const COMMAND_CROSSINGS: usize = 2;

impl DirectoryNode {
    /// Commits a configuration; returns the version that is current afterwards.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::Invalid`] changes nothing; [`DirectoryError::NoQuorum`] leaves open
    /// whether the configuration comes into force.
    pub async fn put_document(&self, body: Vec<u8>) -> Result<u64, DirectoryError> {
        let version = (self.shared.parser.version)(&body).map_err(|fault| {
            self.record(EventCode::RoutingRefused, &fault);
            DirectoryError::Invalid(fault)
        })?;
        let bytes = body.len();
        if let Some(current) = self
            .current_document()
            .filter(|current| current.version() >= version)
        {
            // The current configuration is committed, so a retry by the operator needs no other
            // commit.
            let detail = format!("version={version} bytes={bytes} held={}", current.version());
            self.record(EventCode::RoutingAccepted, &detail);
            return Ok(current.version());
        }
        let command = DocumentCommand::Put(Document { version, body });
        let outcome = self.commit(&command).await;
        let detail = |current| format!("version={version} bytes={bytes} held={current}");
        match outcome {
            Ok(DocumentReply::CurrentVersion(current)) => {
                self.record(EventCode::RoutingAccepted, &detail(current.to_string()));
                Ok(current)
            }
            _ => {
                self.record(EventCode::RoutingRefused, &detail("unknown".to_owned()));
                Err(DirectoryError::NoQuorum)
            }
        }
    }

    /// Returns the newest configuration, after a quorum round that began with this call.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NoQuorum`].
    pub async fn read_document(&self) -> Result<Option<Document>, DirectoryError> {
        match self.commit(&DocumentCommand::Read).await? {
            DocumentReply::Document(document) => {
                let version = document.as_ref().map_or(0, |document| document.version);
                self.record(EventCode::RoutingRead, &format!("version={version}"));
                Ok(document)
            }
            _ => Err(DirectoryError::NoQuorum),
        }
    }

    /// Evacuates a hall, or returns it to service; returns once a majority of control hosts has the
    /// order on disk.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::OrderOutdated`] changes nothing; [`DirectoryError::NoQuorum`] leaves open
    /// whether the order comes into force.
    pub async fn order_evacuation(
        &self,
        hall: &str,
        evacuated: bool,
    ) -> Result<(), DirectoryError> {
        let admitted = self.admit_order().inspect_err(|error| {
            let detail = format!("hall={hall} evacuated={evacuated} cause={error}");
            self.record(EventCode::EvacuationFailed, &detail);
        })?;
        let mut seen_revision = self.evacuations().state_of(hall).revision;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let order = EvacuationOrder {
                hall: hall.to_owned(),
                evacuated,
                seen_revision,
            };
            let reply = self.commit(&DocumentCommand::Evacuate(order)).await;
            match reply {
                Ok(DocumentReply::Evacuation(EvacuationOutcome::InEffect(state))) => {
                    let revision = state.revision;
                    let detail = format!("hall={hall} evacuated={evacuated} revision={revision}");
                    self.record(EventCode::EvacuationAccepted, &detail);
                    return Ok(());
                }
                // This host had not applied the newest order for the hall yet, or was suspended
                // since it received this one.
                Ok(DocumentReply::Evacuation(EvacuationOutcome::Outdated(state)))
                    if admitted.is_current(BootInstant::now()) =>
                {
                    seen_revision = state.revision;
                }
                _ => break,
            }
        }
        let detail = format!("hall={hall} evacuated={evacuated} outcome=unknown");
        self.record(EventCode::EvacuationFailed, &detail);
        Err(DirectoryError::NoQuorum)
    }

    /// Writes to the log the held requests that it lacks, if this host leads.
    pub(crate) async fn persist_held_requests(&self) {
        let status = self.shared.replica.status();
        if status.leader != Some(status.id) {
            return;
        }
        // A control host that speaks only message version 1 cannot decode this command and would
        // skip it. Held requests still reach all hosts by messages, and are written to the log once
        // that host is replaced.
        if self.lock().has_v1_control() {
            return;
        }
        let known = self.lock().suspects.all_records(Instant::now());
        let missing = self.shared.machine.missing_from_log(known);
        if !missing.is_empty() {
            let detail = format!("requests={}", missing.len());
            self.persist(&DocumentCommand::Hold(missing), &detail).await;
        }
        // A control host of an earlier build would skip the command.
        if !self.lock().all_controls_support(MessageVersion::V8) {
            return;
        }
        let missing = self.parts_missing_from_log();
        if !missing.is_empty() {
            let detail = format!("parts={}", missing.len());
            self.persist(&DocumentCommand::HoldParts(missing), &detail)
                .await;
        }
    }

    /// Commits what is held. If that failed, the next check retries it, unless the command was
    /// committed nevertheless.
    async fn persist(&self, command: &DocumentCommand, content: &str) {
        if let Err(error) = self.commit(command).await {
            let detail = format!("{content} cause={error}");
            self.record(EventCode::HoldFailed, &detail);
        }
    }

    /// Commits a command, here or through the leader, within a timeout that depends on its size.
    pub(super) async fn commit(
        &self,
        command: &DocumentCommand,
    ) -> Result<DocumentReply, DirectoryError> {
        let bytes = postcard::to_stdvec(command).map_err(|_| DirectoryError::NoQuorum)?;
        let reply_bytes = match command {
            DocumentCommand::Put(_)
            | DocumentCommand::Evacuate(_)
            | DocumentCommand::Hold(_)
            | DocumentCommand::HoldParts(_)
            | DocumentCommand::Rollout(_) => 0,
            DocumentCommand::Read => self
                .current_document()
                .map_or(0, |current| current.body().len()),
        };
        let length = bytes.len() + reply_bytes;
        let transferred = bytes.len() * COMMAND_CROSSINGS + reply_bytes;
        let transfer_time = Duration::from_secs_f64(transferred as f64 / MIN_BYTES_PER_S);
        let timeout_total = self.shared.timing.commit_timeout + transfer_time;
        let attempt_timeout = match length <= MAX_SMALL_COMMAND_BYTES {
            true => ATTEMPT_TIMEOUT,
            false => timeout_total,
        };
        let started = Instant::now();
        while let Some(remaining) = timeout_total.checked_sub(started.elapsed()) {
            let remaining = remaining.min(attempt_timeout);
            let reply = match timeout(remaining, self.commit_once(&bytes, remaining)).await {
                Ok(Some(reply)) => postcard::from_bytes(&reply).ok(),
                _ => None,
            };
            if let Some(reply) = reply {
                return Ok(reply);
            }
            sleep(LEADER_RETRY_DELAY).await;
        }
        Err(DirectoryError::NoQuorum)
    }

    // Every command may be committed twice: a second put of the same version changes nothing, and
    // neither does an order for a hall that is already in the ordered state.
    async fn commit_once(&self, bytes: &[u8], call_timeout: Duration) -> Option<Vec<u8>> {
        match self.shared.replica.propose(bytes.to_vec()).await {
            Ok(reply) => return Some(reply),
            Err(ProposeError::NotLeader { .. }) => {}
            Err(_) => return None,
        }
        let leader = self.leader_address()?;
        let request = DirectoryCall::Command(bytes.to_vec());
        match call(&self.shared.identity, leader, &request, call_timeout).await {
            Ok(DirectoryReply::Command(reply)) => Some(reply),
            _ => None,
        }
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let status = self.shared.replica.status();
        let leader = status.leader.filter(|id| *id != status.id)?;
        status.members.find(leader).map(|member| member.peer)
    }
}
