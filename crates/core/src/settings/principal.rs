use super::{Path, Subtree, TokenHash, Tree};
use crate::ids::TeamId;
use std::fmt;

/// Who reads or writes settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// An operator: everything.
    Operator,
    /// A team: its own subtree and nothing else.
    Team(TeamId),
}

impl Principal {
    /// Finds who a bearer token belongs to.
    pub fn of_token(token: &str, operators: &[TokenHash], tree: &Tree) -> Option<Self> {
        let hash = TokenHash::of(token);
        if operators.contains(&hash) {
            return Some(Self::Operator);
        }
        tree.by_team_token.get(&hash).cloned().map(Self::Team)
    }

    /// Says whether it may write a setting.
    pub fn may_write(&self, path: &Path) -> bool {
        match self {
            Self::Operator => true,
            Self::Team(team) => path.owner() == Some(team),
        }
    }

    /// Says whether it may read every setting of a subtree.
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
