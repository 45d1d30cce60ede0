use super::Dump;
use crate::{
    entry::http::{Body, full_body},
    http_server::serve_questions,
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::net::TcpListener;

/// Serves `/healthz`, `/readyz`, `/metrics` and `/dump` until the future is dropped.
pub async fn serve(listener: TcpListener, dump: Dump) {
    let answer = move |req| {
        let dump = dump.clone();
        async move { answer(&dump, &req).await }
    };
    serve_questions(listener, answer).await;
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
