use super::{
    Desired, EngineOrder, EngineState, OrderAction, OrderConfig, OrderOutcome, PreviousWriter,
    Step, surplus::Surplus,
};
use std::time::{Duration, Instant};

/// Lease that makes this process the only writer of orders to the engine.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: u64,
    until: Instant,
}

/// Engine state with the time at which it was read.
#[derive(Clone, Debug)]
struct ObservedState {
    state: EngineState,
    read_at: Instant,
}

/// Load slot: permission to load weights, limited to a number of replicas at a time.
#[derive(Clone, Copy, Debug)]
enum Slot {
    None { request_at: Instant },
    Held { until: Instant },
}

/// State machine that decides the orders to one engine.
///
/// The writer lease is held only while there are orders to send. An order is sent only if the
/// remaining lease covers the order timeout, so that the order has completed before a successor
/// acts. If the engine does not check fencing tokens, the successor of a writer whose lease expired
/// waits until the orders of that writer have completed, and reads the state back before its first
/// order.
#[derive(Clone, Debug)]
pub struct OrderPolicy {
    cfg: OrderConfig,
    lease: Option<HeldLease>,
    /// Until this time no order is sent; state read before it is not acted on either.
    no_orders_until: Instant,
    /// Until this time every step is a wait, after a failure, a refusal or a denied lease.
    retry_at: Instant,
    observed: Option<ObservedState>,
    slot: Slot,
    slot_retry_delay: Duration,
    /// Whether a held slot is of no use during the current wait and should be released.
    is_slot_idle: bool,
    surplus: Surplus,
    /// Whether the last order was refused because the engine has no space for another version.
    is_out_of_space: bool,
}

impl OrderPolicy {
    /// Creates a policy without writer lease, load slot or engine state.
    pub fn new(now: Instant, cfg: OrderConfig) -> Self {
        Self {
            lease: None,
            no_orders_until: now,
            retry_at: now,
            observed: None,
            slot: Slot::None { request_at: now },
            slot_retry_delay: cfg.slot_retry_delay,
            is_slot_idle: false,
            surplus: Surplus::default(),
            is_out_of_space: false,
            cfg,
        }
    }

    /// Reports that the writer lease was acquired; it is valid until `until`, and `fence` is its
    /// fencing token.
    ///
    /// `previous` says whether orders of the previous writer may still be in flight.
    pub fn on_lease_acquired(
        &mut self,
        now: Instant,
        fence: u64,
        until: Instant,
        previous: PreviousWriter,
    ) {
        self.lease = Some(HeldLease { fence, until });
        self.observed = None;
        if previous == PreviousWriter::Expired && !self.cfg.checks_fencing {
            let orders_completed = now + self.cfg.lease + self.cfg.order_timeout;
            self.no_orders_until = self.no_orders_until.max(orders_completed);
            self.is_slot_idle = true;
        }
    }

    /// Reports that another writer holds the lease, or that it could not be requested.
    pub fn on_lease_denied(&mut self, now: Instant) {
        self.retry_at = now + self.cfg.retry_delay;
    }

