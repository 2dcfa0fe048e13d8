//! A loopback proxy that stands for the network between two processes.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::wire;

/// How often a connection looks whether its link has changed.
const LOOK_TIME: Duration = Duration::from_millis(20);

/// State of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    #[default]
    Sound,
    /// Bytes pass this much later.
    Slow(Duration),
    /// This many bytes a second pass towards the client on each connection.
    Narrow(u32),
    /// Connections are reset, new ones as well.
    Reset,
    /// Nothing passes towards the server; what was sent arrives when the link is sound again.
    NoRequests,
    /// Nothing passes towards the client.
    NoAnswers,
    /// Nothing passes.
    Silent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

/// The proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    /// Starts a proxy to `server` on a free port; its threads end with the process.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(wire::unique_address())?;
        let address = listener.local_addr()?;
        let link = Arc::new(Mutex::new(Link::default()));
        let own = Arc::clone(&link);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || carry(&client, server, &own));
            }
        });
        Ok(Proxy { address, link })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link.
    pub fn set(&self, link: Link) {
        *self.link.lock().expect("link lock") = link;
    }
}

/// Carries one connection; an end on either side ends both.
fn carry(client: &TcpStream, server: SocketAddr, link: &Arc<Mutex<Link>>) {
    let Ok(server) = TcpStream::connect(server) else {
        return reset(client);
    };
    thread::scope(|scope| {
        scope.spawn(|| pass(client, &server, link, Way::ToServer));
        scope.spawn(|| pass(&server, client, link, Way::ToClient));
    });
}

fn pass(mut from: &TcpStream, mut to: &TcpStream, link: &Mutex<Link>, way: Way) {
    // Without it a reset would be noticed only with the next byte.
    if from.set_read_timeout(Some(LOOK_TIME)).is_err() {
        return reset(from);
    }
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        if is_reset(link) {
            reset(from);
            return reset(to);
        }
        let length = match read {
            Ok(0) => break,
            Ok(length) => length,
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        if !wait_open(link, way, length) {
            reset(from);
            return reset(to);
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // Either side may be gone already.
    let _shut = to.shutdown(std::net::Shutdown::Both);
    let _shut = from.shutdown(std::net::Shutdown::Both);
}

fn is_reset(link: &Mutex<Link>) -> bool {
    *link.lock().expect("link lock") == Link::Reset
}

/// Waits until `length` bytes may pass; returns false if the connection is reset instead.
fn wait_open(link: &Mutex<Link>, way: Way, length: usize) -> bool {
    loop {
        let now = *link.lock().expect("link lock");
        match (now, way) {
            (Link::Sound, _)
            | (Link::Narrow(_), Way::ToServer)
            | (Link::NoRequests, Way::ToClient)
            | (Link::NoAnswers, Way::ToServer) => {
                return true;
            }
            (Link::Slow(time), _) => {
                thread::sleep(time);
                return true;
            }
            (Link::Narrow(bytes_per_s), Way::ToClient) => {
                thread::sleep(Duration::from_secs(1) * length as u32 / bytes_per_s.max(1));
                return true;
            }
            (Link::Reset, _) => return false,
            (Link::Silent | Link::NoRequests | Link::NoAnswers, _) => thread::sleep(LOOK_TIME),
        }
    }
}

fn reset(stream: &TcpStream) {
    // A connection that has ended cannot be reset any more.
    let _linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _shut = stream.shutdown(std::net::Shutdown::Both);
}
