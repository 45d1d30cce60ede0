use super::Manifest;
use crate::ids::PieceKey;
use std::ops::Range;
use thiserror::Error;

/// Bytes before the payload of a block object: form, piece key, payload length.
pub const BLOCK_HEADER_BYTES: usize = 32;

const FORM: &[u8; 8] = b"cgwkv\0\0\x01";
const KEY_BYTES: Range<usize> = 8..24;
const LENGTH_BYTES: Range<usize> = 24..BLOCK_HEADER_BYTES;

/// Why the bytes of a block object must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BlockFault {
    /// The object is longer or shorter than its manifest says.
    #[error("block has {got} bytes instead of {expected}")]
    Length {
        /// Bytes that the manifest names.
        expected: u64,
        /// Bytes of the object.
        got: u64,
    },
    /// The object is not what was written.
    #[error("block has another blake3 hash than its manifest")]
    Hash,
    /// The object has no header of this form.
    #[error("block has no header of a known form")]
    Form,
    /// The object belongs to another piece.
    #[error("block belongs to piece {got}")]
    OtherPiece {
        /// Piece that the header names.
        got: PieceKey,
    },
}

/// Builds the object of a block: a header that names the piece, then the engine's bytes.
pub fn encode_block(key: PieceKey, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u64).to_le_bytes();
    [FORM.as_slice(), &key.0, &length, payload].concat()
}

/// Checks an object against its manifest and returns where the engine's bytes lie in it.
///
/// # Errors
/// The first [`BlockFault`] found; nothing of the object may be used then.
pub fn verify_block(manifest: &Manifest, object: &[u8]) -> Result<Range<usize>, BlockFault> {
    let got = object.len() as u64;
    if got != manifest.bytes {
        return Err(BlockFault::Length { expected: manifest.bytes, got });
    }
    if *blake3::hash(object).as_bytes() != manifest.blake3 {
        return Err(BlockFault::Hash);
    }
    let (key, payload) = decode_header(object)?;
    if key != manifest.key {
        return Err(BlockFault::OtherPiece { got: key });
    }
    Ok(payload)
}

/// Reads the header of a block object: its piece and where its payload lies.
///
/// # Errors
/// [`BlockFault::Form`] or [`BlockFault::Length`] if the object is not a whole block.
pub fn decode_header(object: &[u8]) -> Result<(PieceKey, Range<usize>), BlockFault> {
    let header = object.first_chunk::<BLOCK_HEADER_BYTES>().ok_or(BlockFault::Form)?;
    if !header.starts_with(FORM) {
        return Err(BlockFault::Form);
    }
    let mut key = PieceKey([0; 16]);
    key.0.copy_from_slice(&header[KEY_BYTES]);
    let mut length = [0; 8];
    length.copy_from_slice(&header[LENGTH_BYTES]);
    let expected = u64::from_le_bytes(length);
    let got = (object.len() - BLOCK_HEADER_BYTES) as u64;
    if got != expected {
        return Err(BlockFault::Length { expected, got });
    }
    Ok((key, BLOCK_HEADER_BYTES..object.len()))
}