    /// Reports that the writer lease was renewed until `until`.
    pub fn on_lease_renewed(&mut self, until: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.until = until;
        }
    }

    /// Reports that the writer lease was lost or released.
    pub fn on_lease_lost(&mut self) {
        self.lease = None;
        self.observed = None;
    }

    /// Reports the state read from the engine; `None` if the read failed.
    ///
    /// A fencing token above this writer's means that a newer writer is active; the lease is then
    /// treated as lost.
    pub fn on_state_read(&mut self, now: Instant, state: Option<EngineState>) {
        let Some(state) = state else {
            self.retry_at = now + self.cfg.retry_delay;
            return;
        };
        if self.lease.is_some_and(|lease| state.fence > lease.fence) {
            self.on_lease_lost();
        }
        self.observed = Some(ObservedState { state, read_at: now });
    }

    /// Reports the outcome of the order sent at `sent_at`.
    pub fn on_order_outcome(&mut self, now: Instant, sent_at: Instant, outcome: OrderOutcome) {
        self.observed = None;
        self.is_out_of_space = outcome == OrderOutcome::NoRoom;
        match outcome {
            OrderOutcome::CarriedOut(state) => self.on_state_read(now, Some(state)),
            OrderOutcome::OldFence => {
                self.on_lease_lost();
                self.retry_at = now + self.cfg.retry_delay;
            }
            OrderOutcome::NoRoom if self.surplus.is_empty() => {
                self.retry_at = now + self.cfg.unload_delay;
            }
            OrderOutcome::NoRoom | OrderOutcome::Refused => {
                self.retry_at = now + self.cfg.retry_delay;
            }
            OrderOutcome::Unknown => {
                self.no_orders_until = self.no_orders_until.max(sent_at + self.cfg.order_timeout);
            }
        }
    }

    /// Reports the result of a load slot request: expiry of the slot, or `None` if none was free.
    pub fn on_slot_result(&mut self, now: Instant, until: Option<Instant>) {
        self.is_slot_idle = false;
        self.slot = match until {
            Some(until) => Slot::Held { until },
            None => Slot::None { request_at: now + self.slot_retry_delay },
        };
        self.slot_retry_delay = match until {
            Some(_) => self.cfg.slot_retry_delay,
            None => (self.slot_retry_delay * 2).min(self.cfg.max_slot_retry_delay),
        };
    }

    /// Reports that the load slot was released.
    pub fn on_slot_released(&mut self, now: Instant) {
        self.is_slot_idle = false;
        self.slot = Slot::None { request_at: now };
    }

    /// Last state read from the engine; `None` if it was not read since the last order or lease
    /// change.
    pub fn engine_state(&self) -> Option<&EngineState> {
        self.observed.as_ref().map(|observed| &observed.state)
    }

    /// Returns the next step towards the desired state.
    pub fn step(&mut self, now: Instant, desired: &Desired) -> Step {
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        if now < self.no_orders_until {
            return self.wait_without_orders();
        }
        let Some(observed) = self.observed.clone().filter(|observed| self.is_valid(now, observed))
        else {
            return Step::ReadState;
        };
        self.surplus.update(now, desired, &observed.state);
        let missing: Vec<OrderAction> = desired.missing(&observed.state).collect();
        match self.next_action(now, &missing) {
            Some(action) => self.step_for_action(now, action),
            None => self.idle_step(now, &observed, &missing),
        }
    }

    fn wait_without_orders(&self) -> Step {
        match self.slot {
            Slot::Held { .. } if self.is_slot_idle => Step::ReleaseSlot,
            _ => Step::Wait(self.no_orders_until),
        }
    }

    fn is_valid(&self, now: Instant, observed: &ObservedState) -> bool {
        observed.read_at >= self.no_orders_until
            && now < observed.read_at + self.cfg.read_back_interval
    }

    /// Picks the next order. Loads come before unloads, unless the engine has no space left.
    fn next_action(&self, now: Instant, missing: &[OrderAction]) -> Option<OrderAction> {
        let unloads_first = self.is_out_of_space && !missing.is_empty() && !self.surplus.is_empty();
        if unloads_first {
            return self.surplus.first_due(now);
        }
        let can_request_slot = match self.slot {
            Slot::None { request_at } => request_at <= now,
            Slot::Held { .. } => true,
        };
        let load =
            missing.iter().find(|action| can_request_slot || !action.loads_weights()).cloned();
        let unload_cutoff = now.checked_sub(self.cfg.unload_delay);
        load.or_else(|| self.surplus.first_due(unload_cutoff?))
    }

    /// Returns the step that acquires what the action needs, the load slot before the lease, or
    /// else sends the order.
    fn step_for_action(&self, now: Instant, action: OrderAction) -> Step {
        let order_ends = now + self.cfg.order_timeout;
        let has_slot = matches!(self.slot, Slot::Held { until } if order_ends <= until);
        match self.lease {
            _ if action.loads_weights() && !has_slot => Step::AcquireSlot,
            Some(lease) if order_ends <= lease.until => {
                Step::SendOrder(EngineOrder { fence: lease.fence, action })
            }
            Some(lease) if now < lease.until => Step::Wait(lease.until),
            _ => Step::AcquireLease,
        }
    }

    fn idle_step(&self, now: Instant, observed: &ObservedState, missing: &[OrderAction]) -> Step {
        let loads_weights = missing.iter().any(OrderAction::loads_weights);
        if !loads_weights && matches!(self.slot, Slot::Held { .. }) {
            return Step::ReleaseSlot;
        }
        if self.lease.is_some_and(|lease| now < lease.until) {
            return Step::ReleaseLease;
        }
        let unload_at = self.surplus.earliest().map(|since| since + self.cfg.unload_delay);
        let request_at = match self.slot {
            Slot::None { request_at } if loads_weights => Some(request_at),
            _ => None,
        };
        let next_read = observed.read_at + self.cfg.read_back_interval;
        Step::Wait(unload_at.into_iter().chain(request_at).fold(next_read, Instant::min))
    }
}
