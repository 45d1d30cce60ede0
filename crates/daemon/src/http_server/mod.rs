//! Accept loops of HTTP servers, with connection limits and graceful shutdown.

mod accept;
mod caller_connection;
mod questions;

pub use self::{
    accept::{ConnectionLimit, serve_until},
    caller_connection::CallerConnection,
    questions::serve_admin,
};
