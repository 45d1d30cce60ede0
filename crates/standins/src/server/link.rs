use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// Bytes that a transfer reserves at a time, so that concurrent transfers interleave.
const CHUNK_BYTES: usize = 16 * 1024;

/// Simulated network link whose bandwidth is shared by all transfers.
#[derive(Debug)]
pub struct Link {
    free_at: Mutex<Instant>,
    waiting_bytes: AtomicU64,
    transferred_bytes: AtomicU64,
    busy_us: AtomicU64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
            waiting_bytes: AtomicU64::new(0),
            transferred_bytes: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
        }
    }
}

impl Link {
    /// Waits for a transfer of `bytes` at `bytes_per_s`, sharing the link with other transfers.
    ///
    /// With `None` the bandwidth is unlimited and the bytes are counted without waiting.
    pub async fn transfer(&self, bytes: usize, bytes_per_s: Option<u64>) {
        let guard = TransferGuard::new(self, bytes);
        let mut remaining = bytes;
        while remaining > 0 {
            let chunk = remaining.min(CHUNK_BYTES);
            if let Some(rate) = bytes_per_s {
                sleep_until(self.reserve(chunk, rate)).await;
            }
            guard.mark_transferred(chunk);
            remaining -= chunk;
        }
    }

    /// Bytes of transfers in progress that have not been transferred yet.
    pub fn waiting_bytes(&self) -> u64 {
        self.waiting_bytes.load(Ordering::Relaxed)
    }

    /// Total bytes transferred so far.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.load(Ordering::Relaxed)
    }

    /// Total time that the link has been reserved by transfers.
    pub fn busy(&self) -> Duration {
        Duration::from_micros(self.busy_us.load(Ordering::Relaxed))
    }

    fn reserve(&self, bytes: usize, bytes_per_s: u64) -> Instant {
        let duration = Duration::from_secs_f64(bytes as f64 / bytes_per_s.max(1) as f64);
        let mut free_at = self.free_at.lock().expect("no thread panics while reserving");
        *free_at = (*free_at).max(Instant::now()) + duration;
        self.busy_us.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
        *free_at
    }
}

/// Counts the untransferred bytes of a transfer as waiting, until it ends or is canceled.
struct TransferGuard<'a> {
    link: &'a Link,
    remaining: AtomicU64,
}

impl<'a> TransferGuard<'a> {
    fn new(link: &'a Link, bytes: usize) -> Self {
        link.waiting_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        Self { link, remaining: AtomicU64::new(bytes as u64) }
    }

    fn mark_transferred(&self, bytes: usize) {
        self.remaining.fetch_sub(bytes as u64, Ordering::Relaxed);
        self.link.waiting_bytes.fetch_sub(bytes as u64, Ordering::Relaxed);
        self.link.transferred_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.link
            .waiting_bytes
            .fetch_sub(self.remaining.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}
