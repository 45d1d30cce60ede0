use super::{
    config::{Config, Faults},
    damage::{self, Damage},
    objects::{Objects, Tier, TierFull},
};
use crate::server::{
    Body, Cut, FaultCell, Link, StandIn, empty, error_json, json, query_param, stream,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming, header::CONTENT_LENGTH};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;

/// Stand-in for a store host.
#[derive(Debug)]
pub struct Store {
    faults: FaultCell<Faults>,
    link: Link,
    disk: Link,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    records: Records,
}

/// Counters of a store host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Number of successful writes.
    pub puts: u64,
    /// Number of reads that returned a body.
    pub gets: u64,
    /// Number of reads of missing objects.
    pub misses: u64,
    /// Number of writes rejected because the tier was full.
    pub refused_full: u64,
    /// Number of reads that returned damaged, swapped or stale bytes, or whose connection was
    /// closed early.
    pub damaged_reads: u64,
    /// Bytes received in complete uploads, including rejected ones.
    pub bytes_in: u64,
    /// Bytes sent in response bodies, including partial ones.
    pub bytes_out: u64,
    /// Time for which the link was busy, in milliseconds.
    pub link_busy_ms: u64,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it changes objects")
    }

    /// Receives an object, limited by the bandwidth of the link and, for the disk tier, of the
    /// disk. An incomplete upload is discarded.
    async fn put(&self, name: &str, uri: &Uri, mut body: Incoming) -> Result<Response<Body>, Cut> {
        let Some(tier) = tier_of(uri) else { return Ok(invalid_tier()) };
        let mut received = Vec::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|_| Cut)?.into_data().unwrap_or_default();
            self.transfer(data.len(), tier).await;
            received.extend_from_slice(&data);
        }
        let mut state = self.state();
        state.records.bytes_in += received.len() as u64;
        let is_full = self.faults.read(|faults| faults.full);
        let outcome = match is_full {
            true => Err(TierFull),
            false => state.objects.put(name, received.into(), tier),
        };
        state.records.puts += u64::from(outcome.is_ok());
        state.records.refused_full += u64::from(outcome.is_err());
        Ok(outcome.map_or_else(tier_full, |()| empty(StatusCode::CREATED)))
    }

    fn get(self: &Arc<Self>, name: &str) -> Response<Body> {
        let damage = self.faults.draw(|faults, rng| damage::choose(faults, rng));
        let mut state = self.state();
        let object = state.objects.get(name);
        let tier = object.as_ref().map_or(Tier::Memory, |object| object.tier);
        let original = object.map(|object| object.body);
        let Some(body) = damage::apply(damage, &state.objects, name, original.clone()) else {
            state.records.misses += 1;
            return not_found();
        };
        let is_damaged = damage == Some(Damage::Cut) || original.as_ref() != Some(&body);
        state.records.gets += 1;
        state.records.damaged_reads += u64::from(is_damaged);
        self.object_response(body, tier, damage == Some(Damage::Cut))
    }

    fn object_response(self: &Arc<Self>, body: Bytes, tier: Tier, is_cut: bool) -> Response<Body> {
        let (tx, rx) = mpsc::channel(1);
        let length = body.len();
        let sent = if is_cut { body.slice(..length / 2) } else { body };
        tokio::spawn(self.clone().send(sent, tier, is_cut, tx));
        let mut response = stream("application/octet-stream", rx);
        response.headers_mut().insert(CONTENT_LENGTH, length.into());
        response
    }

    async fn send(
        self: Arc<Self>,
        body: Bytes,
        tier: Tier,
        is_cut: bool,
        tx: mpsc::Sender<Result<Bytes, Cut>>,
    ) {
        let mut left = body;
        while !left.is_empty() {
            let chunk = left.split_to(left.len().min(CHUNK_BYTES));
            self.transfer(chunk.len(), tier).await;
            self.state().records.bytes_out += chunk.len() as u64;
            if tx.send(Ok(chunk)).await.is_err() {
                return;
            }
        }
        if is_cut {
            let _ = tx.send(Err(Cut)).await;
        }
    }

    async fn transfer(&self, bytes: usize, tier: Tier) {
        let (link, disk) = self.faults.read(|f| (f.link_bytes_per_s, f.disk_bytes_per_s));
        if tier == Tier::Disk {
            self.disk.transfer(bytes, disk).await;
        }
        self.link.transfer(bytes, link).await;
    }

    fn head(&self, name: &str) -> Response<Body> {
        match self.state().objects.peek(name) {
            Some(object) => {
                let mut response = empty(StatusCode::OK);
                response.headers_mut().insert(CONTENT_LENGTH, object.body.len().into());
                response
            }
            None => not_found(),
        }
    }

    fn delete(&self, name: &str) -> Response<Body> {
        match self.state().objects.delete(name) {
            true => empty(StatusCode::NO_CONTENT),
            false => not_found(),
        }
    }

    fn move_to(&self, name: &str, uri: &Uri) -> Response<Body> {
        let Some(tier) = tier_of(uri) else { return invalid_tier() };
        match self.state().objects.move_to(name, tier) {
            Some(Ok(())) => empty(StatusCode::NO_CONTENT),
            Some(Err(error)) => tier_full(error),
            None => not_found(),
        }
    }

    fn list(&self, uri: &Uri) -> Response<Body> {
        let limit = query_param(uri, "limit").and_then(|limit| limit.parse().ok()).unwrap_or(100);
        let seed = query_param(uri, "seed").and_then(|seed| seed.parse().ok()).unwrap_or(0);
        let prefix = query_param(uri, "prefix").unwrap_or_default();
        let objects = self.state().objects.sample(prefix, limit, seed);
        json(StatusCode::OK, &json!({ "objects": objects }))
    }

    fn usage(&self) -> Response<Body> {
        let is_full = self.faults.read(|faults| faults.full);
        let state = self.state();
        let tier = |tier| {
            let limit = state.objects.limit(tier);
            let used = if is_full { limit } else { state.objects.used(tier) };
            json!({"used": used, "limit": limit})
        };
        let usage = json!({
            "memory": tier(Tier::Memory),
            "disk": tier(Tier::Disk),
            "link": {"waiting_bytes": self.link.waiting_bytes()},
        });
        json(StatusCode::OK, &usage)
    }
}

