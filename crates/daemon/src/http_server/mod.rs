//! Accept loops of HTTP servers, with connection limits and graceful shutdown.

mod accept;
mod questions;

pub use self::{
    accept::{ConnectionLimit, serve_until},
    questions::serve_admin,
};
