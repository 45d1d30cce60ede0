use super::Site;
use std::time::Duration;

/// Definition of one experiment. Times are scaled down: one second stands for minutes of real time.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name used on the command line.
    pub name: &'static str,
    /// Size of the deployment.
    pub site: Site,
    /// Duration of the arrival process.
    pub duration: Duration,
    /// Number of workspaces, large ones included.
    pub workspaces: usize,
    /// Number of large workspaces; these come first in the numbering.
    pub large_workspaces: usize,
    /// Probability with which a context belongs to a large workspace.
    pub large_share: f64,
    /// Number of contexts that callers return to.
    pub contexts: usize,
    /// Minimum and maximum number of whole pieces that a context starts with.
    pub initial_pieces: (u32, u32),
    /// Mean interval between two requests with the same context.
    pub mean_interval: Duration,
    /// Probability with which the requests of a context are batch requests (long summaries).
    pub batch_share: f64,
    /// Number of tokens generated per completion.
    pub max_tokens: u32,
    /// Rate of orders per second; each order is sent twice.
    pub orders_per_second: f64,
    /// Rate per second of the additional prompts of the first workspace (the noisy neighbour),
    /// none of which returns to a context.
    pub neighbour_per_second: f64,
    /// Cache capacity of one engine, in pieces.
    pub engine_cache_pieces: usize,
    /// Cache capacity of one store, in pieces.
    pub store_cache_pieces: usize,
    /// Injected events, in the order of their times.
    pub events: Vec<Event>,
}

impl Scenario {
    /// Whether the scenario has a `TurnCold` event. If so, its engines also start cold.
    pub fn turns_cold(&self) -> bool {
        self.events.iter().any(|event| event.kind == EventKind::TurnCold)
    }
}

/// Event injected during an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the start of the trace.
    pub at: Duration,
    /// Change made by the event.
    pub kind: EventKind,
}

/// Changes that an event can make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Operators take the first availability zone out of service.
    ZoneOut,
    /// Operators bring the first availability zone back.
    ZoneIn,
    /// A third of the engines turn cold without notification.
    TurnCold,
    /// The key-value service becomes unavailable.
    KvDown,
    /// The key-value service becomes available again.
    KvUp,
}
