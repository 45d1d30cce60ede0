use super::{
    CallerToken, EndpointEntry, ModelEntry, Serving, StoreEntry, TeamEntry, TokenHash,
    WorkspaceEntry, ZoneEntry, ZoneState,
};
use crate::ids::{EndpointId, FastMap, ModelId, Revision, StoreId, TeamId, WorkspaceId, ZoneId};
use std::collections::BTreeMap;

/// The settings in force at one revision, checked and typed.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Position in the settings log that this tree reflects.
    pub revision: Revision,
    /// `zones/<zone>`.
    pub zones: BTreeMap<ZoneId, ZoneEntry>,
    /// `models/<model>`.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// `endpoints/<endpoint>`.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// `stores/<store>`.
    pub stores: BTreeMap<StoreId, StoreEntry>,
    /// `workspaces/<workspace>`.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceEntry>,
    /// `access/<team>`.
    pub access: BTreeMap<TeamId, TeamEntry>,
    /// `teams/<team>/callers/<name>`, by team and name.
    pub callers: BTreeMap<(TeamId, String), CallerToken>,
    /// `teams/<team>/serving/<model>`, by team and model.
    pub serving: BTreeMap<(TeamId, ModelId), Serving>,
    /// Callers by token, derived from `callers`.
    pub by_token: FastMap<TokenHash, (TeamId, Option<u64>)>,
}

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Team that issued the token.
    pub team: TeamId,
    /// Workspace that the team's requests run in.
    pub workspace: WorkspaceId,
}

impl Tree {
    /// Builds a tree from typed entries and derives the token index.
    pub fn with_index(mut self) -> Self {
        self.by_token = self
            .callers
            .iter()
            .map(|((team, _), caller)| (caller.token, (team.clone(), caller.expires)))
            .collect();
        self
    }

    /// Finds the caller of a bearer token that is valid at `unix_now` seconds.
    pub fn authenticate(&self, token: &str, unix_now: u64) -> Option<Caller> {
        let (team, expires) = self.by_token.get(&TokenHash::of(token))?;
        if expires.is_some_and(|end| end <= unix_now) {
            return None;
        }
        let access = self.access.get(team)?;
        Some(Caller { team: team.clone(), workspace: access.workspace.clone() })
    }

    /// Says whether a zone takes new work; an unlisted zone does not.
    pub fn zone_is_in(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|entry| entry.state == ZoneState::In)
    }
}
