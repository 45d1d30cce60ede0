//! Measures repeated prompts whose cached prefix was evicted in between, with and without a cache
//! store, in one process.
//!
//! `cargo run --release -p cassiagwd --example returning_prompts -- SEED...` prints one line per
//! seed.

#[path = "../tests/cache_world/mod.rs"]
mod cache_world;

use cache_world::{Endpoint, Outcome, PIECE_TOKENS, prompt, scope, tree};
use cassiagw_core::settings::Tree;
use cassiagw_standins::{engine, store};
use cassiagwd::endpoint::cache_moves::CacheConfig;
use futures::{StreamExt, stream};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{sync::Arc, time::Duration};

/// Number of distinct prompts.
const PROMPTS: usize = 60;
/// Number of times that each prompt is sent; the first round is not measured.
const ROUNDS: usize = 4;
/// Minimum and maximum length of a prompt, in complete pieces.
const PIECES_PER_PROMPT: (usize, usize) = (4, 20);
/// Number of engines; each prompt is always sent to the same one.
const ENGINES: usize = 2;
/// Cache capacity of each engine, in pieces.
const CACHE_PIECES: usize = 80;
/// Size of one exported piece, in bytes.
const BLOCK_BYTES: usize = 128 * 1024;
/// Bandwidth of the store's link, in bytes per second.
const LINK_BYTES_PER_S: u64 = 100 * 1024 * 1024;
/// Maximum number of concurrent requests.
const CONCURRENCY: usize = 3;

/// Results of one arm of the comparison, with or without a cache store.
struct Arm {
    /// Times to first token, sorted.
    first_token: Vec<Duration>,
    /// Share of the prompt tokens that was computed rather than read from the cache.
    computed_share: f64,
    is_whole: bool,
}

impl Arm {
    fn new(returns: &[(usize, Outcome)]) -> Self {
        let mut first_token: Vec<_> = returns.iter().map(|(_, run)| run.first_token).collect();
        first_token.sort();
        let computed: u64 = returns.iter().map(|(_, run)| u64::from(run.computed_tokens)).sum();
        let tokens: usize = returns.iter().map(|(tokens, _)| tokens).sum();
        let is_whole = returns.iter().all(|(_, run)| run.is_whole);
        Self { first_token, computed_share: computed as f64 / tokens as f64, is_whole }
    }

    fn percentile(&self, percent: usize) -> f64 {
        self.first_token[(self.first_token.len() - 1) * percent / 100].as_secs_f64() * 1e3
    }
}

#[tokio::main]
async fn main() {
    let seeds: Vec<u64> = std::env::args().skip(1).filter_map(|seed| seed.parse().ok()).collect();
    for seed in if seeds.is_empty() { vec![1, 2, 3] } else { seeds } {
        measure(seed).await;
    }
}

async fn measure(seed: u64) {
    let store = store::spawn(store_config()).await;
    let (without, _) = run_arm(seed, &tree(&[])).await;
    let (with, ideal) = run_arm(seed, &tree(&[&store])).await;
    println!(
        "seed={seed} returns={} whole={} ttft_p50_ms={:.1} ttft_p50_ms_without={:.1} \
         ttft_p50_ratio={:.2} ttft_p95_ratio={:.2} recomputed_share={:.3} \
         recomputed_share_without={:.3} recomputed_share_ideal={ideal:.3}",
        with.first_token.len(),
        with.is_whole && without.is_whole,
        with.percentile(50),
        without.percentile(50),
        with.percentile(50) / without.percentile(50),
        with.percentile(95) / without.percentile(95),
        with.computed_share,
        without.computed_share,
    );
}

/// Runs the request sequence of `seed` on new engines. Also returns the share of tokens outside
/// complete pieces, which is the least that must be recomputed.
async fn run_arm(seed: u64, tree: &Tree) -> (Arm, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let prompts: Vec<String> = (0..PROMPTS)
        .map(|n| {
            let pieces = rng.random_range(PIECES_PER_PROMPT.0..=PIECES_PER_PROMPT.1);
            prompt(&format!("p{n}x"), pieces * PIECE_TOKENS + rng.random_range(1..PIECE_TOKENS / 4))
        })
        .collect();
    let mut endpoints = Vec::new();
    for _ in 0..ENGINES {
        let endpoint = Endpoint::spawn(CacheConfig::default(), engine_config()).await;
        endpoints.push(Arc::new(Endpoint { learns_prefill: true, ..endpoint }));
    }
    let mut returns = Vec::new();
    for round in 0..ROUNDS {
        let mut order: Vec<usize> = (0..PROMPTS).collect();
        order.shuffle(&mut rng);
        let runs = order.into_iter().map(|n| {
            let (endpoint, prompt) = (endpoints[n % ENGINES].clone(), &prompts[n]);
            async move {
                let outcome = endpoint.run(tree, &scope("chiclayo", "v1"), prompt).await;
                (prompt.split_whitespace().count(), outcome)
            }
        });
        let outcomes: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENCY).collect().await;
        if round > 0 {
            returns.extend(outcomes);
        }
    }
    let tokens: usize = returns.iter().map(|(tokens, _)| tokens).sum();
    let tail: usize = returns.iter().map(|(tokens, _)| tokens % PIECE_TOKENS).sum();
    (Arm::new(&returns), tail as f64 / tokens as f64)
}

fn engine_config() -> engine::Config {
    engine::Config { cache_pieces: CACHE_PIECES, block_bytes: BLOCK_BYTES, ..Default::default() }
}

fn store_config() -> store::Config {
    let faults = store::Faults { link_bytes_per_s: Some(LINK_BYTES_PER_S), ..Default::default() };
    store::Config { faults, ..Default::default() }
}
