//! Shares of client accounts under load, over all hosts.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::fair::Ledger;
use pistachiohall::fair::MAX_NAMED;
use pistachiohall::fair::Standing;
use pistachiohall::fair::Sums;
use pistachiohall::fair::Work;
use pistachiohall::id::AccountDigest;
use pistachiohall::id::HostId;

/// Interval at which hosts exchange their sums.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two steps of a load.
const STEP: Duration = Duration::from_millis(100);
/// Work of one request.
const WORK: Duration = Duration::from_millis(10);

fn is_above(ledger: &mut Ledger, account: AccountDigest, now: Instant) -> bool {
    ledger.standing(account, now) != Standing::Within
}

/// Hosts before one service that serves at most `room` requests in each step.
struct Site {
    hosts: Vec<Ledger>,
    now: Instant,
    room: usize,
    served: HashMap<AccountDigest, usize>,
    steps: usize,
}

impl Site {
    fn new(hosts: usize, room: usize) -> Self {
        Site {
            hosts: (0..hosts).map(|_| Ledger::default()).collect(),
            now: Instant::now(),
            room,
            served: HashMap::new(),
            steps: 0,
        }
    }

    /// Offers requests of accounts in one step, in another order each time; hosts ask for an account's
    /// standing only once half of the room is taken.
    fn step(&mut self, requests: &[AccountDigest]) {
        let mut left = self.room;
        self.steps += 1;
        for index in 0..requests.len() {
            let account = &requests[(index + self.steps * 17) % requests.len()];
            let count = self.hosts.len();
            let host = &mut self.hosts[(index + self.steps) % count];
            host.record_offered(*account, WORK, self.now);
            let is_short = left <= self.room / 2;
            let is_refused = is_short && is_above(host, *account, self.now);
            if left > 0 && !is_refused {
                left -= 1;
                host.record_served(*account, WORK, self.now);
                *self.served.entry(*account).or_default() += 1;
            }
        }
        self.now += STEP;
    }

    fn exchange(&mut self) {
        let sums: Vec<Sums> = self.hosts.iter().map(|host| host.sums(self.now)).collect();
        for (receiver, host) in self.hosts.iter_mut().enumerate() {
            for (sender, sums) in sums.iter().enumerate() {
                if sender != receiver {
                    let name = HostId::from(format!("h{sender}"));
                    assert!(host.record_peer(&name, sums.clone(), self.now));
                }
            }
        }
    }

    fn run(&mut self, period: Duration, requests: &[AccountDigest]) {
        let until = self.now + period;
        let mut exchanged_at = self.now;
        while self.now < until {
            self.step(requests);
            if self.now - exchanged_at >= EXCHANGE_INTERVAL {
                exchanged_at = self.now;
                self.exchange();
            }
        }
    }

    fn served(&self, account: AccountDigest) -> f64 {
        self.served.get(&account).copied().unwrap_or_default() as f64
    }
}

/// Requests of one step: `heavy` of account 0, interleaved with one of each account from 1 to `light`.
fn flood(heavy: usize, light: u32) -> Vec<AccountDigest> {
    let mut requests: Vec<AccountDigest> = vec![0; heavy];
    for account in 1..=light {
        let at = (account as usize * 7919) % (requests.len() + 1);
        requests.insert(at, account);
    }
    requests
}

#[test]
fn an_account_with_half_of_the_demand_yields_to_light_ones() {
    let mut site = Site::new(73, 30);
    let requests = flood(20, 20);
    site.run(Duration::from_secs(14), &requests);
    let light: Vec<f64> = (1..=20).map(|account| site.served(account)).collect();
    let offered = 140.0;
    for (index, served) in light.iter().enumerate() {
        assert!(*served >= 0.85 * offered, "{index}: {served} of {offered}");
    }
    assert!(site.served(0) >= 0.3 * 140.0 * 20.0, "{}", site.served(0));
}

