use std::time::Duration;

/// Timing and fencing settings for the orders to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Duration of the writer lease without renewal; must be longer than `order_timeout`.
    pub lease: Duration,
    /// Upper bound on the time from sending an order until it has taken effect or never will.
    pub order_timeout: Duration,
    /// Age at which the engine's last read state expires and is read again.
    pub read_back_interval: Duration,
    /// Time for which versions and adapters stay loaded after they are no longer desired.
    pub unload_delay: Duration,
    /// Delay after a refused order, a failed read or a lease held by another writer.
    pub retry_delay: Duration,
    /// Initial delay before requesting a load slot again; doubles with each refusal. Load slots
    /// limit how many replicas load weights at the same time.
    pub slot_retry_delay: Duration,
    /// Upper bound of the delay before requesting a load slot again.
    pub max_slot_retry_delay: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            lease: Duration::from_secs(10),
            order_timeout: Duration::from_secs(5),
            read_back_interval: Duration::from_secs(5),
            unload_delay: Duration::from_secs(15),
            retry_delay: Duration::from_secs(1),
            slot_retry_delay: Duration::from_millis(250),
            max_slot_retry_delay: Duration::from_secs(60),
        }
    }
}

impl OrderConfig {
    /// Sets whether the engine checks fencing tokens.
    pub fn with_checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }
}
