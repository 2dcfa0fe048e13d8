//! Which client accounts are above their share of a service whose room is short.
//!
//! Each host counts the work that accounts offer and the work that is served to them, decayed over
//! some seconds. Datagrams carry the sums of a few heavy accounts by name and of all others as one, so
//! that the sums cover all hosts at a cost that doesn't grow with the number of accounts. The share of
//! an account is the max-min fair one: what light accounts leave is divided among the heavy ones.
//!
//! Pure: no clock and no network; times are passed in.

mod decay;
mod level;

pub use self::decay::Decay;
pub use self::level::level;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::gossip;
use crate::id::AccountDigest;
use crate::id::AccountId;
use crate::id::HostId;

/// Time in which work that was offered or served loses half of its weight; bursts of callers last
/// some seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of accounts that one host names in its sums.
pub const MAX_NAMED: usize = 8;
/// Maximum number of accounts that a host counts by name; the lightest ones yield.
const MAX_COUNTED: usize = 1024;
/// Age at which the sums of a peer expire; peers send theirs several times within it.
const PEER_TTL: Duration = Duration::from_secs(2);
/// Interval at which the level is computed anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum ratio of served work to the level at which an account counts as above its share; leaves
/// room for sums that are some hundred milliseconds old.
const MIN_EXCESS: f64 = 1.2;
/// Maximum decayed work of one account at one host, in seconds; more than hundreds of engines do
/// within the half-life.
const MAX_WORK_S: f64 = 10_000.0;

/// Work of one account.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Work that its requests asked for, in seconds of an upstream.
    pub offered_s: f64,
    /// Work that was given to them, in seconds of an upstream.
    pub served_s: f64,
}

impl Work {
    fn plus(self, other: Work) -> Work {
        Work {
            offered_s: self.offered_s + other.offered_s,
            served_s: self.served_s + other.served_s,
        }
    }

    /// Returns `true` if a sender can have counted this; a peer of another build may send anything.
    fn is_plausible(self) -> bool {
        let fits = |work_s: f64| (0.0..=MAX_WORK_S).contains(&work_s);
        fits(self.offered_s) && fits(self.served_s)
    }
}

/// Sums of one host for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sums {
    /// Heaviest accounts.
    pub named: Vec<(AccountDigest, Work)>,
    /// Work of all other accounts together.
    pub others: Work,
    /// Number of the other accounts.
    pub other_count: u32,
}

