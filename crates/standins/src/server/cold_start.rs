use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Load limit of a cold endpoint and the rate at which it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdConfig {
    /// Limit on concurrent requests when entirely cold.
    pub limit: f64,
    /// Increase of the limit per served request.
    pub per_request: f64,
    /// Increase of the limit per second since the start.
    pub per_s: f64,
    /// Limit at which the endpoint counts as warm and is no longer limited.
    pub warm: f64,
    /// Service time of an entirely cold endpoint relative to a warm one.
    pub slowdown: f64,
}

impl Default for ColdConfig {
    fn default() -> Self {
        Self { limit: 2.0, per_request: 0.5, per_s: 1.0, warm: 16.0, slowdown: 1.5 }
    }
}

/// Warm-up state of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    cfg: ColdConfig,
    started: Instant,
    served: u64,
}

impl ColdStart {
    /// Creates an entirely cold state that starts warming up now.
    pub fn new(cfg: ColdConfig) -> Self {
        Self { cfg, started: Instant::now(), served: 0 }
    }

    /// Makes the endpoint entirely cold again.
    pub fn reset(&mut self) {
        *self = Self::new(self.cfg);
    }

    /// Counts a served request towards the warm-up.
    pub fn on_served(&mut self) {
        self.served += 1;
    }

    /// Current limit on concurrent requests; `None` when warm.
    pub fn limit(&self) -> Option<usize> {
        let limit = self.current_limit();
        (limit < self.cfg.warm).then_some(limit as usize)
    }

    /// Scales a service time by a factor from `slowdown` (entirely cold) down to 1 (warm).
    pub fn scale(&self, time: Duration) -> Duration {
        let span = (self.cfg.warm - self.cfg.limit).max(f64::MIN_POSITIVE);
        let coldness = ((self.cfg.warm - self.current_limit()) / span).clamp(0.0, 1.0);
        time.mul_f64(1.0 + coldness * (self.cfg.slowdown - 1.0))
    }

    fn current_limit(&self) -> f64 {
        self.cfg.limit
            + self.cfg.per_request * self.served as f64
            + self.cfg.per_s * self.started.elapsed().as_secs_f64()
    }
}
