//! Reports usage: the host that holds the term settles each final window and reports it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use log::info;
use log::warn;

use super::Book;
use super::MAX_PENDING;
use super::Windows;
use super::book::Situation;
use super::book::lock;
use super::platform::Platform;
use super::settle;
use super::settle::Attempt;
use super::settle::Decision;
use super::settle::Knowledge;
use super::settle::Restore;
use super::settle::Settled;
use crate::clock;
use crate::clock::Clock;
use crate::gateway::record::Metrics;
use crate::id::HostId;
use crate::log::AppendError;
use crate::log::keyed::ConditionError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::platform::duties::Authority;
use crate::platform::duties::Client;
use crate::platform::duties::Counts;
use crate::platform::duties::Outcome;
use crate::platform::duties::WindowId;
use crate::platform::store;
use crate::platform::store::Store;
use crate::term;
use crate::term::Grant;
use crate::term::LeaseState;

/// Interval at which due windows are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that each host waits longer than the one before it in the order, if a window isn't reported:
/// a few announcements of the holder may be lost.
const RANK_DELAY: Duration = Duration::from_millis(1500);
/// Wait after a term was not acquired or the store did not answer.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// Number of attempts after which a term that another host holds is asked for less often: by then an
/// idle one has ended.
const MAX_QUICK_MISSES: u32 = 8;
/// Wait after these attempts.
const IDLE_RETRY: Duration = Duration::from_secs(5);
/// Time after the start of a process in which it learns of its peers.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Time for which a host that did not reach the store or the platform leaves the term to others.
const UNAVAILABLE_FOR: Duration = Duration::from_secs(3);
/// Shortest and longest wait before a report is repeated.
const MIN_REPEAT: Duration = Duration::from_millis(300);
const MAX_REPEAT: Duration = Duration::from_secs(2);
/// Number of unanswered reports after which the term is left to another host.
const MAX_UNANSWERED: u32 = 5;
/// Number of lease durations after which a term that was left may have been taken.
const YIELD_LEASES: u32 = 3;
/// Share of the platform's rate that reports may use.
const RATE_SHARE: f64 = 0.5;
/// Status of a call that came too fast.
const STATUS_TOO_MANY: u16 = 429;

/// Settings of the duty.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of this host.
    pub host: HostId,
    /// Duration of the lease.
    pub lease: Duration,
    /// Number of calls per second that the platform takes from all hosts together.
    pub max_calls_per_s: f64,
}

/// Reports usage while this host holds the term.
#[derive(Debug)]
pub struct Reporter<P> {
    config: Config,
    windows: Windows,
    book: Arc<Mutex<Book>>,
    platform: P,
    metrics: Arc<Metrics>,
    lease: LeaseState,
    settled: Option<Settled>,
    attempts: BTreeMap<WindowId, Attempt>,
    restore: Restore,
    /// Time since boot at which this process knows its peers.
    ready_at: Option<Duration>,
    /// Number of times in a row that the term was not acquired.
    misses: u32,
    /// First window of which this process saw the start.
    first: Option<WindowId>,
    /// Newest window that needs no report any more.
    done: Option<WindowId>,
    /// Time since boot before which nothing is tried.
    waits_until: Duration,
    /// Time since boot before which the term is left to others, however idle they are.
    yields_until: Duration,
    unavailable_until: Option<Duration>,
    /// Number of failed reports of the current window in a row.
    failures: u32,
    calls: u32,
}

/// Starts the background thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C>(
    config: Config,
    book: Arc<Mutex<Book>>,
    platform: Client,
    metrics: &Arc<Metrics>,
    clock: &C,
    store: &Store,
) -> Result<()>
where
    C: Clock + Clone,
{
    let (clock, store) = (clock.clone(), store.clone());
    let started_at = clock::wall_ms(&clock);
    let mut reporter = Reporter::new(config, book, platform, Arc::clone(metrics), started_at);
    thread::Builder::new().name("usage".into()).spawn(move || {
        loop {
            clock.sleep(CHECK_INTERVAL);
            reporter.step(&clock, &store);
        }
    })?;
    Ok(())
}

