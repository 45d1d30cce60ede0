use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// First bytes of an exported piece.
const MAGIC: &[u8; 8] = b"CGWBLK01";
/// Bytes of the header's length.
const LENGTH_BYTES: usize = 4;

/// Whose computation a piece of cache is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Salt of the workspace.
    pub salt: String,
    /// Weight version.
    pub version: String,
    /// Adapter; empty for the plain model.
    pub adapter: String,
}

/// What an exported piece says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockHeader {
    /// Key under which it was cached.
    pub key: String,
    /// Whose computation it is.
    pub scope: Scope,
    /// Hash of the model, weights and tokens that it was computed from.
    pub content: String,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// blake3 hash of the body.
    pub body_hash: String,
}

/// An exported piece of cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// What it says of itself.
    pub header: BlockHeader,
    /// Stands for the tensors.
    pub body: Bytes,
}

/// Bytes that are no whole, undamaged piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BlockError {
    /// The header cannot be read.
    #[error("no block header")]
    Header,
    /// The body is shorter or longer than the header says.
    #[error("wrong body length")]
    Length,
    /// The body differs from the header's hash.
    #[error("wrong body hash")]
    Hash,
}

impl Block {
    /// Exports a piece with a body made from its content.
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

    /// Writes magic, header length, header and body.
    pub fn to_bytes(&self) -> Bytes {
        let header = serde_json::to_vec(&self.header).expect("a header has a JSON form");
        let length = (header.len() as u32).to_le_bytes();
        [&MAGIC[..], &length, &header, &self.body].concat().into()
    }

    /// Reads and verifies an exported piece.
    ///
    /// # Errors
    /// The bytes are cut, damaged or no piece.
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
