use super::{
    config::{Config, Faults},
    records::{Execution, Records},
};
use crate::server::{Body, ColdStart, Cut, FaultCell, StandIn, empty, json, read_body, unix_ms};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use rand::RngExt;
use serde_json::json;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::sleep;

/// A plain service.
#[derive(Debug)]
pub struct Service {
    faults: FaultCell<Faults>,
    boot: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    records: Records,
    cold: Option<ColdStart>,
    running: usize,
    /// Incremented when a call overloads the cold service; that call and all others running then
    /// fail.
    overloads: u64,
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while recording")
    }

    async fn execute(&self, parts: &Parts, body: &Bytes) -> Result<Response<Body>, Cut> {
        let running = Running::new(self);
        let order = self.record(parts, body);
        sleep(self.latency()).await;
        if self.state().overloads != running.overloads {
            return Err(Cut);
        }
        self.state().cold.iter_mut().for_each(ColdStart::on_served);
        let echo = String::from_utf8_lossy(body);
        Ok(json(StatusCode::OK, &json!({"order": order, "echo": echo})))
    }

    fn record(&self, parts: &Parts, body: &Bytes) -> u64 {
        let header = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut state = self.state();
        let order = state.records.executions.len() as u64 + 1;
        state.records.executions.push(Execution {
            order,
            start_ms: unix_ms(),
            method: parts.method.to_string(),
            path: path.to_owned(),
            body_hash: blake3::hash(body).to_hex().to_string(),
            key: header("idempotency-key"),
            attempt: header("x-attempt-id"),
        });
        order
    }

    fn latency(&self) -> Duration {
        let latency = Duration::from_millis(self.faults.read(|faults| faults.latency_ms));
        self.state().cold.map_or(latency, |cold| cold.scale(latency))
    }
}

impl StandIn for Service {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let faults = FaultCell::new(cfg.faults, cfg.seed);
        let boot = faults.draw(|_, rng| rng.random());
        let state = State {
            records: Records::default(),
            cold: cfg.cold.map(ColdStart::new),
            running: 0,
            overloads: 0,
        };
        Self { faults, boot, state: Mutex::new(state) }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = req.into_parts();
        match parts.uri.path() {
            "/health" => return Ok(empty(StatusCode::OK)),
            "/load" => {
                let running = self.state().running;
                let load = json!({"boot": self.boot, "running": running, "waiting": 0});
                return Ok(json(StatusCode::OK, &load));
            }
            _ => {}
        }
        let body = read_body(body).await?;
        // Runs in its own task, so that the execution completes even if the caller disconnects.
        let task = tokio::spawn(async move { self.execute(&parts, &body).await });
        task.await.unwrap_or(Err(Cut))
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn on_faults_changed(&self) {
        let turns_cold = self.faults.read(|faults| faults.turn_cold);
        self.faults.update(|faults| faults.turn_cold = false);
        if turns_cold {
            self.state().cold.iter_mut().for_each(ColdStart::reset);
        }
    }

    fn records(&self) -> Records {
        self.state().records.with_repeat_counts()
    }
}

/// Counts a running call until dropped.
struct Running<'a> {
    service: &'a Service,
    overloads: u64,
}

impl<'a> Running<'a> {
    fn new(service: &'a Service) -> Self {
        let mut state = service.state();
        state.running += 1;
        state.records.most_concurrent = state.records.most_concurrent.max(state.running);
        let overloads = state.overloads;
        let limit = state.cold.and_then(|cold| cold.limit());
        if limit.is_some_and(|limit| state.running > limit) {
            state.overloads += 1;
            state.records.overload_cold += 1;
            state.cold.iter_mut().for_each(ColdStart::reset);
        }
        Self { service, overloads }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.service.state().running -= 1;
    }
}
