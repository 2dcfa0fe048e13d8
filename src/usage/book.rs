//! Counts of this host and those that it collects from others.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::MAX_PENDING;
use super::Windows;
use super::clock::TrueTime;
use super::members::Members;
use crate::gossip;
use crate::id::AccountId;
use crate::id::FencingToken;
use crate::id::HostId;
use crate::id::IncarnationDigest;
use crate::platform::duties::Counts;
use crate::platform::duties::WindowId;

/// Interval at which changed counts are sent while a window lasts; what a host that is killed has
/// counted since is lost.
const MIN_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum bytes per second that a collector receives from all hosts together.
const MAX_COLLECTED_BYTES_PER_S: f64 = 60_000.0;
/// Shares of the margin after a window at which all of its counts are sent, so that some of the
/// datagrams may be lost.
const COMPLETE_SENDS: [f64; 3] = [0.2, 0.5, 0.8];
/// Maximum number of accounts in one datagram, about 20 bytes each.
const MAX_ACCOUNTS: usize = 600;
/// Bytes of an account's count in a datagram, roughly.
const ACCOUNT_BYTES: usize = 20;
/// Number of windows kept although they weren't reported.
const MAX_KEPT: u64 = MAX_PENDING + 2;

#[derive(Debug, Default)]
struct Count {
    value: u64,
    is_sent: bool,
}

#[derive(Debug, Default)]
struct OwnWindow {
    accounts: HashMap<AccountId, Count>,
    complete_sends: usize,
}

/// Counts for certain hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Hosts that collect.
    pub to: Vec<SocketAddr>,
    /// Counts.
    pub counts: gossip::WindowCounts,
}

/// What a host knows before it tries to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Situation {
    /// True time, since the Unix epoch.
    pub now: Duration,
    /// Number of hosts that try before this one.
    pub rank: usize,
    /// Whether counts of a host may still come that was silent.
    pub is_awaiting: bool,
    /// Whether this process shuts down.
    pub is_leaving: bool,
    /// Whether this host announced the newest term.
    pub is_holder: bool,
    /// Whether any host that is heard has announced a term.
    pub has_holder: bool,
    /// Newest window that is known to be reported.
    pub reported: Option<WindowId>,
    /// Whether usage is reported in this deployment.
    pub is_enabled: bool,
}

/// Counts of this host and those that it collects. Times are since boot.
#[derive(Debug)]
pub struct Book {
    windows: Windows,
    time: TrueTime,
    members: Members,
    own: BTreeMap<WindowId, OwnWindow>,
    collected: BTreeMap<WindowId, HashMap<IncarnationDigest, Counts>>,
    reported: Option<WindowId>,
    is_enabled: bool,
    is_leaving: bool,
    collectors: Vec<SocketAddr>,
    sent_at: Duration,
    interval: Duration,
}

impl Book {
    /// Returns the empty book of a host whose wall clock shows `wall_ms` at `boot`.
    pub fn new(host: &HostId, windows: Windows, wall_ms: u64, boot: Duration) -> Self {
        Book {
            windows,
            time: TrueTime::new(wall_ms, boot),
            members: Members::new(host),
            own: BTreeMap::new(),
            collected: BTreeMap::new(),
            reported: None,
            is_enabled: false,
            is_leaving: false,
            collectors: Vec::new(),
            sent_at: boot,
            interval: MIN_INTERVAL,
        }
    }

    /// Returns the windows.
    pub fn windows(&self) -> Windows {
        self.windows
    }

    /// Sets whether the configuration has accounts.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Counts a request that an upstream began to run at `boot`.
    pub fn record_run(&mut self, account: &AccountId, boot: Duration) {
        if !self.is_enabled {
            return;
        }
        let window = self.windows.at(self.time.at(boot));
        let accounts = &mut self.own.entry(window).or_default().accounts;
        let count = match accounts.get_mut(account) {
            Some(count) => count,
            None => accounts.entry(account.clone()).or_default(),
        };
        count.value += 1;
        count.is_sent = false;
    }

    /// Takes in what a peer has sent.
    pub fn record_peer(
        &mut self,
        host: &HostId,
        incarnation: IncarnationDigest,
        from: SocketAddr,
        usage: &gossip::Usage,
        boot: Duration,
    ) {
        self.time.record(incarnation, usage.wall_ms, boot);
        self.members.record(host, from, usage, boot);
        let current = self.windows.at(self.time.at(boot));
        if let Some(reported) = usage.reported.filter(|window| *window <= current) {
            self.set_reported(reported);
        }
        for counts in &usage.windows {
            self.collect(incarnation, counts, current);
        }
    }

    fn collect(
        &mut self,
        incarnation: IncarnationDigest,
        counts: &gossip::WindowCounts,
        current: WindowId,
    ) {
        let is_reported = self.reported.is_some_and(|newest| counts.window <= newest);
        let is_kept = counts.window + MAX_KEPT >= current && counts.window <= current + 1;
        if is_reported || !is_kept {
            return;
        }
        let hosts = self.collected.entry(counts.window).or_default();
        let known = hosts.entry(incarnation).or_default();
        for account in &counts.accounts {
            let count = known.entry(account.account.as_str().into()).or_default();
            *count = account.count.max(*count);
        }
    }

    /// Returns what this host announces to its peers.
    pub fn announcement(&self, wall_ms: u64) -> gossip::Usage {
        gossip::Usage {
            wall_ms,
            fencing_token: self.members.own_token(),
            reported: self.reported,
            is_unavailable: self.members.is_unavailable(),
            windows: Vec::new(),
        }
    }

