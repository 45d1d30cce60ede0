//! Cache transfers with corrupting, full, slow and unavailable stores: every answer is complete and
//! no engine imports an invalid block.

mod cache_world;

use cache_world::{
    Endpoint, PIECE_TOKENS, config, keys, poll, prompt, prompt_run, scope, store_client, tree,
};
use cassiagw_core::{
    cache::{Manifest, StoreTier, block_name, manifest_name},
    ids::PieceKey,
};
use cassiagw_standins::{
    engine,
    server::Down,
    store::{self, Faults},
};
use cassiagw_surfaces::store::StoreClient;
use cassiagwd::endpoint::cache_moves::CacheConfig;
use std::time::Duration;

const TOKENS: usize = 5 * PIECE_TOKENS + 7;
const LIMIT: Duration = Duration::from_secs(30);

async fn endpoint() -> Endpoint {
    endpoint_with(config()).await
}

async fn endpoint_with(cfg: CacheConfig) -> Endpoint {
    Endpoint::spawn(cfg, engine::Config::default()).await
}

#[tokio::test]
async fn a_hostile_store_never_reaches_an_engine() {
    struct Case {
        name: &'static str,
        fault: fn(&mut Faults),
        /// Whether all tokens are computed; `None` if that depends on random faults.
        computes_all: Option<bool>,
        cfg: CacheConfig,
    }
    let case = |name, fault, computes_all| Case { name, fault, computes_all, cfg: config() };
    let short_timeout = Duration::from_millis(50);
    let cases = [
        case("none", |_| {}, Some(false)),
        case("truncated", |f| f.truncate_permille = 1_000, Some(true)),
        case("flipped", |f| f.flip_permille = 1_000, Some(true)),
        case("swapped", |f| f.swap_permille = 1_000, Some(true)),
        case("cut", |f| f.cut_permille = 1_000, Some(true)),
        case("lost", |f| f.lose_all = true, Some(true)),
        case("refusing", |f| f.answers.down = Down::Refuse, Some(true)),
        case("failing", |f| f.answers.down = Down::Unavailable, Some(true)),
        case(
            "some truncated or swapped",
            |f| (f.truncate_permille, f.swap_permille) = (100, 100),
            None,
        ),
        case("some stale or cut", |f| (f.stale_permille, f.cut_permille) = (100, 100), None),
        Case {
            cfg: CacheConfig { request_timeout: short_timeout, ..config() },
            ..case("hanging", |f| f.answers.down = Down::Hang, Some(true))
        },
        Case {
            cfg: CacheConfig { max_fetch_wait: short_timeout, ..config() },
            ..case("too slow", |f| f.link_bytes_per_s = Some(20_000), Some(true))
        },
    ];
    let (scope, prompt) = (scope("chiclayo", "v1"), prompt("a", TOKENS));
    for case in cases {
        let store = store::spawn(store::Config::default()).await;
        let (tree, writer, reader) =
            (tree(&[&store]), endpoint().await, endpoint_with(case.cfg).await);
        assert!(writer.run(&tree, &scope, &prompt).await.is_whole, "{}", case.name);
        writer.wait_exported(5 * PIECE_TOKENS).await;
        store.set_faults(case.fault);
        let run = reader.run(&tree, &scope, &prompt).await;
        let seen = reader.engine.records();
        assert!(run.is_whole, "{}: wrong completion", case.name);
        assert_eq!((seen.bad_imports, seen.wrong_reads), (0, 0), "{}", case.name);
        let expected = case.computes_all.map(|all| if all { TOKENS as u32 } else { 7 });
        assert!(
            expected.is_none_or(|tokens| tokens == run.computed_tokens),
            "{}: {run:?}",
            case.name
        );
    }
}

