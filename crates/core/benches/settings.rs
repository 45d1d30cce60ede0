//! Cost of settings tree operations at the design size and, for comparison, at a tenth of it. If
//! `MEMORY` is set to a number of workspaces, prints the memory of one tree of that size instead.

use cassiagw_core::settings::{
    Change, Edit, Principal, TokenHash, Tree, check, decode_snapshot, encode_snapshot,
};
use criterion::{Criterion, criterion_group, criterion_main};
use serde_json::json;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::{alloc::System, hint::black_box, sync::Arc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Builds a tree; the design size is 6,000 workspaces and 12,000 endpoints.
fn tree(workspaces: usize) -> Tree {
    let token = |text: String| serde_json::to_value(TokenHash::of(&text)).expect("hash serializes");
    let zones = (0..22).map(|n| {
        Change::new(format!("zones/z{n}"), json!({"region": format!("r{}", n % 8), "state": "in"}))
    });
    let models = (0..15).map(|n| {
        let value = json!({"kind": "engine", "versions": ["v1"], "default_version": "v1"});
        Change::new(format!("models/m{n}"), value)
    });
    let endpoints = (0..workspaces * 2).map(|n| {
        let value = json!({
            "host": format!("host-{n:05}"), "zone": format!("z{}", n % 22),
            "model": format!("m{}", n % 15), "rpc": "10.0.0.1:7001",
        });
        Change::new(format!("endpoints/endpoint-{n:05}"), value)
    });
    let owners = (0..workspaces).flat_map(|n| {
        let access = json!({
            "workspace": format!("w{n:04}"), "token": token(format!("team{n}")),
            "models": ["m1", "m2"],
        });
        [
            Change::new(format!("workspaces/w{n:04}"), json!({"weight": 1})),
            Change::new(format!("access/t{n:04}"), access),
            Change::new(
                format!("teams/t{n:04}/callers/main"),
                json!({"token": token(format!("caller{n}"))}),
            ),
            Change::new(format!("teams/t{n:04}/serving/m1"), json!({})),
        ]
    });
    let changes = zones.chain(models).chain(endpoints).chain(owners).collect();
    let mut tree = Tree::default();
    tree.apply(1, &Edit { by: "operator".into(), at: 0, changes });
    tree
}

/// Decodes a tree from a snapshot, as a daemon does, and prints its memory use.
fn print_memory(workspaces: usize) {
    let snapshot = encode_snapshot(&tree(workspaces));
    let region = Region::new(GLOBAL);
    let held = decode_snapshot(1, &snapshot).expect("valid snapshot");
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    println!("workspaces={workspaces} endpoints={} tree_bytes={bytes}", held.endpoints.len());
}

fn bench(c: &mut Criterion) {
    if let Some(workspaces) = std::env::var("MEMORY").ok().and_then(|text| text.parse().ok()) {
        return print_memory(workspaces);
    }
    for workspaces in [600, 6_000] {
        let tree = Arc::new(tree(workspaces));
        let change = Change::new("zones/z3", json!({"region": "r3", "state": "out"}));
        let edit = Edit { by: "operator".into(), at: 0, changes: vec![change.clone()] };
        let own = Change::new("teams/t0005/serving/m2", json!({"priority": "batch"}));
        let snapshot = encode_snapshot(&tree);
        println!("workspaces={workspaces} snapshot_bytes={}", snapshot.len());
        c.bench_function(&format!("apply_to_shared_tree/{workspaces}"), |b| {
            b.iter(|| {
                let mut next = tree.clone();
                Arc::make_mut(&mut next).apply(2, &edit);
                black_box(next)
            });
        });
        c.bench_function(&format!("check_zone_out/{workspaces}"), |b| {
            b.iter(|| check(&tree, &Principal::Operator, black_box(std::slice::from_ref(&change))));
        });
        let team = Principal::Team("t0005".into());
        c.bench_function(&format!("check_team_change/{workspaces}"), |b| {
            b.iter(|| check(&tree, &team, black_box(std::slice::from_ref(&own))));
        });
        c.bench_function(&format!("authenticate/{workspaces}"), |b| {
            b.iter(|| tree.authenticate(black_box("caller17"), 0));
        });
        let mut group = c.benchmark_group("whole");
        group.sample_size(10);
        group.bench_function(format!("decode_snapshot/{workspaces}"), |b| {
            b.iter(|| decode_snapshot(1, black_box(&snapshot)));
        });
        group.bench_function(format!("encode_snapshot/{workspaces}"), |b| {
            b.iter(|| encode_snapshot(black_box(&tree)));
        });
        group.finish();
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
