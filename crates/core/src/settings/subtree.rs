use super::{Path, PathError, path::parse_segments};
use std::fmt;

/// A part of the tree: all settings whose path starts with the given segments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subtree {
    segments: Vec<String>,
}

impl Subtree {
    /// Parses the path of a subtree; an empty string is the whole tree.
    ///
    /// # Errors
    /// Returns a [`PathError`] that says what is wrong.
    pub fn parse(text: &str) -> Result<Self, PathError> {
        let segments = match text {
            "" => Vec::new(),
            _ => parse_segments(text)?.into_iter().map(str::to_owned).collect(),
        };
        Ok(Self { segments })
    }

    /// Returns whether the subtree contains a setting.
    pub fn contains(&self, path: &Path) -> bool {
        let text = path.to_string();
        let mut found = text.split('/');
        self.segments.iter().all(|segment| found.next() == Some(segment))
    }

    /// Returns whether every path in the subtree belongs to a team.
    pub fn is_owned_by(&self, team: &str) -> bool {
        matches!(self.segments.as_slice(), [root, owner, ..] if root == "teams" && owner == team)
    }
}

impl fmt::Display for Subtree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.segments.join("/"))
    }
}
