use super::{Config, ConfigError, Section};
use serde_json::Value;
use std::{fs, path::Path};

/// Reads, parses and validates a configuration file.
///
/// # Errors
/// `ConfigError::Invalid` lists every invalid setting of the file, not only the first.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let text = fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
    parse(&text)
}

/// Parses and validates a configuration given as YAML text.
///
/// # Errors
/// The same as [`load`], except `ConfigError::Read`.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let value: Value =
        serde_saphyr::from_str(text).map_err(|error| ConfigError::Syntax(error.to_string()))?;
    let mut faults = Vec::new();
    let mut root = Section::new("", value, &mut faults);
    let config = Config::read(&mut root);
    root.finish();
    match config {
        Some(config) if faults.is_empty() => Ok(config),
        _ => Err(ConfigError::Invalid(faults)),
    }
}
