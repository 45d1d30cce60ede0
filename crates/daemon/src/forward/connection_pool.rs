use bytes::Bytes;
use cassiagw_core::ids::{EndpointId, FastMap};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// Longest time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the system gives up a connection whose bytes are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a connection is not used again where the endpoint names no limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);
/// Part of the endpoint's limit in which an idle connection is used again, as a divisor: the
/// endpoint may close it while a request is on its way, whose outcome is unknown then.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Idle connections kept for one endpoint.
const MAX_IDLE: usize = 32;

/// A connection to an endpoint; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.until && !self.connection.sender.is_closed()
    }
}

/// Idle connections by endpoint, so that an address that is used again by another endpoint never
/// meets an old connection.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<FastMap<EndpointId, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Takes the idle connection to an endpoint that was used last.
    pub fn take(&self, endpoint: &EndpointId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_endpoint = idle.get_mut(endpoint)?;
        of_endpoint.retain(|idle| idle.is_usable(now));
        let at = of_endpoint.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        let mut connection = of_endpoint.remove(at).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Keeps a connection for the next request; `keep_alive` is the endpoint's limit.
    pub fn give_back(
        &self,
        endpoint: &EndpointId,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let until = Instant::now() + keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE) / KEEP_ALIVE_DIVISOR;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_endpoint = idle.entry(endpoint.clone()).or_default();
        of_endpoint.push(Idle { connection, until });
        if of_endpoint.len() > MAX_IDLE {
            of_endpoint.remove(0);
        }
    }

    /// Closes connections that will not be used again.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for of_endpoint in idle.values_mut() {
            of_endpoint.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, of_endpoint| !of_endpoint.is_empty());
    }

    /// Connects to an endpoint.
    ///
    /// # Errors
    /// No connection was made; nothing was sent.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "endpoint_connection_failed", error:% = error; "");
            }
        });
        Ok(Connection { sender, is_reused: false, task: task.abort_handle() })
    }
}