#[tokio::test]
async fn an_altered_block_loses_its_manifest_and_is_written_anew() {
    struct Case {
        name: &'static str,
        /// Returns the bytes to store instead of the block, given it and another block.
        ///
        /// `None` deletes the block.
        alter: fn(Vec<u8>, Vec<u8>) -> Option<Vec<u8>>,
    }
    let cases = [
        Case { name: "deleted", alter: |_, _| None },
        Case { name: "truncated", alter: |block, _| Some(block[..block.len() / 2].to_vec()) },
        Case { name: "longer", alter: |block, _| Some([block, vec![0]].concat()) },
        Case { name: "empty", alter: |_, _| Some(Vec::new()) },
        Case { name: "swapped", alter: |_, other| Some(other) },
        Case {
            name: "flipped",
            alter: |mut block, _| {
                block[1_000] ^= 1;
                Some(block)
            },
        },
    ];
    let (scope, prompt) = (scope("chiclayo", "v1"), prompt("a", TOKENS));
    let keys = keys(&scope, &prompt);
    for Case { name, alter } in cases {
        let store = store::spawn(store::Config::default()).await;
        let (tree, writer, reader) = (tree(&[&store]), endpoint().await, endpoint().await);
        let client = store_client(&store);
        writer.run(&tree, &scope, &prompt).await;
        writer.wait_exported(5 * PIECE_TOKENS).await;
        let old = manifest(&client, keys[2]).await;
        let block = block_name(keys[2], old.block);
        let other = block_name(keys[3], manifest(&client, keys[3]).await.block);
        match alter(object(&client, &block).await, object(&client, &other).await) {
            Some(bytes) => client.put(&block, bytes.into(), StoreTier::Memory, LIMIT).await,
            None => client.delete(&block, LIMIT).await,
        }
        .expect("the store answers");
        let run = reader.run(&tree, &scope, &prompt).await;
        assert!(run.is_whole, "{name}");
        assert_eq!(run.computed_tokens as usize, TOKENS - 2 * PIECE_TOKENS, "{name}: {run:?}");
        assert_eq!(reader.engine.records().bad_imports, 0, "{name}");
        reader.wait_exported(PIECE_TOKENS).await;
        assert_ne!(
            manifest(&client, keys[2]).await.block,
            old.block,
            "{name}: a block id was reused"
        );
        let third = endpoint().await;
        assert_eq!(third.run(&tree, &scope, &prompt).await.computed_tokens, 7, "{name}");
    }
}

async fn object(client: &StoreClient, name: &str) -> Vec<u8> {
    let object = client.get(name, LIMIT).await.expect("the store answers");
    object.expect("the store has the object").to_vec()
}

async fn manifest(client: &StoreClient, key: PieceKey) -> Manifest {
    let object = object(client, &manifest_name(key)).await;
    Manifest::decode(&object, key).expect("the manifest is valid")
}

#[tokio::test]
async fn nothing_crosses_workspaces_or_weight_versions() {
    let store = store::spawn(store::Config::default()).await;
    let (tree, writer) = (tree(&[&store]), endpoint().await);
    let prompt = prompt("a", TOKENS);
    writer.run(&tree, &scope("chiclayo", "v1"), &prompt).await;
    writer.wait_exported(5 * PIECE_TOKENS).await;
    for other in [scope("hangang", "v1"), scope("chiclayo", "v2")] {
        // The writer's engine still holds the blocks, and another one could fetch them.
        for reader in [&writer, &endpoint().await] {
            let before = reader.engine.records().imports;
            let run = reader.run(&tree, &other, &prompt).await;
            assert!(run.is_whole, "{other:?}");
            assert_eq!(run.computed_tokens as usize, TOKENS, "{other:?}");
            assert_eq!(reader.engine.records().imports, before, "{other:?}");
        }
    }
}

#[tokio::test]
async fn one_block_is_fetched_once_for_all_runs_that_wait() {
    let slow = Faults { link_bytes_per_s: Some(4 * 1024 * 1024), ..Faults::default() };
    let store = store::spawn(store::Config::default()).await;
    let (tree, writer) = (tree(&[&store]), endpoint().await);
    let (scope, prompt) = (scope("chiclayo", "v1"), prompt("a", TOKENS));
    writer.run(&tree, &scope, &prompt).await;
    writer.wait_exported(5 * PIECE_TOKENS).await;
    store.set_faults(|faults| *faults = slow);
    let reader = endpoint().await;
    let runs = (0..4).map(|_| reader.run(&tree, &scope, &prompt));
    let runs = futures::future::join_all(runs).await;
    assert!(runs.iter().all(|run| run.is_whole && run.computed_tokens == 7), "{runs:?}");
    assert_eq!(reader.engine.records().imports, 5);
    assert!(reader.moves.counts().joined_fetches > 0);
}

