//! Roll-outs on a control host: orders of operators, and the next step of each by the counts that
//! entry hosts report.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linnet_rollout::{
    RolloutCause, RolloutCommand, RolloutLine, RolloutOrder, RolloutOutcome, RolloutProgress,
    RolloutRecord, RolloutState, RolloutStep, RolloutTotals, next_step,
};
use linnet_telemetry::EventCode;
use linnet_wire::MessageVersion;
use tokio::time::sleep;

use super::{DirectoryError, DirectoryNode};
use crate::SubscriberReport;
use crate::machine::{DocumentCommand, DocumentReply};

/// How often the leading control host checks whether a roll-out has to advance.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(100);

/// When this control host first saw each roll-out, by service and revision, and how old the
/// roll-out was then.
#[derive(Default)]
struct RolloutAges(HashMap<(String, u64), (Instant, Duration)>);

impl RolloutAges {
    /// Returns the time since a roll-out was ordered. Adjustments of the system clock after this
    /// host first saw the roll-out do not change it.
    fn age_of(&mut self, service: &str, record: &RolloutRecord) -> Duration {
        let key = (service.to_owned(), record.revision);
        let (seen, age) = self.0.entry(key).or_insert_with(|| {
            let age_ms = unix_ms().saturating_sub(record.started_ms);
            let age = Duration::from_millis(age_ms.min(record.duration_ms));
            (Instant::now(), age)
        });
        *age + seen.elapsed()
    }

