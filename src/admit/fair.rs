//! A queue that serves accounts in proportion to their shares.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::id::AccountId;

/// Ticks of virtual time per unit of cost over share.
const TICKS_PER_COST: f64 = 1024.0;
/// Minimum share; smaller ones count as this.
const MIN_SHARE: f64 = 0.01;

type Key = (u64, u64);

/// Start-time fair queue of items, each with its account.
#[derive(Debug)]
pub struct FairQueue<T> {
    items: BTreeMap<Key, (AccountId, T)>,
    finish_times: HashMap<AccountId, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            items: BTreeMap::new(),
            finish_times: HashMap::new(),
            virtual_time: 0,
            sequence: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item of `account` with a cost, and returns its position in the queue.
    ///
    /// ```
    /// use pistachiohall::admit::fair::FairQueue;
    /// let mut queue = FairQueue::default();
    /// queue.push("a", 1.0, 10.0, 1);
    /// queue.push("a", 1.0, 10.0, 2);
    /// queue.push("b", 1.0, 10.0, 3);
    /// let order: Vec<i32> = std::iter::from_fn(|| queue.pop()).collect();
    /// assert_eq!(order, [1, 3, 2]);
    /// ```
    pub fn push(&mut self, account: &str, share: f64, cost: f64, item: T) -> usize {
        let length = (cost.max(1.0) / share.max(MIN_SHARE) * TICKS_PER_COST) as u64;
        let last = self.finish_times.get(account).copied().unwrap_or(0);
        let start = last.max(self.virtual_time);
        self.finish_times.insert(account.into(), start + length);
        self.sequence += 1;
        let key = (start, self.sequence);
        self.items.insert(key, (account.into(), item));
        self.items.range(..key).count()
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<T> {
        let (key, (_, item)) = self.items.pop_first()?;
        self.virtual_time = self.virtual_time.max(key.0);
        if self.items.is_empty() {
            self.finish_times.clear();
            self.virtual_time = 0;
        }
        Some(item)
    }

    /// Removes and returns all items for which `should_remove` returns `true`, given the number of
    /// remaining items ahead.
    pub fn remove_if<F>(&mut self, mut should_remove: F) -> Vec<T>
    where
        F: FnMut(usize, &T) -> bool,
    {
        let mut position = 0;
        let mut keys = Vec::new();
        for (key, (_, item)) in &self.items {
            match should_remove(position, item) {
                true => keys.push(*key),
                false => position += 1,
            }
        }
        keys.iter()
            .filter_map(|key| self.items.remove(key))
            .map(|(_, item)| item)
            .collect()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns `true` if there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
