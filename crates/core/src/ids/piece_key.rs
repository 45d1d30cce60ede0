use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::fmt;

/// Key of one piece of a prompt in the prefix cache.
///
/// The key is a chained, keyed hash over the workspace, model, adapter, weight version and all
/// tokens up to the end of the piece. Two prompts share a key only if all of these are equal.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceKey(#[serde_as(as = "Hex")] pub [u8; 16]);

/// Key of a prompt's first piece, which determines the engines and stores chosen for the prompt.
pub type PromptRoot = PieceKey;

impl fmt::Display for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PieceKey({self})")
    }
}
