use cassiagw_rpc::LoadReport;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bound on what runs and waits at one endpoint.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Arc<Semaphore>,
    max_running: u32,
    max_waiting: u32,
    waiting: Arc<AtomicU32>,
}

/// Right to run one attempt; dropping it gives the slot back.
#[derive(Debug)]
pub struct Permit {
    _slot: OwnedSemaphorePermit,
}

/// Place in the queue of an endpoint.
#[derive(Debug)]
pub struct Place {
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicU32>,
}

impl Admission {
    /// Makes the bound of an endpoint.
    pub fn new(max_running: u32, max_waiting: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(max_running as usize)),
            max_running,
            max_waiting,
            waiting: Arc::default(),
        }
    }

    /// Takes a place in the queue; `None` if the queue is full.
    pub fn enter(&self) -> Option<Place> {
        let before = self.waiting.fetch_add(1, Ordering::AcqRel);
        let place = Place { slots: self.slots.clone(), waiting: self.waiting.clone() };
        (before < self.max_waiting).then_some(place)
    }

    /// Load of the endpoint as the daemon counts it.
    pub fn load(&self, boot: u64, leaving: bool) -> LoadReport {
        let credits = self.slots.available_permits() as u32;
        LoadReport {
            boot,
            running: self.max_running.saturating_sub(credits),
            waiting: self.waiting.load(Ordering::Acquire),
            waiting_tokens: 0,
            credits,
            prefill_per_token: Duration::ZERO,
            warmth_permille: 1_000,
            leaving,
        }
    }
}

impl Place {
    /// Waits for a slot.
    pub async fn wait(self) -> Option<Permit> {
        let slot = self.slots.clone().acquire_owned().await.ok()?;
        Some(Permit { _slot: slot })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
