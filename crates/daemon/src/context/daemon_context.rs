use super::Metrics;
use crate::{config::Config, control::ControlHandle};
use cassiagw_core::{ids::BootId, membership::View};
use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};
use tokio::sync::watch;

/// What every part of a daemon shares.
pub struct Context {
    /// Checked settings of the process.
    pub cfg: Config,
    /// This boot of the process.
    pub boot: BootId,
    /// Settings in force and membership.
    pub control: ControlHandle,
    /// Metrics.
    pub metrics: Metrics,
    /// Start of the process.
    pub started: Instant,
    /// Turns true once when the process is asked to stop.
    pub draining: watch::Sender<bool>,
}

impl Context {
    /// Makes the context of a process that starts now.
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

    /// Settings and membership as this daemon knows them now.
    pub fn view(&self) -> Arc<View> {
        self.control.view()
    }

    /// Whether the process was asked to stop.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Seconds since the Unix epoch, for the expiry of tokens.
    pub fn unix_now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
    }
}
