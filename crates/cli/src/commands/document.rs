use crate::CliError;
use serde_json::Value;
use std::{collections::BTreeMap, fs, path::Path};

/// A setting whose value in a file differs from the one in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Path.
    pub path: String,
    /// Value in force, if there is one.
    pub old: Option<Value>,
    /// Value in the file; null removes the setting.
    pub new: Value,
}

/// Reads a YAML document of `path: value`.
///
/// # Errors
/// [`CliError::Usage`] names the file and what is wrong.
pub fn read_document(file: &Path) -> Result<BTreeMap<String, Value>, CliError> {
    let wrong =
        |error: &dyn std::fmt::Display| CliError::Usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| wrong(&error))?;
    serde_saphyr::from_str(&text).map_err(|error| wrong(&error))
}

/// Reads a value in YAML.
///
/// # Errors
/// [`CliError::Usage`] says what is wrong.
pub fn read_value(text: &str) -> Result<Value, CliError> {
    serde_saphyr::from_str(text).map_err(|error| CliError::Usage(format!("{text:?}: {error}")))
}

/// Gives the smallest subtree that holds every path, so that a team reads only its own.
pub fn subtree_of(document: &BTreeMap<String, Value>) -> String {
    let mut paths = document.keys();
    let first = paths.next().map(String::as_str).unwrap_or_default();
    let common = first.split('/').collect::<Vec<_>>();
    let common = paths.fold(common, |common, path| {
        let shared = common.iter().zip(path.split('/')).take_while(|(a, b)| **a == *b);
        common[..shared.count()].to_vec()
    });
    common.join("/")
}

/// Finds what a document would change.
///
/// Fields that the file leaves out and that have their defaults in force count as equal.
pub fn differences(
    wanted: &BTreeMap<String, Value>,
    in_force: &BTreeMap<String, Value>,
) -> Vec<Difference> {
    wanted
        .iter()
        .map(|(path, new)| (path, in_force.get(path), completed(path, new)))
        .filter(|(_, old, new)| old.unwrap_or(&Value::Null) != new)
        .map(|(path, old, new)| Difference { path: path.clone(), old: old.cloned(), new })
        .collect()
}

/// Gives a value as the entry would keep it, with every default; a wrong one stays as it is.
fn completed(path: &str, value: &Value) -> Value {
    let Ok(parsed) = cassiagw_core::settings::Path::parse(path) else { return value.clone() };
    cassiagw_core::settings::Entry::read(&parsed, value)
        .map_or_else(|_| value.clone(), |entry| entry.to_value())
}
