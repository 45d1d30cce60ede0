//! The demo: prompts and orders through a small deployment, checked against the stand-ins' records.

mod demo;
mod tally;

pub use self::{
    demo::{run_demo, start_demo},
    tally::executions_by_key,
};
