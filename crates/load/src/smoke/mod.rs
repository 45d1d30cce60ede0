//! Demo: sends prompts and orders through a small deployment and verifies the results against the
//! records of the stand-ins.

mod demo;
mod demo_summary;

pub use self::{
    demo::{run_demo, start_demo},
    demo_summary::executions_by_key,
};
