//! A listener whose connections cannot block a thread forever.
//!
//! The HTTP library sets no timeouts on its sockets. Accepted connections inherit those of the
//! listener, including the receive and send timeouts.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::warn;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;
use tiny_http::Request;
use tiny_http::Server;

use crate::duty;
use crate::duty::StopFlag;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time without progress in sending or receiving after which a connection fails.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time before a connection is probed, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the connections that keep the accept call from timing out.
const WAKE_INTERVAL: Duration = Duration::from_secs(8);
/// Maximum wait for a request before the stop flag is checked.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which closing checks for threads that still hand over requests.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before accepting again after a failure, such as running out of file descriptors.
const REOPEN_BACKOFF: Duration = Duration::from_millis(200);

/// Opens a listener with timeouts that its connections inherit.
///
/// # Errors
///
/// Fails if the address cannot be bound or an option cannot be set.
///
/// ```
/// let listener = pistachiohall::listen::open("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// ```
pub fn open(address: SocketAddr) -> io::Result<TcpListener> {
    open_with(address, SOCKET_TIMEOUT)
}

fn open_with(address: SocketAddr, timeout: Duration) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.set_write_timeout(Some(timeout))?;
    socket.set_tcp_user_timeout(Some(timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL),
    )?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listener that passes requests to a handler until it is closed.
#[derive(Debug)]
pub struct Listener {
    stop: StopFlag,
    threads: Arc<AtomicUsize>,
}

impl Listener {
    /// Stops accepting requests and waits until the accepted ones are handed over.
    pub fn close(&self) {
        self.stop.ask();
        while self.threads.load(Ordering::SeqCst) > 0 {
            std::thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }
}

struct Shared<F> {
    stop: StopFlag,
    threads: Arc<AtomicUsize>,
    handle: F,
}

/// Passes every request on `listener` to `handle` until asked to stop.
///
/// `handle` must not block. Requests accepted before the stop are still handed over.
///
/// # Errors
///
/// Fails if the address of the listener cannot be read.
pub fn serve<F>(listener: TcpListener, stop: StopFlag, handle: F) -> io::Result<Listener>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let threads = Arc::new(AtomicUsize::new(0));
    let waker_stop = stop.clone();
    duty::spawn("wake", move || wake(address, &waker_stop));
    let shared = Arc::new(Shared {
        stop: stop.clone(),
        threads: Arc::clone(&threads),
        handle,
    });
    start(listener, shared);
    Ok(Listener { stop, threads })
}

fn start<F>(listener: TcpListener, shared: Arc<Shared<F>>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    shared.threads.fetch_add(1, Ordering::SeqCst);
    duty::spawn("accept", move || {
        accept(&listener, &shared);
        shared.threads.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Connects at intervals, since the receive timeout of the listener also applies to an accept call.
fn wake(address: SocketAddr, stop: &StopFlag) {
    while !stop.asked() {
        drop(TcpStream::connect_timeout(&address, REOPEN_BACKOFF));
        std::thread::sleep(WAKE_INTERVAL);
    }
}

fn accept<F>(listener: &TcpListener, shared: &Arc<Shared<F>>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let Some(server) = open_server(listener, &shared.stop) else {
        return;
    };
    let mut is_accepting = true;
    while !shared.stop.asked() {
        match server.recv_timeout(RECEIVE_TIMEOUT) {
            Ok(Some(request)) => (shared.handle)(request),
            Ok(None) => {}
            Err(cause) if is_accepting => {
                is_accepting = false;
                reopen(listener, shared, &cause);
            }
            Err(_) => {}
        }
    }
    while let Ok(Some(request)) = server.try_recv() {
        (shared.handle)(request);
    }
}

fn open_server(listener: &TcpListener, stop: &StopFlag) -> Option<Server> {
    while !stop.asked() {
        let clone = listener.try_clone().map_err(|cause| cause.to_string());
        let opened = clone.and_then(|clone| {
            Server::from_listener(clone, None).map_err(|cause| cause.to_string())
        });
        match opened {
            Ok(server) => return Some(server),
            Err(cause) => warn!(cause:% = cause; "listener not opened, trying again"),
        }
        std::thread::sleep(REOPEN_BACKOFF);
    }
    None
}

/// Continues accepting in a new thread; the old one serves the connections that it has.
fn reopen<F>(listener: &TcpListener, shared: &Arc<Shared<F>>, cause: &io::Error)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    warn!(cause:% = cause; "accepting failed, starting a new accept thread");
    std::thread::sleep(REOPEN_BACKOFF);
    if let Ok(clone) = listener.try_clone() {
        start(clone, Arc::clone(shared));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepted_connections_inherit_timeouts_and_options() {
        let timeout = Duration::from_secs(1);
        let listener = open_with("127.0.0.1:0".parse().unwrap(), timeout).unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (accepted, _) = listener.accept().unwrap();
        assert_eq!(accepted.read_timeout().unwrap(), Some(timeout));
        assert_eq!(accepted.write_timeout().unwrap(), Some(timeout));
        let socket = socket2::SockRef::from(&accepted);
        assert!(socket.keepalive().unwrap());
        assert!(socket.tcp_nodelay().unwrap());
        assert_eq!(socket.tcp_user_timeout().unwrap(), Some(timeout));
        drop(client);
    }
}
