//! Faults and when they come, drawn from a seed.

use std::time::Duration;

use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::mortal::CrashMode;
use pistachiohall::standin::fleet::proxy::Link;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::HeadCut;
use pistachiohall::standin::fleet::store::Fault as StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account;

/// Time in which faults begin.
const SPAN: Duration = Duration::from_millis(2500);
/// Longest time that a fault lasts.
const LONGEST: Duration = Duration::from_millis(1200);
/// Seeds from which on upstreams leave.
const FIRST_LEAVING: u64 = 1000;
/// Seeds from which on upstreams speak of themselves in their answers.
const FIRST_NOTICE: u64 = 2000;
/// Seeds from which on a request ends the upstreams that run it.
const FIRST_DEADLY: u64 = 3000;
/// Seeds from which on a prompt block ends the upstreams that generate on it.
const FIRST_DEADLY_BLOCK: u64 = 4000;
/// Seeds from which on an upstream names a limit.
const FIRST_LIMIT: u64 = 5000;
/// Seeds from which on the store is restored from a copy.
const FIRST_RESTORE: u64 = 6000;
/// Seeds from which on upstreams fail in ways that look like refusals or like answers, gateways are killed
/// twice within a second, and callers send heads in two parts.
const FIRST_DECEPTION: u64 = 7000;
/// Sets the draw of revocations apart from that of the other faults.
const REVOCATION_SEED: u64 = 0xacc7;
/// Sets the draw of these apart from that of the other faults.
const DECEPTION_SEED: u64 = 0xface;
/// Time from a kill to the next start, and from a kill to the next one.
const RESTART_DELAY: Duration = Duration::from_millis(100);
const SECOND_KILL: Duration = Duration::from_millis(500);
/// Sets the draw of restores apart from that of the other faults.
const RESTORE_SEED: u64 = 0x2e57;
/// Requests a second that it names.
const LIMITS_PER_S: [&str; 3] = ["1.5", "6", "16.2"];
/// Sets the draw of limits apart from that of the other faults.
const LIMIT_SEED: u64 = 0x11317;
/// Sets the draw of these apart from that of the other faults.
const NOTICE_SEED: u64 = 0x5a1d;
/// Sets the draw of leaving upstreams apart from that of the other faults.
const LEAVE_SEED: u64 = 0x1ea7e;
/// Sets the draw of how upstreams end apart from that of the other faults.
const DEADLY_SEED: u64 = 0xdead;
/// Fewest and most faults of a run.
const FAULTS: std::ops::Range<usize> = 5..12;

/// What is done to the system from outside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A gateway's process is stopped, then continued.
    Freeze(usize),
    /// A gateway's process is killed, then started again.
    Kill(usize),
    /// A gateway is asked to end, then started again.
    Term(usize),
    /// A gateway is asked to read changed settings.
    Reload(usize),
    /// The store has trouble with all.
    Store(StoreFault),
    /// A gateway's link to the store changes.
    StoreLink(usize, Link),
    /// The links to an upstream change.
    Upstream(usize, Link),
    /// An upstream treats requests otherwise.
    Behavior(usize, Behavior),
    /// The operator changes the configuration.
    Configure,
    /// The operator takes a key away from an account.
    TakeKey,
    /// The store forgets its history.
    Compact,
    /// The store is copied, then restored from the copy; the number tells several apart.
    Restore(usize),
    /// An upstream's entry is removed, then written again.
    Lapse(usize),
    /// An upstream leaves for the rest of the run.
    Leave(usize, Departure),
    /// An upstream's answers say that it leaves, for the rest of the run.
    SayLeaving(usize),
    /// An upstream refuses all and asks for a pause.
    AskPause(usize),
}

/// How an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// Its entry says that it drains.
    Drains,
    /// Its entry is removed.
    Removed,
}

/// A fault, when it begins, and when it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// The fault.
    pub fault: Fault,
    /// Begin, from the run's begin.
    pub from: Duration,
    /// End, from the run's begin.
    pub until: Duration,
}

