use crate::CliError;
use serde_json::Value;
use std::{collections::BTreeMap, fs, path::Path};

/// Setting whose value in a settings file differs from the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Settings path, such as `zones/z1`.
    pub path: String,
    /// Current value; `None` if the setting does not exist.
    pub old: Option<Value>,
    /// Value in the file, with defaults filled in; null removes the setting.
    pub new: Value,
}

/// Reads a settings file: a YAML mapping of settings paths to values.
///
/// # Errors
/// [`CliError::Usage`] with the file name if the file cannot be read or parsed.
pub fn read_settings_file(file: &Path) -> Result<BTreeMap<String, Value>, CliError> {
    let usage_error =
        |error: &dyn std::fmt::Display| CliError::Usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| usage_error(&error))?;
    serde_saphyr::from_str(&text).map_err(|error| usage_error(&error))
}

/// Parses a YAML value.
///
/// # Errors
/// [`CliError::Usage`] if the text is not valid YAML.
pub fn parse_value(text: &str) -> Result<Value, CliError> {
    serde_saphyr::from_str(text)
        .map_err(|error| CliError::Usage(format!("invalid YAML value {text:?}: {error}")))
}

/// Returns the longest common path prefix, in whole segments; empty if the paths share none.
///
/// Reading only this subtree lets a team, which has no access to other settings, use `diff` and
/// `apply`.
pub fn common_path_prefix(settings: &BTreeMap<String, Value>) -> String {
    let mut paths = settings.keys();
    let first = paths.next().map(String::as_str).unwrap_or_default();
    let common = first.split('/').collect::<Vec<_>>();
    let common = paths.fold(common, |common, path| {
        let shared = common.iter().zip(path.split('/')).take_while(|(a, b)| **a == *b);
        common[..shared.count()].to_vec()
    });
    common.join("/")
}

/// Returns the settings that applying a settings file would change.
///
/// Settings that are not in the file are left as they are. A field that the file omits has its
/// default value.
pub fn diff_settings(
    desired: &BTreeMap<String, Value>,
    current: &BTreeMap<String, Value>,
) -> Vec<Difference> {
    desired
        .iter()
        .map(|(path, new)| (path, current.get(path), with_defaults(path, new)))
        .filter(|(_, old, new)| old.unwrap_or(&Value::Null) != new)
        .map(|(path, old, new)| Difference { path: path.clone(), old: old.cloned(), new })
        .collect()
}

/// Fills in defaults as the entry daemon does when it stores a value. An invalid value is returned
/// unchanged, so that the entry daemon reports the error.
fn with_defaults(path: &str, value: &Value) -> Value {
    let Ok(parsed) = cassiagw_core::settings::Path::parse(path) else { return value.clone() };
    cassiagw_core::settings::Entry::read(&parsed, value)
        .map_or_else(|_| value.clone(), |entry| entry.to_value())
}
