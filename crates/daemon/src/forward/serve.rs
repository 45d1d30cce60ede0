use super::{forwarder::Forward, handle::handle};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};

/// Most header fields of a request.
const MAX_HEADER_FIELDS: usize = 100;
/// Smallest buffer for a request's head.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Wait after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time after a stop in which callers still connect: the balancer asks once a second and takes a
/// daemon out after two misses.
const BALANCER_TIME: Duration = Duration::from_millis(2_400);
/// Time kept back of the grace for the end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Serves callers until the daemon drains, then lets running requests end within the grace.
pub async fn serve(listener: TcpListener, fw: Arc<Forward>) {
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(fw.cfg().max_connections / 2));
    let mut draining = fw.draining.subscribe();
    let balancer_gone = async {
        // The sender lives as long as the daemon.
        let _ = draining.wait_for(|draining| *draining).await;
        sleep(BALANCER_TIME).await;
    };
    tokio::pin!(balancer_gone);
    loop {
        let stream = tokio::select! {
            () = &mut balancer_gone => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "");
                    sleep(ACCEPT_RETRY).await;
                    continue;
                }
            },
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log::warn!(event = "connection_refused", reason = "max_fds"; "");
            continue;
        };
        let connection = graceful.watch(connection(stream, fw.clone()));
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "connection_failed", error:% = error; "");
            }
            drop(slot);
        });
    }
    drop(listener);
    let left = fw.cfg().params.grace.saturating_sub(BALANCER_TIME + EXIT_MARGIN);
    if timeout(left, graceful.shutdown()).await.is_err() {
        log::warn!(event = "drain_timeout"; "requests were still running");
    }
}

fn connection(
    stream: TcpStream,
    fw: Arc<Forward>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<
        hyper::body::Incoming,
        ResBody = super::answer::Body,
        Error = Infallible,
        Future: Send,
    >,
> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_not_set", error:% = error; "small writes only wait longer");
    }
    let limits = fw.state().settings.limits.clone();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The same limit holds for the wait for a request and for its head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER));
    let service = service_fn(move |req| {
        let fw = fw.clone();
        async move { Ok::<_, Infallible>(handle(fw, req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), service)
}
