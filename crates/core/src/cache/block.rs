use super::Manifest;
use crate::ids::PieceKey;
use std::ops::Range;
use thiserror::Error;

/// Length of a block object's header: magic with format version (8 bytes), piece key (16 bytes)
/// and payload length (8 bytes, little-endian).
pub const BLOCK_HEADER_BYTES: usize = 32;

const MAGIC: &[u8; 8] = b"cgwkv\0\0\x01";
const KEY_RANGE: Range<usize> = 8..24;
const LENGTH_RANGE: Range<usize> = 24..BLOCK_HEADER_BYTES;

/// Error of a block object that failed verification and must not be loaded into an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BlockVerifyError {
    /// The length differs from the one in the manifest or in the header.
    #[error("block length mismatch: expected {expected} bytes, got {got}")]
    Length {
        /// Length in bytes according to the manifest or the header.
        expected: u64,
        /// Actual length in bytes.
        got: u64,
    },
    /// The content differs from what was written: its blake3 hash is not the manifest's.
    #[error("blake3 hash of the block does not match its manifest")]
    Hash,
    /// The object has no header, or one of an unknown format version.
    #[error("block header is missing or of an unknown format")]
    Format,
    /// The header carries the key of another piece than the manifest.
    #[error("block belongs to another piece: {got}")]
    KeyMismatch {
        /// Piece key in the header.
        got: PieceKey,
    },
}

/// Encodes a block object: the header with the piece key, then the engine's KV data.
pub fn encode_block(key: PieceKey, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u64).to_le_bytes();
    [MAGIC.as_slice(), &key.0, &length, payload].concat()
}

/// Verifies a block object against its manifest and returns the byte range of the payload.
///
/// # Errors
/// The first [`BlockVerifyError`] found; no part of the object may be used in that case.
pub fn verify_block(manifest: &Manifest, object: &[u8]) -> Result<Range<usize>, BlockVerifyError> {
    let got = object.len() as u64;
    if got != manifest.bytes {
        return Err(BlockVerifyError::Length { expected: manifest.bytes, got });
    }
    if *blake3::hash(object).as_bytes() != manifest.blake3 {
        return Err(BlockVerifyError::Hash);
    }
    let (key, payload) = decode_header(object)?;
    if key != manifest.key {
        return Err(BlockVerifyError::KeyMismatch { got: key });
    }
    Ok(payload)
}

/// Decodes the header of a block object into the piece key and the byte range of the payload.
///
/// # Errors
/// [`BlockVerifyError::Format`] if the header is missing or unknown, [`BlockVerifyError::Length`]
/// if it does not match the length of the object.
pub fn decode_header(object: &[u8]) -> Result<(PieceKey, Range<usize>), BlockVerifyError> {
    let header = object.first_chunk::<BLOCK_HEADER_BYTES>().ok_or(BlockVerifyError::Format)?;
    if !header.starts_with(MAGIC) {
        return Err(BlockVerifyError::Format);
    }
    let mut key = PieceKey([0; 16]);
    key.0.copy_from_slice(&header[KEY_RANGE]);
    let mut length = [0; 8];
    length.copy_from_slice(&header[LENGTH_RANGE]);
    let expected = u64::from_le_bytes(length);
    let got = (object.len() - BLOCK_HEADER_BYTES) as u64;
    if got != expected {
        return Err(BlockVerifyError::Length { expected, got });
    }
    Ok((key, BLOCK_HEADER_BYTES..object.len()))
}
