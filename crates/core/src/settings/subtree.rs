use super::{Path, PathError, path::segments};
use std::fmt;

/// A part of the tree: every setting whose path starts with these whole segments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subtree {
    segments: Vec<String>,
}

impl Subtree {
    /// Reads the path of a subtree; an empty text is the whole tree.
    ///
    /// # Errors
    /// [`PathError`] names what is wrong.
    pub fn parse(text: &str) -> Result<Self, PathError> {
        let segments = match text {
            "" => Vec::new(),
            _ => segments(text)?.into_iter().map(str::to_owned).collect(),
        };
        Ok(Self { segments })
    }

    /// Says whether a setting lies in the subtree.
    pub fn covers(&self, path: &Path) -> bool {
        let text = path.to_string();
        let mut found = text.split('/');
        self.segments.iter().all(|segment| found.next() == Some(segment))
    }

    /// Says whether every path in the subtree belongs to a team.
    pub fn is_owned_by(&self, team: &str) -> bool {
        matches!(self.segments.as_slice(), [root, owner, ..] if root == "teams" && owner == team)
    }
}

impl fmt::Display for Subtree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.segments.join("/"))
    }
}
