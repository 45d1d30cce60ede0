use cassiagw_core::{admission::AdmissionRequest, settings::Tree};
use cassiagw_rpc::{OpenRequest, Work};
use tokio::time::Instant;

/// Prompt tokens that are computed in about the time of generating one token.
const PROMPT_TOKENS_PER_GENERATED: u64 = 10;
/// Cost of a call to a plain service, in prompt tokens.
const CALL_COST_TOKENS: u64 = 1_000;

/// Builds the admission request of an attempt; `missing_pieces` is the number of its prompt's
/// pieces that are not in the engine's cache.
pub fn admission_request(
    req: &OpenRequest,
    tree: &Tree,
    missing_pieces: usize,
) -> AdmissionRequest {
    let workspace = tree.workspaces.get(&req.workspace);
    let piece_tokens = tree.models.get(&req.model).map_or(0, |model| model.piece_tokens);
    let prefill_tokens = missing_pieces as u32 * piece_tokens;
    let cost_tokens = match &req.work {
        Work::Call { .. } => CALL_COST_TOKENS,
        Work::Completion { max_tokens, .. } => {
            u64::from(prefill_tokens) + u64::from(*max_tokens) * PROMPT_TOKENS_PER_GENERATED
        }
    };
    AdmissionRequest {
        id: req.attempt,
        workspace: req.workspace.clone(),
        weight: workspace.map_or(1, |workspace| workspace.weight),
        priority: req.priority,
        cost_tokens,
        prefill_tokens,
        deadline: (Instant::now() + req.time_left).into_std(),
    }
}
