use super::{Body, Cut, Down, StandIn, empty, error_json, json, read_body};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    task::JoinSet,
    time::sleep,
};

/// Delay before retrying a failed bind or accept.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves a stand-in until the future is dropped; on [`Down::Refuse`] the port is closed until the
/// fault clears.
pub async fn run<S: StandIn>(
    state: Arc<S>,
    listener: TcpListener,
    address: SocketAddr,
    admin: Option<TcpListener>,
) {
    select! {
        () = serve_through_outages(state.clone(), listener, address) => {}
        () = serve_admin(state.clone(), admin) => {}
        () = state.background() => {}
    }
}

async fn serve_through_outages<S: StandIn>(
    state: Arc<S>,
    listener: TcpListener,
    address: SocketAddr,
) {
    let mut listener = Some(listener);
    loop {
        let open = match listener.take() {
            Some(open) => open,
            None => rebind(address).await,
        };
        select! {
            () = accept_loop(state.clone(), open, handle_request) => {}
            () = state.faults().wait_for_down(|down| down == Down::Refuse) => {}
        }
        state.faults().wait_for_down(|down| down != Down::Refuse).await;
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn serve_admin<S: StandIn>(state: Arc<S>, admin: Option<TcpListener>) {
    match admin {
        Some(listener) => accept_loop(state, listener, handle_admin_request).await,
        None => pending().await,
    }
}

async fn accept_loop<S, F>(
    state: Arc<S>,
    listener: TcpListener,
    handler: impl Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
) where
    S: StandIn,
    F: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(state.clone(), stream, handler));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<S, F>(
    state: Arc<S>,
    stream: TcpStream,
    handler: impl Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send,
) where
    S: StandIn,
    F: Future<Output = Result<Response<Body>, Cut>> + Send,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| handler(state.clone(), req));
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request<S: StandIn>(
    state: Arc<S>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    if req.uri().path().starts_with("/admin/") {
        return handle_admin_request(state, req).await;
    }
    if let Some(error_response) = apply_faults(&*state).await {
        return Ok(error_response);
    }
    let loses_response = S::may_lose_response(req.uri().path())
        && state.faults().draw(|faults, rng| faults.as_mut().draw_lost_response(rng));
    let response = state.handle(req).await?;
    if loses_response { Err(Cut) } else { Ok(response) }
}

async fn apply_faults<S: StandIn>(state: &S) -> Option<Response<Body>> {
    let faults = state.faults();
    faults.wait_for_down(|down| down != Down::Hang).await;
    let (down, slow_ms) = faults.read(|f| (f.as_ref().down, f.as_ref().slow_ms));
    if slow_ms > 0 {
        sleep(Duration::from_millis(slow_ms)).await;
    }
    let fails = down == Down::Unavailable || faults.draw(|f, rng| f.as_mut().draw_failure(rng));
    fails.then(|| error_json(StatusCode::SERVICE_UNAVAILABLE, "unavailable", "unavailable"))
}

async fn handle_admin_request<S: StandIn>(
    state: Arc<S>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (parts, body) = req.into_parts();
    let body = read_body(body).await?;
    let outcome = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/admin/records") => {
            return Ok(json(StatusCode::OK, &state.records()));
        }
        (&Method::POST, path) => apply_admin_command(&*state, path, &body),
        _ => return Ok(empty(StatusCode::NOT_FOUND)),
    };
    Ok(match outcome {
        Ok(document) => json(StatusCode::OK, &document),
        Err(message) => error_json(StatusCode::BAD_REQUEST, "invalid", &message),
    })
}

fn apply_admin_command<S: StandIn>(state: &S, path: &str, body: &[u8]) -> Result<Value, String> {
    let document: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if path != "/admin/faults" {
        return state.admin(path, &document);
    }
    state.faults().patch(&document).map_err(|error| error.to_string())?;
    state.on_faults_changed();
    serde_json::to_value(state.faults().get()).map_err(|error| error.to_string())
}
