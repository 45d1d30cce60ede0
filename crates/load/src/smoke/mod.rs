//! Demo: sends prompts and orders through a small deployment and verifies the results against the
//! records of the stand-ins.

mod demo;
mod tally;

pub use self::{
    demo::{run_demo, start_demo},
    tally::executions_by_key,
};
