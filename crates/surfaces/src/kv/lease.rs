use super::{KvClient, wire};
use cassiagw_core::ledger::KvCallError;
use serde_json::json;
use std::time::Duration;

/// Name of a lease at the key-value service.
pub type LeaseId = i64;

/// State of a lease after a keepalive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It runs for this long from the call on.
    Held(Duration),
    /// It ended; its keys are gone.
    Gone,
}

impl KvClient {
    /// Takes out a lease, in whole seconds.
    ///
    /// # Errors
    /// [`KvCallError`]; a lease whose answer was lost ends by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvCallError> {
        let req = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
        let answer: wire::LeaseAnswer = self.post("/v3/lease/grant", &req).await?;
        Ok(answer.id)
    }

    /// Extends a lease.
    ///
    /// # Errors
    /// [`KvCallError`]; the lease may run on or not.
    pub async fn keep_lease(&self, lease: LeaseId) -> Result<LeaseState, KvCallError> {
        let req = json!({ "ID": lease.to_string() });
        let answer: wire::Streamed<wire::LeaseAnswer> =
            self.post("/v3/lease/keepalive", &req).await?;
        Ok(match answer.result.ttl_s {
            ttl_s if ttl_s > 0 => LeaseState::Held(Duration::from_secs(ttl_s.unsigned_abs())),
            _ => LeaseState::Gone,
        })
    }

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    /// [`KvCallError`]; the lease may run on until its time.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvCallError> {
        let req = json!({ "ID": lease.to_string() });
        self.post::<serde_json::Value>("/v3/lease/revoke", &req).await.map(|_| ())
    }
}
