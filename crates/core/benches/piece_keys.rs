//! Cost of deriving the piece keys of a prompt of 10,000 tokens, compared with a plain blake3 hash
//! and `split_whitespace` on the same text.

#![allow(missing_docs)]

use cassiagw_core::cache::{CacheScope, piece_keys};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;

fn bench(c: &mut Criterion) {
    let scope = CacheScope::new("chiclayo".into(), "order-text".into(), "v1".into());
    let prompt: String = (0..10_000).map(|n| format!("word{n} ")).collect();
    let mut group = c.benchmark_group("10000_tokens");
    group
        .bench_function("piece_keys", |b| b.iter(|| piece_keys(&scope, black_box(&prompt), 1_000)));
    group.bench_function("plain_blake3", |b| b.iter(|| blake3::hash(black_box(prompt.as_bytes()))));
    group.bench_function("split_whitespace", |b| {
        b.iter(|| black_box(&prompt).split_whitespace().map(str::len).sum::<usize>())
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
