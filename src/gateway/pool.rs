//! Connections to one upstream, reused while both sides agree on where the next response starts.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task;
use tokio::task::JoinHandle;
use tokio::time;

use super::exchange::Failure;
use super::inflow;
use super::inflow::HeadMeter;
use super::inflow::Inflow;

/// Share of an upstream's connections that the known hosts use; the rest is for unknown hosts.
const CONNECTION_SHARE: f64 = 0.8;

/// Returns the number of connections that one of `hosts` may open to an upstream that accepts
/// `max_connections` from all of them. An upstream resets those beyond its maximum, also while it has
/// slots for the requests on them.
///
/// ```
/// use pistachiohall::gateway::pool;
/// assert_eq!(pool::connection_share(370, 8), 37);
/// assert!(pool::connection_share(500, 73) * 73 <= 500);
/// assert_eq!(pool::connection_share(500, 1000), 1);
/// ```
pub fn connection_share(max_connections: usize, hosts: usize) -> usize {
    let share = max_connections as f64 * CONNECTION_SHARE / hosts.max(1) as f64;
    (share as usize).max(1)
}

/// Maximum wait for a connection; upstreams are at most a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for one of the connections in use, where all that the host may open are.
const MAX_FREE_WAIT: Duration = Duration::from_millis(300);
/// Age of unacknowledged data at which a connection is closed; below callers' usual deadlines.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum idle connections to one upstream. Upstreams limit the connections of all hosts together,
/// and those of a host that lost power stay open there for a while.
const MAX_IDLE: usize = 8;
/// Time by which an idle connection is closed earlier than the upstream would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

/// Number of open connections, and who waits for one.
#[derive(Debug, Default)]
struct Open {
    count: Cell<usize>,
    /// Notified when a connection was closed or is not in use any more.
    freed: Notify,
}

impl Open {
    fn add(&self) {
        self.count.set(self.count.get() + 1);
    }

    fn remove(&self) {
        self.count.set(self.count.get().saturating_sub(1));
        self.freed.notify_one();
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection in use; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    opened_at: Instant,
    sender: Sender,
    driver: JoinHandle<()>,
    head_meter: HeadMeter,
    open: Rc<Open>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.remove();
    }
}

impl Connection {
    /// Sends a request; the failure distinguishes whether any byte may have left this host.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.head_meter.start();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_meter.stop();
                Ok(response)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let cause = describe(error.error());
                Err(match is_unsent {
                    true => Failure::NotSent(cause),
                    false => Failure::Broken(cause),
                })
            }
        }
    }
}

/// Returns an error of the HTTP library with its cause, which it does not name by itself.
fn describe(error: &hyper::Error) -> CompactString {
    match std::error::Error::source(error) {
        Some(cause) => compact_str::format_compact!("{error}: {cause}"),
        None => compact_str::format_compact!("{error}"),
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Connections to one upstream.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    open: Rc<Open>,
}

impl Pool {
    /// Returns an empty pool of connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Pool {
            address,
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// Returns an idle connection if there is one, or a new one if fewer than `max` are open; waits
    /// for a while if all are in use.
    ///
    /// A request that must not run twice gets a new one: on a reused one, a late byte or an
    /// unnoticed close would leave its outcome unknown.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unreachable`] if no connection is established in time, and with
    /// [`Failure::NotSent`] if all are in use.
    pub async fn get(
        &self,
        may_reuse: bool,
        max: usize,
        until: Instant,
    ) -> Result<Connection, Failure> {
        let wait_until = until.min(Instant::now() + MAX_FREE_WAIT);
        let now = loop {
            let now = Instant::now();
            if may_reuse && let Some(connection) = self.take(now) {
                return Ok(connection);
            }
            if self.open.count.get() >= max {
                self.close_oldest();
            }
            if self.open.count.get() < max {
                break now;
            }
            let freed = self.open.freed.notified();
            if time::timeout_at(wait_until.into(), freed).await.is_err() {
                return Err(Failure::NotSent("all connections are in use".into()));
            }
        };
        self.open.add();
        let guard = OpenGuard {
            open: Rc::clone(&self.open),
            is_kept: false,
        };
        let until = until.min(now + CONNECT_TIMEOUT);
        match time::timeout_at(until.into(), open(self.address)).await {
            Err(_) => Err(Failure::Unreachable("connect timed out".into())),
            Ok(Err(cause)) => Err(Failure::Unreachable(compact_str::format_compact!(
                "connect: {cause}"
            ))),
            Ok(Ok((sender, driver, head_meter))) => Ok(Connection {
                opened_at: Instant::now(),
                sender,
                driver,
                head_meter,
                open: guard.keep(),
            }),
        }
    }

    /// Returns when the connection was opened that would be used again at `now`, if there is one.
    pub fn next_opened_at(&self, now: Instant) -> Option<Instant> {
        let idle = self.idle.borrow();
        let newest = idle.last()?;
        let is_usable = newest.until > now && newest.connection.sender.is_ready();
        is_usable.then_some(newest.connection.opened_at)
    }

    fn take(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|entry| entry.until > now && !entry.connection.sender.is_closed());
        let newest = idle.last()?;
        if !newest.connection.sender.is_ready() {
            return None;
        }
        idle.pop().map(|entry| entry.connection)
    }

    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Keeps a connection whose last response ended by its own framing.
    ///
    /// `keep_alive` is the time for which the upstream announces to keep an idle connection open.
    pub fn give_back(&self, connection: Connection, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let max = IDLE_TIMEOUT;
        let timeout = keep_alive.map_or(max, |time| time.saturating_sub(IDLE_MARGIN).min(max));
        if timeout.is_zero() || connection.sender.is_closed() {
            return;
        }
        if self.idle.borrow().len() >= MAX_IDLE {
            self.close_oldest();
        }
        self.idle.borrow_mut().push(Idle {
            connection,
            until: now + timeout,
        });
        self.open.freed.notify_one();
    }

    /// Closes all connections that are not in use.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|entry| entry.until > now);
    }
}

/// Guard that counts a connection as open while it is being established.
struct OpenGuard {
    open: Rc<Open>,
    is_kept: bool,
}

impl OpenGuard {
    fn keep(mut self) -> Rc<Open> {
        self.is_kept = true;
        Rc::clone(&self.open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if !self.is_kept {
            self.open.remove();
        }
    }
}

async fn open(address: SocketAddr) -> anyhow::Result<(Sender, JoinHandle<()>, HeadMeter)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let head_meter = HeadMeter::default();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(inflow::MAX_HEAD_BYTES)
        .handshake(TokioIo::new(Inflow::new(stream, head_meter.clone())))
        .await?;
    let driver = task::spawn_local(async move {
        if let Err(cause) = connection.await {
            log::debug!(address:% = address, cause:% = cause; "connection to an upstream ended");
        }
    });
    Ok((sender, driver, head_meter))
}
