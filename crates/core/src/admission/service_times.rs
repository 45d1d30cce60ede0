use super::{AdmissionConfig, RequestOutcome};
use crate::settings::Priority;
use std::time::Duration;

/// A new sample has a weight of 1/8 in the moving averages.
const SMOOTHING_DIVISOR: u32 = 8;
/// Time per token above which a prefill is slow, in halves of the average: 4 is twice the average.
const SLOW_FACTOR_HALVES: u32 = 4;
/// Consecutive slow prefills after which the endpoint counts as cold.
const SLOW_STREAK: u32 = 3;
/// Prefills of fewer tokens are not sampled: fixed costs would distort the time per token.
const MIN_SAMPLE_TOKENS: u32 = 100;

/// Moving averages of the endpoint's service and prefill times.
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

    /// Mean service time of completed requests of both priorities.
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Mean service time of completed batch requests.
    pub fn batch_service(&self) -> Duration {
        self.batch_service
    }

    pub fn prefill_per_token(&self) -> Duration {
        self.prefill_per_token
    }

    /// Samples the times of a completed request. Returns true if prefills have become so slow that
    /// the endpoint appears to have turned cold.
    pub fn on_finished(
        &mut self,
        priority: Priority,
        service: Duration,
        prefill: Option<Duration>,
        outcome: RequestOutcome,
    ) -> bool {
        let RequestOutcome::Served { computed_tokens } = outcome else { return false };
        self.service = moving_average(self.service, service);
        if priority == Priority::Batch {
            self.batch_service = moving_average(self.batch_service, service);
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
        if sample * 2 <= self.prefill_per_token * SLOW_FACTOR_HALVES {
            self.slow_samples = 0;
            self.prefill_per_token = moving_average(self.prefill_per_token, sample);
            return false;
        }
        self.slow_samples += 1;
        if self.slow_samples < SLOW_STREAK {
            return false;
        }
        // Adopts the slower time as the average. Otherwise a lasting slowdown would be reported
        // again after every few prefills.
        self.slow_samples = 0;
        self.prefill_per_token = sample;
        true
    }
}

fn moving_average(average: Duration, sample: Duration) -> Duration {
    (average * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
}