#[tokio::test]
async fn a_full_store_evicts_and_never_fails_a_request() {
    let block_bytes = 64 * 1024;
    let cfg = store::Config {
        memory_bytes: 20 * block_bytes,
        disk_bytes: 20 * block_bytes,
        ..store::Config::default()
    };
    let store = store::spawn(cfg).await;
    let (tree, writer) = (tree(&[&store]), endpoint().await);
    let scope = scope("chiclayo", "v1");
    for n in 0..12 {
        let run = writer.run(&tree, &scope, &prompt(&format!("p{n}x"), TOKENS)).await;
        assert!(run.is_whole, "{run:?}");
    }
    poll(|| async {
        let counts = writer.moves.counts();
        counts.evicted_blocks > 0 && counts.demoted_blocks > 0
    })
    .await;
    store.set_faults(|faults| faults.full = true);
    let last = prompt("last", TOKENS);
    assert!(writer.run(&tree, &scope, &last).await.is_whole);
    poll(|| async { writer.moves.counts().failed_exports > 0 }).await;
    assert_eq!(writer.engine.records().bad_imports, 0);
}

#[tokio::test]
async fn prompts_are_prepared_as_the_engines_cache_has_room() {
    let cfg = engine::Config { cache_pieces: 8, ..engine::Config::default() };
    let endpoint = Endpoint::spawn(config(), cfg).await;
    let (tree, scope) = (tree(&[]), scope("chiclayo", "v1"));
    let prefill_permit = |priority| {
        let run = prompt_run(&scope, &prompt("a", TOKENS));
        let moves = endpoint.moves.clone();
        Box::pin(async move { moves.acquire_prefill(&run, priority).await })
    };
    let held: Vec<_> = futures::future::join_all((0..9).map(|_| prefill_permit(0))).await;
    assert!(held.iter().all(Option::is_some), "nothing waits until the engine evicts");
    drop(held);
    for n in 0..3 {
        endpoint.run(&tree, &scope, &prompt(&format!("p{n}x"), TOKENS)).await;
    }
    let first = prefill_permit(0).await;
    poll(|| async { futures::poll!(prefill_permit(0)).is_pending() }).await;
    let (mut batch, mut interactive) = (prefill_permit(0), prefill_permit(1));
    assert!(
        futures::poll!(&mut batch).is_pending() && futures::poll!(&mut interactive).is_pending()
    );
    drop(first);
    let second = interactive.await;
    assert!(second.is_some() && futures::poll!(&mut batch).is_pending());
    drop(second);
    assert!(batch.await.is_some());
}

/// Result of one request of the session.
#[derive(serde::Serialize)]
struct SessionRequest {
    what: &'static str,
    pieces_held: usize,
    pieces_imported: usize,
    computed_tokens: u32,
    is_whole: bool,
}

/// Snapshot test: a prompt is sent, sent again while the engine holds it, again after its eviction,
/// and extended after another eviction.
#[tokio::test]
async fn session_of_a_prompt_returning_after_eviction() {
    let store = store::spawn(store::Config::default()).await;
    let (tree, endpoint) = (tree(&[&store]), endpoint().await);
    let scope = scope("chiclayo", "v1");
    let manual = prompt("manual", TOKENS);
    let longer = format!("{manual}{}", prompt("question", 2 * PIECE_TOKENS));
    let evict = async |prompt: &str| {
        endpoint.engine.set_faults(|faults| faults.drop_cache = true);
        let keys = keys(&scope, prompt);
        poll(|| async { keys.iter().all(|key| !endpoint.moves.holds(key)) }).await;
    };
    let mut session = Vec::new();
    let requests = [
        ("first request", &manual, false, 5),
        ("repeated while cached", &manual, false, 5),
        ("repeated after eviction", &manual, true, 5),
        ("extended after eviction", &longer, true, 7),
    ];
    for (what, prompt, evict_first, exported_pieces) in requests {
        if evict_first {
            evict(prompt).await;
        }
        let run = endpoint.run(&tree, &scope, prompt).await;
        endpoint.wait_exported(exported_pieces * PIECE_TOKENS).await;
        session.push(SessionRequest {
            what,
            pieces_held: run.prepared.held,
            pieces_imported: run.prepared.imported,
            computed_tokens: run.computed_tokens,
            is_whole: run.is_whole,
        });
    }
    let counts = endpoint.moves.counts();
    insta::assert_json_snapshot!("returning_after_eviction", (session, counts));
}
