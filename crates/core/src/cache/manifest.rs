use super::BlockId;
use crate::ids::{PieceKey, VersionId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationSeconds, hex::Hex, serde_as};
use std::time::Duration;
use thiserror::Error;

/// Maximum length of an encoded manifest in bytes; longer objects are rejected before parsing.
pub const MAX_MANIFEST_BYTES: usize = 4_096;

/// Metadata object, stored under the piece key, that refers to the block with the piece's KV data.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Piece whose KV data the block contains.
    pub key: PieceKey,
    /// Preceding piece of the prompt; `None` for the first.
    pub parent: Option<PieceKey>,
    /// Zero-based index of the piece in the prompt.
    pub position: u32,
    /// ID of the block that contains the KV data.
    #[serde_as(as = "serde_with::DisplayFromStr")]
    pub block: BlockId,
    /// Length of the block object in bytes, header included.
    pub bytes: u64,
    /// blake3 hash of the block object, header included.
    #[serde_as(as = "Hex")]
    pub blake3: [u8; 32],
    /// Weight version that the KV data was computed with.
    pub version: VersionId,
    /// Number of tokens in the piece.
    pub tokens: u32,
    /// Estimated prefill time to recompute the piece.
    #[serde(rename = "recompute_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub recompute: Duration,
    /// Expected time until the prompt is next requested, as of the time of writing.
    #[serde(rename = "expected_gap_s")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub expected_gap: Duration,
    /// Time of writing in seconds since the Unix epoch.
    pub written_unix_s: u64,
    /// Last known use in seconds since the Unix epoch; not updated on reads, so the idle time that
    /// the store reports is more accurate.
    pub last_use_unix_s: u64,
}

/// Error of a manifest object that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// The object is not valid JSON of a manifest; holds the parser's message.
    #[error("malformed manifest: {0}")]
    Malformed(String),
    /// The object exceeds [`MAX_MANIFEST_BYTES`]; holds its length.
    #[error("manifest too long: {0} bytes, limit {MAX_MANIFEST_BYTES}")]
    TooLong(usize),
    /// The manifest belongs to the given piece instead of the requested one.
    #[error("manifest belongs to another piece: {0}")]
    KeyMismatch(PieceKey),
    /// The KV data was computed with the given weight version instead of the requested one.
    #[error("manifest belongs to another weight version: {0:?}")]
    VersionMismatch(VersionId),
}

impl Manifest {
    /// Encodes the manifest as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest always serializes to JSON")
    }

    /// Decodes the object that was stored under `key`.
    ///
    /// # Errors
    /// Returns an error if the object is too long, malformed or belongs to another piece.
    pub fn decode(object: &[u8], key: PieceKey) -> Result<Self, ManifestError> {
        if object.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::TooLong(object.len()));
        }
        let manifest: Self = serde_json::from_slice(object)
            .map_err(|error| ManifestError::Malformed(error.to_string()))?;
        if manifest.key != key {
            return Err(ManifestError::KeyMismatch(manifest.key));
        }
        Ok(manifest)
    }

    /// Checks that the KV data was computed with the requested weight version.
    ///
    /// # Errors
    /// [`ManifestError::VersionMismatch`]. The version is an input of the piece key, so this only
    /// happens if the object was altered.
    pub fn check_version(&self, version: &VersionId) -> Result<(), ManifestError> {
        match self.version == *version {
            true => Ok(()),
            false => Err(ManifestError::VersionMismatch(self.version.clone())),
        }
    }
}
