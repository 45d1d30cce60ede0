use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// Bytes that pass a link at once before others get their turn.
const QUANTUM_BYTES: usize = 16 * 1024;

/// A link whose bytes a second are shared by all transfers.
#[derive(Debug)]
pub struct Link {
    free_at: Mutex<Instant>,
    waiting_bytes: AtomicU64,
    passed_bytes: AtomicU64,
    busy_us: AtomicU64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
            waiting_bytes: AtomicU64::new(0),
            passed_bytes: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
        }
    }
}

impl Link {
    /// Waits until `bytes` have passed at `bytes_per_s`, sharing the link with other transfers.
    pub async fn pass(&self, bytes: usize, bytes_per_s: Option<u64>) {
        let waiting = WaitingBytes::new(self, bytes);
        let mut left = bytes;
        while left > 0 {
            let quantum = left.min(QUANTUM_BYTES);
            if let Some(rate) = bytes_per_s {
                sleep_until(self.reserve(quantum, rate)).await;
            }
            waiting.pass(quantum);
            left -= quantum;
        }
    }

    /// Bytes of transfers that have begun and not yet passed.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that have passed.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Time in which the link carried bytes.
    pub fn busy(&self) -> Duration {
        Duration::from_micros(self.busy_us.load(Ordering::Relaxed))
    }

    fn reserve(&self, bytes: usize, bytes_per_s: u64) -> Instant {
        let took = Duration::from_secs_f64(bytes as f64 / bytes_per_s.max(1) as f64);
        let mut free_at = self.free_at.lock().expect("no thread panics while reserving");
        *free_at = (*free_at).max(Instant::now()) + took;
        self.busy_us.fetch_add(took.as_micros() as u64, Ordering::Relaxed);
        *free_at
    }
}

/// Takes a transfer's bytes out of the waiting ones when it ends or is given up.
struct WaitingBytes<'a> {
    link: &'a Link,
    left: AtomicU64,
}

impl<'a> WaitingBytes<'a> {
    fn new(link: &'a Link, bytes: usize) -> Self {
        link.waiting_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        Self { link, left: AtomicU64::new(bytes as u64) }
    }

    fn pass(&self, bytes: usize) {
        self.left.fetch_sub(bytes as u64, Ordering::Relaxed);
        self.link.waiting_bytes.fetch_sub(bytes as u64, Ordering::Relaxed);
        self.link.passed_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for WaitingBytes<'_> {
    fn drop(&mut self) {
        self.link.waiting_bytes.fetch_sub(self.left.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}
