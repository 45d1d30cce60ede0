//! Implementation of the subcommands.

mod document;
mod explain;
mod log_line;
mod quarantine;
mod run;
mod settings;
mod zone;

pub use self::{
    document::{Difference, common_path_prefix, diff_settings, parse_value, read_settings_file},
    explain::Explanation,
    log_line::{Field, LogLine},
    run::run,
};
