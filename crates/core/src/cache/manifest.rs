use super::BlockId;
use crate::ids::{PieceKey, VersionId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationSeconds, hex::Hex, serde_as};
use std::time::Duration;
use thiserror::Error;

/// Longest manifest object, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 4_096;

/// Small object, named by a piece key, that publishes the block holding the piece's cache.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Piece that the block holds.
    pub key: PieceKey,
    /// Piece before it in the prompt; none for the first.
    pub parent: Option<PieceKey>,
    /// Pieces before it in the prompt.
    pub position: u32,
    /// Block that holds the cache.
    #[serde_as(as = "serde_with::DisplayFromStr")]
    pub block: BlockId,
    /// Length of the block object.
    pub bytes: u64,
    /// blake3 hash of the block object.
    #[serde_as(as = "Hex")]
    pub blake3: [u8; 32],
    /// Weight version that computed it.
    pub version: VersionId,
    /// Tokens of the piece.
    pub tokens: u32,
    /// Time to compute the piece again.
    #[serde(rename = "recompute_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub recompute: Duration,
    /// Time after which the prompt was expected back when this was written.
    #[serde(rename = "expected_gap_s")]
    #[serde_as(as = "DurationSeconds<u64>")]
    pub expected_gap: Duration,
    /// Time of writing in seconds since the Unix epoch.
    pub written_unix_s: u64,
    /// Last known use in seconds since the Unix epoch; the store's own idle time is newer.
    pub last_use_unix_s: u64,
}

/// Why a manifest object must not be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ManifestFault {
    /// It cannot be read.
    #[error("manifest cannot be read: {0}")]
    Malformed(String),
    /// It is longer than any manifest.
    #[error("manifest has {0} bytes, more than {MAX_MANIFEST_BYTES}")]
    TooLong(usize),
    /// It names another piece.
    #[error("manifest names piece {0}")]
    OtherPiece(PieceKey),
    /// It names another weight version.
    #[error("manifest names weight version {0:?}")]
    OtherVersion(VersionId),
}

impl Manifest {
    /// Writes the object.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest is plain data")
    }

    /// Reads an object that was asked for under `key`.
    ///
    /// # Errors
    /// The object is not a manifest of this piece.
    pub fn decode(object: &[u8], key: PieceKey) -> Result<Self, ManifestFault> {
        if object.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestFault::TooLong(object.len()));
        }
        let manifest: Self = serde_json::from_slice(object)
            .map_err(|error| ManifestFault::Malformed(error.to_string()))?;
        if manifest.key != key {
            return Err(ManifestFault::OtherPiece(manifest.key));
        }
        Ok(manifest)
    }

    /// Checks that the block was computed by the wanted weight version.
    ///
    /// # Errors
    /// [`ManifestFault::OtherVersion`]; the key already implies the version, so this never
    /// happens unless the object was altered.
    pub fn check_version(&self, version: &VersionId) -> Result<(), ManifestFault> {
        match self.version == *version {
            true => Ok(()),
            false => Err(ManifestFault::OtherVersion(self.version.clone())),
        }
    }
}
