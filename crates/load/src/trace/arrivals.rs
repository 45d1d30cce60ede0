use super::words::{append_words, exponential};
use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};

/// Tokens in one piece of cache.
pub const PIECE_TOKENS: u32 = 1_000;
/// Fewest and most tokens that a return adds to its context.
const TURN_TOKENS: (u32, u32) = (40, 260);
/// Time after which an order is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(300);

/// Arrivals in the order of their times.
#[derive(Clone, Debug)]
pub struct Trace {
    /// All arrivals.
    pub arrivals: Vec<Arrival>,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start.
    pub at: Duration,
    /// Workspace of the caller.
    pub workspace: String,
    /// What is asked for.
    pub kind: ArrivalKind,
}

/// Kinds of requests.
#[derive(Clone, Debug)]
pub enum ArrivalKind {
    /// A completion of a prompt.
    Prompt {
        /// Number of the context.
        context: usize,
        /// Prompt.
        prompt: Arc<str>,
        /// Tokens of the prompt.
        tokens: u32,
        /// Whether a person waits.
        is_interactive: bool,
        /// Whether the context was seen before.
        is_return: bool,
    },
    /// An order that must not run twice.
    Order {
        /// Its key.
        key: String,
    },
}

/// A context that callers return to.
struct Context {
    workspace: String,
    text: String,
    tokens: u32,
    is_batch: bool,
}

impl Trace {
    /// Draws the arrivals of a scenario.
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

    /// The same arrivals without those that `drop` names.
    pub fn without(&self, drop: impl Fn(&Arrival) -> bool) -> Self {
        let arrivals = self.arrivals.iter().filter(|arrival| !drop(arrival)).cloned().collect();
        Self { arrivals }
    }
}

/// Name of a workspace.
pub fn workspace_name(index: usize) -> String {
    format!("ws-{index}")
}

fn draw_context(scenario: &Scenario, index: usize, rng: &mut StdRng) -> Context {
    let is_large = rng.random_bool(scenario.large_share);
    let workspace = match is_large {
        true => rng.random_range(0..scenario.large_workspaces),
        false => rng.random_range(scenario.large_workspaces..scenario.workspaces),
    };
    let (fewest, most) = scenario.pieces;
    let tokens = rng.random_range(fewest..=most) * PIECE_TOKENS;
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
    let mean_gap = scenario.mean_gap.as_secs_f64();
    let mut at = rng.random_range(0.0..mean_gap);
    let mut is_return = false;
    while at < scenario.duration.as_secs_f64() {
        let added = rng.random_range(TURN_TOKENS.0..=TURN_TOKENS.1);
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
        at += mean_gap / 4.0 + exponential(mean_gap * 0.75, rng);
    }
}

fn add_orders(scenario: &Scenario, arrivals: &mut Vec<Arrival>, rng: &mut StdRng) {
    if scenario.orders_per_second <= 0.0 {
        return;
    }
    let mean_gap = 1.0 / scenario.orders_per_second;
    let mut at = exponential(mean_gap, rng);
    while at < scenario.duration.as_secs_f64() {
        let workspace = workspace_name(rng.random_range(0..scenario.workspaces));
        let key = format!("order-{:016x}", rng.random::<u64>());
        let first = Duration::from_secs_f64(at);
        for at in [first, first + RESEND_AFTER] {
            let kind = ArrivalKind::Order { key: key.clone() };
            arrivals.push(Arrival { at, workspace: workspace.clone(), kind });
        }
        at += exponential(mean_gap, rng);
    }
}

/// Adds fresh prompts of the first workspace, each of two pieces.
fn add_neighbour(scenario: &Scenario, arrivals: &mut Vec<Arrival>, rng: &mut StdRng) {
    if scenario.neighbour_per_second <= 0.0 {
        return;
    }
    let mean_gap = 1.0 / scenario.neighbour_per_second;
    let mut at = exponential(mean_gap, rng);
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
        at += exponential(mean_gap, rng);
    }
}
