use super::Dump;
use crate::{
    entry::http::{Body, full_body},
    http_server::serve_admin,
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::net::TcpListener;

/// Serves `/healthz`, `/readyz`, `/metrics` and `/dump` until the future is dropped.
pub async fn serve(listener: TcpListener, dump: Dump) {
    let handler = move |req| {
        let dump = dump.clone();
        async move { handle(&dump, &req).await }
    };
    serve_admin(listener, handler).await;
}

async fn handle(dump: &Dump, req: &Request<Incoming>) -> Response<Body> {
    if req.method() != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "use GET\n");
    }
    match req.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "text/plain", "ok\n"),
        "/readyz" => readiness(dump),
        "/metrics" => {
            text_response(StatusCode::OK, "text/plain; version=0.0.4", dump.cx.metrics.render())
        }
        "/dump" => {
            text_response(StatusCode::OK, "application/json", dump.render().await.to_string())
        }
        _ => text_response(
            StatusCode::NOT_FOUND,
            "text/plain",
            "see /healthz, /readyz, /metrics, /dump\n",
        ),
    }
}

fn readiness(dump: &Dump) -> Response<Body> {
    let view = dump.cx.view();
    if dump.cx.is_draining() || !view.is_current || view.tree.revision == 0 {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n");
    }
    text_response(StatusCode::OK, "text/plain", "ready\n")
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
