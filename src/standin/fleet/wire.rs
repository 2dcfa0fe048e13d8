//! Requests and answers over plain sockets, a thread a connection.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Time for which a server waits for its address. A process that another thread starts holds a copy of
/// each listener until it executes its program.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to listen.
const BIND_PAUSE: Duration = Duration::from_millis(10);

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let started_at = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(cause)
                if cause.kind() == io::ErrorKind::AddrInUse
                    && started_at.elapsed() < BIND_TIMEOUT =>
            {
                thread::sleep(BIND_PAUSE);
            }
            bound => return bound,
        }
    }
}

/// Returns an address on the loopback for a server, with a port that the system picks. No other server of
/// this or of another process has its IP address, and no connection goes out from it, so that the
/// port stays free when the server starts again.
///
/// ```
/// use pistachiohall::standin::fleet::wire;
/// assert_ne!(wire::unique_address().ip(), wire::unique_address().ip());
/// ```
pub fn unique_address() -> SocketAddr {
    static SERVERS: AtomicU32 = AtomicU32::new(0);
    const SERVER_BITS: u32 = 12;
    const PROCESSES: u32 = 2047;
    let server = SERVERS.fetch_add(1, Ordering::Relaxed) % (1 << SERVER_BITS);
    let process = std::process::id() % PROCESSES;
    let number = (1 << 23) | (process << SERVER_BITS) | server;
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([127, high, middle, low], 0))
}

/// Fields of a head, by name in lower case.
pub type Fields = BTreeMap<String, String>;

/// A request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Parameters of the query.
    pub query: BTreeMap<String, String>,
    /// Fields of the head.
    pub fields: Fields,
    /// Body.
    pub body: Vec<u8>,
}

/// Whether a connection goes on after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The next request may follow.
    Keep,
    /// The connection ends.
    Close,
    /// The connection is reset.
    Reset,
}

/// A server; ends with all its connections when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server at `address`; `handle` writes each answer itself.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start<F>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(Request, &mut TcpStream) -> io::Result<Next> + Send + Sync + 'static,
    {
        let listener = bind(address)?;
        let mut server = Server {
            address: listener.local_addr()?,
            is_stopped: Arc::default(),
            streams: Arc::default(),
            accepting: None,
        };
        let is_stopped = Arc::clone(&server.is_stopped);
        let streams = Arc::clone(&server.streams);
        let handle = Arc::new(handle);
        let accepting = thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming()) {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().expect("stream lock").insert(number, copy);
                }
                let handle = Arc::clone(&handle);
                let streams = Arc::clone(&streams);
                thread::spawn(move || {
                    let last = serve(stream, handle.as_ref());
                    // The copy goes first, so that the connection ends with the last one.
                    streams.lock().expect("stream lock").remove(&number);
                    drop(last);
                });
            }
        });
        server.accepting = Some(accepting);
        Ok(server)
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.streams.lock().expect("stream lock").len()
    }

    /// Ends all open connections.
    pub fn cut_connections(&self) {
        for (_, stream) in self.streams.lock().expect("stream lock").drain() {
            // A connection that has ended by itself cannot be ended again.
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; without a listener there is none.
        let _woken = TcpStream::connect(self.address);
        if let Some(accepting) = self.accepting.take() {
            // A thread that panicked has shown why.
            let _joined = accepting.join();
        }
        self.cut_connections();
    }
}

/// Serves a connection to its end, and returns it to be closed.
fn serve<F>(mut stream: TcpStream, handle: &F) -> TcpStream
where
    F: Fn(Request, &mut TcpStream) -> io::Result<Next>,
{
    let Ok(copy) = stream.try_clone() else {
        return stream;
    };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = read_request(&mut reader) {
        match handle(request, &mut stream) {
            Ok(Next::Keep) => (),
            Ok(Next::Reset) => {
                // Closing then throws away unsent data and resets the connection.
                let socket = socket2::SockRef::from(&stream);
                let _set = socket.set_linger(Some(Duration::ZERO));
                return stream;
            }
            Ok(Next::Close) | Err(_) => {
                let _ended = stream.shutdown(Shutdown::Both);
                return stream;
            }
        }
    }
    stream
}

/// Reads a request; none if the connection ends before one.
///
/// # Errors
///
/// Fails if the connection breaks or what comes is no request.
pub fn read_request<R>(reader: &mut R) -> io::Result<Option<Request>>
where
    R: BufRead,
{
    let Some((first, fields)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let body = read_body(reader, &fields)?;
    Ok(Some(Request {
        method: method.into(),
        path: path.into(),
        query: pairs
            .map(|(name, value)| (name.into(), value.into()))
            .collect(),
        fields,
        body,
    }))
}

/// Reads the first line and the fields of a head; none if the connection ends before them.
///
/// # Errors
///
/// Fails if the connection breaks.
pub fn read_head<R>(reader: &mut R) -> io::Result<Option<(String, Fields)>>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Fields::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                fields.insert(name.to_lowercase(), value.trim().into());
            }
            None => return Ok(Some((first.trim_end().into(), fields))),
        }
    }
}

/// Reads a body by its length or in chunks; without either there is none.
///
/// # Errors
///
/// Fails if the body ends early.
pub fn read_body<R>(reader: &mut R, fields: &Fields) -> io::Result<Vec<u8>>
where
    R: BufRead,
{
    let mut body = Vec::new();
    if fields
        .get("transfer-encoding")
        .is_some_and(|value| value == "chunked")
    {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = fields.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; none for the last one.
///
/// # Errors
///
/// Fails if the body ends early.
pub fn read_chunk<R>(reader: &mut R) -> io::Result<Option<Vec<u8>>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes an answer with its length.
///
/// # Errors
///
/// Fails if the connection breaks.
pub fn answer<W>(out: &mut W, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()>
where
    W: Write,
{
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    out.write_all(&[head.as_bytes(), body].concat())
}
