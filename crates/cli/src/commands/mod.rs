//! Implementation of the subcommands.

mod document;
mod explain;
mod log_line;
mod run;
mod settings;
mod zone;

pub use self::{
    document::{Difference, differences, read_document, read_value, subtree_of},
    explain::Explanation,
    log_line::{Field, LogLine},
    run::run,
};
