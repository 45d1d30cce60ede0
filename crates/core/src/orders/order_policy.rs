use super::{
    Desired, EngineOrder, EngineState, OrderAction, OrderConfig, OrderOutcome, Predecessor, Step,
    surplus::Surplus,
};
use std::time::{Duration, Instant};

/// Lease that makes this process the only writer of orders to the engine.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    fence: u64,
    until: Instant,
}

/// Engine state with the time at which it was read.
#[derive(Clone, Debug)]
struct Known {
    state: EngineState,
    read_at: Instant,
}

/// Load slot: permission to load weights, limited to a number of replicas at a time.
#[derive(Clone, Copy, Debug)]
enum Slot {
    None { ask_at: Instant },
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
    tenure: Option<Tenure>,
    /// Until this time no order is sent; state read before it is not acted on either.
    quiet_until: Instant,
    retry_at: Instant,
    known: Option<Known>,
    slot: Slot,
    slot_pause: Duration,
    is_slot_idle: bool,
    surplus: Surplus,
    lacks_room: bool,
}

impl OrderPolicy {
    /// Creates a policy without writer lease, load slot or engine state.
    pub fn new(now: Instant, cfg: OrderConfig) -> Self {
        Self {
            tenure: None,
            quiet_until: now,
            retry_at: now,
            known: None,
            slot: Slot::None { ask_at: now },
            slot_pause: cfg.slot_pause,
            is_slot_idle: false,
            surplus: Surplus::default(),
            lacks_room: false,
            cfg,
        }
    }

    /// Reports that the writer lease was acquired until `until`, with `fence` as fencing token.
    ///
    /// `before` says whether orders of the previous writer may still be in flight.
    pub fn on_tenure(&mut self, now: Instant, fence: u64, until: Instant, before: Predecessor) {
        self.tenure = Some(Tenure { fence, until });
        self.known = None;
        if before == Predecessor::Lapsed && !self.cfg.checks_fencing {
            let orders_over = now + self.cfg.lease + self.cfg.order_timeout;
            self.quiet_until = self.quiet_until.max(orders_over);
            self.is_slot_idle = true;
        }
    }

    /// Reports that another writer holds the lease, or that it could not be requested.
    pub fn on_tenure_refused(&mut self, now: Instant) {
        self.retry_at = now + self.cfg.retry_pause;
    }

    /// Reports that the writer lease was renewed until `until`.
    pub fn on_renewed(&mut self, until: Instant) {
        if let Some(tenure) = &mut self.tenure {
            tenure.until = until;
        }
    }

    /// Reports that the writer lease was lost or released.
    pub fn on_tenure_lost(&mut self) {
        self.tenure = None;
        self.known = None;
    }

    /// Reports the state read from the engine; `None` if the read failed.
    ///
    /// A fencing token above this writer's means that a newer writer is active; the lease is then
    /// treated as lost.
    pub fn on_state(&mut self, now: Instant, state: Option<EngineState>) {
        let Some(state) = state else {
            self.retry_at = now + self.cfg.retry_pause;
            return;
        };
        if self.tenure.is_some_and(|tenure| state.fence > tenure.fence) {
            self.on_tenure_lost();
        }
        self.known = Some(Known { state, read_at: now });
    }

    /// Reports the outcome of the order sent at `sent_at`.
    pub fn on_order(&mut self, now: Instant, sent_at: Instant, outcome: OrderOutcome) {
        self.known = None;
        self.lacks_room = outcome == OrderOutcome::NoRoom;
        match outcome {
            OrderOutcome::CarriedOut(state) => self.on_state(now, Some(state)),
            OrderOutcome::OldFence => {
                self.on_tenure_lost();
                self.retry_at = now + self.cfg.retry_pause;
            }
            OrderOutcome::NoRoom if self.surplus.is_empty() => {
                self.retry_at = now + self.cfg.unload_delay;
            }
            OrderOutcome::NoRoom | OrderOutcome::Refused => {
                self.retry_at = now + self.cfg.retry_pause;
            }
            OrderOutcome::Unknown => {
                self.quiet_until = self.quiet_until.max(sent_at + self.cfg.order_timeout);
            }
        }
    }