/// Draws the faults of a run, by begin; they come in series and overlap.
pub fn draw(seed: u64, gateways: usize, upstreams: usize) -> Vec<Entry> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(FAULTS);
    let mut entries = Vec::new();
    for _ in 0..count {
        let gateway = random.random_range(0..gateways);
        let upstream = random.random_range(0..upstreams);
        let fault = match random.random_range(0..13) {
            0 => Fault::Freeze(gateway),
            1 => Fault::Kill(gateway),
            2 | 3 => Fault::Term(gateway),
            4 => Fault::Reload(gateway),
            5 => Fault::Store(match random.random_range(0..3) {
                0 => StoreFault::Down,
                1 => StoreFault::Silent,
                _ => StoreFault::LostAnswers,
            }),
            6 => Fault::StoreLink(gateway, link(&mut random)),
            7 | 8 => Fault::Upstream(upstream, link(&mut random)),
            9 | 10 => Fault::Behavior(upstream, manner(&mut random)),
            11 => match random.random_range(0..2) {
                0 => Fault::Configure,
                _ => Fault::Compact,
            },
            _ => Fault::Lapse(upstream),
        };
        let from = SPAN.mul_f64(random.random());
        let until = from + LONGEST.mul_f64(random.random_range(0.1..1.0));
        entries.push(Entry { fault, from, until });
    }
    let leave = leave(seed, upstreams);
    let notice = notice(seed, upstreams);
    entries.extend(leave);
    entries.extend(restores(seed));
    entries.extend(deceptions(seed, gateways, upstreams));
    entries.extend(revocation(seed, gateways));
    // One upstream of each service stays.
    entries.extend(
        notice.filter(|notice| !leave.is_some_and(|leave| is_same_service(&leave, notice))),
    );
    entries.sort_by_key(|entry| entry.from);
    entries
}

/// Draws one or two restores of the store; they may follow one another at once, or overlap.
fn restores(seed: u64) -> Vec<Entry> {
    let mut random = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let count = match seed < FIRST_RESTORE {
        true => 0,
        false => random.random_range(1..3),
    };
    let restore = |number| {
        let from = SPAN.mul_f64(random.random_range(0.0..0.8));
        let until = from + SPAN.mul_f64(random.random_range(0.1..0.8));
        Entry {
            fault: Fault::Restore(number),
            from,
            until,
        }
    };
    (0..count).map(restore).collect()
}

/// Returns whether a run has callers that send heads in two parts.
pub fn has_heads_in_parts(seed: u64) -> bool {
    seed >= FIRST_DECEPTION
}

/// Draws an upstream whose answers deceive, and gateways that are killed twice within a second.
fn deceptions(seed: u64, gateways: usize, upstreams: usize) -> Vec<Entry> {
    if seed < FIRST_DECEPTION {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ DECEPTION_SEED);
    let behavior = match random.random_range(0..6) {
        0 => Behavior::FailWith(408),
        1 => Behavior::FailWith(429),
        2 => Behavior::FailWith(503),
        3 => Behavior::EndlessInterim,
        4 => Behavior::HeadOnly,
        _ => Behavior::CutHead(HeadCut {
            bytes: random.random_range(0..120),
            has_interim: random.random_range(0..2) == 0,
            resets: random.random_range(0..2) == 0,
        }),
    };
    let from = SPAN.mul_f64(random.random());
    let mut entries = vec![Entry {
        fault: Fault::Behavior(random.random_range(0..upstreams), behavior),
        from,
        until: from + LONGEST.mul_f64(random.random_range(0.5..1.0)),
    }];
    let killed = match random.random_range(0..3) {
        0 => 0..gateways,
        1 => {
            let gateway = random.random_range(0..gateways);
            gateway..gateway + 1
        }
        _ => 0..0,
    };
    let first_kill = SPAN.mul_f64(random.random());
    for gateway in killed {
        for from in [first_kill, first_kill + SECOND_KILL] {
            entries.push(Entry {
                fault: Fault::Kill(gateway),
                from,
                until: from + RESTART_DELAY,
            });
        }
    }
    entries
}

