//! An upstream as the gateway uses it: its entry, connections, health and load.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::response::Parts;

use super::exchange::Failure;
use super::health::Health;
use super::pool::Connection;
use super::pool::Pool;
use crate::availability;
use crate::availability::Change;
use crate::availability::Incarnation;
use crate::availability::Incarnations;
use crate::availability::Unavailability;
use crate::fleet::Entry;
use crate::fleet::State;
use crate::gossip;
use crate::id::IncarnationDigest;
use crate::platform::egress;

/// Reason for not sending a request to an upstream whose limit is used up.
const LIMITED: &str = "the upstream's limit is used up";

/// An upstream in use.
#[derive(Debug)]
pub struct Target {
    /// Its entry as last read; a changed entry makes a new target with the same pool.
    pub entry: Entry,
    /// Maximum connections that this host may have open to it.
    pub max_connections: usize,
    incarnation_digest: IncarnationDigest,
    shared: Rc<Shared>,
}

/// State kept across changes of the entry.
#[derive(Debug)]
struct Shared {
    pool: Pool,
    health: RefCell<Health>,
    in_flight: Cell<usize>,
    /// Shared with the targets of earlier entries, which requests may still hold.
    is_leaving: Cell<bool>,
    /// Time of the last exchange that broke off; the engine may have started again since.
    doubted_at: Cell<Option<Instant>>,
    /// Time of the last answer that showed that the engine is the one of its entry.
    proved_at: Cell<Option<Instant>>,
    /// Whether another incarnation has taken its place, which its entry does not say yet.
    is_replaced: Cell<bool>,
    /// Notices received from it.
    incarnation: Arc<Incarnation>,
}

impl Target {
    /// Returns a target for an entry. It takes over the connections of `before` if that is the same
    /// incarnation of the same upstream; `incarnations` holds the notices received earlier.
    pub fn new(
        entry: Entry,
        max_connections: usize,
        before: Option<&Target>,
        incarnations: &Incarnations,
    ) -> Self {
        let same = before.filter(|before| is_same_incarnation(&before.entry, &entry));
        let shared = match same {
            Some(before) => Rc::clone(&before.shared),
            None => Rc::new(Shared {
                pool: Pool::new(entry.address),
                health: RefCell::default(),
                in_flight: Cell::default(),
                is_leaving: Cell::default(),
                doubted_at: Cell::default(),
                proved_at: Cell::default(),
                is_replaced: Cell::default(),
                incarnation: incarnations.get(&entry),
            }),
        };
        let incarnation_digest = gossip::incarnation_digest(&entry.id, entry.started_at);
        let target = Target {
            entry,
            max_connections,
            incarnation_digest,
            shared,
        };
        let is_leaving_by_notice = target.shared.incarnation.leaving_since().is_some();
        if target.entry.state == State::Draining || is_leaving_by_notice {
            target.leave();
        }
        target
    }

    /// Returns the digest of the upstream's incarnation.
    pub fn incarnation_digest(&self) -> IncarnationDigest {
        self.incarnation_digest
    }

    /// Returns `true` if both are the same incarnation of the same upstream.
    pub fn is_same_incarnation(&self, other: &Target) -> bool {
        is_same_incarnation(&self.entry, &other.entry)
    }

