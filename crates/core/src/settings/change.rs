use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One setting to write, or to remove where the value is null.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Path of the setting.
    pub path: String,
    /// New value.
    #[serde(default)]
    pub value: Option<Value>,
}

impl Change {
    /// Writes a setting.
    pub fn new(path: impl Into<String>, value: impl Into<Value>) -> Self {
        Self { path: path.into(), value: Some(value.into()) }
    }

    /// Removes a setting.
    pub fn removal(path: impl Into<String>) -> Self {
        Self { path: path.into(), value: None }
    }
}

/// Changes that come into force together: one entry of the settings log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Who made them: `operator` or `team/<team>`.
    pub by: String,
    /// When they were accepted, in seconds since the Unix epoch by the entry's clock.
    pub at: u64,
    /// Changes, each to another path.
    pub changes: Vec<Change>,
}