/// Whether an account is above its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It has had no more than its share, or nobody else needs what it had.
    Within,
    /// It has had more than its share, while others were offered less than they asked for.
    Above {
        /// Time after which it has had no more than its share, if it gets nothing meanwhile.
        until_within: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Account {
    offered: Decay,
    served: Decay,
}

/// Work of the accounts of one service.
#[derive(Debug, Default)]
pub struct Ledger {
    own: HashMap<AccountDigest, Account>,
    peers: HashMap<HostId, (Sums, Instant)>,
    totals: Totals,
    refreshed_at: Option<Instant>,
}

/// Work over all hosts.
#[derive(Debug, Default)]
struct Totals {
    named: HashMap<AccountDigest, Work>,
    level_s: f64,
}

/// Returns the digest that identifies an account in datagrams.
pub fn digest(account: &AccountId) -> AccountDigest {
    gossip::digest(account)
}

impl Ledger {
    /// Records a request that asks for `work`; a request that comes back counts again.
    pub fn record_offered(&mut self, account: AccountDigest, work: Duration, now: Instant) {
        self.account(account, now)
            .offered
            .add(work.as_secs_f64(), now);
    }

    /// Records that an upstream takes a request with `work`.
    pub fn record_served(&mut self, account: AccountDigest, work: Duration, now: Instant) {
        self.account(account, now)
            .served
            .add(work.as_secs_f64(), now);
    }

    fn account(&mut self, account: AccountDigest, now: Instant) -> &mut Account {
        if self.own.len() >= MAX_COUNTED && !self.own.contains_key(&account) {
            let offered = |account: &Account| account.offered.value(now);
            let lightest = self
                .own
                .iter()
                .min_by(|(_, one), (_, other)| offered(one).total_cmp(&offered(other)))
                .map(|(digest, _)| *digest);
            if let Some(lightest) = lightest {
                self.own.remove(&lightest);
            }
        }
        self.own.entry(account).or_insert_with(|| Account {
            offered: Decay::new(HALF_LIFE, now),
            served: Decay::new(HALF_LIFE, now),
        })
    }

    fn own_work(&self, now: Instant) -> Vec<(AccountDigest, Work)> {
        let work = self.own.iter().map(|(digest, account)| {
            let work = Work {
                offered_s: account.offered.value(now),
                served_s: account.served.value(now),
            };
            (*digest, work)
        });
        let mut work: Vec<(AccountDigest, Work)> = work.collect();
        work.sort_by(|(_, one), (_, other)| other.offered_s.total_cmp(&one.offered_s));
        work
    }

    /// Returns this host's sums, to be sent to peers.
    pub fn sums(&self, now: Instant) -> Sums {
        let work = self.own_work(now);
        let (named, others) = work.split_at(work.len().min(MAX_NAMED));
        Sums {
            named: named.to_vec(),
            others: others
                .iter()
                .fold(Work::default(), |sum, (_, work)| sum.plus(*work)),
            other_count: others.len() as u32,
        }
    }

    /// Replaces the sums of a peer; returns `false` and ignores them if they are impossible.
    pub fn record_peer(&mut self, host: &HostId, sums: Sums, now: Instant) -> bool {
        let is_plausible = sums.named.len() <= MAX_NAMED
            && sums.others.is_plausible()
            && sums.named.iter().all(|(_, work)| work.is_plausible());
        if is_plausible {
            self.peers.insert(host.clone(), (sums, now));
        }
        is_plausible
    }

    /// Returns whether an account is above its share. Only to be asked where room is short: a service
    /// with idle upstreams takes requests of any account.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::fair::{Ledger, Standing};
    /// let (mut ledger, now) = (Ledger::default(), Instant::now());
    /// let (heavy, light, work) = (1, 2, Duration::from_secs(1));
    /// for _ in 0..9 {
    ///     ledger.record_offered(heavy, work, now);
    ///     ledger.record_served(heavy, work, now);
    /// }
    /// (0..3).for_each(|_| ledger.record_offered(light, work, now));
    /// assert!(matches!(ledger.standing(heavy, now), Standing::Above { .. }));
    /// assert_eq!(ledger.standing(light, now), Standing::Within);
    /// ```
    pub fn standing(&mut self, account: AccountDigest, now: Instant) -> Standing {
        self.refresh(now);
        let Some(work) = self.totals.named.get(&account) else {
            return Standing::Within;
        };
        let excess = work.served_s / self.totals.level_s;
        match excess > MIN_EXCESS {
            true => Standing::Above {
                until_within: HALF_LIFE.mul_f64(excess.log2()),
            },
            false => Standing::Within,
        }
    }

    fn refresh(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REFRESH_INTERVAL;
        if !self.refreshed_at.is_none_or(is_due) {
            return;
        }
        self.refreshed_at = Some(now);
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < PEER_TTL);
        let own = self.own_work(now);
        let mut named: HashMap<AccountDigest, Work> = own.into_iter().collect();
        let (mut others, mut other_count) = (Work::default(), 0);
        for (sums, at) in self.peers.values() {
            let age = now.saturating_duration_since(*at);
            let weight = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
            let scaled = |work: &Work| Work {
                offered_s: work.offered_s * weight,
                served_s: work.served_s * weight,
            };
            for (digest, work) in &sums.named {
                let sum = named.entry(*digest).or_default();
                *sum = sum.plus(scaled(work));
            }
            others = others.plus(scaled(&sums.others));
            other_count = other_count.max(sums.other_count);
        }
        let served: f64 = named.values().map(|work| work.served_s).sum();
        let offered: Vec<f64> = named.values().map(|work| work.offered_s).collect();
        self.totals.level_s = level(
            offered,
            (others.offered_s, other_count as usize),
            served + others.served_s,
        );
        self.totals.named = named;
    }
}
