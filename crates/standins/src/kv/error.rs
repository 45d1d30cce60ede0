use crate::server::{Body, json};
use hyper::{Response, StatusCode};
use serde_json::json;
use thiserror::Error;

/// Error response with etcd's message, gRPC code and HTTP status.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KvError {
    #[error("{0}")]
    BadRequest(String),
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    #[error("etcdserver: request is too large")]
    TooLarge,
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    #[error("etcdserver: too many requests")]
    TooManyRequests,
    #[error("Not Found")]
    UnknownPath,
}

impl KvError {
    fn grpc_code(&self) -> u8 {
        match self {
            Self::BadRequest(_) | Self::EmptyKey | Self::TooLarge | Self::DuplicateKey => 3,
            Self::Compacted | Self::FutureRevision => 11,
            Self::LeaseNotFound | Self::UnknownPath => 5,
            Self::LeaseExists => 9,
            Self::TooManyRequests => 8,
        }
    }

    fn status(&self) -> StatusCode {
        match self.grpc_code() {
            5 => StatusCode::NOT_FOUND,
            8 => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Formats the error as etcd's JSON gateway does.
    pub fn response(&self) -> Response<Body> {
        let message = self.to_string();
        let document = json!({"error": message, "code": self.grpc_code(), "message": message});
        json(self.status(), &document)
    }
}
