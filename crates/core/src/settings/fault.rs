use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Maximum length of the value quoted in an error, in characters.
const MAX_QUOTED_CHARS: usize = 120;

/// One validation error in a change.
///
/// The log event `settings_edit` contains the `Debug` form, and with it the name of this struct.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the setting as given; empty for an error of the whole edit.
    pub path: String,
    /// Invalid value as JSON, truncated if long; `none` if there is no value.
    pub value: String,
    /// What is wrong and what would be valid.
    pub message: String,
}

impl Fault {
    /// Creates an error for the value at a path.
    pub fn new(path: impl ToString, value: Option<&Value>, message: impl ToString) -> Self {
        let text = value.map_or_else(|| "none".into(), Value::to_string);
        let value = match text.chars().count() > MAX_QUOTED_CHARS {
            true => text.chars().take(MAX_QUOTED_CHARS).chain("...".chars()).collect(),
            false => text,
        };
        Self { path: path.to_string(), value, message: message.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (value: {})", self.path, self.message, self.value)
    }
}
