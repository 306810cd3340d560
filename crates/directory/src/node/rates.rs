//! The rates that targets named to entry hosts, which a control host passes on.

use linnet_clock::BootInstant;
use linnet_rate::RateWord;

use super::DirectoryNode;

impl DirectoryNode {
    /// Takes what targets said of their rates, and tells the others what is news to them.
    pub(crate) fn take_rates(&self, words: &[RateWord]) {
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

    /// Forgets rates of which nothing was heard for long.
    pub(crate) fn expire_rates(&self) {
        let mut state = self.lock();
        if !state.rates.is_empty() {
            state.rates.expire(BootInstant::now());
        }
    }
}
