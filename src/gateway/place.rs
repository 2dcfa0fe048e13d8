//! What a request holds at engines while it is served.

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

/// Time in which freed memory is given up; it lapses by itself later.
const FREE_TIME: Duration = Duration::from_millis(500);

/// Longest wait for an engine that asked for a pause; memory that is not taken lapses by itself in
/// about that time.
const MOST_FREE_WAIT: Duration = Duration::from_secs(5);

/// A request's place at an engine, counted until it is dropped.
#[derive(Debug)]
pub struct Slot {
    gateway: Rc<Gateway>,
    engine: UpstreamId,
    backlog: Duration,
    late: Duration,
    _occupied: InFlight,
}

impl Slot {
    /// Takes a place for a request that is read in `reading` and served with `urgency`.
    pub fn new(gateway: &Rc<Gateway>, target: &Rc<Target>, reading: Duration, urgency: u8) -> Self {
        let engine = target.entry.id.clone();
        let (backlog, late) = match urgency < placement::URGENCY_LATE {
            true => (reading, Duration::ZERO),
            false => (Duration::ZERO, reading),
        };
        gateway.board.borrow_mut().change(&engine, |load| {
            load.running += 1;
            load.backlog += backlog;
            load.late_backlog += late;
        });
        let gateway = Rc::clone(gateway);
        Slot {
            gateway,
            engine,
            backlog,
            late,
            _occupied: target.occupy(),
        }
    }

    /// Notes that the prompt has been read.
    pub fn end_reading(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let late = std::mem::take(&mut self.late);
        self.gateway
            .board
            .borrow_mut()
            .change(&self.engine, |load| {
                load.backlog = load.backlog.saturating_sub(backlog);
                load.late_backlog = load.late_backlog.saturating_sub(late);
            });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end_reading();
        self.gateway
            .board
            .borrow_mut()
            .change(&self.engine, |load| {
                load.running = load.running.saturating_sub(1);
            });
    }
}

/// Memory that was read ahead; freed at its engine unless it was taken.
#[derive(Debug)]
pub struct Prefilled {
    /// Gateway.
    pub gateway: Rc<Gateway>,
    /// Memory.
    pub handle: Handle,
    /// Engine that holds it.
    pub prefill_engine: Rc<Target>,
    /// Whether another engine has taken it.
    pub is_taken: bool,
}

impl Drop for Prefilled {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let (prefill_engine, path) = (
            Rc::clone(&self.prefill_engine),
            egress::handle_path(&self.handle),
        );
        task::spawn_local(async move {
            if let Some(Unavailability::Paused(left)) =
                prefill_engine.unavailability(Instant::now())
            {
                time::sleep(left.min(MOST_FREE_WAIT)).await;
            }
            let until = Instant::now() + FREE_TIME;
            let freed =
                exchange::call_own(&gateway, &prefill_engine, Method::DELETE, &path, until).await;
            let status = freed.map(|answer| answer.head.status);
            log::debug!(upstream:% = prefill_engine.entry.id, path:% = path, freed:? = status; "handle freed");
        });
    }
}
