use super::{Attempt, ClaimKey, Fingerprint};
use crate::ids::AttemptId;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, hex::Hex, serde_as};

/// Longest answer body that is kept whole with its claim.
pub const MAX_INLINE_BODY_BYTES: usize = 64 * 1024;

/// One entry of a claim shard's ledger. A record that does not fit the state at its position has
/// no effect, so a late or repeated append is harmless.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "lowercase")]
pub enum ClaimRecord {
    /// Claims a key before its first dispatch.
    Claim {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Request that the key stands for.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
        /// Attempt that may run.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// Time from which the claim may be dropped, in milliseconds since the Unix epoch.
        #[serde(rename = "u")]
        kept_until_ms: u64,
    },
    /// Replaces an attempt that is proven not to have run by another one.
    Retarget {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Attempt that cannot run any more.
        #[serde_as(as = "DisplayFromStr")]
        from: AttemptId,
        /// Attempt that may run.
        #[serde(rename = "a")]
        attempt: Attempt,
    },
    /// Frees a key whose attempt is proven not to have run.
    Release {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Attempt that cannot run any more.
        #[serde_as(as = "DisplayFromStr")]
        from: AttemptId,
    },
    /// Drops the claims whose time is over. It is a record like any other, so that every daemon
    /// drops the same claims at the same position.
    Expire {
        /// Time up to which claims are dropped, in milliseconds since the Unix epoch.
        #[serde(rename = "u")]
        unix_ms: u64,
    },
    /// Records what an attempt came to.
    Settle {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Attempt that ended.
        #[serde_as(as = "DisplayFromStr")]
        from: AttemptId,
        /// What it came to.
        #[serde(rename = "o")]
        outcome: Outcome,
    },
}

impl ClaimRecord {
    /// Key that the record is about, if it is about one.
    pub fn key(&self) -> Option<&ClaimKey> {
        match self {
            Self::Claim { key, .. }
            | Self::Retarget { key, .. }
            | Self::Release { key, .. }
            | Self::Settle { key, .. } => Some(key),
            Self::Expire { .. } => None,
        }
    }

    /// Bytes that the record takes in a ledger, about.
    pub fn weight(&self) -> usize {
        const FRAME_BYTES: usize = 250;
        let body = match self {
            Self::Settle { outcome: Outcome::Answered(answer), .. } => answer.body.weight(),
            _ => 0,
        };
        let key = self.key().map_or(0, |key| key.key.len() + key.workspace.len());
        FRAME_BYTES + key + body
    }
}

/// Lasting result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The service answered.
    Answered(Answer),
    /// It cannot be known whether the request ran.
    Unknown,
}

/// Answer of a plain service as kept with its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// `Content-Type`, if any.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Body or its digest.
    #[serde(rename = "b")]
    pub body: Body,
}

impl Answer {
    /// The answer as it is kept with its claim: a long body is replaced by its digest.
    pub fn kept(self) -> Self {
        let body = match self.body {
            Body::Whole(bytes) => Body::kept(bytes),
            digest @ Body::Digest { .. } => digest,
        };
        Self { body, ..self }
    }
}

/// Body of a kept answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// The whole body.
    Whole(#[serde_as(as = "Base64")] Vec<u8>),
    /// blake3 digest of a body that is too long to keep.
    Digest {
        /// Digest.
        #[serde_as(as = "Hex")]
        blake3: [u8; 32],
        /// Length of the body in bytes.
        bytes: u64,
    },
}

impl Body {
    /// Keeps a body whole up to [`MAX_INLINE_BODY_BYTES`] and as a digest above.
    pub fn kept(body: Vec<u8>) -> Self {
        if body.len() <= MAX_INLINE_BODY_BYTES {
            return Self::Whole(body);
        }
        let bytes = body.len() as u64;
        Self::Digest { blake3: *blake3::hash(&body).as_bytes(), bytes }
    }

    fn weight(&self) -> usize {
        match self {
            Self::Whole(body) => body.len().div_ceil(3) * 4,
            Self::Digest { .. } => 96,
        }
    }
}
