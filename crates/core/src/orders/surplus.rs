use super::{Desired, EngineState, OrderAction};
use std::time::Instant;

/// What is loaded and unwanted, with the time since when.
#[derive(Clone, Debug, Default)]
pub struct Surplus {
    unloads: Vec<(OrderAction, Instant)>,
}

impl Surplus {
    /// Takes the present state; what was unwanted before keeps its time.
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

    /// Whether nothing is unwanted.
    pub fn is_empty(&self) -> bool {
        self.unloads.is_empty()
    }

    /// The first unload whose thing was unwanted at `since` already.
    pub fn first_before(&self, since: Instant) -> Option<OrderAction> {
        let mut due = self.unloads.iter().filter(|(_, from)| *from <= since);
        due.next().map(|(action, _)| action.clone())
    }

    /// Time since when the longest unwanted thing is unwanted.
    pub fn earliest(&self) -> Option<Instant> {
        self.unloads.iter().map(|(_, since)| *since).min()
    }
}
