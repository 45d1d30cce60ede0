use super::{Attempt, ClaimKey, Fingerprint};
use crate::ids::AttemptId;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, hex::Hex, serde_as};

/// Largest answer body, in bytes, that is stored in full with its claim.
pub const MAX_INLINE_BODY_BYTES: usize = 64 * 1024;

/// One entry of a claim shard's ledger.
///
/// A record whose precondition does not hold at its position has no effect, so late and duplicate
/// appends are harmless.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "lowercase")]
pub enum ClaimRecord {
    /// Claims a key before its first dispatch.
    Claim {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Content hash of the request that the key identifies.
        #[serde(rename = "f")]
        fingerprint: Fingerprint,
        /// Attempt that may run.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// Time from which the claim may be removed, in milliseconds since the Unix epoch.
        #[serde(rename = "u")]
        kept_until_ms: u64,
    },
    /// Replaces an attempt that provably did not run with another one.
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
    /// Frees a key whose attempt provably did not run.
    Release {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Attempt that cannot run any more.
        #[serde_as(as = "DisplayFromStr")]
        from: AttemptId,
    },
    /// Removes expired claims. Expiry is a ledger record, not a local timer, so that every daemon
    /// removes the same claims at the same position.
    Expire {
        /// Claims with `kept_until_ms` up to this time are removed.
        #[serde(rename = "u")]
        unix_ms: u64,
    },
    /// Records the outcome of an attempt.
    Settle {
        /// Key that is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Attempt whose outcome is recorded.
        #[serde_as(as = "DisplayFromStr")]
        from: AttemptId,
        /// Outcome of the attempt.
        #[serde(rename = "o")]
        outcome: Outcome,
    },
}

impl ClaimRecord {
    /// Key that the record applies to; `None` if it applies to the whole shard.
    pub fn key(&self) -> Option<&ClaimKey> {
        match self {
            Self::Claim { key, .. }
            | Self::Retarget { key, .. }
            | Self::Release { key, .. }
            | Self::Settle { key, .. } => Some(key),
            Self::Expire { .. } => None,
        }
    }

    /// Approximate encoded size of the record in the ledger, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        // Everything but the key, the workspace and the body.
        const OVERHEAD_BYTES: usize = 250;
        let body = match self {
            Self::Settle { outcome: Outcome::Answered(answer), .. } => answer.body.encoded_bytes(),
            _ => 0,
        };
        let key = self.key().map_or(0, |key| key.key.len() + key.workspace.len());
        OVERHEAD_BYTES + key + body
    }
}

/// Recorded result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The service answered.
    Answered(Answer),
    /// It is unknown whether the request ran.
    Unknown,
}

/// HTTP answer of a service, as stored with the claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Value of the `Content-Type` header; `None` if the answer has none.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Body, or its digest if the body is too large to store.
    #[serde(rename = "b")]
    pub body: Body,
}

impl Answer {
    /// Converts the answer to its stored form: a body over [`MAX_INLINE_BODY_BYTES`] is replaced
    /// by its digest.
    pub fn into_stored(self) -> Self {
        let body = match self.body {
            Body::Whole(bytes) => Body::from_bytes(bytes),
            digest @ Body::Digest { .. } => digest,
        };
        Self { body, ..self }
    }
}

/// Body of a stored answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Body {
    /// The complete body.
    Whole(#[serde_as(as = "Base64")] Vec<u8>),
    /// blake3 digest of a body that is too large to store.
    Digest {
        /// blake3 hash of the complete body.
        #[serde_as(as = "Hex")]
        blake3: [u8; 32],
        /// Length of the body in bytes.
        bytes: u64,
    },
}

impl Body {
    /// Stores a body of up to [`MAX_INLINE_BODY_BYTES`] in full and a larger one as a digest.
    pub fn from_bytes(body: Vec<u8>) -> Self {
        if body.len() <= MAX_INLINE_BODY_BYTES {
            return Self::Whole(body);
        }
        let bytes = body.len() as u64;
        Self::Digest { blake3: *blake3::hash(&body).as_bytes(), bytes }
    }

    fn encoded_bytes(&self) -> usize {
        match self {
            Self::Whole(body) => body.len().div_ceil(3) * 4,
            // About the size of 64 hex digits, the length and the field names.
            Self::Digest { .. } => 96,
        }
    }
}