    /// Compares clocks and members again, and returns the counts that are due to be sent.
    pub fn due(&mut self, wall_ms: u64, boot: Duration) -> Vec<Message> {
        self.time.update(wall_ms, boot);
        let now = self.time.at(boot);
        self.forget(self.windows.at(now));
        self.members.forget(boot);
        let standing = self.members.standing(boot);
        let before = std::mem::replace(&mut self.collectors, standing.collectors);
        if !self.is_enabled {
            return Vec::new();
        }
        let mut messages = Vec::new();
        let added = self.collectors.iter().filter(|to| !before.contains(to));
        let added: Vec<SocketAddr> = added.copied().collect();
        if !added.is_empty() {
            for (window, own) in &self.own {
                messages.extend(encode(*window, own, &added, |_| true));
            }
        }
        let is_due = boot.saturating_sub(self.sent_at) >= self.interval;
        let mut changed = 0;
        for (window, own) in &mut self.own {
            let since_end = now.checked_sub(self.windows.end(*window));
            let margin = self.windows.margin();
            let due = since_end.map_or(0, |since| {
                let sends = COMPLETE_SENDS.iter();
                sends
                    .filter(|share| since >= margin.mul_f64(**share))
                    .count()
            });
            let is_complete = due > own.complete_sends;
            if !is_complete && !is_due {
                continue;
            }
            own.complete_sends = due.max(own.complete_sends);
            let sent = encode(*window, own, &self.collectors, |count| {
                is_complete || !count.is_sent
            });
            for message in &sent {
                changed += message.counts.accounts.len();
            }
            messages.extend(sent);
            for count in own.accounts.values_mut() {
                count.is_sent = true;
            }
        }
        if is_due {
            self.sent_at = boot;
            let bytes = (changed * ACCOUNT_BYTES * standing.hosts) as f64;
            let interval = Duration::from_secs_f64(bytes / MAX_COLLECTED_BYTES_PER_S);
            let max = (self.windows.length() / 2).max(MIN_INTERVAL);
            self.interval = interval.clamp(MIN_INTERVAL, max);
        }
        messages
    }

    /// Forgets windows that are reported, and those too old to be.
    fn forget(&mut self, current: WindowId) {
        let oldest = current.saturating_sub(MAX_KEPT);
        let reported = self.reported;
        let is_kept = |window: WindowId| {
            window >= oldest && reported.is_none_or(|reported| window > reported)
        };
        self.own.retain(|window, _| is_kept(*window));
        self.collected.retain(|window, _| is_kept(*window));
    }

    /// Returns what this host knows before it tries to report.
    pub fn situation(&self, boot: Duration) -> Situation {
        let standing = self.members.standing(boot);
        Situation {
            now: self.time.at(boot),
            rank: standing.rank,
            is_awaiting: standing.is_awaiting,
            is_leaving: self.is_leaving,
            is_holder: standing.is_holder,
            has_holder: standing.has_holder,
            reported: self.reported,
            is_enabled: self.is_enabled,
        }
    }

    /// Returns the counts of all hosts within a window; `None` if none are known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::usage::{Book, Windows};
    /// let windows = Windows::new(Duration::from_secs(5), Duration::from_secs(10));
    /// let mut book = Book::new(&"h1".into(), windows, 12_000, Duration::ZERO);
    /// book.set_enabled(true);
    /// book.record_run(&"desk".into(), Duration::from_secs(1));
    /// assert_eq!(book.totals(2).unwrap()["desk"], 1);
    /// assert_eq!(book.totals(1), None);
    /// ```
    pub fn totals(&self, window: WindowId) -> Option<Counts> {
        let own = self.own.get(&window);
        let collected = self.collected.get(&window);
        if own.is_none() && collected.is_none() {
            return None;
        }
        let mut totals = Counts::new();
        for (account, count) in own.into_iter().flat_map(|own| &own.accounts) {
            *totals.entry(account.clone()).or_default() += count.value;
        }
        for counts in collected.into_iter().flat_map(HashMap::values) {
            for (account, count) in counts {
                *totals.entry(account.clone()).or_default() += count;
            }
        }
        Some(totals)
    }

    /// Records that a window and those before it need no report any more.
    pub fn set_reported(&mut self, window: WindowId) {
        self.reported = self.reported.max(Some(window));
    }

    /// Sets the newest fencing token of this host; `None` if it does not report.
    pub fn set_own_token(&mut self, fencing_token: Option<FencingToken>) {
        let fencing_token = fencing_token.filter(|_| !self.is_leaving);
        self.members.set_own_token(fencing_token);
    }

    /// Leaves the term and the collecting to others, since this process shuts down.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.members.set_own_token(None);
        self.members.set_unavailable(true);
    }

    /// Sets whether this host did not reach the store or the platform lately.
    pub fn set_unavailable(&mut self, is_unavailable: bool) {
        self.members
            .set_unavailable(is_unavailable || self.is_leaving);
    }
}

fn encode<F>(window: WindowId, own: &OwnWindow, to: &[SocketAddr], is_wanted: F) -> Vec<Message>
where
    F: Fn(&Count) -> bool,
{
    if to.is_empty() {
        return Vec::new();
    }
    let wanted = own.accounts.iter().filter(|(_, count)| is_wanted(count));
    let accounts: Vec<gossip::AccountCount> = wanted
        .map(|(account, count)| gossip::AccountCount {
            account: account.to_string(),
            count: count.value,
        })
        .collect();
    let messages = accounts.chunks(MAX_ACCOUNTS).map(|accounts| Message {
        to: to.to_vec(),
        counts: gossip::WindowCounts {
            window,
            accounts: accounts.to_vec(),
        },
    });
    messages.collect()
}

/// Locks a book; a panic elsewhere leaves counts that are still right to report.
pub fn lock(book: &Mutex<Book>) -> MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}
