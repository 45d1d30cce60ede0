use super::CallerConnection;
use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use socket2::SockRef;
use std::{
    fmt::Display,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};

/// Delay after a failed accept, for example when file descriptors run out.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two log lines about refused connections.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Bytes of an answer that the operating system takes before they are sent. With a large send buffer
/// a caller that reads steadily would look idle for seconds at a time.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;

/// Limit on concurrent connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimit {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Name of the setting that holds the limit, for the log.
    pub setting: &'static str,
}

/// Refused connections, of which the log tells once a minute.
#[derive(Default)]
struct Refusals {
    count: u64,
    logged_at: Option<Instant>,
}

impl Refusals {
    fn record(&mut self, setting: &'static str) {
        self.count += 1;
        let now = Instant::now();
        if self.logged_at.is_none_or(|at| now >= at + REFUSAL_LOG_INTERVAL) {
            let count = std::mem::take(&mut self.count);
            log::warn!(event = "connection_refused", reason = setting, count; "");
            self.logged_at = Some(now);
        }
    }
}

/// Serves connections until `stop` completes, then shuts down gracefully: running requests may
/// finish until `drain_end` completes, which is polled from then on. Connections above the limit are
/// closed at once.
pub async fn serve_until<C>(
    listener: TcpListener,
    limit: ConnectionLimit,
    stop: impl Future<Output = ()>,
    connection: impl Fn(TcpStream, Arc<CallerConnection>) -> C,
    drain_end: impl Future<Output = ()>,
) where
    C: GracefulConnection<Error: Display> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limit.max_connections));
    let mut refusals = Refusals::default();
    let mut stop = pin!(stop);
    loop {
        let stream = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            refusals.record(limit.setting);
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_not_set", error:% = error; "small writes may be delayed");
        }
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            log::debug!(event = "notsent_lowat_not_set", error:% = error; "slow readers look slower");
        }
        let caller = Arc::new(CallerConnection::new(&stream));
        let connection = graceful.watch(connection(stream, caller.clone()));
        tokio::spawn(async move {
            tokio::select! {
                result = connection => if let Err(error) = result {
                    log::debug!(event = "connection_failed", error:% = error; "");
                },
                () = caller.closed() => log::debug!(event = "connection_closed"; "slow reader"),
            }
            drop(slot);
        });
    }
    drop(listener);
    tokio::select! {
        biased;
        () = graceful.shutdown() => {}
        () = drain_end => {
            log::warn!(event = "drain_timeout"; "closing with requests still running");
        }
    }
}
