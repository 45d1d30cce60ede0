//! Pooled HTTP client whose errors distinguish a request that was not sent from one whose outcome
//! is unknown.

mod client;
mod error;
mod limited_connector;
mod limited_stream;

pub use self::{
    client::{HttpClient, HttpLimits, HttpRequest, HttpResponse, is_final_status},
    error::HttpError,
    limited_stream::{LimitedStream, MAX_BYTES_WITHOUT_PROGRESS, Progress},
};