/// Draws when a key is taken away, and what keeps hosts from hearing of it for longer than the bound.
fn revocation(seed: u64, gateways: usize) -> Vec<Entry> {
    if !account::has_accounts(seed) {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ REVOCATION_SEED);
    let taken = SPAN.mul_f64(random.random());
    let one = random.random_range(0..gateways);
    let cut = match random.random_range(0..3) {
        0 => Link::Reset,
        1 => Link::NoAnswers,
        _ => Link::Silent,
    };
    let faults = match random.random_range(0..4) {
        0 => vec![Fault::Freeze(one)],
        1 => vec![Fault::StoreLink(one, cut)],
        2 => vec![
            Fault::StoreLink(one, cut),
            Fault::Freeze((one + 1) % gateways),
        ],
        _ => (0..gateways)
            .map(|host| Fault::StoreLink(host, cut))
            .collect(),
    };
    let until = taken + account::MAX_REVOCATION + LONGEST.mul_f64(random.random());
    let from = taken.mul_f64(random.random());
    let take = Entry {
        fault: Fault::TakeKey,
        from: taken,
        until: taken,
    };
    let cuts = faults.into_iter().map(|fault| Entry { fault, from, until });
    cuts.chain([take]).collect()
}

/// Draws the upstream that leaves in some runs; apart from the other faults, so that these stay the
/// same for a seed.
fn leave(seed: u64, upstreams: usize) -> Option<Entry> {
    let mut random = StdRng::seed_from_u64(seed ^ LEAVE_SEED);
    if seed < FIRST_LEAVING || random.random_range(0..3) > 0 {
        return None;
    }
    let departure = match random.random_range(0..2) {
        0 => Departure::Drains,
        _ => Departure::Removed,
    };
    let from = SPAN.mul_f64(random.random());
    Some(Entry {
        fault: Fault::Leave(random.random_range(0..upstreams), departure),
        from,
        until: from,
    })
}

/// Returns whether an upstream leaves and the other one of its service says that it does.
fn is_same_service(leave: &Entry, notice: &Entry) -> bool {
    match (leave.fault, notice.fault) {
        (Fault::Leave(left, _), Fault::SayLeaving(saying)) => left / 2 == saying / 2,
        _ => false,
    }
}

/// Draws the upstream that speaks of itself in some runs.
fn notice(seed: u64, upstreams: usize) -> Option<Entry> {
    let mut random = StdRng::seed_from_u64(seed ^ NOTICE_SEED);
    let upstream = random.random_range(0..upstreams);
    let fault = match random.random_range(0..3) {
        _ if seed < FIRST_NOTICE => return None,
        0 => Fault::SayLeaving(upstream),
        1 => Fault::AskPause(upstream),
        _ => return None,
    };
    let from = SPAN.mul_f64(random.random());
    Some(Entry {
        fault,
        from,
        until: from + LONGEST,
    })
}

/// Draws the upstream that names a limit for the whole run, and the limit.
pub fn limit(seed: u64, upstreams: usize) -> Option<(usize, &'static str)> {
    let mut random = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let limit = LIMITS_PER_S[random.random_range(0..LIMITS_PER_S.len())];
    (seed >= FIRST_LIMIT).then(|| (random.random_range(0..upstreams), limit))
}

/// Returns whether a run has a prompt block that ends upstreams.
pub fn has_deadly_block(seed: u64) -> bool {
    seed >= FIRST_DEADLY_BLOCK
}

/// Draws how upstreams end under a request or a block that ends them, in runs that have one.
pub fn deadly(seed: u64) -> Option<CrashBehavior> {
    let mut random = StdRng::seed_from_u64(seed ^ DEADLY_SEED);
    (seed >= FIRST_DEADLY).then(|| CrashBehavior {
        death: match random.random_range(0..2) {
            0 => CrashMode::Reset,
            _ => CrashMode::Dark,
        },
        back_after: Duration::from_millis(random.random_range(300..2000)),
        keeps_name: random.random_range(0..2) == 0,
        spares_prefill_engines: false,
    })
}

fn link(random: &mut StdRng) -> Link {
    match random.random_range(0..5) {
        0 => Link::Slow(Duration::from_millis(random.random_range(5..120))),
        1 => Link::Reset,
        2 => Link::NoRequests,
        3 => Link::NoAnswers,
        _ => Link::Silent,
    }
}

fn manner(random: &mut StdRng) -> Behavior {
    match random.random_range(0..11) {
        0 => Behavior::Shed,
        1 => Behavior::Fail,
        2 => Behavior::Hang,
        3 => Behavior::Reset,
        4 => Behavior::Foreign,
        5 => Behavior::Unsigned,
        6 => Behavior::Short,
        7 => Behavior::Extra,
        8 => Behavior::Late,
        _ => Behavior::Break(random.random_range(1..4)),
    }
}
