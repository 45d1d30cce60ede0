use crate::{forwarding::Prompt, ids::stable_hash};

/// Identifies a prompt part of a model, whatever the weight version: a hash of the model's name and
/// the part's identifier.
pub type PartHash = u64;

/// Hash of the part `id` in prompts for `model`.
pub fn part_hash(model: &str, id: &str) -> PartHash {
    stable_hash(model.as_bytes()).rotate_left(1) ^ stable_hash(id.as_bytes())
}

/// Hashes of the parts of a prompt that may be the cause of a crash, in order: all but the last,
/// which belongs to the request alone.
pub fn suspect_parts(prompt: &Prompt) -> Vec<PartHash> {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part_hash(&prompt.model, &part.id)).collect()
}
