use super::{Attempt, ClaimKey, ClaimRecord, Fingerprint, Outcome};
use crate::ids::{AttemptId, FastMap};
use serde::{Deserialize, Serialize};

/// Claims of one shard, built by applying its ledger in order.
///
/// Applying is deterministic: every daemon that applies the same records holds the same claims,
/// and a record whose precondition does not hold at its position changes nothing.
#[derive(Clone, Debug, Default)]
pub struct ClaimShard {
    claims: FastMap<ClaimKey, Claim>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    #[serde(rename = "f")]
    fingerprint: Fingerprint,
    #[serde(rename = "a")]
    attempt: Attempt,
    #[serde(rename = "u")]
    kept_until_ms: u64,
    #[serde(rename = "s")]
    state: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ClaimState {
    Pending,
    Released,
    Settled(Outcome),
}

/// Status of a key in the ledger, from the point of view of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The key is unclaimed or released; no request with it has run within its retention.
    Free,
    /// The key is claimed by a request with different content.
    Conflict,
    /// The attempt that holds the key; it may run, be running or have run.
    Pending(Attempt),
    /// The request has this recorded outcome.
    Settled(Outcome),
}

impl ClaimShard {
    /// Applies the next record of the ledger; ignores it if its precondition does not hold.
    pub fn apply(&mut self, record: ClaimRecord) {
        match record {
            ClaimRecord::Claim { key, fingerprint, attempt, kept_until_ms } => {
                self.claim(key, Claim::new(fingerprint, attempt, kept_until_ms));
            }
            ClaimRecord::Retarget { key, from, attempt } => {
                if let Some(claim) = self.pending_claim(&key, from) {
                    claim.attempt = attempt;
                }
            }
            ClaimRecord::Release { key, from } => {
                if let Some(claim) = self.pending_claim(&key, from) {
                    claim.state = ClaimState::Released;
                }
            }
            ClaimRecord::Settle { key, from, outcome } => self.settle(&key, from, outcome),
            ClaimRecord::Expire { unix_ms } => {
                self.claims.retain(|_, claim| claim.kept_until_ms > unix_ms);
            }
        }
    }

    /// Status of `key` for a request with content hash `fingerprint`.
    pub fn key_status(&self, key: &ClaimKey, fingerprint: Fingerprint) -> KeyStatus {
        match self.claims.get(key) {
            None | Some(Claim { state: ClaimState::Released, .. }) => KeyStatus::Free,
            Some(claim) if claim.fingerprint != fingerprint => KeyStatus::Conflict,
            Some(Claim { state: ClaimState::Settled(outcome), .. }) => {
                KeyStatus::Settled(outcome.clone())
            }
            Some(claim) => KeyStatus::Pending(claim.attempt.clone()),
        }
    }

    /// Number of claims in the shard, including released and settled ones.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the shard has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Serializes the claims, sorted by key, for a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut claims = self.claims.iter().collect::<Vec<_>>();
        claims.sort_unstable_by_key(|(key, _)| *key);
        serde_json::to_vec(&claims).expect("claims have only string keys")
    }

    /// Restores a shard from the output of [`ClaimShard::snapshot`].
    ///
    /// # Errors
    /// `bytes` is not a valid snapshot.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let claims = serde_json::from_slice::<Vec<(ClaimKey, Claim)>>(bytes)?;
        Ok(Self { claims: claims.into_iter().collect() })
    }

    fn claim(&mut self, key: ClaimKey, claim: Claim) {
        let may_claim = match self.claims.get(&key) {
            None => true,
            // A claim by the released attempt itself is a late duplicate of the original append.
            Some(old) => old.state == ClaimState::Released && old.attempt.id != claim.attempt.id,
        };
        if may_claim {
            self.claims.insert(key, claim);
        }
    }

    fn pending_claim(&mut self, key: &ClaimKey, from: AttemptId) -> Option<&mut Claim> {
        self.claims
            .get_mut(key)
            .filter(|claim| claim.attempt.id == from && claim.state == ClaimState::Pending)
    }

    fn settle(&mut self, key: &ClaimKey, from: AttemptId, outcome: Outcome) {
        let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.attempt.id == from) else {
            return;
        };
        let may_settle = match claim.state {
            // A late answer replaces an unknown outcome.
            ClaimState::Pending | ClaimState::Settled(Outcome::Unknown) => true,
            ClaimState::Released | ClaimState::Settled(Outcome::Answered(_)) => false,
        };
        if may_settle {
            claim.state = ClaimState::Settled(outcome);
        }
    }
}

impl Claim {
    fn new(fingerprint: Fingerprint, attempt: Attempt, kept_until_ms: u64) -> Self {
        Self { fingerprint, attempt, kept_until_ms, state: ClaimState::Pending }
    }
}
