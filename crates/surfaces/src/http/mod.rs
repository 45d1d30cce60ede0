//! Pooled HTTP client whose errors distinguish a request that was not sent from one whose outcome
//! is unknown.

mod client;
mod error;

pub use self::{
    client::{HttpClient, HttpLimits, HttpRequest, HttpResponse},
    error::HttpError,
};
