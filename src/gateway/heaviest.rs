//! Counts of requests for the client accounts with the most of them; the others are counted together.

use std::collections::HashMap;

use crate::id::AccountId;

/// Requests of one or several accounts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// All requests.
    pub requests: u64,
    /// Requests that were not answered by an upstream.
    pub unserved: u64,
}

impl Count {
    fn add(&mut self, other: Count) {
        self.requests += other.requests;
        self.unserved += other.unserved;
    }
}

/// Counts for a bounded number of accounts (the space-saving algorithm): a new account takes the place
/// of the lightest one and inherits its weight, so that heavy accounts stay however many light ones
/// there are.
#[derive(Debug)]
pub struct Heaviest {
    max_accounts: usize,
    counts: HashMap<AccountId, (u64, Count)>,
    others: Count,
}

impl Heaviest {
    /// Returns empty counts for up to `max_accounts` accounts.
    ///
    /// ```
    /// use pistachiohall::gateway::heaviest::Heaviest;
    /// let mut heaviest = Heaviest::new(1);
    /// heaviest.record(&"desk".into(), true);
    /// heaviest.record(&"stall".into(), false);
    /// assert_eq!(heaviest.iter().next().unwrap().0, "stall");
    /// assert_eq!(heaviest.others().requests, 1);
    /// ```
    pub fn new(max_accounts: usize) -> Self {
        Heaviest {
            max_accounts: max_accounts.max(1),
            counts: HashMap::new(),
            others: Count::default(),
        }
    }

    /// Counts a request of `account`.
    pub fn record(&mut self, account: &AccountId, is_served: bool) {
        let count = Count {
            requests: 1,
            unserved: u64::from(!is_served),
        };
        if let Some((weight, known)) = self.counts.get_mut(account) {
            *weight += 1;
            known.add(count);
            return;
        }
        let weight = match self.counts.len() < self.max_accounts {
            true => 0,
            false => self.evict_lightest(),
        };
        self.counts.insert(account.clone(), (weight + 1, count));
    }

    /// Counts the lightest account among the others from now on; returns its weight.
    fn evict_lightest(&mut self) -> u64 {
        let lightest = self.counts.iter().min_by_key(|(_, (weight, _))| *weight);
        let Some(name) = lightest.map(|(name, _)| name.clone()) else {
            return 0;
        };
        self.counts.remove(&name).map_or(0, |(weight, count)| {
            self.others.add(count);
            weight
        })
    }

    /// Returns the accounts that are counted by themselves.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, Count)> {
        self.counts
            .iter()
            .map(|(account, (_, count))| (account, *count))
    }

    /// Returns the count of all other accounts.
    pub fn others(&self) -> Count {
        self.others
    }
}
