//! A listener whose connections cannot hold a thread for ever.
//!
//! The HTTP library sets no limits on its sockets. Those set on the listener are inherited by
//! what it accepts, receive and send timeouts among them.

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

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Silence of a caller in the middle of sending or receiving after which it is given up.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(30);
/// Silence after which an idle connection is probed.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// Pause between the connections that keep the accept call from timing out.
const WAKE_PAUSE: Duration = Duration::from_secs(8);
/// Longest wait for a request before looking at the stop flag.
const RECEIVE_WAIT: Duration = Duration::from_millis(200);
/// Pause between two looks at what is still to be handed over.
const CLOSE_PAUSE: Duration = Duration::from_millis(5);
/// Pause before accepting again after a failure, such as running out of descriptors.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// Opens a listener with limits that its connections inherit.
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
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE),
    )?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listener that hands requests on until it is closed.
#[derive(Debug)]
pub struct Listener {
    stop: StopFlag,
    threads: Arc<AtomicUsize>,
}

impl Listener {
    /// Accepts no further request and waits until those accepted are handed over.
    pub fn close(&self) {
        self.stop.ask();
        while self.threads.load(Ordering::SeqCst) > 0 {
            std::thread::sleep(CLOSE_PAUSE);
        }
    }
}

struct Door<F> {
    stop: StopFlag,
    threads: Arc<AtomicUsize>,
    handle: F,
}

/// Hands every request on `listener` to `handle`, until asked to stop.
///
/// `handle` must not block. Requests that were accepted before the stop are still handed over.
pub fn serve<F>(listener: TcpListener, stop: StopFlag, handle: F) -> io::Result<Listener>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let threads = Arc::new(AtomicUsize::new(0));
    let waker_stop = stop.clone();
    duty::spawn("wake", move || wake(address, &waker_stop));
    let door = Arc::new(Door {
        stop: stop.clone(),
        threads: Arc::clone(&threads),
        handle,
    });
    start(listener, door);
    Ok(Listener { stop, threads })
}

fn start<F>(listener: TcpListener, door: Arc<Door<F>>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    door.threads.fetch_add(1, Ordering::SeqCst);
    duty::spawn("accept", move || {
        accept(&listener, &door);
        door.threads.fetch_sub(1, Ordering::SeqCst);
    });
}

/// Connects now and then, since the receive timeout of the listener also ends a quiet accept call.
fn wake(address: SocketAddr, stop: &StopFlag) {
    while !stop.asked() {
        drop(TcpStream::connect_timeout(&address, REOPEN_PAUSE));
        std::thread::sleep(WAKE_PAUSE);
    }
}

fn accept<F>(listener: &TcpListener, door: &Arc<Door<F>>)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let Some(server) = open_server(listener, &door.stop) else {
        return;
    };
    let mut accepts = true;
    while !door.stop.asked() {
        match server.recv_timeout(RECEIVE_WAIT) {
            Ok(Some(request)) => (door.handle)(request),
            Ok(None) => {}
            Err(cause) if accepts => {
                accepts = false;
                reopen(listener, door, &cause);
            }
            Err(_) => {}
        }
    }
    while let Ok(Some(request)) = server.try_recv() {
        (door.handle)(request);
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
            Err(cause) => warn!(cause:% = cause; "listener fails"),
        }
        std::thread::sleep(REOPEN_PAUSE);
    }
    None
}

/// Goes on accepting in a new thread; the old one serves the connections that it has.
fn reopen<F>(listener: &TcpListener, door: &Arc<Door<F>>, cause: &io::Error)
where
    F: Fn(Request) + Send + Sync + 'static,
{
    warn!(cause:% = cause; "accepting again after");
    std::thread::sleep(REOPEN_PAUSE);
    if let Ok(clone) = listener.try_clone() {
        start(clone, Arc::clone(door));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accepted_connections_inherit_the_limits() {
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
