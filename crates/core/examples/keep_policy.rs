//! Compares eviction by retention value with least-recently-used eviction on synthetic arrivals.
//!
//! `cargo run --release -p cassiagw-core --example keep_policy` prints one line per seed. Both
//! policies get the same arrivals, sample sizes and number of evictions.

use cassiagw_core::{
    cache::{EvictionTarget, Manifest, ReusePredictor, SampledBlock, StoreTier, plan_eviction},
    ids::{FastMap, PieceKey},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

/// Simulated time in days.
const DAYS: u64 = 3;
const DAY_S: u64 = 24 * 3_600;
const PROMPTS: u32 = 600;
const WORKSPACES: u32 = 10;
/// Capacity of the store in blocks.
const CAPACITY: usize = 4_000;
/// Number of blocks sampled for each eviction.
const SAMPLE: usize = 32;
const BLOCK_BYTES: u64 = 1 << 20;

#[derive(Clone, Copy)]
struct Prompt {
    pieces: u32,
    workspace: u32,
    /// Mean time between two arrivals; `None` for a prompt that arrives once.
    gap_s: Option<f64>,
}

#[derive(Default)]
struct Store {
    blocks: Vec<Manifest>,
    last_use_s: Vec<u64>,
    index: FastMap<PieceKey, usize>,
}

impl Store {
    fn remove(&mut self, at: usize) {
        self.index.remove(&self.blocks[at].key);
        self.blocks.swap_remove(at);
        self.last_use_s.swap_remove(at);
        if let Some(moved) = self.blocks.get(at) {
            self.index.insert(moved.key, at);
        }
    }

    fn insert(&mut self, manifest: Manifest, now_s: u64) {
        self.index.insert(manifest.key, self.blocks.len());
        self.blocks.push(manifest);
        self.last_use_s.push(now_s);
    }

    fn sample(&self, now_s: u64, rng: &mut SmallRng) -> Vec<SampledBlock> {
        let draws = (0..SAMPLE).map(|_| rng.random_range(0..self.blocks.len()));
        draws.map(|at| self.describe(at, now_s)).collect()
    }

    fn describe(&self, at: usize, now_s: u64) -> SampledBlock {
        let manifest = self.blocks[at].clone();
        SampledBlock {
            key: manifest.key,
            block: at as u128,
            tier: StoreTier::Memory,
            bytes: BLOCK_BYTES,
            idle: Duration::from_secs(now_s - self.last_use_s[at]),
            has_parent: manifest.parent.is_none_or(|parent| self.index.contains_key(&parent)),
            manifest: Some(manifest),
        }
    }
}

/// Eviction policy: returns the index of the sampled block to evict.
type EvictionPolicy = fn(&[SampledBlock]) -> usize;

fn by_value(samples: &[SampledBlock]) -> usize {
    let target = EvictionTarget { memory: 1, ..EvictionTarget::default() };
    plan_eviction(samples, target, f64::INFINITY, Duration::ZERO)[0].0
}

fn by_last_use(samples: &[SampledBlock]) -> usize {
    (0..samples.len()).max_by_key(|index| samples[*index].idle).unwrap_or(0)
}

fn key(prompt: u32, position: u32) -> PieceKey {
    PieceKey((u128::from(prompt) << 64 | u128::from(position)).to_be_bytes())
}

fn draw_prompts(rng: &mut SmallRng) -> Vec<Prompt> {
    let hours = |rng: &mut SmallRng, low: f64, high: f64| rng.random_range(low..high) * 3_600.0;
    (0..PROMPTS)
        .map(|n| {
            let gap_s = match n % 10 {
                0..4 => Some(hours(rng, 0.2, 2.0)),
                4..7 => Some(hours(rng, 8.0, 24.0)),
                _ => None,
            };
            let workspace = rng.random_range(0..WORKSPACES);
            Prompt { pieces: rng.random_range(5..60), workspace, gap_s }
        })
        .collect()
}

/// Share of the pieces of recurring prompts that are recomputed, measured after the first day.
fn recomputed_share(seed: u64, choose: EvictionPolicy) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut prompts = draw_prompts(&mut rng);
    let mut arrivals: BinaryHeap<Reverse<(u64, u32)>> =
        (0..PROMPTS).map(|n| Reverse((rng.random_range(0..DAY_S), n))).collect();
    let mut draws = SmallRng::seed_from_u64(seed + 1);
    let (mut store, start) = (Store::default(), Instant::now());
    let mut predictor = ReusePredictor::new(10_000, 100);
    let (mut needed, mut computed) = (0, 0);
    while let Some(Reverse((now_s, n))) = arrivals.pop().filter(|next| next.0.0 < DAYS * DAY_S) {
        let prompt = prompts[n as usize];
        let workspace = format!("w{}", prompt.workspace).into();
        let now = start + Duration::from_secs(now_s);
        let gap = predictor.on_request(now, &workspace, key(n, 0));
        let held = (0..prompt.pieces).take_while(|p| store.index.contains_key(&key(n, *p))).count();
        if prompt.gap_s.is_some() && now_s > DAY_S {
            needed += prompt.pieces;
            computed += prompt.pieces - held as u32;
        }
        for position in 0..prompt.pieces {
            if let Some(at) = store.index.get(&key(n, position)).copied() {
                store.last_use_s[at] = now_s;
                continue;
            }
            if store.blocks.len() == CAPACITY {
                let samples = store.sample(now_s, &mut draws);
                store.remove(samples[choose(&samples)].block as usize);
            }
            store.insert(manifest(n, position, gap), now_s);
        }
        let next = match prompt.gap_s {
            Some(gap_s) => Reverse((now_s + (gap_s * rng.random_range(0.7..1.3)) as u64 + 1, n)),
            // A prompt that arrives once is followed by a new one of the same shape.
            None => {
                prompts.push(prompt);
                Reverse((now_s + rng.random_range(0..DAY_S / 8), prompts.len() as u32 - 1))
            }
        };
        arrivals.push(next);
    }
    f64::from(computed) / f64::from(needed)
}

fn manifest(prompt: u32, position: u32, expected_gap: Duration) -> Manifest {
    Manifest {
        key: key(prompt, position),
        parent: position.checked_sub(1).map(|parent| key(prompt, parent)),
        position,
        block: 0,
        bytes: BLOCK_BYTES,
        blake3: [0; 32],
        version: "v1".into(),
        tokens: 1_000,
        recompute: Duration::from_millis(100),
        expected_gap,
        written_unix_s: 0,
        last_use_unix_s: 0,
    }
}

fn main() {
    for seed in 1..=5 {
        let by_value = recomputed_share(seed, by_value);
        let by_last_use = recomputed_share(seed, by_last_use);
        println!(
            "seed={seed} recomputed_share={by_value:.3} recomputed_share_lru={by_last_use:.3}"
        );
    }
}
