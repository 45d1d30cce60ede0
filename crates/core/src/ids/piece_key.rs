use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::fmt;

/// Key of one piece of a prompt's cache.
///
/// It is a keyed hash chained from the workspace, model, adapter and weight version through
/// every token up to the end of the piece, so two prompts share a key only if all of these agree.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceKey(#[serde_as(as = "Hex")] pub [u8; 16]);

/// Key of a prompt's first piece; placement of engines and stores is chosen by it.
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
