//! A weighted fair queue over accounts, earliest deadline first within an account.
//!
//! Each account has a virtual-time tag that grows by `1 / weight` with each request served; the
//! account with the smallest tag is next. An idle account resumes at the tag served last, so it
//! accumulates no credit.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Instant;

use crate::QueueRule;

/// The increment of the tag for a request of weight 1.
const TAG_INCREMENT: u64 = 1 << 32;

struct QueuedItem<T> {
    rank: (Option<Instant>, u64),
    item: T,
}

impl<T> PartialEq for QueuedItem<T> {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}
impl<T> Eq for QueuedItem<T> {}
impl<T> PartialOrd for QueuedItem<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for QueuedItem<T> {
    // `BinaryHeap` is a max-heap, so the earliest deadline must compare as the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.rank.cmp(&self.rank)
    }
}

struct AccountQueue<T> {
    tag: u64,
    items: BinaryHeap<QueuedItem<T>>,
}

/// The requests that wait for a target of one pool.
pub struct FairQueue<T> {
    rule: QueueRule,
    accounts: HashMap<u32, AccountQueue<T>>,
    ready: BTreeSet<(u64, u32)>,
    served_tag: u64,
    arrivals: u64,
    length: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(rule: QueueRule) -> Self {
        Self {
            rule,
            accounts: HashMap::new(),
            ready: BTreeSet::new(),
            served_tag: 0,
            arrivals: 0,
            length: 0,
        }
    }

    /// Adds a request of an account.
    pub fn push(&mut self, account: u32, deadline: Instant, item: T) {
        // FIFO uses a single queue for all accounts.
        let (account, deadline) = match self.rule {
            QueueRule::Fair => (account, Some(deadline)),
            QueueRule::Fifo => (0, None),
        };
        self.arrivals += 1;
        let queue = self.accounts.entry(account).or_insert(AccountQueue {
            tag: 0,
            items: BinaryHeap::new(),
        });
        if queue.items.is_empty() {
            queue.tag = queue.tag.max(self.served_tag);
            self.ready.insert((queue.tag, account));
        }
        queue.items.push(QueuedItem {
            rank: (deadline, self.arrivals),
            item,
        });
        self.length += 1;
    }

    /// Removes and returns the next request; `weight_of` returns its weight.
    pub fn pop(&mut self, weight_of: impl Fn(&T) -> u32) -> Option<T> {
        let (tag, account) = self.ready.pop_first()?;
        let queue = self.accounts.get_mut(&account)?;
        let item = queue.items.pop()?.item;
        self.length -= 1;
        self.served_tag = self.served_tag.max(tag);
        queue.tag = tag + TAG_INCREMENT / u64::from(weight_of(&item).max(1));
        if queue.items.is_empty() {
            self.remove_idle_account(account);
        } else {
            self.ready.insert((queue.tag, account));
        }
        Some(item)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of queued requests of one account.
    pub fn account_len(&self, account: u32) -> usize {
        self.accounts
            .get(&account)
            .map_or(0, |queue| queue.items.len())
    }

    /// Returns whether the queue is shared by weight.
    pub fn is_fair(&self) -> bool {
        self.rule == QueueRule::Fair
    }

    /// Returns the accounts with queued requests.
    pub fn waiting_accounts(&self) -> impl Iterator<Item = u32> {
        self.ready.iter().map(|(_, account)| *account)
    }

    /// Returns the number of accounts with queued requests.
    pub fn account_count(&self) -> usize {
        self.ready.len()
    }

    // An idle account is retained while its tag is ahead of the served tag; otherwise an account
    // that sends one request at a time would jump the queue. Above the limit, the account is
    // removed in any case, together with all idle accounts whose tag is not ahead.
    fn remove_idle_account(&mut self, account: u32) {
        const MAX_ACCOUNTS: usize = 4_096;
        if self.accounts.len() > MAX_ACCOUNTS {
            let served = self.served_tag;
            self.accounts
                .retain(|_, queue| !queue.items.is_empty() || queue.tag > served);
            self.accounts.remove(&account);
        }
    }
}
