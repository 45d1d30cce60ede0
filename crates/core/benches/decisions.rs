//! Cost of one routing decision and of applying a view, by number of endpoints, of one choice of an
//! endpoint by a forwarding daemon, by number of other daemons, and of one admission decision, by
//! number of queued requests.
//!
//! The baseline of the routing benchmark scans every endpoint of the model for each request.

use cassiagw_core::{
    admission::{AdmissionConfig, AdmissionControl, AdmissionRequest, RampConfig, RequestOutcome},
    forwarding::{
        DaemonRanks, EndpointEntry as ForwardEntry, EndpointPhase, EndpointTable, EndpointWork,
        ModelEngine, PickRequest, Prompt, PromptPart, Service, part_key,
    },
    ids::{EndpointId, PieceKey, ZoneId},
    membership::View,
    routing::{EndpointLoad, RouteRequest, Router, RouterConfig},
    settings::{EndpointEntry, Priority, Tree, ZoneEntry, ZoneState},
};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::StdRng};
use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

/// Numbers of endpoints.
const SIZES: [usize; 4] = [10, 100, 1_000, 12_000];
/// Endpoints among which a forwarding daemon chooses.
const FORWARD_ENDPOINTS: usize = 180;
/// Distinct prompts that are routed in turn.
const PROMPTS: usize = 4_096;

fn view(count: usize) -> View {
    let zones = ["z0", "z1", "z2"];
    let endpoint = |i: usize| EndpointEntry {
        host: format!("h{i}").into(),
        zone: zones[i % zones.len()].into(),
        model: "m".into(),
        rpc: ([10, 0, (i >> 8) as u8, i as u8], 7_000).into(),
        checks_fencing: false,
    };
    let zone = ZoneEntry { region: "r".into(), state: ZoneState::In };
    let tree = Tree {
        zones: zones.iter().map(|name| (ZoneId::from(*name), zone.clone())).collect(),
        endpoints: (0..count).map(|i| (EndpointId::from(format!("e{i}")), endpoint(i))).collect(),
        ..Tree::default()
    };
    View { tree: Arc::new(tree), is_current: true, ..View::default() }
}

fn load() -> EndpointLoad {
    EndpointLoad {
        boot: 1,
        credits: 8,
        prefill_per_token: Duration::from_micros(100),
        warmth_permille: 1_000,
        ..EndpointLoad::default()
    }
}

fn prompts() -> Vec<Vec<PieceKey>> {
    let piece = |prompt: usize, i: usize| {
        let hash = blake3::hash(format!("{prompt}/{i}").as_bytes());
        PieceKey(hash.as_bytes()[..16].try_into().expect("16 bytes"))
    };
    (0..PROMPTS).map(|prompt| (0..8).map(|i| piece(prompt, i)).collect()).collect()
}

/// Baseline: compares every endpoint by its estimated time, then by its rendezvous weight.
fn scan(endpoints: &[(u64, EndpointLoad)], root: u64) -> Option<usize> {
    let cost = |(hash, load): &(u64, EndpointLoad)| {
        let weight = (hash ^ root).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (load.expected_wait + load.prefill_per_token * 8_000, weight)
    };
    (0..endpoints.len()).min_by_key(|index| cost(&endpoints[*index]))
}

fn routing(c: &mut Criterion) {
    let prompts = prompts();
    let mut group = c.benchmark_group("route_request");
    for count in SIZES {
        let now = Instant::now();
        let mut router = Router::new("z0".into(), RouterConfig::default());
        router.set_view(&view(count));
        (0..count).for_each(|i| router.on_load(&format!("e{i}"), load(), now));
        let mut rng = StdRng::seed_from_u64(1);
        let mut next = prompts.iter().cycle();
        group.bench_function(BenchmarkId::new("candidates", count), |b| {
            b.iter(|| {
                let req = RouteRequest {
                    model: "m",
                    pieces: next.next().expect("cycle does not end"),
                    piece_tokens: 1_000,
                    prompt_tokens: 8_200,
                    time_left: Duration::from_secs(60),
                    ..RouteRequest::default()
                };
                black_box(router.choose(now, &req, &mut rng))
            })
        });
        let endpoints: Vec<(u64, EndpointLoad)> =
            (0..count as u64).map(|i| (i.wrapping_mul(0x517c_c1b7_2722_0a95), load())).collect();
        let mut root = 0u64;
        group.bench_function(BenchmarkId::new("full_scan", count), |b| {
            b.iter(|| {
                root += 1;
                black_box(scan(&endpoints, root))
            })
        });
    }
    group.finish();
}

