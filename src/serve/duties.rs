//! Background tasks of an entry process that follow the log, poll and clean up.

use std::sync::Arc;
use std::time::Duration;

use log::warn;

use crate::clock::Clock;
use crate::core::Core;
use crate::duty;
use crate::log::List;
use crate::log::Log;
use crate::once::claim;
use crate::once::ticket;
use crate::order;
use crate::upstream::poll;

/// Interval at which the platform's list of hosts is read.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which lease and orders are checked.
const ORDER_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum wait of a claim writer before it checks the stop flag.
const WRITER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which expired entries are removed from the ledger.
const LEDGER_INTERVAL: Duration = Duration::from_secs(60);

/// Starts the background tasks of an entry process.
pub fn start<C, P>(core: &Arc<Core<C, P>>)
where
    C: Clock + Clone,
    P: Log + List + Clone,
{
    spawn(core, "config", |core| {
        let changed = || core.refresh_directory();
        core.config
            .follow(&core.platform, &core.clock, &core.stop, changed);
    });
    spawn(core, "orders", |core| {
        let changed = || core.apply_orders();
        let replica = core.authority.replica();
        replica.follow(&core.platform, &core.clock, &core.stop, changed);
    });
    spawn(core, "list", |core| every(core, LIST_INTERVAL, read_list));
    spawn(core, "poll", |core| {
        poll::run(&core.table, &core.index, &core.clock, &core.stop);
    });
    spawn(core, "sweep", |core| core.gate.sweep(&core.stop));
    spawn(core, "authority", |core| {
        let mut controller = order::Controller::default();
        every(core, ORDER_INTERVAL, |core| controller.step(core));
    });
    spawn(core, "ledger", |core| {
        every(core, LEDGER_INTERVAL, clean_ledger)
    });
    for shard in 0..core.claim_queues.len() {
        spawn(core, "claims", move |core| {
            let replica = core.claim_queues[shard].replica();
            replica.follow(&core.platform, &core.clock, &core.stop, || {});
        });
        spawn(core, "claim-writer", move |core| write_claims(core, shard));
    }
}

fn spawn<C, P, F>(core: &Arc<Core<C, P>>, name: &str, work: F)
where
    C: Clock + Clone,
    P: Log + List,
    F: FnOnce(&Arc<Core<C, P>>) + Send + 'static,
{
    let core = Arc::clone(core);
    duty::spawn(name, move || work(&core));
}

fn every<C, P, F>(core: &Arc<Core<C, P>>, interval: Duration, mut work: F)
where
    C: Clock + Clone,
    P: Log + List,
    F: FnMut(&Arc<Core<C, P>>),
{
    while !core.stop.asked() {
        work(core);
        core.clock.sleep(interval);
    }
}

fn read_list<C, P>(core: &Arc<Core<C, P>>)
where
    C: Clock + Clone,
    P: Log + List,
{
    match core.platform.hosts() {
        Ok(hosts) => core.take_hosts(hosts),
        Err(cause) => warn!(cause:% = cause; "list of hosts not read"),
    }
}

fn write_claims<C, P>(core: &Arc<Core<C, P>>, shard: usize)
where
    C: Clock + Clone,
    P: Log + List,
{
    let writer = claim::Writer::grouping(core.incarnation, core.settings.peer_listen);
    while !core.stop.asked() {
        core.claim_queues[shard].write_once(&core.platform, writer, WRITER_TIMEOUT);
    }
}

fn clean_ledger<C, P>(core: &Arc<Core<C, P>>)
where
    C: Clock + Clone,
    P: Log + List,
{
    let retention = core.settings.retention.max(ticket::TICKET_TTL) + claim::MAX_CLOCK_SKEW;
    if let Some(oldest) = core.clock.now().checked_sub(retention) {
        core.ledger.forget_before(oldest);
    }
}
