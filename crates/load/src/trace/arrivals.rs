use super::words::{append_words, exponential};
use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};

/// Number of tokens per cache piece.
pub const PIECE_TOKENS: u32 = 1_000;
/// Minimum and maximum number of tokens that each request adds to its context.
const ADDED_TOKENS: (u32, u32) = (40, 260);
/// Delay after which each order is sent a second time.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Sequence of arrivals, sorted by time.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Arrivals, sorted by time.
    pub arrivals: Vec<Arrival>,
}

/// Scheduled request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the trace.
    pub at: Duration,
    /// Name of the workspace of the caller.
    pub workspace: String,
    /// Request to send.
    pub kind: ArrivalKind,
}

/// Kind of a request with its content.
#[derive(Clone, Debug)]
pub enum ArrivalKind {
    /// Completion request.
    Prompt {
        /// Index of the context that the prompt extends.
        context: usize,
        /// Prompt text.
        prompt: Arc<str>,
        /// Number of tokens in the prompt.
        tokens: u32,
        /// Whether the request is interactive rather than batch.
        is_interactive: bool,
        /// Whether an earlier arrival used the same context.
        is_return: bool,
    },
    /// Order that must be executed at most once.
    Order {
        /// Idempotency key.
        key: String,
    },
}

/// Growing prompt that callers send repeatedly.
struct Context {
    workspace: String,
    text: String,
    tokens: u32,
    is_batch: bool,
}

impl Trace {
    /// Generates the arrivals of a scenario; the same seed gives the same trace.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for index in 0..scenario.contexts {
            let context = draw_context(scenario, index, &mut rng);
            add_returns(scenario, index, context, &mut arrivals, &mut rng);
        }
        add_orders(scenario, &mut arrivals, &mut rng);
        add_neighbour(scenario, &mut arrivals, &mut rng);
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }

    /// Returns a copy of the trace without the arrivals for which `drop` returns true.
    pub fn without(&self, drop: impl Fn(&Arrival) -> bool) -> Self {
        let arrivals = self.arrivals.iter().filter(|arrival| !drop(arrival)).cloned().collect();
        Self { arrivals }
    }
}

/// Name of the workspace with this index.
pub fn workspace_name(index: usize) -> String {
    format!("ws-{index}")
}

fn draw_context(scenario: &Scenario, index: usize, rng: &mut StdRng) -> Context {
    let is_large = rng.random_bool(scenario.large_share);
    let workspace = match is_large {
        true => rng.random_range(0..scenario.large_workspaces),
        false => rng.random_range(scenario.large_workspaces..scenario.workspaces),
    };
    let (min_pieces, max_pieces) = scenario.initial_pieces;
    let tokens = rng.random_range(min_pieces..=max_pieces) * PIECE_TOKENS;
    let mut text = format!("context{index}");
    append_words(&mut text, tokens - 1, rng);
    let is_batch = rng.random_bool(scenario.batch_share);
    Context { workspace: workspace_name(workspace), text, tokens, is_batch }
}

fn add_returns(
    scenario: &Scenario,
    index: usize,
    mut context: Context,
    arrivals: &mut Vec<Arrival>,
    rng: &mut StdRng,
) {
    let mean_interval = scenario.mean_interval.as_secs_f64();
    let mut at = rng.random_range(0.0..mean_interval);
    let mut is_return = false;
    while at < scenario.duration.as_secs_f64() {
        let added = rng.random_range(ADDED_TOKENS.0..=ADDED_TOKENS.1);
        append_words(&mut context.text, added, rng);
        context.tokens += added;
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            workspace: context.workspace.clone(),
            kind: ArrivalKind::Prompt {
                context: index,
                prompt: context.text.as_str().into(),
                tokens: context.tokens,
                is_interactive: !context.is_batch,
                is_return,
            },
        });
        is_return = true;
        at += mean_interval / 4.0 + exponential(mean_interval * 0.75, rng);
    }
}

fn add_orders(scenario: &Scenario, arrivals: &mut Vec<Arrival>, rng: &mut StdRng) {
    if scenario.orders_per_second <= 0.0 {
        return;
    }
    let mean_interval = 1.0 / scenario.orders_per_second;
    let mut at = exponential(mean_interval, rng);
    while at < scenario.duration.as_secs_f64() {
        let workspace = workspace_name(rng.random_range(0..scenario.workspaces));
        let key = format!("order-{:016x}", rng.random::<u64>());
        let first = Duration::from_secs_f64(at);
        for at in [first, first + RESEND_DELAY] {
            let kind = ArrivalKind::Order { key: key.clone() };
            arrivals.push(Arrival { at, workspace: workspace.clone(), kind });
        }
        at += exponential(mean_interval, rng);
    }
}

/// Adds prompts of the noisy neighbour: the first workspace sends unrelated prompts of two pieces.
fn add_neighbour(scenario: &Scenario, arrivals: &mut Vec<Arrival>, rng: &mut StdRng) {
    if scenario.neighbour_per_second <= 0.0 {
        return;
    }
    let mean_interval = 1.0 / scenario.neighbour_per_second;
    let mut at = exponential(mean_interval, rng);
    let mut context = scenario.contexts;
    while at < scenario.duration.as_secs_f64() {
        let tokens = 2 * PIECE_TOKENS;
        let mut text = format!("neighbour{context}");
        append_words(&mut text, tokens - 1, rng);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            workspace: workspace_name(0),
            kind: ArrivalKind::Prompt {
                context,
                prompt: text.into(),
                tokens,
                is_interactive: true,
                is_return: false,
            },
        });
        context += 1;
        at += exponential(mean_interval, rng);
    }
}
