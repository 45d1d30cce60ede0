//! Prints the heap use of the data structures of the entry and endpoint daemons at several sizes,
//! in total and per item.

use cassiagw_core::{
    admission::{AdmissionConfig, AdmissionControl, AdmissionRequest, RampConfig},
    ids::{EndpointId, PieceKey, ZoneId},
    membership::View,
    routing::{EndpointLoad, PrefixIndex, Router, RouterConfig},
    settings::{EndpointEntry, Priority, Tree, ZoneEntry, ZoneState},
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::{
    alloc::System,
    sync::Arc,
    time::{Duration, Instant},
};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MODELS: usize = 15;

/// Runs `build` and returns the heap bytes that remain allocated, with its result.
fn heap_of<T>(build: impl FnOnce() -> T) -> (isize, T) {
    let region = Region::new(GLOBAL);
    let value = build();
    let change = region.change();
    (change.bytes_allocated as isize - change.bytes_deallocated as isize, value)
}

fn view(count: usize) -> View {
    let zones: Vec<String> = (0..22).map(|i| format!("zone-{i}")).collect();
    let endpoint = |i: usize| EndpointEntry {
        host: format!("host-{i:05}").into(),
        zone: zones[i % zones.len()].as_str().into(),
        model: format!("model-{}", i / zones.len() % MODELS).into(),
        rpc: ([10, 0, (i >> 8) as u8, i as u8], 7_000).into(),
        checks_fencing: false,
    };
    let zone = |i: usize| ZoneEntry { region: format!("r{}", i % 8).into(), state: ZoneState::In };
    let tree = Tree {
        zones: zones.iter().zip(0..).map(|(name, i)| (ZoneId::from(&**name), zone(i))).collect(),
        endpoints: (0..count)
            .map(|i| (EndpointId::from(format!("endpoint-{i:05}")), endpoint(i)))
            .collect(),
        ..Tree::default()
    };
    View { tree: Arc::new(tree), is_current: true, ..View::default() }
}

fn print(what: &str, count: usize, bytes: isize) {
    println!("what={what} count={count} bytes={bytes} bytes_per_item={}", bytes / count as isize);
}

fn endpoints(count: usize) {
    let now = Instant::now();
    let (tree, view) = heap_of(|| view(count));
    print("settings_tree_per_endpoint", count, tree);
    let (table, mut router) = heap_of(|| {
        let mut router = Router::new("zone-0".into(), RouterConfig::default());
        router.set_view(&view);
        router
    });
    print("router_per_endpoint", count, table);
    let load = EndpointLoad { boot: 1, credits: 8, ..EndpointLoad::default() };
    let (reports, ()) = heap_of(|| {
        for id in view.tree.endpoints.keys() {
            router.on_load(id, load.clone(), now);
            (0..4).for_each(|_| router.on_sent(now + Duration::from_millis(1), id, 100));
        }
    });
    print("reports_per_endpoint_in_use", count, reports);
}

fn prompts(count: usize) {
    let (bytes, _) = heap_of(|| {
        let mut remembered = PrefixIndex::new(count);
        for i in 0..count {
            let hash = blake3::hash(&i.to_le_bytes());
            let key = PieceKey(hash.as_bytes()[..16].try_into().expect("16 bytes"));
            remembered.record(&[key], i as u32, 1);
        }
        remembered
    });
    print("remembered_prompt", count, bytes);
}

fn workspaces(count: usize) {
    let now = Instant::now();
    let ramp = RampConfig { cold_limit: 1, warm_limit: 1, ..RampConfig::default() };
    let cfg = AdmissionConfig {
        ramp,
        max_waiting: u32::MAX,
        waiting_per_slot: u32::MAX,
        ..AdmissionConfig::default()
    };
    let (bytes, _) = heap_of(|| {
        let mut admission = AdmissionControl::new(cfg, now);
        for id in 0..count as u128 {
            let request = AdmissionRequest {
                id,
                workspace: format!("workspace-{id:05}").into(),
                weight: 1,
                priority: Priority::Interactive,
                cost_tokens: 1_000,
                prefill_tokens: 0,
                deadline: now + Duration::from_secs(100_000),
            };
            admission.enqueue(now, request).expect("the queue limits are u32::MAX");
        }
        admission
    });
    print("admission_per_waiting_workspace", count, bytes);
}

fn main() {
    [10, 100, 1_000, 12_000].into_iter().for_each(endpoints);
    [1_000, 10_000, 32_768, 100_000].into_iter().for_each(prompts);
    [10, 100, 1_000].into_iter().for_each(workspaces);
}
