use super::{Desired, EngineState, OrderAction};
use std::time::Instant;

/// Unload orders for what is loaded but not desired, each with the time at which this was first
/// observed.
#[derive(Clone, Debug, Default)]
pub struct Surplus {
    unloads: Vec<(OrderAction, Instant)>,
}

impl Surplus {
    /// Recomputes the unload orders from the engine state; those known before keep their time.
    pub fn update(&mut self, now: Instant, desired: &Desired, state: &EngineState) {
        let before = std::mem::take(&mut self.unloads);
        let since = |action: &OrderAction| {
            before.iter().find(|(known, _)| known == action).map_or(now, |(_, since)| *since)
        };
        self.unloads = desired
            .surplus(state)
            .map(|action| {
                let since = since(&action);
                (action, since)
            })
            .collect();
    }

    /// Returns whether everything loaded is desired.
    pub fn is_empty(&self) -> bool {
        self.unloads.is_empty()
    }

    /// Returns the first unload order whose time is `cutoff` or earlier; `None` if there is none.
    pub fn first_due(&self, cutoff: Instant) -> Option<OrderAction> {
        let mut due = self.unloads.iter().filter(|(_, since)| *since <= cutoff);
        due.next().map(|(action, _)| action.clone())
    }

    /// Time of the oldest unload order; `None` if there is none.
    pub fn earliest(&self) -> Option<Instant> {
        self.unloads.iter().map(|(_, since)| *since).min()
    }
}
