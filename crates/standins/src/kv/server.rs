use super::{
    api::{
        CompactionRequest, DeleteRangeRequest, LeaseRequest, LeaseResponse, PutRequest,
        RangeRequest, RequestOp, Streamed, TxnRequest, WatchRequest,
    },
    config::{Config, Faults},
    error::KvError,
    ops::State,
    rates::{CallClass, RateLimiter, Records},
    watch as watch_stream,
};
use crate::server::{Body, Cut, Down, FaultCell, StandIn, json, read_body, stream};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

/// Interval of the check for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of responses buffered per watch for a slow reader.
const WATCH_BUFFER: usize = 16;

/// The key-value service.
#[derive(Debug)]
pub struct Kv {
    /// Current faults.
    pub(super) faults: FaultCell<Faults>,
    /// Rate limits and counters.
    pub(super) rate_limiter: RateLimiter,
    /// Publishes the revision of the last change to the watches.
    pub(super) changes: watch::Sender<i64>,
    /// Interval of progress notifications.
    pub(super) progress_interval: Duration,
    state: Mutex<State>,
    leases_expire_while_down: bool,
}

impl Kv {
    /// Locks the keys and leases.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it changes keys")
    }

    /// Modifies keys or leases and notifies the watches if the revision changed.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state();
        let before = state.keys.revision();
        let outcome = change(&mut state);
        let after = state.keys.revision();
        if after != before {
            self.changes.send_replace(after);
        }
        outcome
    }

    async fn write<T: Serialize>(
        &self,
        change: impl FnOnce(&mut State) -> Result<T, KvError>,
    ) -> Result<Response<Body>, KvError> {
        self.rate_limiter.admit(CallClass::Write, &self.faults.get()).await?;
        self.change(change).map(|answer| json(StatusCode::OK, &answer))
    }

    async fn read<T: Serialize>(
        &self,
        read: impl FnOnce(&State) -> Result<T, KvError>,
    ) -> Result<Response<Body>, KvError> {
        self.rate_limiter.admit(CallClass::Read, &self.faults.get()).await?;
        read(&self.state()).map(|answer| json(StatusCode::OK, &answer))
    }

    async fn route(self: &Arc<Self>, path: &str, body: &[u8]) -> Result<Response<Body>, KvError> {
        match path {
            "/v3/kv/range" => {
                let req: RangeRequest = parse(body)?;
                self.read(|state| state.range(&req)).await
            }
            "/v3/kv/put" => {
                let req: PutRequest = parse(body)?;
                self.write(|state| state.put(&req)).await
            }
            "/v3/kv/deleterange" => {
                let req: DeleteRangeRequest = parse(body)?;
                self.write(|state| state.delete_range(&req)).await
            }
            "/v3/kv/txn" => self.txn(parse(body)?).await,
            "/v3/kv/compaction" => {
                let req: CompactionRequest = parse(body)?;
                self.write(|state| {
                    state.keys.compact(req.revision).map(|()| empty_lease_response(state))
                })
                .await
            }
            "/v3/lease/grant" => self.grant(parse(body)?).await,
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                let req: LeaseRequest = parse(body)?;
                self.write(|state| state.revoke(req.id).map(|()| empty_lease_response(state))).await
            }
            "/v3/lease/keepalive" => self.keep_alive(parse(body)?).await,
            "/v3/lease/timetolive" | "/v3/kv/lease/timetolive" => {
                let req: LeaseRequest = parse(body)?;
                self.read(|state| Ok(time_to_live(state, &req))).await
            }
            "/v3/watch" => self.watch(parse(body)?).await,
            _ => Err(KvError::UnknownPath),
        }
    }

    async fn txn(&self, req: TxnRequest) -> Result<Response<Body>, KvError> {
        let may_write = req.success.iter().chain(&req.failure).any(may_write);
        let class = if may_write { CallClass::Write } else { CallClass::Read };
        self.rate_limiter.admit(class, &self.faults.get()).await?;
        self.change(|state| state.txn(&req)).map(|answer| json(StatusCode::OK, &answer))
    }

    async fn grant(&self, req: LeaseRequest) -> Result<Response<Body>, KvError> {
        self.write(|state| {
            let id = state.leases.grant(req.id, req.ttl)?;
            Ok(LeaseResponse { id, ttl: req.ttl, ..empty_lease_response(state) })
        })
        .await
    }

    async fn keep_alive(&self, req: LeaseRequest) -> Result<Response<Body>, KvError> {
        self.rate_limiter.admit(CallClass::Read, &self.faults.get()).await?;
        let answer = self.change(|state| {
            let ttl = state.leases.keep_alive(req.id);
            LeaseResponse { id: req.id, ttl, ..empty_lease_response(state) }
        });
        Ok(json(StatusCode::OK, &Streamed { result: answer }))
    }

    async fn watch(self: &Arc<Self>, req: WatchRequest) -> Result<Response<Body>, KvError> {
        let (tx, rx) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(watch_stream::run(self.clone(), req.create_request, tx));
        Ok(stream("application/json", rx))
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        self.change(|state| {
            let expired = state.leases.expired(now);
            expired.into_iter().for_each(|id| {
                let _ = state.revoke(id);
            });
        });
    }
}

