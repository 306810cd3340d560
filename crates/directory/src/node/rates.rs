//! The rates that targets named to entry hosts, which a control host passes on.

use std::time::SystemTime;

use linnet_clock::BootInstant;
use linnet_rate::{IncarnationEffect, RateObservation};

use super::{DirectoryNode, NodeState};

impl NodeState {
    fn note_starts(&mut self, now: BootInstant) {
        let unix_ms = unix_ms();
        let named: Vec<String> = self.rates.limits().map(|(id, _)| id.to_owned()).collect();
        for id in named {
            let Some(born) = self.registry.born_of(&id) else {
                continue;
            };
            if self.rates.record_incarnation(&id, born, unix_ms, now) == IncarnationEffect::Retained
            {
                self.rates.republish(&id, now);
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

impl DirectoryNode {
    /// Takes what targets said of their rates, and tells the others what is news to them.
    pub(crate) fn take_rates(&self, words: &[RateObservation]) {
        if words.is_empty() {
            return;
        }
        let now = BootInstant::now();
        let mut news = false;
        {
            let mut state = self.lock();
            for word in words {
                news |= state.rates.relay(word, now);
            }
        }
        if news {
            self.wake();
        }
    }

    /// Forgets rates of which nothing was heard for long, and those that a former start of a target named. What a
    /// present start named is told again: others forgot it with the former one.
    pub(crate) fn keep_rates(&self) {
        let mut state = self.lock();
        if state.rates.is_empty() {
            return;
        }
        let now = BootInstant::now();
        state.rates.expire(now);
        let before = state.rates.revision();
        state.note_starts(now);
        let news = state.rates.revision() > before;
        drop(state);
        if news {
            self.wake();
        }
    }
}
