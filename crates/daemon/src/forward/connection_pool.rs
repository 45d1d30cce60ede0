use bytes::Bytes;
use cassiagw_core::ids::{EndpointId, FastMap};
use cassiagw_surfaces::http::{LimitedStream, MAX_BYTES_WITHOUT_PROGRESS, Progress};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    future::pending,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::AbortHandle,
    time::{sleep, timeout},
};

/// Timeout of a TCP connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which an address must refuse a connection to count as refusing.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time until an address that accepted a connection is tried again.
const SECOND_REFUSAL_DELAY: Duration = Duration::from_millis(20);
/// Value of `TCP_USER_TIMEOUT`: the kernel closes a connection whose data stays unacknowledged for
/// this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Keep-alive timeout assumed for an endpoint that does not announce one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);
/// Idle connections are reused only within this fraction (as a divisor) of the keep-alive timeout:
/// the endpoint may close a connection while a request is in flight, which leaves the outcome of
/// the request unknown.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Maximum size of an answer's head, in bytes; it also bounds the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// A connection to an endpoint; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    /// Request side of the HTTP/1 connection, one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has already been used for a request.
    pub is_reused: bool,
    /// To be told of each response head and each part of a body.
    pub progress: Progress,
    /// Tells when the endpoint closes the connection.
    pub peer_close: PeerClose,
    task: AbortHandle,
}

/// Tells when the peer of a connection closes it.
#[derive(Clone, Debug)]
pub struct PeerClose(watch::Receiver<bool>);

impl PeerClose {
    /// Completes when the peer has closed the connection; never if this side does.
    pub async fn wait(mut self) {
        if self.0.wait_for(|is_closed| *is_closed).await.is_err() {
            pending().await
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && !self.connection.sender.is_closed()
    }
}

/// Pool of idle connections. It is keyed by endpoint ID instead of address, so that a connection is
/// never reused for another endpoint that has taken over the address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<FastMap<EndpointId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to an endpoint. `None` if there is none that
    /// can be used.
    pub fn take(&self, endpoint: &EndpointId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(endpoint)?;
        connections.retain(|idle| idle.is_usable(now));
        let index = connections.iter().rposition(|idle| idle.connection.sender.is_ready())?;
        let mut connection = connections.remove(index).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns a connection to the pool. `keep_alive` is the endpoint's announced timeout. Drops
    /// the oldest connection if the endpoint has too many.
    pub fn put_idle(
        &self,
        endpoint: &EndpointId,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let expires_at =
            Instant::now() + keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE) / KEEP_ALIVE_DIVISOR;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(endpoint.clone()).or_default();
        connections.push(IdleConnection { connection, expires_at });
        if connections.len() > MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
    }

    /// Closes idle connections that are expired or closed by the peer.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Whether an address refuses connections, as that of a process which has ended does. False if
    /// it accepts one or does not answer in time.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
        let refusals = [io::ErrorKind::ConnectionRefused, io::ErrorKind::ConnectionReset];
        matches!(connected, Ok(Err(error)) if refusals.contains(&error.kind()))
    }

    /// The same a little later: a process that ends may close its listener last.
    pub async fn is_refused_soon(&self, address: SocketAddr) -> bool {
        sleep(SECOND_REFUSAL_DELAY).await;
        self.is_refused(address).await
    }

    /// Opens a new connection to an endpoint.
    ///
    /// # Errors
    /// The connect failed or timed out. No part of a request was sent.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let progress = Progress::default();
        let stream = LimitedStream::new(stream, progress.clone(), MAX_BYTES_WITHOUT_PROGRESS);
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let (closed, peer_close) = watch::channel(false);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "endpoint_connection_failed", error:% = error; "");
            }
            closed.send_replace(true);
        });
        let task = task.abort_handle();
        Ok(Connection {
            sender,
            is_reused: false,
            progress,
            peer_close: PeerClose(peer_close),
            task,
        })
    }
}
