use crate::{
    caller_memory::BodyLease,
    entry::http::{ApiError, ErrorCode},
};
use bytes::Bytes;
use cassiagw_core::{
    claims::{Fingerprint, KeyAge, KeyAgeError, KeyLimits},
    ids::IdempotencyKey,
};
use cassiagw_rpc::{RunStatus, Work};
use hyper::{
    StatusCode,
    header::{CONTENT_TYPE, HeaderName},
    http::request::Parts,
};

/// Request header with the caller's idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Call to a plain service as received from the caller.
pub struct CallRequest {
    /// Name of the plain service; the settings list services among the models.
    pub service: String,
    /// Path and query to request from the service, starting with `/`.
    pub path: String,
    /// Method, URI and headers of the HTTP request.
    pub head: Parts,
    /// Complete request body.
    pub body: Bytes,
    /// Memory reserved for the body.
    pub lease: Option<BodyLease>,
}

/// Idempotency key that is well-formed and not expired.
pub struct CallKey {
    /// Key as sent by the caller; unique within its workspace.
    pub key: IdempotencyKey,
    /// Time from which the claim of this key may be deleted, in milliseconds since the Unix epoch.
    pub kept_until_ms: u64,
}

impl CallRequest {
    /// Reads the idempotency key; `None` if the request has none.
    ///
    /// # Errors
    /// The request has several keys, or its key is malformed or expired at `unix_ms`.
    pub fn key(&self, unix_ms: u64, limits: &KeyLimits) -> Result<Option<CallKey>, ApiError> {
        let mut values = self.head.headers.get_all(IDEMPOTENCY_KEY).iter();
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(invalid("the request has more than one Idempotency-Key header"));
        }
        let key = value.to_str().unwrap_or_default();
        let age = KeyAge::check(key, unix_ms, limits).map_err(|error| key_error(&error))?;
        let kept_until_ms = age.kept_until_ms(unix_ms, limits);
        Ok(Some(CallKey { key: key.into(), kept_until_ms }))
    }

    /// Hash over service, method, path, content type and body: a repeated key must come with the
    /// same fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let content_type = self.content_type().unwrap_or_default();
        Fingerprint::of([
            self.service.as_bytes(),
            self.head.method.as_str().as_bytes(),
            self.path.as_bytes(),
            content_type.as_bytes(),
            &self.body,
        ])
    }

    /// Builds the work item to send to an endpoint daemon.
    pub fn work(&self, idempotency_key: Option<IdempotencyKey>) -> Work {
        Work::Call {
            method: self.head.method.to_string(),
            path: self.path.clone(),
            content_type: self.content_type(),
            body: self.body.to_vec(),
            idempotency_key,
        }
    }

    fn content_type(&self) -> Option<String> {
        Some(self.head.headers.get(CONTENT_TYPE)?.to_str().ok()?.to_owned())
    }
}

fn key_error(error: &KeyAgeError) -> ApiError {
    match error {
        // An earlier request with the key may have run, so `not_run` is reported as unknown.
        KeyAgeError::Expired(_) => {
            let (status, code) = (StatusCode::UNPROCESSABLE_ENTITY, ErrorCode::KeyExpired);
            ApiError::new(status, code, error.to_string()).with_ran(RunStatus::Unknown)
        }
        KeyAgeError::Malformed(_) => invalid(&error.to_string()),
    }
}

fn invalid(message: &str) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, ErrorCode::InvalidField, message)
}
