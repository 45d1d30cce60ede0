//! Cache policies: fetch planning, eviction, reuse prediction and the choice of stores.

use cassiagw_core::{
    cache::{
        CacheEvent, CacheEventKind, EngineCacheIndex, Eviction, EvictionTarget, Manifest,
        PieceState, ReusePredictor, SampledBlock, StoreTier, plan_eviction, plan_fetch,
        store_order,
    },
    ids::PieceKey,
    links::TransferEstimate,
    settings::{StoreEntry, Tree, ZoneEntry, ZoneState},
};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_secs(3_600);

fn key(n: u8) -> PieceKey {
    PieceKey([n; 16])
}

#[test]
fn longest_prefix_that_arrives_before_it_is_computed_is_fetched() {
    use PieceState::{Held, Unknown};
    struct Case {
        name: &'static str,
        pieces: Vec<PieceState>,
        prefill: Duration,
        queueing_delay: Duration,
        limit: Duration,
        count: usize,
    }
    let stored = PieceState::Stored { bytes: 1_000 };
    let case = |name, pieces, count| Case {
        name,
        pieces,
        prefill: 20 * MS,
        queueing_delay: Duration::ZERO,
        limit: HOUR,
        count,
    };
    let cases = [
        case("nothing known", vec![Unknown; 3], 0),
        case("all held", vec![Held; 3], 3),
        case("all stored", vec![stored; 3], 3),
        case("gap ends the prefix", vec![stored, Unknown, stored], 1),
        case("held piece behind a fetched one", vec![Held, stored, Held, Unknown], 3),
        Case { prefill: 9 * MS, ..case("slow link", vec![stored; 3], 0) },
        Case { prefill: 9 * MS, ..case("gap before held", vec![stored, Held], 2) },
        Case { queueing_delay: 25 * MS, ..case("queueing delay amortized", vec![stored; 3], 3) },
        Case { queueing_delay: 35 * MS, ..case("queueing delay too long", vec![stored; 3], 0) },
        Case { limit: 20 * MS, ..case("time limit", vec![stored; 3], 2) },
    ];
    for case in cases {
        let link = TransferEstimate { queueing_delay: case.queueing_delay, bytes_per_s: 100_000.0 };
        let count = plan_fetch(&case.pieces, case.prefill, link, case.limit);
        assert_eq!(count, case.count, "{}", case.name);
    }
}

fn sample(n: u8, tier: StoreTier, gap: Duration, position: u32) -> SampledBlock {
    let manifest = Manifest {
        key: key(n),
        parent: None,
        position,
        block: u128::from(n),
        bytes: 100,
        blake3: [0; 32],
        version: "v1".into(),
        tokens: 1_000,
        recompute: 50 * MS,
        expected_gap: gap,
        written_unix_s: 0,
        last_use_unix_s: 0,
    };
    let (key, block) = (manifest.key, manifest.block);
    let idle = Duration::from_secs(60);
    SampledBlock { key, block, tier, bytes: 100, idle, manifest: Some(manifest), has_parent: true }
}

#[test]
fn least_valuable_blocks_are_evicted_first() {
    use StoreTier::{Disk, Memory};
    struct Case {
        name: &'static str,
        samples: Vec<SampledBlock>,
        target: EvictionTarget,
        plan: Vec<(usize, Eviction)>,
    }
    let soon = |n, tier| sample(n, tier, 60 * 1_000 * MS, 0);
    let late = |n, tier| sample(n, tier, 24 * HOUR, 0);
    let tail = |n, tier| sample(n, tier, 60 * 1_000 * MS, 9);
    let orphan = |idle| SampledBlock { manifest: None, idle, ..soon(9, Memory) };
    let parentless = SampledBlock { has_parent: false, ..soon(8, Memory) };
    let idle = |idle| SampledBlock { idle, ..soon(7, Memory) };
    let fillers = |count| vec![sample(6, Memory, 30 * 1_000 * MS, 0); count];
    let memory = |memory, disk_free| EvictionTarget { memory, disk: 0, disk_free };
    let cases = [
        Case {
            name: "no space needed",
            samples: vec![late(1, Memory)],
            target: memory(0, 500),
            plan: vec![],
        },
        Case {
            name: "demote the later reuse",
            samples: vec![soon(1, Memory), late(2, Memory)],
            target: memory(50, 500),
            plan: vec![(1, Eviction::Demote)],
        },
        Case {
            name: "drop if disk is full",
            samples: vec![soon(1, Memory), late(2, Memory)],
            target: memory(50, 99),
            plan: vec![(1, Eviction::Drop)],
        },
        Case {
            name: "tail piece before head piece",
            samples: vec![soon(1, Memory), tail(2, Memory)],
            target: memory(1, 500),
            plan: vec![(1, Eviction::Demote)],
        },
        Case {
            name: "value decays with idle time",
            samples: vec![idle(HOUR), soon(2, Memory)],
            target: memory(1, 500),
            plan: vec![(0, Eviction::Demote)],
        },
        Case {
            name: "missing parent",
            samples: vec![late(1, Memory), parentless],
            target: memory(1, 500),
            plan: vec![(1, Eviction::Drop)],
        },
        Case {
            name: "orphan idle beyond grace",
            samples: vec![late(1, Memory), orphan(HOUR)],
            target: memory(1, 500),
            plan: vec![(1, Eviction::DropOrphan)],
        },
        Case {
            name: "orphan idle within grace",
            samples: vec![orphan(MS)],
            target: memory(1, 500),
            plan: vec![],
        },
        Case {
            name: "disk blocks are dropped",
            samples: vec![late(1, Disk), late(2, Memory)],
            target: EvictionTarget { memory: 0, disk: 1, disk_free: 0 },
            plan: vec![(0, Eviction::Drop)],
        },
        Case {
            name: "drop on disk frees space to demote",
            samples: [vec![late(1, Disk), soon(2, Memory)], fillers(6)].concat(),
            target: EvictionTarget { memory: 1, disk: 1, disk_free: 0 },
            plan: vec![(0, Eviction::Drop), (1, Eviction::Demote)],
        },
        Case {
            name: "at most a quarter of the sample",
            samples: fillers(8),
            target: memory(1_000, 500),
            plan: vec![(0, Eviction::Demote), (1, Eviction::Demote)],
        },
    ];
    for case in cases {
        let plan = plan_eviction(&case.samples, case.target, f64::MAX, Duration::from_secs(30));
        assert_eq!(plan, case.plan, "{}", case.name);
    }
}