#[test]
fn many_equal_accounts_are_served_alike() {
    let mut site = Site::new(25, 30);
    let requests = flood(1, 59);
    site.run(Duration::from_secs(14), &requests);
    let served: Vec<f64> = (0..60).map(|account| site.served(account)).collect();
    let mean = served.iter().sum::<f64>() / 60.0;
    assert!(mean >= 0.9 * 140.0 * 30.0 / 60.0, "{mean}");
}

#[test]
fn nobody_is_above_while_room_is_enough() {
    let mut site = Site::new(10, 1000);
    let requests = flood(40, 5);
    site.run(Duration::from_secs(5), &requests);
    let now = site.now;
    assert!(!site.hosts.iter_mut().any(|host| is_above(host, 0, now)));
    assert_eq!(site.served(0), 50.0 * 40.0);
}

#[test]
fn a_host_that_hears_nobody_decides_by_its_own_sums() {
    let (mut host, now) = (Ledger::default(), Instant::now());
    for _ in 0..50 {
        host.record_offered(0, WORK, now);
        host.record_served(0, WORK, now);
        host.record_offered(1, WORK, now);
    }
    assert!(is_above(&mut host, 0, now));
    assert!(!is_above(&mut host, 1, now));
}

#[test]
fn a_restarted_host_learns_the_sums_from_its_peers() {
    let mut site = Site::new(20, 30);
    let requests = flood(40, 20);
    site.run(Duration::from_secs(6), &requests);
    site.hosts[3] = Ledger::default();
    site.exchange();
    let now = site.now;
    assert!(is_above(&mut site.hosts[3], 0, now));
}

#[test]
fn an_account_is_within_its_share_again_after_the_time_it_is_told() {
    let (mut host, now) = (Ledger::default(), Instant::now());
    for _ in 0..90 {
        host.record_offered(0, WORK, now);
        host.record_served(0, WORK, now);
        host.record_offered(1, WORK, now);
    }
    let Standing::Above { until_within } = host.standing(0, now) else {
        panic!("expected an account above its share");
    };
    // The others get what they ask for meanwhile.
    let later = now + until_within;
    for _ in 0..90 {
        host.record_offered(1, WORK, later);
        host.record_served(1, WORK, later);
    }
    assert!(!is_above(&mut host, 0, later));
}

#[test]
fn sums_of_8400_accounts_stay_small() {
    let (mut host, now) = (Ledger::default(), Instant::now());
    for account in 0..8400 {
        host.record_offered(account, WORK, now);
    }
    (0..100).for_each(|_| host.record_offered(8399, WORK, now));
    let sums = host.sums(now);
    assert_eq!(sums.named.len(), MAX_NAMED);
    assert_eq!(sums.named[0].0, 8399);
}

#[test]
fn sums_of_a_silent_peer_expire() {
    let (mut host, now) = (Ledger::default(), Instant::now());
    let heavy = Work {
        offered_s: 9.0,
        served_s: 9.0,
    };
    let sums = Sums {
        named: vec![(0, heavy)],
        ..Sums::default()
    };
    assert!(host.record_peer(&"h1".into(), sums, now));
    (0..500).for_each(|_| host.record_offered(1, WORK, now));
    assert!(is_above(&mut host, 0, now));
    assert!(!is_above(&mut host, 0, now + Duration::from_secs(3)));
}

#[test]
fn impossible_sums_of_a_peer_are_ignored() {
    let (mut host, now) = (Ledger::default(), Instant::now());
    for work_s in [f64::NAN, -1.0, f64::INFINITY, 1e9] {
        let work = Work {
            offered_s: work_s,
            served_s: 1.0,
        };
        let sums = Sums {
            named: vec![(0, work)],
            ..Sums::default()
        };
        assert!(!host.record_peer(&"h1".into(), sums, now), "{work_s}");
    }
    let sums = Sums {
        named: vec![(0, Work::default()); MAX_NAMED + 1],
        ..Sums::default()
    };
    assert!(!host.record_peer(&"h1".into(), sums, now));
}
