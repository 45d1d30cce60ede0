use super::RequestResult;
use crate::{
    client::{Caller, CompletionResult, OrderResult},
    trace::{Arrival, ArrivalKind, PIECE_TOKENS},
};
use cassiagw_core::{
    cache::{CacheScope, piece_keys, prompt_root},
    ids::PromptRoot,
};
use cassiagw_surfaces::{
    engine::CompletionSpec,
    http::{HttpClient, HttpRequest},
};
use hyper::header::{HeaderName, HeaderValue};
use serde_json::json;
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Header that identifies an order in the service's records. A plain service does not deduplicate
/// by it.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Engine selection policy of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Round robin over all engines.
    RoundRobin,
    /// Rendezvous hashing on the prompt root; each retry goes to the next engine in rank order.
    Sticky,
}

/// Baseline without daemons or stores: clients call engines and plain services directly and retry
/// on failure.
#[derive(Clone, Debug)]
pub struct DirectRouter {
    caller: Caller,
    http: HttpClient,
    placement: Placement,
    engines: Arc<Mutex<Vec<SocketAddr>>>,
    services: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    model: String,
    max_tokens: u32,
}

impl DirectRouter {
    /// Creates a baseline router over the given engines and plain services.
    pub fn new(
        placement: Placement,
        engines: Vec<SocketAddr>,
        services: &[SocketAddr],
        model: &str,
        max_tokens: u32,
    ) -> Self {
        Self {
            caller: Caller::default(),
            http: HttpClient::default(),
            placement,
            engines: Arc::new(Mutex::new(engines)),
            services: services.into(),
            next: Arc::default(),
            model: model.to_owned(),
            max_tokens,
        }
    }

    /// Replaces the set of engines that receive new requests.
    pub fn set_engines(&self, engines: Vec<SocketAddr>) {
        *self.engines.lock().unwrap_or_else(PoisonError::into_inner) = engines;
    }

    /// Sends one arrival and returns its result. A prompt is retried if its response is incomplete
    /// or an error, an order only if it got no response. The times of the result count from the
    /// first attempt.
    pub fn send(&self, arrival: Arrival) -> impl Future<Output = RequestResult> + Send + 'static {
        let router = self.clone();
        async move {
            match &arrival.kind {
                ArrivalKind::Prompt { prompt, .. } => {
                    RequestResult::Prompt(router.complete(&arrival.workspace, prompt).await)
                }
                ArrivalKind::Order { key } => RequestResult::Order(router.order(key).await),
            }
        }
    }

    async fn complete(&self, workspace: &str, prompt: &str) -> CompletionResult {
        let started = Instant::now();
        let scope = CacheScope::new(workspace.into(), self.model.as_str().into(), "v1".into());
        let cache_keys = piece_keys(&scope, prompt, PIECE_TOKENS);
        let root = prompt_root(&scope, prompt, &cache_keys);
        let mut result = CompletionResult::default();
        for attempt in 0..MAX_ATTEMPTS {
            let spec = CompletionSpec {
                request_id: format!("{:032x}", rand::random::<u128>()),
                model: self.model.as_str().into(),
                version: Some("v1".into()),
                adapter: None,
                cache_salt: workspace.into(),
                prompt: prompt.to_owned(),
                max_tokens: self.max_tokens,
                priority: 0,
                cache_keys: cache_keys.clone(),
                stream: true,
            };
            let Some(engine) = self.choose(root, attempt) else { break };
            let time_before_attempt = started.elapsed();
            let req = HttpRequest::new_json("/v1/completions", &spec);
            result = self.caller.stream(engine, req).await;
            result.first_token = result.first_token.map(|time| time + time_before_attempt);
            if result.is_whole {
                break;
            }
        }
        result.total = started.elapsed();
        result
    }

    fn choose(&self, root: PromptRoot, attempt: usize) -> Option<SocketAddr> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        match self.placement {
            Placement::RoundRobin => {
                let index = self.next.fetch_add(1, Ordering::Relaxed);
                engines.get(index % engines.len().max(1)).copied()
            }
            Placement::Sticky => {
                let mut ranked: Vec<_> =
                    engines.iter().map(|engine| (rank(root, *engine), *engine)).collect();
                ranked.sort_unstable();
                ranked.get(attempt % ranked.len().max(1)).map(|(_, engine)| *engine)
            }
        }
    }

    async fn order(&self, key: &str) -> OrderResult {
        let started = Instant::now();
        let mut result = OrderResult::default();
        for _ in 0..MAX_ATTEMPTS {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let service = self.services[index % self.services.len()];
            let value = HeaderValue::from_str(key).expect("keys are plain text");
            let req = HttpRequest::new_json("/orders", &json!({ "order": key }))
                .with_header(IDEMPOTENCY_KEY, value);
            if let Ok(answer) = self.http.call(service, req).await {
                result.status = Some(answer.status.as_u16());
                break;
            }
        }
        result.total = started.elapsed();
        result
    }
}

/// Rendezvous hash of a prompt root and an engine; the engine with the lowest value is preferred.
fn rank(root: PromptRoot, engine: SocketAddr) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&root.0);
    hasher.update(engine.to_string().as_bytes());
    let mut rank = [0; 8];
    hasher.finalize_xof().fill(&mut rank);
    rank
}