/// Chunk size of response bodies, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

impl StandIn for Store {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let objects = Objects::new(cfg.memory_bytes, cfg.disk_bytes);
        Self {
            faults: FaultCell::new(cfg.faults, cfg.seed),
            link: Link::default(),
            disk: Link::default(),
            state: Mutex::new(State { objects, records: Records::default() }),
        }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let (parts, body) = req.into_parts();
        let object = parts.uri.path().strip_prefix("/objects/");
        Ok(match (&parts.method, object) {
            (&Method::PUT, Some(name)) => self.put(name, &parts.uri, body).await?,
            (&Method::GET, Some(name)) => self.get(name),
            (&Method::HEAD, Some(name)) => self.head(name),
            (&Method::DELETE, Some(name)) => self.delete(name),
            (&Method::POST, Some(path)) if let Some(name) = path.strip_suffix("/move") => {
                self.move_to(name, &parts.uri)
            }
            (&Method::GET, None) if parts.uri.path() == "/objects" => self.list(&parts.uri),
            (&Method::GET, None) if parts.uri.path() == "/usage" => self.usage(),
            (&Method::GET, None) if parts.uri.path() == "/health" => empty(StatusCode::OK),
            _ => not_found(),
        })
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn on_faults_changed(&self) {
        let loses_all = self.faults.read(|faults| faults.lose_all);
        self.faults.update(|faults| faults.lose_all = false);
        if loses_all {
            self.state().objects.clear();
        }
    }

    fn records(&self) -> Records {
        let link_busy_ms = self.link.busy().as_millis() as u64;
        Records { link_busy_ms, ..self.state().records.clone() }
    }
}

fn tier_of(uri: &Uri) -> Option<Tier> {
    match query_param(uri, "tier") {
        Some("memory") | None => Some(Tier::Memory),
        Some("disk") => Some(Tier::Disk),
        Some(_) => None,
    }
}

fn invalid_tier() -> Response<Body> {
    error_json(StatusCode::BAD_REQUEST, "invalid", "tier: expected memory or disk")
}

fn tier_full(_: TierFull) -> Response<Body> {
    error_json(StatusCode::INSUFFICIENT_STORAGE, "full", "the tier is full")
}

fn not_found() -> Response<Body> {
    error_json(StatusCode::NOT_FOUND, "not_found", "no such object")
}
