//! Client accounts that compete for a service: what they ask for and get, over all hosts.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use log::info;

use super::Gateway;
use super::call::Call;
use crate::fair;
use crate::fair::Ledger;
use crate::fair::Standing;
use crate::fair::Sums;
use crate::fair::Work;
use crate::gossip;
use crate::gossip::AccountSums;
use crate::gossip::AccountWork;
use crate::id::AccountDigest;
use crate::id::HostId;
use crate::placement::cost;
use crate::upstream::Role;

/// Minimum interval between two datagrams with sums; some of them fit into the half-life.
const SUMS_INTERVAL: Duration = Duration::from_millis(200);
/// Time of an engine for each token that it generates in a batch of some tens of requests.
const DECODE_TIME_PER_TOKEN: Duration = Duration::from_micros(20);
/// Work of a request to a plain service, whose sizes are not known.
const PLAIN_WORK: Duration = Duration::from_millis(10);
/// Minimum interval between two log lines about accounts above their share.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Ledgers of all services, by the digests of their names.
#[derive(Debug, Default)]
pub struct Ledgers {
    by_service: HashMap<u32, Ledger>,
    sums_sent_at: Option<Instant>,
    logged_at: Option<Instant>,
}

/// Returns the work that a request asks for. It is an estimate by sizes alone, so that all hosts count
/// the same wherever the request runs.
pub fn work(call: &Call) -> Duration {
    let Some(prompt) = &call.request.prompt else {
        return PLAIN_WORK;
    };
    let prefill = cost::prefill_time(prompt, prompt.shared_tokens(), Role::Prefill);
    let generated = u32::try_from(prompt.max_generated).unwrap_or(u32::MAX);
    prefill + DECODE_TIME_PER_TOKEN * generated
}

impl Gateway {
    /// Records that a request of an account has arrived.
    pub fn record_offered(&self, call: &Call, now: Instant) {
        self.update_ledger(call, |ledger, account| {
            ledger.record_offered(account, work(call), now);
        });
    }

    /// Records that an upstream has taken a request of an account.
    pub fn record_served(&self, call: &Call, now: Instant) {
        self.update_ledger(call, |ledger, account| {
            ledger.record_served(account, work(call), now);
        });
    }

    fn update_ledger<F>(&self, call: &Call, change: F)
    where
        F: FnOnce(&mut Ledger, AccountDigest),
    {
        if let Some(account) = &call.account {
            let mut ledgers = self.fairness.borrow_mut();
            let ledger = ledgers.by_service.entry(gossip::digest(&call.service));
            change(ledger.or_default(), fair::digest(&account.name));
        }
    }

    /// Returns `true` if the request's account is above its share of the service; the request then
    /// yields to those of others while room is short.
    pub fn is_above_share(&self, call: &Call, now: Instant) -> bool {
        let Some(account) = &call.account else {
            return false;
        };
        let mut ledgers = self.fairness.borrow_mut();
        let ledger = ledgers.by_service.entry(gossip::digest(&call.service));
        let standing = ledger
            .or_default()
            .standing(fair::digest(&account.name), now);
        let Standing::Above { until_within } = standing else {
            return false;
        };
        self.metrics.add("fair_yielded");
        let is_due = |at: Instant| now.saturating_duration_since(at) >= LOG_INTERVAL;
        if ledgers.logged_at.is_none_or(is_due) {
            ledgers.logged_at = Some(now);
            info!(
                part = "fair",
                account:% = account.name,
                service:% = call.service,
                until_within_ms = until_within.as_millis() as u64,
                outcome = "yields";
                "account above its share"
            );
        }
        true
    }

    /// Returns the sums for the next datagram; empty if they were sent shortly before.
    pub fn due_sums(&self, now: Instant) -> Vec<AccountSums> {
        let mut ledgers = self.fairness.borrow_mut();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SUMS_INTERVAL;
        if ledgers.by_service.is_empty() || !ledgers.sums_sent_at.is_none_or(is_due) {
            return Vec::new();
        }
        ledgers.sums_sent_at = Some(now);
        let sums = ledgers
            .by_service
            .iter()
            .map(|(service, ledger)| encode(*service, &ledger.sums(now)));
        sums.collect()
    }

    /// Takes in the sums of a peer; ignores services that this host doesn't know.
    pub fn record_peer_sums(&self, host: &HostId, sums: &[AccountSums], now: Instant) {
        if sums.is_empty() {
            return;
        }
        let catalog = self.catalog();
        let services: Vec<u32> = catalog
            .iter()
            .flat_map(|catalog| catalog.services())
            .map(|service| gossip::digest(&service.name))
            .collect();
        let mut ledgers = self.fairness.borrow_mut();
        for sums in sums.iter().filter(|sums| services.contains(&sums.service)) {
            let ledger = ledgers.by_service.entry(sums.service).or_default();
            if !ledger.record_peer(host, decode(sums), now) {
                self.metrics.add("fair_sums_ignored");
                log::debug!(peer:% = host, part = "fair", outcome = "ignored"; "sums of accounts are impossible");
            }
        }
    }
}

fn encode(service: u32, sums: &Sums) -> AccountSums {
    let micros = |work_s: f64| (work_s * 1e6) as u64;
    let work = |account: AccountDigest, work: &Work| AccountWork {
        account,
        offered_us: micros(work.offered_s),
        served_us: micros(work.served_s),
    };
    AccountSums {
        service,
        named: sums
            .named
            .iter()
            .map(|(digest, own)| work(*digest, own))
            .collect(),
        others: Some(work(0, &sums.others)),
        other_count: sums.other_count,
    }
}

fn decode(sums: &AccountSums) -> Sums {
    let seconds = |micros: u64| micros as f64 / 1e6;
    let work = |sum: &AccountWork| Work {
        offered_s: seconds(sum.offered_us),
        served_s: seconds(sum.served_us),
    };
    Sums {
        named: sums
            .named
            .iter()
            .map(|sum| (sum.account, work(sum)))
            .collect(),
        others: sums.others.as_ref().map(work).unwrap_or_default(),
        other_count: sums.other_count,
    }
}
