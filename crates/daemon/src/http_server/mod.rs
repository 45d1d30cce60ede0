//! Connections of HTTP servers: accepted, bounded and ended in order.

mod accept;
mod questions;

pub use self::{
    accept::{ConnectionLimit, serve_until},
    questions::serve_questions,
};
