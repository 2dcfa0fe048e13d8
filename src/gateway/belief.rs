//! How old the request loop's beliefs are when it acts on them.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::info;

use super::call::Call;
use super::record::Metrics;
use super::target::Target;
use crate::follow::View;
use crate::follow::ViewPublisher;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Age of the upstreams from which a send is logged; the shortest time in which users want new work
/// at a leaving upstream to end.
const OLD: Duration = Duration::from_secs(2);
/// Sends on old beliefs that are logged in a second.
const OLD_LINES: u32 = 20;
/// Time between a view's publication and the loop's turn from which it is logged.
const LATE: Duration = Duration::from_millis(250);
/// Time between two turns of the loop from which it is logged.
const STILL: Duration = Duration::from_millis(250);

/// Observes the age of beliefs.
#[derive(Debug)]
pub struct AgeObserver {
    metrics: Arc<Metrics>,
    views: RefCell<Option<Arc<ViewPublisher>>>,
    old_sends: RefCell<Sampler>,
}

impl AgeObserver {
    /// Returns an observer that knows of no readings yet.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        AgeObserver {
            metrics,
            views: RefCell::default(),
            old_sends: RefCell::new(Sampler::new(OLD_LINES)),
        }
    }

    /// Follows the readings behind `views`.
    pub fn follow(&self, views: Arc<ViewPublisher>) {
        *self.views.borrow_mut() = Some(views);
    }

    /// Notes that a request is sent to an upstream now.
    pub fn record_send(&self, call: &Call, target: &Target, now: Instant) {
        let views = self.views.borrow();
        let Some(read) = views.as_ref().and_then(|views| views.read().upstreams) else {
            return;
        };
        let age = now.saturating_duration_since(read);
        self.metrics.observe_span("upstreams_age_at_send", age);
        if age < OLD {
            return;
        }
        if let Verdict::Keep(left_out) = self.old_sends.borrow_mut().judge(now) {
            info!(
                request:% = call.request.id,
                upstream:% = target.entry.id,
                age_ms = age.as_millis() as u64,
                left_out = left_out,
                outcome = "sent";
                "sent on an old reading of the upstreams"
            );
        }
    }

    /// Notes that the loop takes a view over now.
    pub fn note_adopted(&self, view: &View, now: Instant) {
        let Some(published) = view.published else {
            return;
        };
        let lag = now.saturating_duration_since(published);
        self.metrics.observe_span("view_lag", lag);
        if lag >= LATE {
            info!(lag_ms = lag.as_millis() as u64, outcome = "in-force"; "view in force late");
        }
    }

    /// Notes that the loop got a turn `late` after it was due.
    pub fn note_turn(&self, late: Duration) {
        self.metrics.observe_span("loop_late", late);
        if late >= STILL {
            info!(late_ms = late.as_millis() as u64, outcome = "late"; "request loop stood still");
        }
    }
}
