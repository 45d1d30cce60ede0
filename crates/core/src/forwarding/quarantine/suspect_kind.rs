use serde::{Deserialize, Serialize};

/// What it is that may crash endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SuspectKind {
    /// A part that prompts have in common.
    #[default]
    Part,
    /// A request as a whole, which comes again.
    Request,
}

impl SuspectKind {
    /// Value in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Request => "request",
        }
    }
}
