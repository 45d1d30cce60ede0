use super::Dump;
use crate::entry::http::{Body, full_body};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Time in which a request's head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves `/healthz`, `/readyz`, `/metrics` and `/dump` until the future is dropped.
pub async fn serve(listener: TcpListener, dump: Dump) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let dump = dump.clone();
        let service = service_fn(move |req| {
            let dump = dump.clone();
            async move { Ok::<_, Infallible>(answer(&dump, &req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn answer(dump: &Dump, req: &Request<Incoming>) -> Response<Body> {
    if req.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "use GET\n");
    }
    match req.uri().path() {
        "/healthz" => text(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" => ready(dump),
        "/metrics" => text(StatusCode::OK, "text/plain; version=0.0.4", dump.cx.metrics.render()),
        "/dump" => text(StatusCode::OK, "application/json", dump.render().await.to_string()),
        _ => text(StatusCode::NOT_FOUND, "text/plain", "see /healthz, /readyz, /metrics, /dump\n"),
    }
}

fn ready(dump: &Dump) -> Response<Body> {
    let view = dump.cx.view();
    if dump.cx.is_draining() || !view.is_current || view.tree.revision == 0 {
        return text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n");
    }
    text(StatusCode::OK, "text/plain", "ready\n")
}

fn text(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
