use crate::{
    drive::{CompletionResult, OrderResult},
    trace::Arrival,
};
use std::time::Duration;

/// What a caller saw of one arrival.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A completion.
    Prompt(CompletionResult),
    /// A call of a plain service.
    Order(OrderResult),
}

/// What callers saw of a whole trace.
#[derive(Clone, Debug, Default)]
pub struct ArmOutcome {
    /// Each arrival with what its caller saw and how late it was sent.
    pub seen: Vec<(Arrival, Seen, Duration)>,
}

impl ArmOutcome {
    /// Completions with their arrivals; the time to the first token counts from the arrival's
    /// time in the trace.
    pub fn completions(&self) -> impl Iterator<Item = (&Arrival, &CompletionResult, Duration)> {
        self.seen.iter().filter_map(|(arrival, seen, late)| match seen {
            Seen::Prompt(result) => Some((arrival, result, *late)),
            Seen::Order(_) => None,
        })
    }

    /// Orders with their arrivals.
    pub fn orders(&self) -> impl Iterator<Item = (&Arrival, &OrderResult)> {
        self.seen.iter().filter_map(|(arrival, seen, _)| match seen {
            Seen::Order(result) => Some((arrival, result)),
            Seen::Prompt(_) => None,
        })
    }
}
