//! Follows the operator's configuration and the upstreams' registry.
//!
//! A thread each; both publish one immutable view to the gateway. A third finds peers. Hosts of a
//! failure domain take turns at the store: one reads and tells the others.

mod config;
pub mod hosts;
pub mod reader;
mod registry;
pub mod share;
pub mod suspects;
mod view;

pub use self::view::Origin;
pub use self::view::View;
pub use self::view::ViewPublisher;

use std::sync::Arc;
use std::thread;

use anyhow::Result;
use tokio::sync::watch;

use self::hosts::Hosts;
use self::share::Exchange;
use crate::clock::Clock;
use crate::log::keyed::Keyed;
use crate::platform::store;

/// Starts all threads; returns where the hosts that were found are told, and the threads' end of
/// the exchange with peers. `suspects` are the ends of the thread that keeps suspects.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start<C, K>(
    board: &Arc<ViewPublisher>,
    own: hosts::LocalHost,
    suspects: suspects::Channels,
    clock: &C,
    store: &K,
) -> Result<(watch::Receiver<Hosts>, Exchange)>
where
    C: Clock + Clone,
    K: Keyed + Clone,
{
    let mut exchange = Exchange::new();
    let (own_board, own_clock, own_store) = (Arc::clone(board), clock.clone(), store.clone());
    let port = exchange.open(store::CONFIG_TOPIC);
    thread::Builder::new()
        .name("config".into())
        .spawn(move || config::follow(&own_board, &own_clock, &own_store, &port))?;
    let (own_board, own_clock, own_store) = (Arc::clone(board), clock.clone(), store.clone());
    let port = exchange.open(store::UPSTREAM_TOPIC);
    thread::Builder::new()
        .name("registry".into())
        .spawn(move || registry::follow(&own_board, &own_clock, &own_store, &port))?;
    let (host, own_clock, own_store) = (own.name.clone(), clock.clone(), store.clone());
    thread::Builder::new()
        .name("suspects".into())
        .spawn(move || suspects::follow(&host, &own_clock, &own_store, &suspects))?;
    let (sender, receiver) = watch::channel(Hosts::default());
    let (own_clock, own_store) = (clock.clone(), store.clone());
    thread::Builder::new()
        .name("hosts".into())
        .spawn(move || hosts::follow(&own, &own_clock, &own_store, &sender))?;
    Ok((receiver, exchange))
}