    /// Removes the roll-outs that are not in progress.
    fn retain(&mut self, is_in_progress: impl Fn(&str, u64) -> bool) {
        self.0
            .retain(|(service, revision), _| is_in_progress(service, *revision));
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl DirectoryNode {
    /// Begins a roll-out; returns once a majority of control hosts has the order on disk. A
    /// repeated order returns the same record.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::InvalidOrder`], [`DirectoryError::UnknownService`],
    /// [`DirectoryError::RolloutInProgress`], [`DirectoryError::OrderOutdated`] and
    /// [`DirectoryError::OutdatedControlHost`] change nothing; [`DirectoryError::NoQuorum`] leaves open whether the order comes into force.
    pub async fn order_rollout(
        &self,
        order: RolloutOrder,
    ) -> Result<RolloutRecord, DirectoryError> {
        let detail = format!(
            "service={} version={:.40} duration_ms={}",
            order.service.escape_default(),
            order.version.escape_default(),
            order.duration_ms
        );
        let outcome = self.try_order(order).await;
        let (code, end) = match &outcome {
            Ok(record) => (
                EventCode::RolloutAccepted,
                format!("revision={} state={}", record.revision, record.state),
            ),
            Err(error) => (EventCode::RolloutRefused, format!("cause={error}")),
        };
        self.record(code, &format!("{detail} {end}"));
        outcome
    }

    async fn try_order(&self, order: RolloutOrder) -> Result<RolloutRecord, DirectoryError> {
        order.check().map_err(DirectoryError::InvalidOrder)?;
        self.admit_order()?;
        let current = self.current_document().ok_or(DirectoryError::NoQuorum)?;
        if !(self.shared.parser.services)(current.body()).contains(&order.service) {
            return Err(DirectoryError::UnknownService(order.service));
        }
        if !self.lock().all_controls_support(MessageVersion::V3) {
            return Err(DirectoryError::OutdatedControlHost);
        }
        let slots = self.lock().registry.slots_by_version(&order.service);
        let former = slots.into_keys().filter(|one| *one != order.version);
        let command = RolloutCommand::Start {
            former: former.collect(),
            order,
            now_ms: unix_ms(),
        };
        match self.commit_rollout(command).await? {
            RolloutOutcome::Newest(record) => record.ok_or(DirectoryError::NoQuorum),
            RolloutOutcome::InProgress(other) => {
                Err(DirectoryError::RolloutInProgress(other.version))
            }
        }
    }

    /// Returns the newest roll-out of a service, after a quorum round that began with this call.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NoQuorum`], [`DirectoryError::OutdatedControlHost`].
    pub async fn read_rollout(
        &self,
        service: &str,
    ) -> Result<Option<RolloutRecord>, DirectoryError> {
        if !self.lock().all_controls_support(MessageVersion::V3) {
            return Err(DirectoryError::OutdatedControlHost);
        }
        let service = service.to_owned();
        match self
            .commit_rollout(RolloutCommand::Query { service })
            .await?
        {
            RolloutOutcome::Newest(record) => Ok(record),
            RolloutOutcome::InProgress(record) => Ok(Some(record)),
        }
    }

    /// Ends a roll-out on an operator's order, so that its version gets no requests; returns
    /// whether one was in progress.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::OrderOutdated`], [`DirectoryError::NoQuorum`].
    pub async fn abort_rollout(&self, service: &str) -> Result<bool, DirectoryError> {
        self.admit_order()?;
        let known = self.rollouts();
        let Some(record) = known.newest(service).filter(|one| one.is_in_progress()) else {
            return Ok(false);
        };
        self.apply_step(service, record, RolloutStep::Revert(RolloutCause::Operator))
            .await?;
        Ok(true)
    }

    /// Returns all recorded roll-outs, for operators.
    pub fn rollout_lines(&self) -> Vec<RolloutLine> {
        let rollouts = self.rollouts();
        let state = self.lock();
        let services = rollouts.all_newest().map(|(service, _)| service);
        let lines = services.flat_map(|service| {
            let records = rollouts.history(service).iter();
            let line = |record: &RolloutRecord| {
                RolloutLine::new(service, record, &state.evidence.totals(service, record))
            };
            records.map(line).collect::<Vec<RolloutLine>>()
        });
        lines.collect()
    }

    /// Adds the counts for roll-outs that a subscriber reported.
    pub(crate) fn record_counts(&self, report: &SubscriberReport) {
        let Some(entry_host) = report
            .entry_host
            .as_ref()
            .filter(|_| !report.phase_counts.is_empty())
        else {
            return;
        };
        let reporter = format!("{}/{:x}", entry_host.name, report.incarnation);
        self.lock()
            .evidence
            .record_report(&reporter, &report.phase_counts);
    }

    async fn commit_rollout(
        &self,
        command: RolloutCommand,
    ) -> Result<RolloutOutcome, DirectoryError> {
        match self.commit(&DocumentCommand::Rollout(command)).await? {
            DocumentReply::Rollout(outcome) => Ok(outcome),
            _ => Err(DirectoryError::NoQuorum),
        }
    }

    /// Decides the next step of a roll-out.
    fn decide_step(&self, service: &str, record: &RolloutRecord, elapsed: Duration) -> RolloutStep {
        let state = self.lock();
        let slots = state.registry.slots_by_version(service);
        let slots_of = |tested: bool| {
            let selected = slots.iter();
            let selected = selected.filter(|(version, _)| (**version == record.version) == tested);
            selected.map(|(_, slots)| slots).sum()
        };
        let sums: RolloutTotals = state.evidence.totals(service, record);
        next_step(&RolloutProgress {
            record,
            elapsed,
            slots: (slots_of(true), slots_of(false)),
            totals: &sums,
            exposure_limit: state.exposure,
        })
    }

    async fn apply_step(
        &self,
        service: &str,
        record: &RolloutRecord,
        step: RolloutStep,
    ) -> Result<(), DirectoryError> {
        let (service_name, revision) = (service.to_owned(), record.revision);
        let end = |completed, cause| RolloutCommand::Finish {
            service: service_name.clone(),
            revision,
            completed,
            cause,
        };
        let command = match step {
            RolloutStep::NoChange => return Ok(()),
            RolloutStep::SetShare(permille, cause) => RolloutCommand::SetShare {
                service: service_name.clone(),
                expected: (revision, record.step),
                permille,
                cause,
            },
            RolloutStep::Complete(cause) => end(true, cause),
            RolloutStep::Revert(cause) => end(false, cause),
        };
        let outcome = self.commit_rollout(command).await;
        if let Ok(RolloutOutcome::Newest(Some(record))) = &outcome {
            self.record_step(service, record);
        }
        outcome.map(|_| ())
    }

    fn record_step(&self, service: &str, record: &RolloutRecord) {
        let sums = self.lock().evidence.totals(service, record);
        let ((tested, former), (tested_bad, former_bad)) = (sums.responses(), sums.failures());
        let detail = format!(
            "service={service} version={} revision={} permille={} state={} cause={} answers={tested}/{former} failures={tested_bad}/{former_bad}",
            record.version, record.revision, record.permille, record.state, record.cause
        );
        let code = match record.state {
            RolloutState::InProgress => EventCode::RolloutMoved,
            RolloutState::Completed => EventCode::RolloutCompleted,
            RolloutState::Reverted => EventCode::RolloutReverted,
        };
        self.record(code, &detail);
    }
}

/// Advances the roll-outs that are in progress while this control host leads.
pub(super) async fn advance_rollouts(node: DirectoryNode) {
    let mut ages = RolloutAges::default();
    loop {
        sleep(ADVANCE_INTERVAL).await;
        let rollouts = node.rollouts();
        ages.retain(|service, revision| {
            let newest = rollouts.newest(service);
            newest.is_some_and(|one| one.is_in_progress() && one.revision == revision)
        });
        node.lock().evidence.retain_in_progress(&rollouts);
        for (service, record) in rollouts.in_progress() {
            // Every control host records when it first saw the order, since it may lead later.
            let elapsed = ages.age_of(service, record);
            if !node.replica().status().lease_lasts {
                continue;
            }
            let step = node.decide_step(service, record, elapsed);
            // A step that could not be committed is decided again in the next round.
            if let Err(error) = node.apply_step(service, record, step).await {
                let detail = format!("service={service} cause={error}");
                node.record(EventCode::RolloutStepFailed, &detail);
            }
        }
    }
}
