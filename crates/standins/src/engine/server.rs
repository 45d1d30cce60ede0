use super::{
    completions,
    config::{Config, Faults},
    core::Core,
    orders::{Order, OrderError},
    records::{OrderRecord, Records},
    scheduler::start_waiting,
};
use crate::{
    server::{
        Body, Cut, FaultCell, StandIn, bytes_response, empty, error_json, json, query_param,
        read_body, unix_ms,
    },
    weights::read_weights,
};
use hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming};
use rand::{RngExt, seq::SliceRandom};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::sleep;

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) cfg: Config,
    /// Active faults.
    pub(super) faults: FaultCell<Faults>,
    core: Mutex<Core>,
}

impl Engine {
    /// Locks the engine state.
    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("no thread panics while it changes the engine")
    }

    /// Age of the load figures to report.
    pub(super) fn load_lag(&self) -> Duration {
        Duration::from_millis(self.faults.read(|faults| faults.load_lag_ms))
    }

    /// Scales a service time by the cold-start slowdown and by `slow_permille`.
    pub(super) fn scale_time(&self, time: Duration) -> Duration {
        let permille = self.faults.read(|faults| faults.slow_permille);
        let cold = self.core().cold;
        cold.map_or(time, |cold| cold.scale(time)) * permille / 1_000
    }

    fn events(&self, uri: &Uri) -> Response<Body> {
        let since = query_number(uri, "since").unwrap_or(0);
        let (lag_ms, reorders) = self.faults.read(|f| (f.event_lag_ms, f.event_reorder));
        let mut page = {
            let core = self.core();
            core.events.page(core.state.boot, since, Duration::from_millis(lag_ms))
        };
        if reorders {
            self.faults.draw(|_, rng| page.events.shuffle(rng));
        }
        json(StatusCode::OK, &page)
    }

    fn export(&self, key: &str) -> Response<Body> {
        match self.core().export(key, self.cfg.block_bytes) {
            Some(block) => {
                bytes_response(StatusCode::OK, "application/octet-stream", block.to_bytes())
            }
            None => error_json(StatusCode::NOT_FOUND, "unknown_block", "no such block"),
        }
    }

    async fn import(&self, key: &str, body: Incoming) -> Result<Response<Body>, Cut> {
        let bytes = read_body(body).await.inspect_err(|_| self.core().records.cut_imports += 1)?;
        self.core().import(key, &bytes, &self.faults);
        Ok(empty(StatusCode::NO_CONTENT))
    }

    /// Handles `POST /orders`. The order runs in its own task, so it completes even if the client
    /// disconnects.
    async fn handle_order(self: Arc<Self>, body: &[u8]) -> Response<Body> {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => {
                return error_json(StatusCode::BAD_REQUEST, "invalid", &error.to_string());
            }
        };
        let outcome = tokio::spawn(self.clone().execute_order(order)).await;
        let (status, code) = match outcome {
            Ok(Ok(())) => return json(StatusCode::OK, &self.core().state),
            Ok(Err(OrderError::OldFence)) => (StatusCode::CONFLICT, "old_fence"),
            Ok(Err(OrderError::UnknownModel)) => (StatusCode::NOT_FOUND, "model_not_found"),
            Ok(Err(OrderError::NoRoom)) => (StatusCode::INSUFFICIENT_STORAGE, "no_room"),
            Ok(Err(OrderError::NoWeights)) => (StatusCode::BAD_GATEWAY, "no_weights"),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        };
        error_json(status, code, "the order was not carried out")
    }

    async fn execute_order(self: Arc<Self>, order: Order) -> Result<(), OrderError> {
        let delay_ms = self.faults.read(|faults| faults.order_delay_ms);
        self.core().records.orders_received += 1;
        sleep(Duration::from_millis(delay_ms)).await;
        let (boot, needs_weights) = self.admit_order(&order)?;
        if needs_weights {
            self.load_weights(&order).await?;
        }
        let mut core = self.core();
        // A reboot while the weights were loading discards the effect of the order.
        if core.state.boot == boot {
            core.state.apply(&order.action);
        }
        start_waiting(&self, &mut core);
        Ok(())
    }

    /// Checks and records an order; returns the boot number and whether weights must be loaded.
    fn admit_order(&self, order: &Order) -> Result<(u64, bool), OrderError> {
        let mut core = self.core();
        let is_stale = order.fence < core.state.fence;
        let admitted = core
            .state
            .check_fence(order, self.cfg.checks_fencing)
            .and_then(|()| core.state.check_action(&order.action, self.cfg.max_versions));
        core.records.orders.push(OrderRecord {
            order: order.clone(),
            start_ms: unix_ms(),
            is_accepted: admitted.is_ok(),
            is_stale,
        });
        admitted.map(|()| (core.state.boot, core.state.needs_weights(&order.action)))
    }

    async fn load_weights(&self, order: &Order) -> Result<(), OrderError> {
        match (self.cfg.weights, order.action.version()) {
            (Some(store), Some(version)) => {
                let read = read_weights(store, &self.cfg.model, version).await;
                read.map(|_| ()).map_err(|_| OrderError::NoWeights)
            }
            _ => {
                sleep(Duration::from_millis(self.cfg.load_ms)).await;
                Ok(())
            }
        }
    }

    fn next_boot(faults: &FaultCell<Faults>) -> u64 {
        faults.draw(|_, rng| rng.random())
    }
}

impl StandIn for Engine {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let faults = FaultCell::new(cfg.faults.clone(), cfg.seed);
        let core = Core::new(&cfg, Self::next_boot(&faults));
        Self { cfg, faults, core: Mutex::new(core) }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = req.into_parts();
        let path = parts.uri.path().to_owned();
        if let (&Method::PUT, Some(key)) = (&parts.method, path.strip_prefix("/kv/blocks/")) {
            return self.import(key, body).await;
        }
        let body = read_body(body).await?;
        let run = path.strip_prefix("/v1/completions/");
        Ok(match (parts.method, &path[..]) {
            (Method::POST, "/v1/completions") => completions::create(&self, &body),
            (Method::GET, _) if let Some(id) = run => {
                let offset = query_number(&parts.uri, "offset").unwrap_or(0);
                completions::resume(&self, id, offset as usize)
            }
            (Method::DELETE, _) if let Some(id) = run => completions::cancel(&self, id),
            (Method::GET, _) if let Some(key) = path.strip_prefix("/kv/blocks/") => {
                self.export(key)
            }
            (Method::GET, "/kv/events") => self.events(&parts.uri),
            (Method::GET, "/load") => json(StatusCode::OK, &self.core().loads.at(self.load_lag())),
            (Method::POST, "/orders") => self.handle_order(&body).await,
            (Method::GET, "/orders/state") => json(StatusCode::OK, &self.core().state),
            (Method::GET, "/health") => empty(StatusCode::OK),
            _ => error_json(StatusCode::NOT_FOUND, "not_found", "no such path"),
        })
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn on_faults_changed(&self) {
        let requested = self.faults.get();
        self.faults.update(|faults| {
            faults.turn_cold = false;
            faults.drop_cache = false;
            faults.crash = false;
        });
        let mut core = self.core();
        if requested.turn_cold {
            core.turn_cold();
        }
        if requested.drop_cache {
            core.drop_cache(&self.faults);
        }
        if requested.crash {
            core.reboot(&self.cfg, Self::next_boot(&self.faults));
        }
        core.sample_load(Duration::from_millis(requested.load_lag_ms));
    }

    fn records(&self) -> Records {
        self.core().records.clone()
    }
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    query_param(uri, name)?.parse().ok()
}
