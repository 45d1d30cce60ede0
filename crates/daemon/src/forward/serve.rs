use super::{forwarder::Forwarder, handle::handle};
use crate::http_server::{CallerConnection, ConnectionLimit, serve_until};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 100;
/// Minimum size of the buffer for a request head, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Time after a stop in which callers still connect: the load balancer probes readiness once a
/// second and removes a daemon after two failures.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_400);

/// Serves callers until the daemon drains, then waits for running requests within the grace period.
pub async fn serve(listener: TcpListener, fw: Arc<Forwarder>) {
    // The other half is reserved for connections to endpoints.
    let limit =
        ConnectionLimit { max_connections: fw.cfg().max_connections / 2, setting: "max_fds" };
    let mut draining = fw.draining.subscribe();
    let removed_from_balancer = async {
        // Cannot fail: the sender lives as long as the daemon.
        let _ = draining.wait_for(Option::is_some).await;
        sleep(BALANCER_REMOVAL_TIME).await;
    };
    let connection = |stream, caller| connection(stream, caller, fw.clone());
    serve_until(listener, limit, removed_from_balancer, connection, fw.must_end()).await;
}

fn connection(
    stream: TcpStream,
    caller: Arc<CallerConnection>,
    fw: Arc<Forwarder>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<
        hyper::body::Incoming,
        ResBody = super::answer::Body,
        Error = Infallible,
        Future: Send,
    >,
> {
    let limits = fw.state().settings.limits.clone();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper has one timeout for both the idle time before a request and the reading of its
        // head.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER));
    let service = service_fn(move |req| {
        let (fw, caller) = (fw.clone(), caller.clone());
        async move { Ok::<_, Infallible>(handle(fw, caller, req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), service)
}
