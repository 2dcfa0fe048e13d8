//! Accepts connections and closes them at shutdown without aborting a request.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use http::HeaderValue;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::warn;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use super::reply::Reply;

/// Maximum number of connections that wait to be accepted.
const MAX_BACKLOG: i32 = 1024;
/// Timeout for a request's head to arrive, and for an idle connection; longer than the 15 seconds
/// that are advertised to callers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a request's head; above the 16 KiB that callers keep to.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Backoff after a failed accept, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Phase of a listener, which decides when its connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept open.
    Open,
    /// Each connection is closed after its next response.
    Closing,
    /// Idle connections are closed and new ones aren't accepted.
    Closed,
}

/// Counts open connections.
#[derive(Debug, Clone, Default)]
pub struct Connections(Rc<Cell<usize>>);

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.0.get()
    }

    fn track(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(Rc::clone(&self.0))
    }
}

struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn open(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(MAX_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("cannot listen on {address}"))
}

/// Accepts connections until `phase` is [`Phase::Closed`] and serves each in a separate task.
pub async fn accept<F, S>(
    listener: TcpListener,
    serve: S,
    mut phase: watch::Receiver<Phase>,
    connections: Connections,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|phase| *phase == Phase::Closed) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = connections.track();
                let connection = connection(stream, serve.clone(), phase.clone());
                task::spawn_local(async move {
                    connection.await;
                    drop(guard);
                });
            }
            Err(cause) => {
                warn!(outcome = "not-accepted", cause:% = cause; "connection not accepted");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn connection<F, S>(stream: TcpStream, serve: S, mut phase: watch::Receiver<Phase>)
where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if let Err(cause) = set_options(&stream) {
        log::debug!(cause:% = cause; "socket options of a connection not set");
        return;
    }
    let own_phase = phase.clone();
    let service = service_fn(move |request| {
        let reply = serve(request);
        let phase = own_phase.clone();
        async move {
            let mut reply = reply.await;
            if *phase.borrow() != Phase::Open {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = phase.wait_for(|phase| *phase == Phase::Closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = ended {
        log::debug!(cause:% = cause; "connection ended with an error");
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
