//! Proof that the configuration by which keys are served is recent enough, checked before each send.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::info;

use super::Gateway;
use super::account;
use super::account::Freshness;
use super::account::Refusal;
use super::call::Call;
use crate::catalog::Catalog;
use crate::catalog::Version;
use crate::clock::Clock;
use crate::clock::Real;
use crate::follow::ViewPublisher;
use crate::gossip::ConfigProof;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Time after which a refused caller should come back if another host can verify its key.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// The same if no host is known that can: the longest time until a store that is back gets noticed.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum share of the time that a caller has left for which it is asked to wait.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Maximum lines about refused keys logged per second; the others are counted.
const MAX_LINES_PER_S: u32 = 20;

/// State of a host that serves requests with keys.
#[derive(Debug)]
pub struct Keys {
    views: RefCell<Option<Arc<ViewPublisher>>>,
    /// Whether the configuration of a peer was proved recently.
    has_proved_peer: Cell<bool>,
    /// Whether keys were served when that was last logged.
    were_served: Cell<bool>,
    lines: RefCell<Sampler>,
}

impl Default for Keys {
    fn default() -> Self {
        Keys {
            views: RefCell::default(),
            has_proved_peer: Cell::default(),
            were_served: Cell::default(),
            lines: RefCell::new(Sampler::new(MAX_LINES_PER_S)),
        }
    }
}

impl Keys {
    /// Follows the proofs recorded at `views`.
    pub fn follow(&self, views: Arc<ViewPublisher>) {
        *self.views.borrow_mut() = Some(views);
    }

    /// Sets whether the configuration of a peer was proved recently.
    pub fn set_proved_peer(&self, has_proved_peer: bool) {
        self.has_proved_peer.set(has_proved_peer);
    }

    /// Decides whether the line of a refused request is logged.
    pub fn sample_line(&self, now: Instant) -> Verdict {
        self.lines.borrow_mut().judge(now)
    }
}

impl Gateway {
    /// Returns the newest configuration, which the request loop may not have adopted yet, and how
    /// recently it was proved to be the newest.
    pub fn newest_config(&self) -> (Option<Arc<Catalog>>, Freshness) {
        let mut freshness = Freshness {
            age: None,
            max_revocation: self.settings.max_revocation,
        };
        let views = self.keys.views.borrow();
        let Some(views) = views.as_ref() else {
            return (None, freshness);
        };
        let evidence = views.config_evidence();
        // A proof doesn't count after the time from which a peer has served a newer configuration, which
        // a store that was restored from a copy may lack.
        let version = evidence.catalog.as_ref().map_or(0, |own| own.version());
        let announcement = self.announcement.borrow();
        let newer_age = announcement.newer_since(version).map(|at| at.elapsed());
        let now = Real.boot();
        let age = evidence.proved_at.map(|at| now.saturating_sub(at));
        freshness.age = age.map(|age| age.max(newer_age.unwrap_or_default()));
        (evidence.catalog, freshness)
    }

    /// Checks whether a request may be sent to an upstream now. All sends of callers' requests pass
    /// this check.
    ///
    /// # Errors
    ///
    /// Fails if the request's key may have been taken away.
    pub fn check_key(&self, call: &Call) -> Result<(), Refusal> {
        if call.account.is_none() {
            return Ok(());
        }
        let (newest, freshness) = self.newest_config();
        let newest = newest.ok_or(Refusal::Unproved)?;
        let (account, key) = (call.account.as_deref(), call.request.key.as_ref());
        account::recheck(&newest, &call.route, account, key, freshness)
    }

    /// Returns the time after which a caller whose key cannot be verified should come back, with
    /// `left` of its time.
    pub fn key_retry_after(&self, left: Duration) -> Duration {
        let retry_after = match self.keys.has_proved_peer.get() {
            true => RETRY_AFTER,
            false => OUTAGE_RETRY_AFTER,
        };
        retry_after.min(left.mul_f64(MAX_RETRY_AFTER_SHARE))
    }

    /// Returns the age of the proof of this host's configuration, for its peers; `None` if it has no
    /// client accounts.
    pub fn config_proof_age(&self) -> Option<Option<Duration>> {
        let (newest, freshness) = self.newest_config();
        newest?.accounts().map(|_| freshness.age)
    }

    /// Records a peer's proof that its configuration `version` was the newest at `proved_at`, by this
    /// host's clock; a proof of a configuration that this host lacks proves nothing about its own.
    pub fn record_peer_proof(&self, version: Version, proved_at: Duration) {
        let views = self.keys.views.borrow();
        if let Some(views) = views.as_ref().filter(|_| version > 0)
            && views.config_version() >= version
        {
            views.record_config_proof(proved_at);
        }
    }

    /// Updates the gauge of the proof's age, and logs when keys are no longer served and when they are
    /// again.
    pub fn observe_keys(&self) {
        let (newest, freshness) = self.newest_config();
        if newest.is_none_or(|newest| newest.accounts().is_none()) {
            return;
        }
        let age_ms = freshness.age.map_or(-1, |age| age.as_millis() as i64);
        self.metrics.set("account_proof_age_ms", age_ms);
        let are_served = freshness.permits_keys();
        if self.keys.were_served.replace(are_served) != are_served {
            info!(
                served = are_served,
                age_ms = age_ms,
                peer = self.keys.has_proved_peer.get(),
                outcome = "changed";
                "serving of keys changed"
            );
        }
    }
}

/// Returns the proof to send to peers, naming the datagrams of some that need one. `age` is called
/// after these are determined: a peer counts the age from when it sent its datagram.
pub fn config_proof<F>(received: Vec<crate::gossip::DatagramId>, age: F) -> Option<ConfigProof>
where
    F: FnOnce() -> Option<Option<Duration>>,
{
    let age = age()?;
    let is_recent = age.is_some_and(|age| age <= account::MAX_RECENT_AGE);
    let age_ms = age.and_then(|age| u32::try_from(age.as_millis() + 1).ok());
    Some(ConfigProof {
        age_ms: age_ms.unwrap_or(u32::MAX),
        received: if is_recent { received } else { Vec::new() },
    })
}
