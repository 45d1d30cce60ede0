use super::{Path, Subtree, TokenHash, Tree};
use crate::ids::TeamId;
use std::fmt;

/// Authenticated identity that reads or writes settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// An operator, who may read and write all settings.
    Operator,
    /// A team, which may read and write only its own subtree.
    Team(TeamId),
}

impl Principal {
    /// Returns the principal that a bearer token belongs to; `None` if the token is unknown.
    pub fn from_token(token: &str, operators: &[TokenHash], tree: &Tree) -> Option<Self> {
        let hash = TokenHash::of(token);
        if operators.contains(&hash) {
            return Some(Self::Operator);
        }
        tree.teams_by_token.get(&hash).cloned().map(Self::Team)
    }

    /// Returns whether the principal may write a setting.
    pub fn may_write(&self, path: &Path) -> bool {
        match self {
            Self::Operator => true,
            Self::Team(team) => path.owner() == Some(team),
        }
    }

    /// Returns whether the principal may read every setting of a subtree.
    pub fn may_read(&self, subtree: &Subtree) -> bool {
        match self {
            Self::Operator => true,
            Self::Team(team) => subtree.is_owned_by(team),
        }
    }
}

impl fmt::Display for Principal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator => f.write_str("operator"),
            Self::Team(team) => write!(f, "team/{team}"),
        }
    }
}
