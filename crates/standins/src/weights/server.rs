use super::config::{Config, Faults};
use crate::server::{Body, Cut, FaultCell, Link, StandIn, error_json, stream, unix_ms};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// Bytes of one piece of an answer.
const CHUNK_BYTES: usize = 16 * 1024;

/// The weight store.
#[derive(Debug)]
pub struct Weights {
    cfg: Config,
    faults: FaultCell<Faults>,
    link: Link,
    records: Mutex<Records>,
}

/// One reading of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// `model/version`.
    pub name: String,
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End, in milliseconds since the Unix epoch; none while it lasts or if it was cut.
    pub end_ms: Option<u64>,
}

/// What the weight store saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Readings in order of their start.
    pub reads: Vec<ReadRecord>,
    /// Readers now.
    pub readers: usize,
    /// Most readers at once.
    pub most_readers: usize,
}

impl Weights {
    async fn send(self: Arc<Self>, name: String, tx: mpsc::Sender<Result<Bytes, Cut>>) {
        let reading = Reading::new(&self, name);
        let own = Link::default();
        let chunk = Bytes::from_static(&[7; CHUNK_BYTES]);
        let mut left = self.cfg.weight_bytes;
        while left > 0 {
            let bytes = left.min(CHUNK_BYTES);
            let rate = self.faults.read(|faults| faults.reader_bytes_per_s);
            let total = rate * self.cfg.full_rate_readers;
            tokio::join!(own.pass(bytes, Some(rate)), self.link.pass(bytes, Some(total)));
            if tx.send(Ok(chunk.slice(..bytes))).await.is_err() {
                return;
            }
            left -= bytes;
        }
        reading.finish();
    }

    fn change_records<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        change(&mut self.records.lock().expect("no thread panics while recording"))
    }
}

impl StandIn for Weights {
    type Config = Config;
    type Faults = Faults;
    type Records = Records;

    fn new(cfg: Config) -> Self {
        let faults = FaultCell::new(cfg.faults.clone(), cfg.seed);
        Self { cfg, faults, link: Link::default(), records: Mutex::default() }
    }

    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let name = match (req.method(), req.uri().path().strip_prefix("/weights/")) {
            (&Method::GET, Some(name)) => name.to_owned(),
            _ => return Ok(error_json(StatusCode::NOT_FOUND, "not_found", "no such path")),
        };
        if !self.cfg.known.is_empty() && !self.cfg.known.contains(&name) {
            return Ok(error_json(StatusCode::NOT_FOUND, "unknown_weights", "no such weights"));
        }
        let (tx, rx) = mpsc::channel(1);
        tokio::spawn(self.send(name, tx));
        Ok(stream("application/octet-stream", rx))
    }

    fn faults(&self) -> &FaultCell<Faults> {
        &self.faults
    }

    fn records(&self) -> Records {
        self.change_records(|records| records.clone())
    }
}

/// A reading that lasts; it is counted out when dropped.
struct Reading<'a> {
    weights: &'a Weights,
    index: usize,
}

impl<'a> Reading<'a> {
    fn new(weights: &'a Weights, name: String) -> Self {
        let index = weights.change_records(|records| {
            records.reads.push(ReadRecord { name, start_ms: unix_ms(), end_ms: None });
            records.readers += 1;
            records.most_readers = records.most_readers.max(records.readers);
            records.reads.len() - 1
        });
        Self { weights, index }
    }

    fn finish(&self) {
        let end_ms = Some(unix_ms());
        self.weights.change_records(|records| records.reads[self.index].end_ms = end_ms);
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.weights.change_records(|records| records.readers -= 1);
    }
}
