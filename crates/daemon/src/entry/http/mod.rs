//! HTTP layer of an entry: bodies, errors, authentication, request IDs and kinds of requests.

mod api_error;
mod authenticate;
mod body;
mod classify;
mod request_id;

pub use self::{
    api_error::{ApiError, ErrorCode},
    authenticate::{authenticate, bearer_token},
    body::{Body, IncompleteBody, full_body, no_memory, read_body},
    classify::{RequestKind, classify},
    request_id::{REQUEST_ID, request_id},
};
