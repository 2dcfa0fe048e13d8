//! A stand-in for a caller that looks at every byte of its answers.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use super::HOST;
use super::wire;
use super::wire::Fields;

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// An answer, or what there was of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Status; 0 if the connection ended before one.
    pub status: u16,
    /// Fields of the head.
    pub fields: Fields,
    /// Body as far as it came.
    pub body: String,
    /// Whether the body was whole by its framing.
    pub is_complete: bool,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a host.
    ///
    /// # Errors
    ///
    /// Fails if it is not reached.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Client::new(TcpStream::connect(address)?)
    }

    /// Connects to a host with a receive buffer of `bytes`, so that little is accepted unread.
    ///
    /// # Errors
    ///
    /// Fails if it is not reached.
    pub fn connect_with_buffer(address: SocketAddr, bytes: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_recv_buffer_size(bytes)?;
        socket.connect(&address.into())?;
        Client::new(socket.into())
    }

    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_read_timeout(Some(ANSWER_TIME))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request with an identifier, further fields and a body, without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPistachiohall-Request-Id: {id}\r\n\
             Content-Length: {}\r\n",
            body.len()
        );
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.send_raw(&[head.as_bytes(), body].concat())
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits until an answer begins, and reads no more of it than a buffer takes.
    ///
    /// # Errors
    ///
    /// Fails if no answer begins in time.
    pub fn wait_answer(&mut self) -> io::Result<()> {
        self.reader.fill_buf().map(|_| ())
    }

    /// Reads an answer, whole or not.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes in time.
    pub fn receive(&mut self) -> io::Result<Answer> {
        let Some((first, fields)) = wire::read_head(&mut self.reader)? else {
            return Ok(Answer::default());
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let mut answer = Answer {
            status: status.unwrap_or_default(),
            fields,
            ..Answer::default()
        };
        let body = self.receive_body(&mut answer)?;
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Ok(answer)
    }

    fn receive_body(&mut self, answer: &mut Answer) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if answer.fields.contains_key("transfer-encoding") {
            loop {
                match wire::read_chunk(&mut self.reader) {
                    Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                    Ok(None) => {
                        answer.is_complete = true;
                        return Ok(body);
                    }
                    Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => return Err(cause),
                    Err(_) => return Ok(body),
                }
            }
        }
        let length = answer
            .fields
            .get("content-length")
            .and_then(|length| length.parse().ok());
        let length: u64 = length.unwrap_or(u64::MAX);
        (&mut self.reader).take(length).read_to_end(&mut body)?;
        answer.is_complete = length == u64::MAX || body.len() as u64 == length;
        Ok(body)
    }

    /// Returns whether the other side has ended the connection and sent nothing more.
    ///
    /// # Errors
    ///
    /// Fails if neither comes in time.
    pub fn is_ended(&mut self) -> io::Result<bool> {
        let mut byte = [0];
        Ok(self.reader.read(&mut byte)? == 0)
    }
}

/// Sends one request on a connection of its own and returns the answer.
///
/// # Errors
///
/// Fails if the host is not reached or does not answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    fields: &[(&str, &str)],
) -> io::Result<Answer> {
    let mut client = Client::connect(address)?;
    client.send(method, path, id, fields, b"")?;
    client.receive()
}
