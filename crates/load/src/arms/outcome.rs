use crate::{
    client::{CompletionResult, OrderResult},
    trace::Arrival,
};
use std::time::Duration;

/// Result of one arrival as observed by the caller.
#[derive(Clone, Debug)]
pub enum RequestResult {
    /// Result of a completion request.
    Prompt(CompletionResult),
    /// Result of a plain service call.
    Order(OrderResult),
}

/// Results of all requests of a trace.
#[derive(Clone, Debug, Default)]
pub struct ArmOutcome {
    /// Each arrival with its result and the delay between its scheduled and its actual send time.
    pub results: Vec<(Arrival, RequestResult, Duration)>,
}

impl ArmOutcome {
    /// Completions with their arrivals and send delays. Add the send delay to a result's times to
    /// measure from the scheduled arrival time.
    pub fn completions(&self) -> impl Iterator<Item = (&Arrival, &CompletionResult, Duration)> {
        self.results.iter().filter_map(|(arrival, result, send_delay)| match result {
            RequestResult::Prompt(result) => Some((arrival, result, *send_delay)),
            RequestResult::Order(_) => None,
        })
    }

    /// Order results with their arrivals.
    pub fn orders(&self) -> impl Iterator<Item = (&Arrival, &OrderResult)> {
        self.results.iter().filter_map(|(arrival, result, _)| match result {
            RequestResult::Order(result) => Some((arrival, result)),
            RequestResult::Prompt(_) => None,
        })
    }
}