#[test]
fn engine_cache_index_follows_events_and_completed_runs() {
    let event = |seq, kind, n| CacheEvent { seq, kind, key: key(n) };
    let mut index = EngineCacheIndex::new(2);
    index.on_boot(1);
    index.on_events(&[event(5, CacheEventKind::Removed, 1), event(3, CacheEventKind::Stored, 1)]);
    assert!(!index.holds(&key(1)), "a late event with a lower sequence number must not win");
    index.set_held(&[key(1), key(2)], true);
    assert!(index.holds(&key(1)) && index.holds(&key(2)));
    index.on_events(&[event(4, CacheEventKind::Removed, 2)]);
    assert!(index.holds(&key(2)), "a late event must not override a completed run");
    (10..30).for_each(|n| index.set_held(&[key(n)], true));
    assert!(index.len() <= 4 && !index.holds(&key(1)));
    index.on_boot(2);
    assert!(index.is_empty());
}

#[test]
fn expected_gap_follows_the_prompt_then_the_workspace() {
    let mut predictor = ReusePredictor::new(100, 10);
    let start = Instant::now();
    let mut arrive =
        |workspace: &str, n, at| predictor.on_request(start + at, &workspace.into(), key(n));
    let unknown = arrive("a", 1, Duration::ZERO);
    assert!(unknown >= HOUR);
    assert_eq!(arrive("a", 1, HOUR / 60), HOUR / 60);
    let fresh = arrive("a", 2, HOUR / 60);
    assert!(fresh < unknown, "a short reuse interval must lower the prior of its workspace");
    assert_eq!(arrive("b", 3, HOUR / 60), unknown);
    (10..250).for_each(|n| _ = arrive("a", n, HOUR));
    assert!(predictor.len() <= 200);
}

#[test]
fn every_zone_of_a_region_finds_the_same_store() {
    let mut tree = Tree::default();
    for (zone, region) in [("z1", "r1"), ("z2", "r1"), ("z3", "r2")] {
        tree.zones.insert(zone.into(), ZoneEntry { region: region.into(), state: ZoneState::In });
    }
    for (store, zone) in [("s1", "z1"), ("s2", "z2"), ("s3", "z3")] {
        let address = "127.0.0.1:1".parse().expect("a fixed address");
        tree.stores.insert(store.into(), StoreEntry { zone: zone.into(), address });
    }
    let names = |tree: &Tree, zone: &str, n| {
        store_order(tree, zone, key(n)).iter().map(|(id, _)| id.to_string()).collect::<Vec<_>>()
    };
    let first: Vec<_> = (0..64).map(|n| names(&tree, "z1", n)).collect();
    assert!((0..64).all(|n| names(&tree, "z2", n) == first[usize::from(n)]));
    let on_s1 = first.iter().filter(|order| order[0] == "s1").count();
    assert!((16..48).contains(&on_s1), "{on_s1} of 64");
    assert!(first.iter().all(|order| order.len() == 2));
    assert_eq!(names(&tree, "z3", 1), ["s3"]);
    let mut zone = tree.zones.get("z2").expect("z2 is there").clone();
    zone.state = ZoneState::Out;
    tree.zones.insert("z2".into(), zone);
    assert_eq!(names(&tree, "z1", 1), ["s1"]);
}
