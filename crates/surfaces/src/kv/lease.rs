use super::{KvClient, wire};
use cassiagw_core::ledger::KvCallError;
use serde_json::json;
use std::time::Duration;

/// Identifier of a lease, assigned by the key-value service.
pub type LeaseId = i64;

/// State of a lease as returned by a keepalive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is valid for this time, counted from the call.
    Held(Duration),
    /// The lease expired or was revoked; its keys are deleted.
    Gone,
}

impl KvClient {
    /// Grants a lease. `ttl` is rounded down to whole seconds, with a minimum of 1 s.
    ///
    /// # Errors
    /// [`KvCallError`]. If only the response was lost, the lease expires by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvCallError> {
        let req = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
        let response: wire::LeaseResponse = self.post("/v3/lease/grant", &req).await?;
        Ok(response.id)
    }

    /// Renews a lease for its full time to live.
    ///
    /// # Errors
    /// [`KvCallError::NotExecuted`] if the lease was not renewed; after [`KvCallError::Unknown`] it
    /// may have been.
    pub async fn keep_lease(&self, lease: LeaseId) -> Result<LeaseState, KvCallError> {
        let req = json!({ "ID": lease.to_string() });
        let response: wire::StreamResult<wire::LeaseResponse> =
            self.post("/v3/lease/keepalive", &req).await?;
        Ok(match response.result.ttl_s {
            ttl_s if ttl_s > 0 => LeaseState::Held(Duration::from_secs(ttl_s.unsigned_abs())),
            _ => LeaseState::Gone,
        })
    }

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    /// [`KvCallError`]; the lease may stay valid until it expires.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvCallError> {
        let req = json!({ "ID": lease.to_string() });
        self.post::<serde_json::Value>("/v3/lease/revoke", &req).await.map(|_| ())
    }
}
