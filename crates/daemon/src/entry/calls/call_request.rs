use crate::entry::http::{ApiError, ErrorCode};
use bytes::Bytes;
use cassiagw_core::{
    claims::{Fingerprint, KeyAge, KeyAgeError, KeyLimits},
    ids::IdempotencyKey,
};
use cassiagw_rpc::{Ran, Work};
use hyper::{
    StatusCode,
    header::{CONTENT_TYPE, HeaderName},
    http::request::Parts,
};

/// Header field of the caller's key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Call of a plain service as it arrived.
pub struct CallRequest {
    /// Plain service, named like a model in the settings.
    pub service: String,
    /// Path and query at the service, starting with `/`.
    pub path: String,
    /// Head of the HTTP request.
    pub head: Parts,
    /// Body, whole.
    pub body: Bytes,
}

/// A caller's key that may be used now.
pub struct CallKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Time from which its claim may be dropped, in milliseconds since the Unix epoch.
    pub kept_until_ms: u64,
}

impl CallRequest {
    /// Reads the caller's key, if there is one.
    pub fn key(&self, unix_ms: u64, limits: &KeyLimits) -> Result<Option<CallKey>, ApiError> {
        let mut values = self.head.headers.get_all(IDEMPOTENCY_KEY).iter();
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(invalid("there is more than one Idempotency-Key"));
        }
        let key = value.to_str().unwrap_or_default();
        let age = KeyAge::check(key, unix_ms, limits).map_err(|error| key_error(&error))?;
        let kept_until_ms = age.kept_until_ms(unix_ms, limits);
        Ok(Some(CallKey { key: key.into(), kept_until_ms }))
    }

    /// Hash of what makes two calls the same.
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

    /// The call as an endpoint daemon gets it.
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
        // An earlier request with the key may have run.
        KeyAgeError::Expired(_) => {
            let (status, code) = (StatusCode::UNPROCESSABLE_ENTITY, ErrorCode::KeyExpired);
            ApiError::new(status, code, error.to_string()).with_ran(Ran::Unknown)
        }
        KeyAgeError::Malformed(_) => invalid(&error.to_string()),
    }
}

fn invalid(message: &str) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, ErrorCode::InvalidField, message)
}
