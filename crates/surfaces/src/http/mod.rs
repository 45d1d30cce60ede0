//! Pooled HTTP client that tells a request never sent from one whose outcome is unknown.

mod client;
mod error;

pub use self::{
    client::{HttpAnswer, HttpClient, HttpLimits, HttpRequest},
    error::HttpError,
};
