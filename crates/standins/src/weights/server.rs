use super::config::{Config, Faults};
use crate::server::{Body, Cut, FaultCell, Link, StandIn, error_json, stream, unix_ms};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// Chunk size of response bodies, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Stand-in for a weight store.
#[derive(Debug)]
pub struct Weights {
    cfg: Config,
    faults: FaultCell<Faults>,
    link: Link,
    records: Mutex<Records>,
}

/// Record of a read of a weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// Weight version, as `model/version`.
    pub name: String,
    /// Start time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End time, in milliseconds since the Unix epoch; none if the read is in progress or was
    /// aborted.
    pub end_ms: Option<u64>,
}

/// Reads and reader counts of a weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Reads in order of their start.
    pub reads: Vec<ReadRecord>,
    /// Number of reads in progress.
    pub readers: usize,
    /// Maximum number of concurrent reads.
    pub most_readers: usize,
}

impl Weights {
    async fn send(self: Arc<Self>, name: String, tx: mpsc::Sender<Result<Bytes, Cut>>) {
        let active_read = ActiveRead::new(&self, name);
        let reader_link = Link::default();
        let chunk = Bytes::from_static(&[7; CHUNK_BYTES]);
        let mut left = self.cfg.weight_bytes;
        while left > 0 {
            let bytes = left.min(CHUNK_BYTES);
            let rate = self.faults.read(|faults| faults.reader_bytes_per_s);
            let total = rate * self.cfg.full_rate_readers;
            tokio::join!(
                reader_link.transfer(bytes, Some(rate)),
                self.link.transfer(bytes, Some(total))
            );
            if tx.send(Ok(chunk.slice(..bytes))).await.is_err() {
                return;
            }
            left -= bytes;
        }
        active_read.finish();
    }

    fn with_records<T>(&self, access: impl FnOnce(&mut Records) -> T) -> T {
        access(&mut self.records.lock().expect("no thread panics while recording"))
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
        self.with_records(|records| records.clone())
    }
}

/// A read in progress; decrements the reader count when dropped.
struct ActiveRead<'a> {
    weights: &'a Weights,
    index: usize,
}

impl<'a> ActiveRead<'a> {
    fn new(weights: &'a Weights, name: String) -> Self {
        let index = weights.with_records(|records| {
            records.reads.push(ReadRecord { name, start_ms: unix_ms(), end_ms: None });
            records.readers += 1;
            records.most_readers = records.most_readers.max(records.readers);
            records.reads.len() - 1
        });
        Self { weights, index }
    }

    fn finish(&self) {
        let end_ms = Some(unix_ms());
        self.weights.with_records(|records| records.reads[self.index].end_ms = end_ms);
    }
}

impl Drop for ActiveRead<'_> {
    fn drop(&mut self) {
        self.weights.with_records(|records| records.readers -= 1);
    }
}