/// A service and a daemon's table of its endpoints, at which all other daemons have requests.
fn forward_table(now: Instant, service: &Service, daemons: usize) -> EndpointTable {
    let mut table = EndpointTable::new("z0".into());
    let names: Vec<String> = (1..daemons).map(|number| format!("d{number}")).collect();
    table.set_daemons(DaemonRanks::new("d0", names.iter().map(String::as_str)));
    let mut work = Vec::new();
    for number in 0..FORWARD_ENDPOINTS {
        let entry = ForwardEntry {
            id: format!("e{number}").into(),
            service: service.name.clone(),
            version: "v1".into(),
            address: ([127, 0, 0, 1], 9).into(),
            zone: "z0".into(),
            slots: 6,
            phase: EndpointPhase::Ready,
            cold_left: Duration::ZERO,
            started_unix_ms: Some(1),
            weights: vec![("m".into(), 1)],
        };
        work.push(EndpointWork { endpoint: entry.id.clone(), requests: 1, ..Default::default() });
        table.insert(now, entry.clone());
        table.on_answer(now, &entry.id, Some((3, 0)));
        table.on_work_time(now, &entry, 120.0);
    }
    for name in names {
        table.on_peer_work(now, now, name.as_str().into(), work.clone());
    }
    table
}

fn forwarding(c: &mut Criterion) {
    let mut group = c.benchmark_group("pick_endpoint");
    let models = vec!["m".into()];
    let engine = ModelEngine { slots: 640, memory_tokens: 80_000_000, models };
    for (kind, engine) in [("prompt", Some(engine)), ("plain", None)] {
        let service = Service { name: "s".into(), cold_per_s: 0.0, health_path: None, engine };
        for daemons in [1, 48, 580] {
            let now = Instant::now();
            let table = forward_table(now, &service, daemons);
            let part = |id: &str, tokens| PromptPart { id: id.to_owned(), tokens };
            let parts = vec![part("shared", 8_000), part("own", 2_000)];
            let prompt = Prompt { model: "m".into(), tokens: 10_000, max_output: 50, parts };
            let prompt = service.engine.is_some().then_some(&prompt);
            let mut req = PickRequest {
                service: &service,
                prompt,
                part: prompt.and_then(|prompt| part_key("m/1/", prompt)),
                stored_in: &[],
                excluded: &[],
                may_expose: false,
                versions: None,
                old_weights_limit: Duration::from_secs(6),
                tie_breaker: 0,
            };
            group.bench_function(BenchmarkId::new(kind, daemons), |b| {
                b.iter(|| {
                    req.tie_breaker += 1;
                    black_box(table.pick(now, &req))
                })
            });
        }
    }
    group.finish();
}

fn views(c: &mut Criterion) {
    let mut group = c.benchmark_group("set_view");
    group.sample_size(20);
    for count in SIZES {
        let full_view = view(count);
        let mut draining_view = full_view.clone();
        draining_view.leaving = Arc::new(["h0".into()].into_iter().collect());
        let mut router = Router::new("z0".into(), RouterConfig::default());
        group.bench_function(BenchmarkId::new("unchanged", count), |b| {
            b.iter(|| router.set_view(&full_view))
        });
        group.bench_function(BenchmarkId::new("host_leaves_and_returns", count), |b| {
            b.iter(|| {
                router.set_view(&draining_view);
                router.set_view(&full_view);
            })
        });
    }
    group.finish();
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit_request");
    for waiting in [1u128, 16, 250] {
        let now = Instant::now();
        let ramp = RampConfig { cold_limit: 1_000, warm_limit: 1_000, ..RampConfig::default() };
        let cfg = AdmissionConfig {
            ramp: RampConfig { cold_limit: 1, warm_limit: 1, ..ramp },
            max_waiting: 1_000,
            waiting_per_slot: 1_000,
            ..AdmissionConfig::default()
        };
        let request = |id: u128| AdmissionRequest {
            id,
            workspace: format!("w{}", id % waiting).into(),
            weight: 1,
            priority: Priority::Interactive,
            cost_tokens: 1_000,
            prefill_tokens: 0,
            deadline: now + Duration::from_secs(10_000),
        };
        let mut full = AdmissionControl::new(cfg, now);
        (0..=waiting).for_each(|id| full.enqueue(now, request(id)).expect("queue has space"));
        full.poll(now);
        group.bench_function(BenchmarkId::new("workspaces_waiting", waiting), |b| {
            b.iter_batched_ref(
                || full.clone(),
                |admission| {
                    let enqueued = admission.enqueue(now, request(waiting + 1));
                    admission.on_finished(now, 0, RequestOutcome::Cancelled);
                    black_box((enqueued, admission.poll(now)))
                },
                BatchSize::SmallInput,
            )
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = routing, forwarding, views, admission
}
criterion_main!(benches);
