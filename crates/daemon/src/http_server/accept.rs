use hyper_util::server::graceful::{GracefulConnection, GracefulShutdown};
use std::{fmt::Display, pin::pin, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};

/// Delay after a failed accept, for example when file descriptors run out.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limit on concurrent connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimit {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Name of the setting that holds the limit, for the log.
    pub setting: &'static str,
}

/// Serves connections until `stop` completes, then shuts down gracefully: running requests may
/// finish until `drain_end` completes, which is polled from then on. Connections above the limit are closed at once.
pub async fn serve_until<C>(
    listener: TcpListener,
    limit: ConnectionLimit,
    stop: impl Future<Output = ()>,
    connection: impl Fn(TcpStream) -> C,
    drain_end: impl Future<Output = ()>,
) where
    C: GracefulConnection<Error: Display> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limit.max_connections));
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
            log::warn!(event = "connection_refused", reason = limit.setting; "");
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_not_set", error:% = error; "small writes may be delayed");
        }
        let connection = graceful.watch(connection(stream));
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_failed", error:% = error; "");
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
