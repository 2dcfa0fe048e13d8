//! Follows the operator's configuration and the upstreams' registry.
//!
//! Each is followed by its own thread; both publish one immutable view to the gateway. Further
//! threads discover peers and exchange suspects with the store. The hosts of a failure domain share
//! the reads: one reads the store and sends the result to the others.

pub mod builds;
mod config;
pub mod hosts;
pub mod patch;
pub mod reader;
mod registry;
pub mod share;
pub mod suspects;
mod view;

pub use self::view::Evidence;
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

/// Starts all threads; returns a receiver of the discovered hosts and the exchange of segments with
/// peers. `suspects` and `builds` hold the channels of the threads that store these.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start<C, K>(
    publisher: &Arc<ViewPublisher>,
    local: hosts::LocalHost,
    suspects: suspects::Channels,
    builds: builds::Channels,
    clock: &C,
    store: &K,
) -> Result<(watch::Receiver<Hosts>, Exchange)>
where
    C: Clock + Clone,
    K: Keyed + Clone,
{
    let mut exchange = Exchange::new();
    let (thread_publisher, thread_clock, thread_store) =
        (Arc::clone(publisher), clock.clone(), store.clone());
    let endpoint = exchange.open(store::CONFIG_TOPIC);
    let host = local.name.clone();
    thread::Builder::new()
        .name("config".into())
        .spawn(move || {
            config::follow(
                &host,
                &thread_publisher,
                &thread_clock,
                &thread_store,
                &endpoint,
            )
        })?;
    let (thread_publisher, thread_clock, thread_store) =
        (Arc::clone(publisher), clock.clone(), store.clone());
    let endpoint = exchange.open(store::UPSTREAM_TOPIC);
    thread::Builder::new()
        .name("registry".into())
        .spawn(move || {
            registry::follow(&thread_publisher, &thread_clock, &thread_store, &endpoint)
        })?;
    let (host, thread_clock, thread_store) = (local.name.clone(), clock.clone(), store.clone());
    thread::Builder::new()
        .name("suspects".into())
        .spawn(move || suspects::follow(&host, &thread_clock, &thread_store, &suspects))?;
    let (host, thread_clock, thread_store) = (local.name.clone(), clock.clone(), store.clone());
    thread::Builder::new()
        .name("builds".into())
        .spawn(move || builds::follow(&host, &thread_clock, &thread_store, &builds))?;
    let (sender, receiver) = watch::channel(Hosts::default());
    let (thread_clock, thread_store) = (clock.clone(), store.clone());
    thread::Builder::new()
        .name("hosts".into())
        .spawn(move || hosts::follow(&local, &thread_clock, &thread_store, &sender))?;
    Ok((receiver, exchange))
}
