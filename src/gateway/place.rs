//! Resources that a request holds at engines while it is served.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use tokio::task;
use tokio::time;

use super::Gateway;
use super::exchange;
use super::exchange::Handle;
use super::target::InFlight;
use super::target::Target;
use crate::availability::Unavailability;
use crate::id::UpstreamId;
use crate::placement;
use crate::platform::egress;

/// Timeout of freeing a KV handle; the handle expires by itself if this fails.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait for an engine that asked for a pause; a KV handle that is not taken expires by
/// itself in about that time.
const MAX_FREE_DELAY: Duration = Duration::from_secs(5);

/// A request's share of an engine's load, counted until it is dropped.
#[derive(Debug)]
pub struct Slot {
    gateway: Rc<Gateway>,
    engine: UpstreamId,
    backlog: Duration,
    late_backlog: Duration,
    _in_flight: InFlight,
}

impl Slot {
    /// Counts a request whose prefill takes `prefill_time` and that is served with `urgency`.
    pub fn new(
        gateway: &Rc<Gateway>,
        target: &Rc<Target>,
        prefill_time: Duration,
        urgency: u8,
    ) -> Self {
        let engine = target.entry.id.clone();
        let (backlog, late_backlog) = match urgency < placement::URGENCY_LATE {
            true => (prefill_time, Duration::ZERO),
            false => (Duration::ZERO, prefill_time),
        };
        gateway.board.borrow_mut().update_own(&engine, |load| {
            load.running += 1;
            load.backlog += backlog;
            load.late_backlog += late_backlog;
        });
        let gateway = Rc::clone(gateway);
        Slot {
            gateway,
            engine,
            backlog,
            late_backlog,
            _in_flight: target.begin_request(),
        }
    }

    /// Removes the prompt from the backlog once its prefill has ended.
    pub fn end_prefill(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let late_backlog = std::mem::take(&mut self.late_backlog);
        self.gateway
            .board
            .borrow_mut()
            .update_own(&self.engine, |load| {
                load.backlog = load.backlog.saturating_sub(backlog);
                load.late_backlog = load.late_backlog.saturating_sub(late_backlog);
            });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end_prefill();
        self.gateway
            .board
            .borrow_mut()
            .update_own(&self.engine, |load| {
                load.running = load.running.saturating_sub(1);
            });
    }
}

/// KV handle of a prefill that ran ahead of the decode; freed at its engine unless it was taken.
#[derive(Debug)]
pub struct Prefilled {
    /// Gateway.
    pub gateway: Rc<Gateway>,
    /// KV handle.
    pub handle: Handle,
    /// Engine that holds the KV cache behind the handle.
    pub prefill_engine: Rc<Target>,
    /// Whether another engine has taken over the KV cache.
    pub is_taken: bool,
}

impl Drop for Prefilled {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let (engine, path) = (
            Rc::clone(&self.prefill_engine),
            egress::handle_path(&self.handle),
        );
        task::spawn_local(async move {
            if let Some(Unavailability::Paused(left)) = engine.unavailability(Instant::now()) {
                time::sleep(left.min(MAX_FREE_DELAY)).await;
            }
            let until = Instant::now() + FREE_TIMEOUT;
            let freed = exchange::call_own(&gateway, &engine, Method::DELETE, &path, until).await;
            let status = freed.map(|response| response.head.status);
            log::debug!(upstream:% = engine.entry.id, path:% = path, freed:? = status; "KV handle freed");
        });
    }
}
