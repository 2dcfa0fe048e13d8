//! Age of the request loop's view when it acts on it.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::info;

use super::call::Call;
use super::record::Metrics;
use super::target::Target;
use crate::catalog::Version;
use crate::follow::View;
use crate::follow::ViewPublisher;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Minimum age of the view of the upstreams at which a send is logged; the shortest time within
/// which users want a leaving upstream to get no new work.
const MIN_LOGGED_AGE: Duration = Duration::from_secs(2);
/// Maximum number of sends on an old view that are logged per second.
const MAX_OLD_SENDS_PER_S: u32 = 20;
/// Minimum time from a view's publication to its adoption by the loop at which it is logged.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(250);
/// Minimum delay of the loop's timer at which it is logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(250);

/// Observes the age of views and the delay of the request loop.
#[derive(Debug)]
pub struct AgeObserver {
    metrics: Arc<Metrics>,
    views: RefCell<Option<Arc<ViewPublisher>>>,
    old_sends: RefCell<Sampler>,
}

impl AgeObserver {
    /// Returns an observer that has no views to follow yet.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        AgeObserver {
            metrics,
            views: RefCell::default(),
            old_sends: RefCell::new(Sampler::new(MAX_OLD_SENDS_PER_S)),
        }
    }

    /// Follows the times at which `views` were last read.
    pub fn follow(&self, views: Arc<ViewPublisher>) {
        *self.views.borrow_mut() = Some(views);
    }

    /// Returns the time since which the upstreams may have changed without this host's knowledge; `None` if it is
    /// not known.
    pub fn upstreams_age(&self, now: Instant) -> Option<Duration> {
        let views = self.views.borrow();
        let read = views.as_ref()?.last_read().upstreams?;
        Some(now.saturating_duration_since(read))
    }

    /// Returns the time as of which the upstreams of `view` are known to be the newest; `None` if newer ones were
    /// read or it is not known.
    pub fn upstreams_known_at(&self, view: &View) -> Option<Instant> {
        let views = self.views.borrow();
        let views = views.as_ref()?;
        // The time is read first: the upstreams that it is about were published by then.
        let read = views.last_read().upstreams?;
        views.has_newest_entries(view).then_some(read)
    }

    /// Records that a request is sent to an upstream at `now`.
    pub fn record_send(&self, call: &Call, target: &Target, now: Instant) {
        let Some(age) = self.upstreams_age(now) else {
            return;
        };
        self.metrics.observe_duration("upstreams_age_at_send", age);
        if age < MIN_LOGGED_AGE {
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

    /// Records that the loop, which served by the configuration `previous`, adopts a view at `now`.
    pub fn record_adopted(&self, view: &View, previous: Version, now: Instant) {
        let Some(published) = view.published else {
            return;
        };
        let lag = now.saturating_duration_since(published);
        self.metrics.observe_duration("view_lag", lag);
        let version = view.catalog.as_ref().map_or(0, |catalog| catalog.version());
        if version != previous {
            info!(
                version = version,
                replaced = previous,
                lag_ms = lag.as_millis() as u64,
                outcome = "adopted";
                "requests are decided by another configuration"
            );
        }
        if lag >= MIN_LOGGED_LAG {
            info!(lag_ms = lag.as_millis() as u64, outcome = "in-force"; "view in force late");
        }
    }

    /// Records that the loop's timer fired `late` after it was due.
    pub fn record_delay(&self, late: Duration) {
        self.metrics.observe_duration("loop_late", late);
        if late >= MIN_LOGGED_DELAY {
            info!(late_ms = late.as_millis() as u64, outcome = "late"; "request loop stood still");
        }
    }
}
