//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request or an answer: its first line, its fields in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head says.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let mut found = self.fields.iter().filter(|(known, _)| known == name);
        found.next().map_or("", |(_, value)| value.as_str())
    }

    /// Returns the path with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_string()))
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start) = line(reader)? else {
        return Ok(None);
    };
    let mut fields = Vec::new();
    loop {
        let Some(line) = line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Ok(Some(Message {
        start,
        fields,
        body: Vec::new(),
        is_whole: false,
    }))
}

/// Reads the next part of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let Some(size) = line(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let size = size.split(';').next().unwrap_or("").trim().to_string();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut part = vec![0; size];
    reader.read_exact(&mut part)?;
    line(reader)?;
    Ok((size > 0).then_some(part))
}

/// Reads a message with its body; the body of an answer without a length ends with its connection.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.field("transfer-encoding").contains("chunked") {
        while let Some(part) = read_chunk(reader)? {
            message.body.extend(part);
        }
    } else if let Ok(length) = message.field("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} x\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
