use super::{
    answer::{Body, full_body},
    forwarder::Forwarder,
};
use cassiagw_platform::READY_PATH;
use hyper::{Request, Response, StatusCode, body::Incoming};

/// Serves the readiness check of the load balancer.
pub fn answer_ready(fw: &Forwarder, req: &Request<Incoming>) -> Response<Body> {
    let (status, text) = match req.uri().path() {
        READY_PATH if fw.is_ready() => (StatusCode::OK, "ready\n"),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => (StatusCode::NOT_FOUND, "not found\n"),
    };
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
