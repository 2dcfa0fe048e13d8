//! Accepts callers' connections and ends them without cutting a request.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Longest time for a request's head to arrive, and for a connection to stay idle; above the
/// fifteen seconds that callers are told of.
const HEAD_TIME: Duration = Duration::from_secs(20);
/// Largest head of a request, with room above the 16 KiB that callers keep to.
const HEAD_BYTES: usize = 64 << 10;
/// Unacknowledged data older than this ends a connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// When connections end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept.
    Open,
    /// Each connection ends with its next answer.
    Closing,
    /// Idle connections end now, and none is accepted.
    Closed,
}

/// Counts the connections that are open.
#[derive(Debug, Clone, Default)]
pub struct Connections(Rc<Cell<usize>>);

impl Connections {
    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.0.get()
    }

    fn enter(&self) -> Entered {
        self.0.set(self.0.get() + 1);
        Entered(Rc::clone(&self.0))
    }
}

struct Entered(Rc<Cell<usize>>);

impl Drop for Entered {
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
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("cannot listen on {address}"))
}

/// Accepts connections until `phase` is [`Phase::Closed`], each served by a task of its own.
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
                let entered = connections.enter();
                let connection = connection(stream, serve.clone(), phase.clone());
                task::spawn_local(async move {
                    connection.await;
                    drop(entered);
                });
            }
            Err(cause) => {
                warn!(outcome = "not-accepted", cause:% = cause; "connection not accepted");
                time::sleep(ACCEPT_PAUSE).await;
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
        log::debug!(cause:% = cause; "connection not set up");
        return;
    }
    let own_phase = phase.clone();
    let service = service_fn(move |request| {
        let answer = serve(request);
        let phase = own_phase.clone();
        async move {
            let mut reply = answer.await;
            if *phase.borrow() != Phase::Open {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(HEAD_BYTES)
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
        log::debug!(cause:% = cause; "a caller's connection ended");
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}
