//! Test fixture: stores, engines with the cache transfers of their daemons, and repeated prompts.

#![allow(dead_code, missing_docs)]

use cassiagw_core::{
    cache::{CacheScope, piece_keys},
    ids::PieceKey,
    settings::{EndpointKind, ModelEntry, StoreEntry, Tree, ZoneEntry, ZoneState},
};
use cassiagw_standins::{engine, store};
use cassiagw_surfaces::{
    engine::{CompletionSpec, EngineClient, EngineEvent},
    http::HttpClient,
    store::StoreClient,
};
use cassiagwd::endpoint::cache_moves::{CacheConfig, CacheMoves, Prepared, PromptRun, RunUsage};
use std::{future::Future, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

pub const PIECE_TOKENS: usize = 100;
/// Time in which an engine computes one prompt token, in microseconds.
const PREFILL_US: u64 = 100;
/// Timeout of every request and condition, far above what a passing test needs.
const DEADLINE: Duration = Duration::from_secs(30);

/// An engine and the cache transfers that its endpoint daemon would run.
pub struct Endpoint {
    pub engine: engine::Handle,
    pub client: EngineClient,
    pub moves: Arc<CacheMoves>,
    /// Whether runs report their time to the first token, from which the prefill rate is measured.
    pub learns_prefill: bool,
}

/// Result of one completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub is_whole: bool,
    pub computed_tokens: u32,
    pub prepared: Prepared,
    /// Time from the call of [`Endpoint::run`] to the first token, cache preparation included.
    pub first_token: Duration,
}

pub fn scope(workspace: &str, version: &str) -> CacheScope {
    CacheScope::new(workspace.into(), "order-text".into(), version.into())
}

pub fn prompt(name: &str, tokens: usize) -> String {
    (0..tokens).map(|n| format!("{name}{n} ")).collect()
}

pub fn keys(scope: &CacheScope, prompt: &str) -> Vec<PieceKey> {
    piece_keys(scope, prompt, PIECE_TOKENS as u32)
}

pub fn tree(stores: &[&store::Handle]) -> Tree {
    let mut tree = Tree::default();
    let zone = ZoneEntry { region: "lambayeque".into(), state: ZoneState::In };
    tree.zones.insert("z1".into(), zone);
    for (n, store) in stores.iter().enumerate() {
        let entry = StoreEntry { zone: "z1".into(), address: store.address };
        tree.stores.insert(format!("s{n}").into(), entry);
    }
    let model = ModelEntry {
        kind: EndpointKind::Engine,
        versions: ["v1".into()].into(),
        adapters: Default::default(),
        default_version: Some("v1".into()),
        piece_tokens: PIECE_TOKENS as u32,
    };
    tree.models.insert("order-text".into(), model);
    tree
}

/// Limits so wide that no test result depends on the speed of the machine.
pub fn config() -> CacheConfig {
    CacheConfig {
        initial_prefill_per_token: Duration::from_secs(1),
        max_fetch_wait: DEADLINE,
        request_timeout: DEADLINE,
        event_interval: Duration::from_millis(5),
        grace: Duration::from_millis(50),
        usage_interval: Duration::ZERO,
        ..CacheConfig::default()
    }
}

impl Endpoint {
    pub async fn spawn(cfg: CacheConfig, engine: engine::Config) -> Self {
        let engine = engine::spawn(engine::Config {
            piece_tokens: PIECE_TOKENS,
            prefill_per_token_us: PREFILL_US,
            versions: vec!["v1".into(), "v2".into()],
            ..engine
        })
        .await;
        let http = HttpClient::default();
        let client = EngineClient::new(http.clone(), engine.address);
        let moves = CacheMoves::spawn(cfg, "z1".into(), client.clone(), http);
        Self { engine, client, moves, learns_prefill: false }
    }

    /// Runs a prompt to completion as the endpoint daemon does, but without a prefill permit.
    pub async fn run(&self, tree: &Tree, scope: &CacheScope, prompt: &str) -> Outcome {
        let run = prompt_run(scope, prompt);
        let arrived = Instant::now();
        let prepared = self.moves.prepare(tree, &run, DEADLINE).await;
        let started = Instant::now();
        let spec = spec(scope, prompt, run.pieces.clone());
        let mut stream =
            self.client.start(&spec, DEADLINE).await.expect("the engine accepts the completion");
        let mut tokens = Vec::new();
        let mut first_token = None;
        let usage = loop {
            match stream.next().await.expect("the stream is not cut") {
                Some(EngineEvent::Token(token)) => {
                    first_token.get_or_insert_with(Instant::now);
                    tokens.push(token.trim().to_owned());
                }
                Some(EngineEvent::End { usage, .. }) => break usage,
                None => panic!("the stream ended without an end event"),
            }
        };
        let computed_tokens = usage.prompt_tokens - usage.cached_tokens;
        let first_token = first_token.expect("the engine sent a token");
        let used = RunUsage {
            prompt_tokens: usage.prompt_tokens,
            computed_tokens,
            first_token: self.learns_prefill.then_some(first_token - started),
        };
        self.moves.finish_run(tree, run, prepared, used);
        let expected = engine::expected_completion("order-text", &scope.version, None, prompt, 4);
        let first_token = first_token - arrived;
        Outcome { is_whole: tokens == expected, computed_tokens, prepared, first_token }
    }

    /// Waits until at least `tokens` were exported since the start.
    pub async fn wait_exported(&self, tokens: usize) {
        poll(|| async { self.moves.counts().exported_tokens >= tokens as u64 }).await;
    }
}

pub fn prompt_run(scope: &CacheScope, prompt: &str) -> PromptRun {
    PromptRun {
        workspace: scope.workspace.clone(),
        weight: 1,
        version: scope.version.clone(),
        pieces: keys(scope, prompt),
        piece_tokens: PIECE_TOKENS as u32,
    }
}

fn spec(scope: &CacheScope, prompt: &str, cache_keys: Vec<PieceKey>) -> CompletionSpec {
    CompletionSpec {
        request_id: format!("{:032x}", rand::random::<u128>()),
        model: scope.model.clone(),
        version: Some(scope.version.clone()),
        adapter: None,
        cache_salt: scope.workspace.clone(),
        prompt: prompt.to_owned(),
        max_tokens: 4,
        priority: 1,
        cache_keys,
        stream: true,
    }
}

pub fn store_client(store: &store::Handle) -> StoreClient {
    StoreClient::new(HttpClient::default(), store.address)
}

/// Repeats a check until it is true; panics after `DEADLINE`.
pub async fn poll<F: Future<Output = bool>>(check: impl Fn() -> F) {
    let wait = async {
        while !check().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(DEADLINE, wait).await.expect("the condition holds before the deadline");
}
