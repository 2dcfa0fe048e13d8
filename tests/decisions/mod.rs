//! Decisions, tested without network and clock, each under the load or failure that it handles.

mod account;
mod availability;
mod balance;
mod blame;
mod budget;
mod capacity;
mod catalog;
mod check;
mod delivery;
mod doubt;
mod events;
mod fair;
mod fleet;
mod generators;
mod gossip;
mod inflow;
mod logging;
mod origin;
mod pace;
mod patch;
mod placement;
mod pressure;
mod reassign;
mod share;
mod shutdown;
mod spill;
mod suspicion;
mod target;
mod term;
mod throttle;
mod usage;

use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::upstream::Role;

/// Returns the entry of one incarnation of a plain upstream.
fn entry(started_at: u64, state: State) -> Entry {
    Entry {
        id: "c1".into(),
        started_at,
        service: "desk".into(),
        build: "v1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "derby".into(),
        role: Role::Mixed,
        state,
        slots: 6,
        may_be_withdrawn: false,
        leaves_in: None,
    }
}
