//! A queue that shares a pool between accounts by weight, earliest deadline first inside one.
//!
//! Each account has a tag that rises by `1 / weight` with each request served; the account with
//! the least tag is next. An account that was idle starts at the tag served last, so idleness
//! earns nothing.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Instant;

use crate::QueueRule;

/// How much a request of weight 1 raises the tag of its account.
const TAG_UNIT: u64 = 1 << 32;

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
    // `BinaryHeap` gives its greatest, so the earliest deadline must compare as the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.rank.cmp(&self.rank)
    }
}

struct AccountQueue<T> {
    tag: u64,
    items: BinaryHeap<QueuedItem<T>>,
}

/// Requests that wait for a target of one pool.
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
        // By arrival alone there is one common queue.
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

    /// Takes the next request; `weight_of` tells the weight of it.
    pub fn pop(&mut self, weight_of: impl Fn(&T) -> u32) -> Option<T> {
        let (tag, account) = self.ready.pop_first()?;
        let queue = self.accounts.get_mut(&account)?;
        let item = queue.items.pop()?.item;
        self.length -= 1;
        self.served_tag = self.served_tag.max(tag);
        queue.tag = tag + TAG_UNIT / u64::from(weight_of(&item).max(1));
        if queue.items.is_empty() {
            self.forget_idle(account);
        } else {
            self.ready.insert((queue.tag, account));
        }
        Some(item)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of requests of one account that wait.
    pub fn account_len(&self, account: u32) -> usize {
        self.accounts
            .get(&account)
            .map_or(0, |queue| queue.items.len())
    }

    /// Says whether the queue is shared by weight.
    pub fn is_fair(&self) -> bool {
        self.rule == QueueRule::Fair
    }

    /// Returns the accounts that wait.
    pub fn waiting_accounts(&self) -> impl Iterator<Item = u32> {
        self.ready.iter().map(|(_, account)| *account)
    }

    /// Returns the number of accounts that wait.
    pub fn account_count(&self) -> usize {
        self.ready.len()
    }

    // An idle account is kept while its tag is ahead of the others: forgetting it would let an
    // account that asks one at a time jump the queue. With a few thousand kept, old ones go.
    fn forget_idle(&mut self, account: u32) {
        const KEPT_IDLE: usize = 4_096;
        if self.accounts.len() > KEPT_IDLE {
            let served = self.served_tag;
            self.accounts
                .retain(|_, queue| !queue.items.is_empty() || queue.tag > served);
            self.accounts.remove(&account);
        }
    }
}
