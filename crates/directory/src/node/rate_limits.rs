//! Rate limits announced by targets, which entry hosts report and control hosts forward.

use std::time::SystemTime;

use linnet_clock::BootInstant;
use linnet_rate::{IncarnationEffect, RateObservation};

use super::{DirectoryNode, NodeState};

impl NodeState {
    fn update_target_starts(&mut self, now: BootInstant) {
        let unix_ms = unix_ms();
        let named: Vec<String> = self
            .rate_limits
            .limits()
            .map(|(id, _)| id.to_owned())
            .collect();
        for id in named {
            let Some(born) = self.registry.born_of(&id) else {
                continue;
            };
            if self.rate_limits.record_incarnation(&id, born, unix_ms, now)
                == IncarnationEffect::Retained
            {
                self.rate_limits.republish(&id, now);
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl DirectoryNode {
    /// Merges rate limits announced by targets, and wakes the pushes if others need them.
    pub(crate) fn merge_rate_limits(&self, observations: &[RateObservation]) {
        if observations.is_empty() {
            return;
        }
        let now = BootInstant::now();
        let mut changed = false;
        {
            let mut state = self.lock();
            for observation in observations {
                changed |= state.rate_limits.relay(observation, now);
            }
        }
        if changed {
            self.notify_subscribers();
        }
    }

    /// Removes rate limits that were not confirmed for a long time, and those of former
    /// incarnations of targets. Rate limits of current incarnations are sent again, since others
    /// removed them together with the former ones.
    pub(crate) fn expire_rate_limits(&self) {
        let mut state = self.lock();
        if state.rate_limits.is_empty() {
            return;
        }
        let now = BootInstant::now();
        state.rate_limits.expire(now);
        let before = state.rate_limits.revision();
        state.update_target_starts(now);
        let changed = state.rate_limits.revision() > before;
        drop(state);
        if changed {
            self.notify_subscribers();
        }
    }
}
