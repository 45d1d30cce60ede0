//! HTTP/1.1 as the stand-ins need it: messages with a length, one thread for each connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request with its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header field; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let field = self.headers.iter().find(|(field, _)| field == name);
        field.map_or("", |(_, value)| value)
    }

    /// Value of a field of the query, without percent encoding.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.into_iter().find(|(field, _)| *field == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// An answer with a JSON body.
pub fn json_answer(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let kind = "Content-Type: application/json";
    format!("HTTP/1.1 {status}\r\n{kind}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Serves each connection in a thread, until the process ends.
pub fn serve(answer: impl Fn(&Request) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the listener is bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            // The peer may leave at any time.
            thread::spawn(move || drop(serve_connection(stream, &*answer)));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, answer: &dyn Fn(&Request) -> Vec<u8>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf)? {
        stream.write_all(&answer(&req))?;
    }
    Ok(())
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buf)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut line = lines.next().unwrap_or_default().split(' ').map(str::to_owned);
    let fields = lines.filter_map(|line| line.split_once(':'));
    let mut req = Request {
        method: line.next().unwrap_or_default(),
        target: line.next().unwrap_or_default(),
        headers: fields
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect(),
        body: Vec::new(),
    };
    let length = req.header("content-length").parse().unwrap_or(0);
    while buf.len() < end + length {
        if !read_more(stream, buf)? {
            return Ok(None);
        }
    }
    req.body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some(req))
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    let read = stream.read(&mut part)?;
    buf.extend_from_slice(&part[..read]);
    Ok(read > 0)
}

/// Sends a request on a new connection and reads until its end. Returns the status of the answer;
/// `None` if the connection ended without one or nothing came within `limit`.
pub fn exchange(to: SocketAddr, req: &[u8], limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(req).ok()?;
    let mut answer = Vec::new();
    // What came before an error counts.
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer[..answer.len().min(64)]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}
