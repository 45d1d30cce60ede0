//! Operators' HTTP interface of an entry.

mod context;
mod route;

pub use self::{context::OperatorsContext, route::route};
