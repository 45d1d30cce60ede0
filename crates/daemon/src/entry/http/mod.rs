//! HTTP side of an entry: bodies, errors, identity and the kinds of request.

mod api_error;
mod authenticate;
mod body;
mod classify;
mod request_id;

pub use self::{
    api_error::{ApiError, ErrorCode},
    authenticate::{authenticate, bearer_token},
    body::{Body, StreamCut, full_body, read_body},
    classify::{RequestKind, classify},
    request_id::{REQUEST_ID, request_id},
};
