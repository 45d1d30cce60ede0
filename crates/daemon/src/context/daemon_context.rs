use super::Metrics;
use crate::{config::Config, control::ControlHandle};
use cassiagw_core::{ids::BootId, membership::View};
use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};
use tokio::sync::watch;

/// State shared by all components of a daemon.
pub struct Context {
    /// Validated configuration of the process.
    pub cfg: Config,
    /// Random ID of this run of the process; a restarted daemon has a new one.
    pub boot: BootId,
    /// Access to the current settings and membership.
    pub control: ControlHandle,
    /// Instruments of this daemon, exported at `/metrics`.
    pub metrics: Metrics,
    /// Time when this context was made, at process start.
    pub started: Instant,
    /// Set to true when shutdown is requested; never reset.
    pub draining: watch::Sender<bool>,
}

impl Context {
    /// Makes the context of a process that starts now, with new metrics.
    pub fn new(cfg: Config, boot: BootId, control: ControlHandle) -> Self {
        Self {
            cfg,
            boot,
            control,
            metrics: Metrics::new(),
            started: Instant::now(),
            draining: watch::Sender::new(false),
        }
    }

    /// Returns the settings and membership that this daemon currently knows.
    pub fn view(&self) -> Arc<View> {
        self.control.view()
    }

    /// Whether shutdown was requested.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Seconds since the Unix epoch, for token expiry checks; 0 if the clock is before the epoch.
    pub fn unix_now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
    }
}