    /// Reports the result of a load slot request: expiry of the slot, or `None` if none was free.
    pub fn on_slot(&mut self, now: Instant, until: Option<Instant>) {
        self.is_slot_idle = false;
        self.slot = match until {
            Some(until) => Slot::Held { until },
            None => Slot::None { ask_at: now + self.slot_pause },
        };
        self.slot_pause = match until {
            Some(_) => self.cfg.slot_pause,
            None => (self.slot_pause * 2).min(self.cfg.max_slot_pause),
        };
    }

    /// Reports that the load slot was released.
    pub fn on_slot_returned(&mut self, now: Instant) {
        self.is_slot_idle = false;
        self.slot = Slot::None { ask_at: now };
    }

    /// Last state read from the engine; `None` if it was not read since the last order or lease
    /// change.
    pub fn engine_state(&self) -> Option<&EngineState> {
        self.known.as_ref().map(|known| &known.state)
    }

    /// Returns the next step towards the desired state.
    pub fn step(&mut self, now: Instant, desired: &Desired) -> Step {
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        if now < self.quiet_until {
            return self.keep_quiet();
        }
        let Some(known) = self.known.clone().filter(|known| self.is_valid(now, known)) else {
            return Step::ReadState;
        };
        self.surplus.update(now, desired, &known.state);
        let missing: Vec<OrderAction> = desired.missing(&known.state).collect();
        match self.next_action(now, &missing) {
            Some(action) => self.prepare(now, action),
            None => self.rest(now, &known, &missing),
        }
    }

    fn keep_quiet(&self) -> Step {
        match self.slot {
            Slot::Held { .. } if self.is_slot_idle => Step::ReturnSlot,
            _ => Step::Wait(self.quiet_until),
        }
    }

    fn is_valid(&self, now: Instant, known: &Known) -> bool {
        known.read_at >= self.quiet_until && now < known.read_at + self.cfg.read_back_interval
    }

    /// Picks the next order. Loads come before unloads, unless the engine has no space left.
    fn next_action(&self, now: Instant, missing: &[OrderAction]) -> Option<OrderAction> {
        let makes_room = self.lacks_room && !missing.is_empty() && !self.surplus.is_empty();
        if makes_room {
            return self.surplus.first_before(now);
        }
        let may_ask = match self.slot {
            Slot::None { ask_at } => ask_at <= now,
            Slot::Held { .. } => true,
        };
        let load = missing.iter().find(|action| may_ask || !action.loads_weights()).cloned();
        let unwanted_since = now.checked_sub(self.cfg.unload_delay);
        load.or_else(|| self.surplus.first_before(unwanted_since?))
    }

    /// Returns the step that acquires what the action needs, the load slot before the lease, or
    /// else sends the order.
    fn prepare(&self, now: Instant, action: OrderAction) -> Step {
        let order_ends = now + self.cfg.order_timeout;
        let has_slot = matches!(self.slot, Slot::Held { until } if order_ends <= until);
        match self.tenure {
            _ if action.loads_weights() && !has_slot => Step::TakeSlot,
            Some(tenure) if order_ends <= tenure.until => {
                Step::Give(EngineOrder { fence: tenure.fence, action })
            }
            Some(tenure) if now < tenure.until => Step::Wait(tenure.until),
            _ => Step::TakeTenure,
        }
    }

    fn rest(&self, now: Instant, known: &Known, missing: &[OrderAction]) -> Step {
        let loads_weights = missing.iter().any(OrderAction::loads_weights);
        if !loads_weights && matches!(self.slot, Slot::Held { .. }) {
            return Step::ReturnSlot;
        }
        if self.tenure.is_some_and(|tenure| now < tenure.until) {
            return Step::ReturnTenure;
        }
        let unload_at = self.surplus.earliest().map(|since| since + self.cfg.unload_delay);
        let ask_at = match self.slot {
            Slot::None { ask_at } if loads_weights => Some(ask_at),
            _ => None,
        };
        let next_read = known.read_at + self.cfg.read_back_interval;
        Step::Wait(unload_at.into_iter().chain(ask_at).fold(next_read, Instant::min))
    }
}
