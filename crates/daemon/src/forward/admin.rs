use super::{
    answer::{Body, full_body},
    forward_state::StoreLink,
    forwarder::Forward,
};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Time in which a request's head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves short questions about the daemon itself until the future is dropped.
pub async fn serve_questions(
    listener: TcpListener,
    fw: Arc<Forward>,
    answer: fn(&Forward, &Request<Incoming>) -> Response<Body>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let fw = fw.clone();
        let service = service_fn(move |req| {
            let response = answer(&fw, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

/// Answers `/metrics` and `/dump`.
pub fn answer_admin(fw: &Forward, req: &Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/metrics" => Response::new(full_body(fw.metrics.render())),
        "/dump" => Response::new(full_body(dump(fw).to_string())),
        _ => {
            let mut response = Response::new(full_body("see /metrics, /dump\n"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

/// The daemon's state as JSON; it holds no key, prompt or answer.
fn dump(fw: &Forward) -> Value {
    let state = fw.state();
    let services = state.settings.services.keys().map(|service| {
        let load = state.endpoints.load(service);
        json!({ "service": service, "endpoints": load.endpoints, "in_flight": load.in_flight })
    });
    let endpoints = state.endpoints.entries().map(|entry| {
        json!({
            "id": entry.id, "service": entry.service, "address": entry.address,
            "zone": entry.zone, "phase": format!("{:?}", entry.phase), "weights": entry.weights,
        })
    });
    json!({
        "name": fw.cfg().name,
        "boot": format!("{:016x}", fw.boot),
        "draining": fw.is_draining(),
        "settings_version": state.settings.version,
        "view_revision": state.view.as_of(),
        "store_answers": matches!(state.link, StoreLink::Answers(_)),
        "order_holder": state.holder,
        "members": state.members.keys().collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "endpoints": endpoints.collect::<Vec<_>>(),
    })
}