impl StandIn for Kv {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let state = Mutex::new(State::new(&cfg));
        Self {
            faults: FaultCell::new(cfg.faults, cfg.seed),
            rate_limiter: RateLimiter::new(),
            changes: watch::Sender::new(1),
            progress_interval: Duration::from_millis(cfg.progress_ms),
            state,
            leases_expire_while_down: cfg.leases_expire_while_down,
        }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = req.into_parts();
        let body = read_body(body).await?;
        if parts.uri.path() == "/health" {
            return Ok(json(StatusCode::OK, &serde_json::json!({"health": "true"})));
        }
        if parts.method != Method::POST {
            return Ok(KvError::UnknownPath.response());
        }
        self.rate_limiter.with_records(|records| {
            records.request_bytes += body.len() as u64;
            records.longest_request_bytes = records.longest_request_bytes.max(body.len() as u64);
        });
        Ok(self.route(parts.uri.path(), &body).await.unwrap_or_else(|error| error.response()))
    }

    async fn background(self: Arc<Self>) {
        loop {
            sleep(LEASE_CHECK_INTERVAL).await;
            let is_down = self.faults.read(|faults| faults.answers.down != Down::No);
            if is_down && !self.leases_expire_while_down {
                self.state().leases.renew_all();
            } else {
                self.expire_leases();
            }
        }
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn may_lose_response(path: &str) -> bool {
        let writes = [
            "/v3/kv/put",
            "/v3/kv/deleterange",
            "/v3/kv/txn",
            "/v3/lease/grant",
            "/v3/lease/revoke",
        ];
        writes.contains(&path)
    }

    fn records(&self) -> Records {
        let revision = self.state().keys.revision();
        self.rate_limiter.with_records(|records| Records { revision, ..*records })
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(body).map_err(|error| KvError::BadRequest(error.to_string()))
}

fn may_write(op: &RequestOp) -> bool {
    match op {
        RequestOp::Range(_) => false,
        RequestOp::Put(_) | RequestOp::DeleteRange(_) => true,
        RequestOp::Txn(txn) => txn.success.iter().chain(&txn.failure).any(may_write),
    }
}

/// Response that consists of a header only, because zero fields are omitted; compaction responses
/// have this form too.
fn empty_lease_response(state: &State) -> LeaseResponse {
    LeaseResponse { header: state.header(), ..LeaseResponse::default() }
}

fn time_to_live(state: &State, req: &LeaseRequest) -> LeaseResponse {
    let blank = LeaseResponse { id: req.id, ..empty_lease_response(state) };
    match state.leases.get(req.id) {
        Some(lease) => LeaseResponse {
            ttl: lease.expires.duration_since(Instant::now()).as_secs() as i64,
            granted_ttl: lease.ttl_s,
            keys: if req.keys { lease.keys.iter().cloned().collect() } else { Vec::new() },
            ..blank
        },
        None => LeaseResponse { ttl: -1, ..blank },
    }
}
