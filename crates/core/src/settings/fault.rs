use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// Longest value that a fault quotes, in characters.
const MAX_QUOTED_CHARS: usize = 120;

/// One thing wrong with a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the setting, as it was given.
    pub path: String,
    /// Value that is wrong, cut where it is long.
    pub value: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    /// Names a fault of the value at a path.
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
