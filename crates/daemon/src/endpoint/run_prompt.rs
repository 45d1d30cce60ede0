use super::{
    admission::Permit,
    cache_moves::{CacheMoves, PromptRun, RunUsage},
    run_completion::run_completion,
    streams::StreamBuffer,
};
use cassiagw_core::settings::Tree;
use cassiagw_rpc::StreamEnd;
use cassiagw_surfaces::engine::{CompletionSpec, EngineClient};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};

/// An engine and the transfers of its prefix cache.
pub struct EngineAccess<'a> {
    /// Client of the engine that runs the completion.
    pub client: &'a EngineClient,
    /// Cache transfers; `None` runs completions without them.
    pub cache: Option<&'a Arc<CacheMoves>>,
}

/// Runs one completion: fetches cache blocks of its prompt from the stores first and queues new
/// blocks for export afterwards.
pub async fn run_prompt(
    engine: EngineAccess<'_>,
    permit: &Permit,
    tree: &Tree,
    spec: CompletionSpec,
    limit: Duration,
    stream: &StreamBuffer,
) {
    let EngineAccess { client, cache } = engine;
    let (Some(cache), Some(run)) = (cache, prompt_run(tree, &spec)) else {
        return run_completion(client, spec, limit, stream).await;
    };
    let deadline = Instant::now() + limit;
    permit.on_fetching();
    let prepare = async {
        let prefill_permit = cache.acquire_prefill(&run, spec.priority).await;
        (prefill_permit, cache.prepare(tree, &run, limit).await)
    };
    let (prefill_permit, prepared) = tokio::select! {
        prepared = timeout_at(deadline, prepare) => prepared.unwrap_or_default(),
        () = stream.canceled() => Default::default(),
    };
    let missing = run.pieces.len().saturating_sub(prepared.held) as u32;
    permit.on_fetched(missing * run.piece_tokens);
    let started = Instant::now();
    let completion =
        run_completion(client, spec, deadline.saturating_duration_since(started), stream);
    let release_prefill_permit = async {
        stream.started().await;
        drop(prefill_permit);
    };
    tokio::join!(completion, release_prefill_permit);
    if let Some(StreamEnd::Finished { computed_tokens, prompt_tokens, .. }) = stream.end() {
        let first_token = stream.first_token().map(|at| at.saturating_duration_since(started));
        let usage = RunUsage { prompt_tokens, computed_tokens, first_token };
        cache.finish_run(tree, run, prepared, usage);
    }
}

fn prompt_run(tree: &Tree, spec: &CompletionSpec) -> Option<PromptRun> {
    let workspace = tree.workspaces.get(&spec.cache_salt);
    Some(PromptRun {
        workspace: spec.cache_salt.clone(),
        weight: workspace.map_or(1, |workspace| workspace.weight),
        version: spec.version.clone()?,
        pieces: spec.cache_keys.clone(),
        piece_tokens: tree.models.get(&spec.model)?.piece_tokens,
    })
}
