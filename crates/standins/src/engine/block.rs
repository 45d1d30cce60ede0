use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Magic number at the start of an exported cache piece.
const MAGIC: &[u8; 8] = b"CGWBLK01";
/// Size in bytes of the little-endian header length field.
const LENGTH_BYTES: usize = 4;

/// Namespace of a cache piece; pieces are reused only within the same scope.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Cache salt of the workspace.
    pub salt: String,
    /// Weight version that the piece was computed with.
    pub version: String,
    /// Adapter that the piece was computed with; empty for the base model.
    pub adapter: String,
}

/// Metadata of an exported piece, serialized as JSON in front of the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHeader {
    /// Cache key of the piece.
    pub key: String,
    /// Scope in which the piece may be reused.
    pub scope: Scope,
    /// Hex hash of the model, weights and tokens that the piece was computed from.
    pub content: String,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// Hex blake3 hash of the body.
    pub body_hash: String,
}

/// A cache piece in its export format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Metadata that [`Block::from_bytes`] verifies the body against.
    pub header: BlockHeader,
    /// Pseudo-random bytes in place of the tensors.
    pub body: Bytes,
}

/// Why bytes could not be decoded as an exported piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BlockError {
    /// The magic number is absent, or the header is truncated or not valid JSON.
    #[error("block header missing or malformed")]
    Header,
    /// The body length differs from `body_bytes`.
    #[error("block body length differs from the header")]
    Length,
    /// The body does not match `body_hash`.
    #[error("block body hash differs from the header")]
    Hash,
}

impl Block {
    /// Creates a block whose body is derived from `key` and `content`, so that equal pieces export
    /// equal bytes.
    pub fn new(key: &str, scope: Scope, content: &str, body_bytes: usize) -> Self {
        let mut body = vec![0; body_bytes];
        blake3::Hasher::new()
            .update(key.as_bytes())
            .update(content.as_bytes())
            .finalize_xof()
            .fill(&mut body);
        let body_hash = blake3::hash(&body).to_hex().to_string();
        let content = content.into();
        let header = BlockHeader { key: key.into(), scope, content, body_bytes, body_hash };
        Self { header, body: body.into() }
    }

    /// Serializes as magic number, header length, header and body.
    pub fn to_bytes(&self) -> Bytes {
        let header = serde_json::to_vec(&self.header).expect("block headers serialize to JSON");
        let length = (header.len() as u32).to_le_bytes();
        [&MAGIC[..], &length, &header, &self.body].concat().into()
    }

    /// Decodes a block and verifies its length and hash.
    ///
    /// # Errors
    /// Fails if the bytes are truncated, corrupted or not an exported block.
    pub fn from_bytes(bytes: &Bytes) -> Result<Self, BlockError> {
        let start = MAGIC.len() + LENGTH_BYTES;
        let rest = bytes.strip_prefix(&MAGIC[..]).ok_or(BlockError::Header)?;
        let length = rest.first_chunk::<LENGTH_BYTES>().ok_or(BlockError::Header)?;
        let end = start + u32::from_le_bytes(*length) as usize;
        let header = bytes.get(start..end).ok_or(BlockError::Header)?;
        let header: BlockHeader = serde_json::from_slice(header).map_err(|_| BlockError::Header)?;
        let body = bytes.slice(end..);
        if body.len() != header.body_bytes {
            return Err(BlockError::Length);
        }
        if blake3::hash(&body).to_hex().as_str() != header.body_hash {
            return Err(BlockError::Hash);
        }
        Ok(Self { header, body })
    }
}
