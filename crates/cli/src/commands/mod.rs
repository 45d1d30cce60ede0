//! Commands of the command line.

mod document;
mod run;
mod settings;
mod zone;

pub use self::{
    document::{Difference, differences, read_document, read_value, subtree_of},
    run::run,
};
