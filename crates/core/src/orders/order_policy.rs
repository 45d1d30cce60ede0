use super::{Desired, EngineOrder, EngineState, OrderAction, OrderConfig};
use std::time::{Duration, Instant};

/// What to do next about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time; none waits for a change of lease or settings.
    Wait(Option<Instant>),
    /// Read the engine's state back and report it with [`OrderPolicy::on_state`].
    ReadState,
    /// Ask for a place among the replicas that load weights; report with [`OrderPolicy::on_slot`].
    TakeSlot,
    /// Give the place back; report with [`OrderPolicy::on_slot_returned`].
    ReturnSlot,
    /// Give an order and report what became of it with [`OrderPolicy::on_order`].
    Give(EngineOrder),
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out and left this state.
    CarriedOut(EngineState),
    /// It was not and will not be carried out: the engine has seen a newer writer.
    OldFence,
    /// It was not and will not be carried out: there is no room for another version.
    NoRoom,
    /// It was not and will not be carried out for another reason.
    Refused,
    /// It may still be carried out until the order timeout is over.
    Unknown,
}

/// Right to be the only writer of orders to an engine.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    fence: u64,
    until: Instant,
}

/// State of the engine as last read.
#[derive(Clone, Debug)]
struct Known {
    state: EngineState,
    read_at: Instant,
}

/// Place among the replicas that load weights.
#[derive(Clone, Copy, Debug)]
enum Slot {
    None { ask_at: Instant },
    Held { until: Instant },
}

/// Decides the orders to one engine.
///
/// Each step other than waiting is answered by its report before the next step is asked for. An
/// order is given only while the lease outlasts the order timeout, so that it is over before a
/// successor acts. Where the engine ignores fencing numbers, a new writer keeps quiet until the
/// orders of its predecessor are over, and reads the state back before it gives any order.
#[derive(Clone, Debug)]
pub struct OrderPolicy {
    cfg: OrderConfig,
    tenure: Option<Tenure>,
    quiet_until: Instant,
    retry_at: Instant,
    known: Option<Known>,
    slot: Slot,
    surplus: Vec<(OrderAction, Instant)>,
    lacks_room: bool,
}

impl OrderPolicy {
    /// Starts without the right to give orders.
    pub fn new(now: Instant, cfg: OrderConfig) -> Self {
        Self {
            cfg,
            tenure: None,
            quiet_until: now,
            retry_at: now,
            known: None,
            slot: Slot::None { ask_at: now },
            surplus: Vec::new(),
            lacks_room: false,
        }
    }

    /// Takes the right to give orders, which holds until `until`.
    pub fn on_tenure(&mut self, now: Instant, fence: u64, until: Instant) {
        let predecessor = self.cfg.lease + self.cfg.order_timeout;
        let quiet = if self.cfg.checks_fencing { Duration::ZERO } else { predecessor };
        self.tenure = Some(Tenure { fence, until });
        self.quiet_until = self.quiet_until.max(now + quiet);
        self.known = None;
    }

    /// Prolongs the right to give orders.
    pub fn on_renewed(&mut self, until: Instant) {
        if let Some(tenure) = &mut self.tenure {
            tenure.until = until;
        }
    }

    /// Gives the right to give orders up.
    pub fn on_tenure_lost(&mut self) {
        self.tenure = None;
        self.known = None;
    }

    /// Whether this is the writer, as far as it knows.
    pub fn has_tenure(&self) -> bool {
        self.tenure.is_some()
    }

    /// Takes the state that was read back; none if it could not be read.
    pub fn on_state(&mut self, now: Instant, state: Option<EngineState>) {
        let fence = self.tenure.map_or(0, |tenure| tenure.fence);
        match state {
            Some(state) if state.fence > fence => self.on_tenure_lost(),
            Some(state) => self.known = Some(Known { state, read_at: now }),
            None => self.retry_at = now + self.cfg.retry_pause,
        }
    }