impl<P> Reporter<P>
where
    P: Platform,
{
    /// Returns the reporter of a process started at `started_at` in Unix milliseconds.
    pub fn new(
        config: Config,
        book: Arc<Mutex<Book>>,
        platform: P,
        metrics: Arc<Metrics>,
        started_at: u64,
    ) -> Self {
        let windows = lock(&book).windows();
        let lease = LeaseState::new(term::USAGE, config.host.clone(), started_at, config.lease);
        Reporter {
            config,
            windows,
            book,
            platform,
            metrics,
            lease,
            settled: None,
            attempts: BTreeMap::new(),
            restore: Restore {
                era: store::FIRST_ERA,
                learned_at: Duration::ZERO,
            },
            ready_at: None,
            misses: 0,
            first: None,
            done: None,
            waits_until: Duration::ZERO,
            yields_until: Duration::ZERO,
            unavailable_until: None,
            failures: 0,
            calls: 0,
        }
    }

    /// Reports windows that are due, if this host is the one to do so.
    pub fn step<C, K>(&mut self, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let boot = clock.boot();
        self.lease.record_era(store.newest_era(), boot);
        let situation = lock(&self.book).situation(boot);
        self.record_era(store.newest_era(), situation.now);
        if !situation.is_enabled || situation.is_leaving {
            return;
        }
        self.first.get_or_insert(self.windows.at(situation.now));
        self.done = self.done.max(situation.reported);
        let ready_at = *self.ready_at.get_or_insert(boot + LEARNING_TIME);
        if self.unavailable_until.is_some_and(|until| boot >= until) {
            self.unavailable_until = None;
            lock(&self.book).set_unavailable(false);
        }
        let waits_until = ready_at.max(self.waits_until).max(self.yields_until);
        if boot < waits_until || !self.may_try(&situation) {
            return;
        }
        let Some(grant) = self.lease.acquire(clock, store) else {
            self.misses += 1;
            self.waits_until = boot
                + match self.misses > MAX_QUICK_MISSES {
                    true => IDLE_RETRY,
                    false => STORE_RETRY,
                };
            match self.lease.has_store_failed() {
                true => self.leave_to_others(boot),
                false => lock(&self.book).set_own_token(None),
            }
            return;
        };
        self.misses = 0;
        lock(&self.book).set_own_token(Some(grant.fencing_token));
        while let Some(window) = self.next_window(&situation) {
            if clock.boot() >= grant.expires_at || !self.handle(window, grant, clock, store) {
                return;
            }
        }
    }

    fn record_era(&mut self, era: crate::id::Era, now: Duration) {
        if era > self.restore.era {
            self.restore = Restore {
                era,
                learned_at: now,
            };
        }
        let is_older = |settled: &Settled| settled.end().era() < era;
        if self.settled.as_ref().is_some_and(is_older) {
            self.settled = None;
        }
    }

    /// Returns `true` if this host is the one that should report now.
    ///
    /// The first host takes the term before a window is due if nobody holds it, since it may have to
    /// wait for an older term to end.
    fn may_try(&self, situation: &Situation) -> bool {
        if !situation.has_holder && situation.rank == 0 && self.unavailable_until.is_none() {
            return true;
        }
        let Some(window) = self.next_window(situation) else {
            return false;
        };
        if situation.is_holder {
            return true;
        }
        let delay = RANK_DELAY * situation.rank as u32;
        self.unavailable_until.is_none() && situation.now >= self.windows.final_at(window) + delay
    }

    /// Returns the oldest window that is final and not reported.
    fn next_window(&self, situation: &Situation) -> Option<WindowId> {
        let last = match situation.is_awaiting {
            true => self.windows.last_overdue(situation.now)?,
            false => self.windows.last_final(situation.now)?,
        };
        let next = self.done.map_or(0, |done| done + 1);
        let oldest = (last + 1).saturating_sub(MAX_PENDING);
        let window = next.max(oldest);
        (window <= last).then_some(window)
    }

    /// Settles and reports a window; returns `true` if the next one may follow.
    fn handle<C, K>(&mut self, window: WindowId, grant: Grant, clock: &C, store: &K) -> bool
    where
        C: Clock,
        K: Keyed,
    {
        let Some(decision) = self.decide(window, clock, store) else {
            self.waits_until = clock.boot() + STORE_RETRY;
            self.leave_to_others(clock.boot());
            return false;
        };
        let counts = match decision {
            Decision::Report(counts) => counts,
            Decision::Skip(reason) => {
                self.metrics.add("usage_windows_skipped");
                warn!(
                    window = window,
                    outcome = "skipped",
                    reason = reason;
                    "window not reported"
                );
                self.finish(window);
                return true;
            }
            Decision::Settle(counts) => {
                if !self.settle(window, &counts, store) {
                    self.waits_until = clock.boot() + MIN_REPEAT;
                    return false;
                }
                counts
            }
        };
        // A host that was suspended must not go on as if no time had passed.
        if clock.boot() >= grant.expires_at {
            return false;
        }
        self.report(window, &counts, grant, clock)
    }

    /// Decides about a window; `None` if the store cannot be read.
    fn decide<C, K>(&mut self, window: WindowId, clock: &C, store: &K) -> Option<Decision>
    where
        C: Clock,
        K: Keyed,
    {
        if self.settled.is_none() {
            match store.newest(store::USAGE_TOPIC) {
                Ok(changes) => self.settled = Some(Settled::read(changes)),
                Err(cause) => {
                    warn!(
                        dependency = "store",
                        outcome = "unread",
                        cause:% = cause;
                        "settled usage not read"
                    );
                    return None;
                }
            }
        }
        let now = lock(&self.book).situation(clock.boot()).now;
        self.record_era(store.newest_era(), now);
        let settled = self.settled.as_ref()?;
        let is_own = self.first.is_some_and(|first| window >= first);
        let counted = lock(&self.book).totals(window);
        let counted = counted.or_else(|| is_own.then(Counts::new));
        let knowledge = Knowledge {
            final_at: self.windows.final_at(window),
            attempted: self.attempts.get(&window),
            counted: counted.as_ref(),
        };
        Some(settled.decide(window, &knowledge, self.restore))
    }

    /// Settles a window in the store; returns `true` if the store confirmed it.
    fn settle<K>(&mut self, window: WindowId, counts: &Counts, store: &K) -> bool
    where
        K: Keyed,
    {
        let Some(settled) = &mut self.settled else {
            return false;
        };
        let record = settle::Record {
            window,
            counts: counts.clone(),
        };
        let value = serde_json::to_vec(&record).expect("settled usage serializes to JSON");
        let key = settle::key(window);
        let pair = Pair {
            key: &key,
            value: &value,
        };
        let end = settled.end();
        let attempt = self.attempts.entry(window).or_insert_with(|| Attempt {
            counts: counts.clone(),
            era: end.era(),
            is_settled: false,
        });
        if !attempt.is_settled {
            attempt.counts = counts.clone();
        }
        let cause = match store.put_at(store::USAGE_TOPIC, pair, end) {
            Ok(position) => {
                attempt.is_settled = true;
                settled.record(record, position);
                return true;
            }
            Err(ConditionError::Append(AppendError::Refused(cause))) => cause,
            // Whether it was written, and what others wrote, is found by reading again.
            Err(error) => {
                self.settled = None;
                error.to_string()
            }
        };
        info!(
            window = window,
            outcome = "unsettled",
            reason:% = cause;
            "window not settled"
        );
        false
    }

    /// Reports settled counts; returns `true` if the platform has them.
    fn report<C>(&mut self, window: WindowId, counts: &Counts, grant: Grant, clock: &C) -> bool
    where
        C: Clock,
    {
        let authority = Authority {
            holder: self.config.host.clone(),
            fencing_token: grant.fencing_token,
        };
        let outcome = self.platform.report_usage(&authority, window, counts);
        self.calls += 1;
        let boot = clock.boot();
        let is_late = self.log_report(window, counts, grant, &outcome, boot);
        match outcome {
            Outcome::Accepted => {
                self.metrics.add("usage_windows_reported");
                if is_late {
                    self.metrics.add("usage_windows_late");
                }
                self.finish(window);
                return true;
            }
            Outcome::Conflict => {
                self.metrics.add("usage_conflicts");
                self.lease.release();
                lock(&self.book).set_own_token(None);
                self.waits_until = boot + STORE_RETRY;
                return false;
            }
            Outcome::Refused(status) if status != STATUS_TOO_MANY && status < 500 => {
                self.metrics.add("usage_windows_refused");
                self.finish(window);
                return true;
            }
            Outcome::Refused(_) => self.failures += 1,
            Outcome::NotSent(_) | Outcome::Unknown(_) => {
                self.failures += 1;
                if self.failures >= MAX_UNANSWERED {
                    self.yield_term(boot);
                }
            }
        }
        self.waits_until = boot + self.repeat_delay();
        false
    }

    /// Logs a call; returns `true` if it was made after the report was due.
    fn log_report(
        &self,
        window: WindowId,
        counts: &Counts,
        grant: Grant,
        outcome: &Outcome,
        boot: Duration,
    ) -> bool {
        let now = lock(&self.book).situation(boot).now;
        let is_late = now > self.windows.due_at(window);
        info!(
            window = window,
            accounts = counts.len(),
            requests = counts.values().sum::<u64>(),
            lease = grant.fencing_token,
            after_ms = now.saturating_sub(self.windows.end(window)).as_millis() as u64,
            calls = self.calls,
            is_late = is_late,
            outcome:? = outcome;
            "window reported"
        );
        is_late
    }

    fn repeat_delay(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(4);
        let delay = (MIN_REPEAT * 2_u32.pow(doublings)).min(MAX_REPEAT);
        let spacing = 1.0 / (self.config.max_calls_per_s * RATE_SHARE).max(0.1);
        delay.max(Duration::from_secs_f64(spacing))
    }

    /// Records that a window needs no report any more.
    fn finish(&mut self, window: WindowId) {
        self.failures = 0;
        self.calls = 0;
        self.done = self.done.max(Some(window));
        self.attempts.retain(|kept, _| *kept > window);
        lock(&self.book).set_reported(window);
    }

    /// Lets other hosts go first for a while; this one goes on trying only as long as it holds the
    /// newest term.
    fn leave_to_others(&mut self, boot: Duration) {
        self.unavailable_until = Some(boot + UNAVAILABLE_FOR);
        lock(&self.book).set_unavailable(true);
    }

    /// Leaves the term to another host, which may reach the platform.
    fn yield_term(&mut self, boot: Duration) {
        self.failures = 0;
        self.lease.release();
        self.yields_until = boot + self.config.lease * YIELD_LEASES;
        self.unavailable_until = Some(self.yields_until);
        let mut book = lock(&self.book);
        book.set_own_token(None);
        book.set_unavailable(true);
        info!(outcome = "yielded", reason = "platform-silent"; "term left to others");
    }
}
