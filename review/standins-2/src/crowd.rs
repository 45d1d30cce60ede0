//! Callers that the users don't control, as their tenth letter describes them.

use crate::{
    daemon::Daemon,
    deployment::{KEYS, head},
    desk::LONG_PREFIX,
};
use std::{io::Write, net::TcpStream, thread, time::Duration};

/// Number of threads that open the connections of a crowd.
const THREADS: usize = 32;
/// Time after which a caller that cannot write any more only stays connected.
const PATIENCE: Duration = Duration::from_secs(1);

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// Requests a long answer and does not read it.
    SlowReader,
    /// Sends a chunked body of `bytes` bytes in chunks of `chunk` bytes, without its end.
    OpenBody {
        /// Size of what is sent of the body.
        bytes: usize,
        /// Size of each chunk.
        chunk: usize,
    },
}

fn misbehave(daemon: &Daemon, misuse: Misuse, name: &str, number: usize) -> Option<TcpStream> {
    let key = KEYS[number % KEYS.len()];
    let mut stream = TcpStream::connect(daemon.front).ok()?;
    stream.set_write_timeout(Some(PATIENCE)).ok()?;
    let req = match misuse {
        Misuse::SlowReader => {
            let id = format!("{LONG_PREFIX}{name}-{number}");
            format!("{}\r\n", head("GET", "/status/a", &id, key, 3_000))
        }
        Misuse::OpenBody { bytes, chunk } => {
            let head = head("POST", "/advice/a", &format!("{name}-{number}"), key, 12_000);
            let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", one.repeat(bytes / chunk))
        }
    };
    // A refused or closed connection is allowed.
    let _ = stream.write_all(req.as_bytes());
    Some(stream)
}

/// Lets `count` callers misbehave; returns their connections, which stay open.
pub fn crowd(daemon: &Daemon, misuse: Misuse, count: usize, name: &str) -> Vec<TcpStream> {
    thread::scope(|scope| {
        let part = |from: usize| {
            let numbers = (from..count).step_by(THREADS);
            numbers.filter_map(|number| misbehave(daemon, misuse, name, number)).collect()
        };
        let callers: Vec<_> = (0..THREADS)
            .map(|from| scope.spawn(move || -> Vec<TcpStream> { part(from) }))
            .collect();
        callers.into_iter().flat_map(|callers| callers.join().unwrap_or_default()).collect()
    })
}
