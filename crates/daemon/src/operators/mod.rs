//! HTTP interface for operators and teams on an entry: settings, history and status.

mod answer;
mod context;
mod read;
mod request;
mod route;
mod write;

pub use self::{answer::Answer, context::OperatorsContext, route::route};
