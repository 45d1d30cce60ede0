use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One setting to write, or to remove if the value is null.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Path of the setting, such as `zones/<zone>`.
    pub path: String,
    /// New value; `None` removes the setting.
    #[serde(default)]
    pub value: Option<Value>,
}

impl Change {
    /// Creates a change that writes a setting.
    pub fn new(path: impl Into<String>, value: impl Into<Value>) -> Self {
        Self { path: path.into(), value: Some(value.into()) }
    }

    /// Creates a change that removes a setting.
    pub fn removal(path: impl Into<String>) -> Self {
        Self { path: path.into(), value: None }
    }
}

/// Changes that take effect atomically: one entry of the settings log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Author: `operator` or `team/<team>`.
    pub by: String,
    /// Time of acceptance by the entry daemon's clock, in seconds since the Unix epoch.
    pub at: u64,
    /// Changes, at most one for each path.
    pub changes: Vec<Change>,
}
