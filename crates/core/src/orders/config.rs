use std::time::Duration;

/// Times that orders to one engine keep to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Time for which the lease of the only writer holds without renewal; it must be longer than
    /// the order timeout.
    pub lease: Duration,
    /// Longest time from sending an order until it is carried out or never will be.
    pub order_timeout: Duration,
    /// Time after which the engine's state is read again though nothing changed.
    pub read_back_interval: Duration,
    /// Time for which weights that nobody wants any more stay loaded.
    pub unload_delay: Duration,
    /// Pause after a refused order, a failed read or a lease that another writer holds.
    pub retry_pause: Duration,
    /// Pause before asking again for a place among the replicas that load weights; it doubles with
    /// each refusal.
    pub slot_pause: Duration,
    /// Longest pause before asking again for a place.
    pub max_slot_pause: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            lease: Duration::from_secs(10),
            order_timeout: Duration::from_secs(5),
            read_back_interval: Duration::from_secs(5),
            unload_delay: Duration::from_secs(15),
            retry_pause: Duration::from_secs(1),
            slot_pause: Duration::from_millis(250),
            max_slot_pause: Duration::from_secs(60),
        }
    }
}

impl OrderConfig {
    /// Sets whether the engine checks fencing numbers.
    pub fn with_checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }
}