    /// Returns `true` if new requests may be sent at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.unavailability(now).is_none()
    }

    /// Returns the reason for which no new requests may be sent at `now`, or `None` if they may.
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        match self.shared.is_leaving.get() {
            true => Some(Unavailability::Leaving),
            false => self.shared.incarnation.unavailability(now),
        }
    }

    /// Applies the notice in the head of a response.
    pub fn apply_notice(&self, head: &Parts, source: &str) {
        let notice = egress::notice(head.status, &head.headers);
        let change = availability::apply_notice(
            &self.entry,
            &self.shared.incarnation,
            &notice,
            source,
            Instant::now(),
        );
        if change == Some(Change::Leaves) {
            self.leave();
        }
    }

    /// Returns the notices received from the upstream.
    pub fn incarnation(&self) -> &Incarnation {
        &self.shared.incarnation
    }

    /// Fails if the upstream takes no requests now.
    fn check_open(&self, admission: Admission<'_>) -> Result<(), Failure> {
        match self.unavailability(Instant::now()) {
            None => Ok(()),
            Some(Unavailability::Leaving) => Err(Failure::Withheld("the upstream leaves")),
            Some(Unavailability::Paused(_)) => {
                Err(Failure::Withheld("the upstream asked for a pause"))
            }
            Some(Unavailability::Limited(_)) => match admission {
                Admission::Request => Err(Failure::Withheld(LIMITED)),
                Admission::Reserved(_) | Admission::Own => Ok(()),
            },
        }
    }

    /// Counts a request that is about to be sent, or fails if the upstream takes none now.
    fn admit(&self, admission: Admission<'_>) -> Result<(), Failure> {
        self.check_open(admission)?;
        let now = Instant::now();
        match admission {
            Admission::Request => {
                let is_allowed = self
                    .shared
                    .incarnation
                    .with_throttle(|throttle| throttle.try_take(now));
                is_allowed.then_some(()).ok_or(Failure::Withheld(LIMITED))
            }
            Admission::Reserved(reservation) => {
                reservation.is_used.set(true);
                Ok(())
            }
            Admission::Own => {
                self.shared
                    .incarnation
                    .with_throttle(|throttle| throttle.take(now));
                Ok(())
            }
        }
    }

    /// Reserves one request within the upstream's limit.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Withheld`] if the upstream takes no requests now.
    pub fn reserve(&self) -> Result<Reservation, Failure> {
        self.admit(Admission::Request)?;
        Ok(Reservation {
            incarnation: Arc::clone(&self.shared.incarnation),
            is_used: Cell::default(),
        })
    }

    /// Records that the upstream is leaving: open requests go on, no new ones are sent.
    pub fn leave(&self) {
        self.shared.is_leaving.set(true);
        self.shared.pool.close_idle();
    }

    /// Records that an exchange broke off: the engine may have started again.
    pub fn doubt(&self, now: Instant) {
        self.shared.doubted_at.set(Some(now));
    }

    /// Records that the engine was the one of its entry after `sent_at`, by an answer received at `now`.
    pub fn trust(&self, sent_at: Instant, now: Instant) {
        self.shared.proved_at.set(Some(now));
        let doubted_at = self.shared.doubted_at.get();
        self.shared
            .doubted_at
            .set(doubted_at.filter(|at| *at > sent_at));
    }

    /// Returns `true` if the engine may have started again since it was last known not to have.
    pub fn is_doubted(&self) -> bool {
        self.shared.doubted_at.get().is_some()
    }

    /// Records whether another incarnation has taken the place of the one in the entry.
    pub fn replace(&self, is_replaced: bool) {
        self.shared.is_replaced.set(is_replaced);
    }

    /// Returns `true` if another incarnation has taken the place of the one in the entry.
    pub fn is_replaced(&self) -> bool {
        self.shared.is_replaced.get()
    }

    /// Returns a connection on which one request may be sent.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::get`] does, or with [`Failure::Withheld`] if the upstream takes no
    /// requests now.
    pub async fn connect(
        &self,
        may_reuse: bool,
        until: Instant,
        admission: Admission<'_>,
    ) -> Result<Connection, Failure> {
        self.check_open(admission)?;
        let connection = self
            .shared
            .pool
            .get(may_reuse, self.max_connections, until)
            .await?;
        // A notice may have arrived while the connection was being opened.
        self.admit(admission)?;
        Ok(connection)
    }

    /// Returns `true` if a request may be sent on a connection that is already open.
    pub fn has_idle_connection(&self, now: Instant) -> bool {
        self.shared.pool.next_opened_at(now).is_some()
    }

    /// Returns `true` if a request would be sent on a connection that was open when the engine was last known to
    /// be the one of its entry, which was read at `read_at`: it has lasted as long as the engine.
    pub fn has_proved_connection(&self, read_at: Option<Instant>, now: Instant) -> bool {
        let known_at = read_at.max(self.shared.proved_at.get());
        let opened_at = self.shared.pool.next_opened_at(now);
        opened_at.is_some_and(|opened_at| Some(opened_at) <= known_at)
    }

    /// Returns a connection to the pool after a response that ended by its own framing.
    pub fn release(&self, connection: Connection, head: &Parts) {
        let closes = head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || self.unavailability(Instant::now()) == Some(Unavailability::Leaving) {
            return;
        }
        self.shared.pool.give_back(connection, keep_alive(head));
    }

    /// Returns the value of the `Host` field for the gateway's own calls.
    pub fn authority(&self) -> HeaderValue {
        HeaderValue::from_str(&self.entry.address.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("upstream"))
    }

    /// Returns the health.
    pub fn health(&self) -> std::cell::RefMut<'_, Health> {
        self.shared.health.borrow_mut()
    }

    /// Returns the number of this host's requests in flight at it.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> InFlight {
        let shared = Rc::clone(&self.shared);
        shared.in_flight.set(shared.in_flight.get() + 1);
        InFlight(shared)
    }

    /// Closes connections that have been idle for too long, and all idle ones if the upstream is
    /// leaving, which another thread may have learned.
    pub fn sweep(&self, now: Instant) {
        if self.unavailability(now) == Some(Unavailability::Leaving) {
            self.shared.pool.close_idle();
        }
        self.shared.pool.sweep(now);
    }
}

/// Reason for which a request is sent within an upstream's limit.
#[derive(Debug, Clone, Copy)]
pub enum Admission<'a> {
    /// A request that waits for its turn.
    Request,
    /// A request whose turn was reserved.
    Reserved(&'a Reservation),
    /// One of the gateway's own calls, which are few: it is counted and doesn't wait.
    Own,
}

/// One request reserved within an upstream's limit; given back unless it is sent.
#[derive(Debug)]
pub struct Reservation {
    incarnation: Arc<Incarnation>,
    is_used: Cell<bool>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_used.get() {
            let now = Instant::now();
            self.incarnation
                .with_throttle(|throttle| throttle.give_back(now));
        }
    }
}

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Rc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}

fn is_same_incarnation(one: &Entry, other: &Entry) -> bool {
    one.started_at == other.started_at && one.address == other.address && one.id == other.id
}

/// Returns the time for which the upstream keeps an idle connection, if it is in whole seconds.
fn keep_alive(head: &Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
