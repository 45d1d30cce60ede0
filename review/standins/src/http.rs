//! HTTP/1.1 with lengths, as much as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer: the first line, the header fields in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Word of the first line, by its position.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads a message; `None` if the connection ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line.truncate(message.line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = message.field("content-length").and_then(|l| l.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend(&chunk[..size]);
    }
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    line: &str,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{line}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    write(&mut stream, line, fields, body)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
