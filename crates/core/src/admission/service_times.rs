use super::{AdmissionConfig, Finished};
use crate::settings::Priority;
use std::time::Duration;

/// Weight of a new sample, as a divisor.
const SMOOTHING: u32 = 8;
/// A prefill this much slower than usual hints at an endpoint that turned cold, as a divisor of 2.
const SLOW_HALVES: u32 = 4;
/// Slow prefills in a row that show an endpoint turned cold.
const SLOW_IN_A_ROW: u32 = 3;
/// Prompts with fewer computed tokens say little about the time of one.
const MIN_SAMPLE_TOKENS: u32 = 100;

/// Measured times of the endpoint.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    service: Duration,
    batch_service: Duration,
    prefill_per_token: Duration,
    is_measured: bool,
    slow_samples: u32,
}

impl ServiceTimes {
    pub fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            service: cfg.service_time,
            batch_service: cfg.service_time,
            prefill_per_token: cfg.prefill_per_token,
            is_measured: false,
            slow_samples: 0,
        }
    }

    /// Mean service time of all requests.
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Mean service time of batch requests.
    pub fn batch_service(&self) -> Duration {
        self.batch_service
    }

    pub fn prefill_per_token(&self) -> Duration {
        self.prefill_per_token
    }

    /// Takes the times of a request; true if the endpoint has become much slower.
    pub fn on_finished(
        &mut self,
        priority: Priority,
        service: Duration,
        prefill: Option<Duration>,
        finished: Finished,
    ) -> bool {
        let Finished::Served { computed_tokens } = finished else { return false };
        self.service = smooth(self.service, service);
        if priority == Priority::Batch {
            self.batch_service = smooth(self.batch_service, service);
        }
        match prefill {
            Some(prefill) if computed_tokens >= MIN_SAMPLE_TOKENS => {
                self.on_prefill(prefill / computed_tokens)
            }
            _ => false,
        }
    }

    fn on_prefill(&mut self, sample: Duration) -> bool {
        if !self.is_measured {
            self.is_measured = true;
            self.prefill_per_token = sample;
            return false;
        }
        if sample * 2 <= self.prefill_per_token * SLOW_HALVES {
            self.slow_samples = 0;
            self.prefill_per_token = smooth(self.prefill_per_token, sample);
            return false;
        }
        self.slow_samples += 1;
        if self.slow_samples < SLOW_IN_A_ROW {
            return false;
        }
        // The slower time is the new normal; otherwise a lasting change would never end.
        self.slow_samples = 0;
        self.prefill_per_token = sample;
        true
    }
}

fn smooth(known: Duration, sample: Duration) -> Duration {
    (known * (SMOOTHING - 1) + sample) / SMOOTHING
}