    /// Takes what became of an order that was sent at `sent_at`.
    pub fn on_order(&mut self, now: Instant, sent_at: Instant, outcome: OrderOutcome) {
        self.known = None;
        self.lacks_room = outcome == OrderOutcome::NoRoom;
        match outcome {
            OrderOutcome::CarriedOut(state) => self.on_state(now, Some(state)),
            OrderOutcome::OldFence => self.on_tenure_lost(),
            OrderOutcome::NoRoom | OrderOutcome::Refused => {
                self.retry_at = now + self.cfg.retry_pause
            }
            OrderOutcome::Unknown => {
                self.quiet_until = self.quiet_until.max(sent_at + self.cfg.order_timeout);
            }
        }
    }

    /// Takes the place among the replicas that load weights, which holds until `until`; none if
    /// there was none.
    pub fn on_slot(&mut self, now: Instant, until: Option<Instant>) {
        self.slot = match until {
            Some(until) => Slot::Held { until },
            None => Slot::None { ask_at: now + self.cfg.slot_pause },
        };
    }

    /// Takes notice that the place was given back.
    pub fn on_slot_returned(&mut self, now: Instant) {
        self.slot = Slot::None { ask_at: now };
    }

    /// Decides what to do next.
    pub fn step(&mut self, now: Instant, desired: &Desired) -> Step {
        let Some(tenure) = self.tenure.filter(|t| now + self.cfg.order_timeout <= t.until) else {
            return Step::Wait(None);
        };
        let pause = self.quiet_until.max(self.retry_at);
        if now < pause {
            return Step::Wait(Some(pause));
        }
        let Some(known) = self.known.clone().filter(|known| now < self.next_read(known)) else {
            return Step::ReadState;
        };
        self.note_surplus(now, desired, &known.state);
        let missing: Vec<OrderAction> = desired.missing(&known.state).collect();
        if let Some(step) = self.next_load(now, tenure, &missing) {
            return step;
        }
        if let Some(action) = self.next_unload(now, &missing) {
            return Step::Give(EngineOrder { fence: tenure.fence, action });
        }
        let loads_weights = missing.iter().any(OrderAction::loads_weights);
        if !loads_weights && matches!(self.slot, Slot::Held { .. }) {
            return Step::ReturnSlot;
        }
        Step::Wait(Some(self.next_look(&known, loads_weights)))
    }

    fn next_read(&self, known: &Known) -> Instant {
        known.read_at + self.cfg.read_back_interval
    }

    /// Remembers since when each loaded thing is unwanted.
    fn note_surplus(&mut self, now: Instant, desired: &Desired, state: &EngineState) {
        let before = std::mem::take(&mut self.surplus);
        let since = |action: &OrderAction| {
            before.iter().find(|(known, _)| known == action).map_or(now, |(_, since)| *since)
        };
        self.surplus = desired
            .surplus(state)
            .map(|action| {
                let since = since(&action);
                (action, since)
            })
            .collect();
    }

    fn next_load(&self, now: Instant, tenure: Tenure, missing: &[OrderAction]) -> Option<Step> {
        if self.lacks_room && !self.surplus.is_empty() {
            return None;
        }
        let give = |action: &OrderAction| {
            Step::Give(EngineOrder { fence: tenure.fence, action: action.clone() })
        };
        let holds = |until: Instant| now + self.cfg.order_timeout <= until;
        missing.iter().find_map(|action| match self.slot {
            _ if !action.loads_weights() => Some(give(action)),
            Slot::Held { until } if holds(until) => Some(give(action)),
            Slot::None { ask_at } if now < ask_at => None,
            Slot::Held { .. } | Slot::None { .. } => Some(Step::TakeSlot),
        })
    }

    /// Unloads what was unwanted long enough, or at once where room is lacking.
    fn next_unload(&self, now: Instant, missing: &[OrderAction]) -> Option<OrderAction> {
        let is_urgent = self.lacks_room && !missing.is_empty();
        let mut due = self
            .surplus
            .iter()
            .filter(|(_, since)| is_urgent || *since + self.cfg.unload_delay <= now);
        due.next().map(|(action, _)| action.clone())
    }

    fn next_look(&self, known: &Known, loads_weights: bool) -> Instant {
        let unloads = self.surplus.iter().map(|(_, since)| *since + self.cfg.unload_delay);
        let slot = match self.slot {
            Slot::None { ask_at } if loads_weights => Some(ask_at),
            _ => None,
        };
        unloads.chain(slot).fold(self.next_read(known), Instant::min)
    }
}
