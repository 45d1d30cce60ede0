use super::Site;
use std::time::Duration;

/// One experiment. Times are scaled: a gap of a second stands for minutes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// What is deployed.
    pub site: Site,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Workspaces; the first `large_workspaces` of them share `large_share` of the contexts.
    pub workspaces: usize,
    /// Number of large workspaces.
    pub large_workspaces: usize,
    /// Share of all contexts that the large workspaces have.
    pub large_share: f64,
    /// Contexts that callers return to.
    pub contexts: usize,
    /// Fewest and most whole pieces of a context's first prompt.
    pub pieces: (u32, u32),
    /// Mean gap between two returns to one context.
    pub mean_gap: Duration,
    /// Share of the contexts whose requests are long summaries without a waiting person.
    pub batch_share: f64,
    /// Tokens that each answer has.
    pub max_tokens: u32,
    /// Orders that arrive each second; each is sent again once.
    pub orders_per_second: f64,
    /// Rate of the first workspace's extra requests each second, without a context.
    pub neighbour_per_second: f64,
    /// Pieces that one engine keeps.
    pub engine_pieces: usize,
    /// Pieces that one store keeps.
    pub store_pieces: usize,
    /// What happens and when.
    pub events: Vec<Event>,
}

impl Scenario {
    /// Whether engines turn cold, and so start cold too.
    pub fn turns_cold(&self) -> bool {
        self.events.iter().any(|event| event.kind == EventKind::TurnCold)
    }
}

/// Something that happens during an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time from the first arrival.
    pub at: Duration,
    /// What happens.
    pub kind: EventKind,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Operators take the first availability zone out.
    ZoneOut,
    /// Operators bring it back.
    ZoneIn,
    /// A third of the engines turn cold without a word.
    TurnCold,
    /// The key-value service stops answering.
    KvDown,
    /// The key-value service answers again.
    KvUp,
}
