//! Operators' HTTP interface of an entry.

mod answer;
mod context;
mod read;
mod request;
mod route;
mod write;

pub use self::{answer::Answer, context::OperatorsContext, route::route};
