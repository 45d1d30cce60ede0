use super::{
    CallerToken, EndpointEntry, ModelEntry, Serving, StoreEntry, TeamEntry, TokenHash,
    WorkspaceEntry, ZoneEntry, ZoneState,
};
use crate::ids::{EndpointId, ModelId, OrderedMap, Revision, StoreId, TeamId, WorkspaceId, ZoneId};

/// The settings at one revision, typed and validated.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// Revision of the settings log that the tree reflects.
    pub revision: Revision,
    /// `zones/<zone>`.
    pub zones: OrderedMap<ZoneId, ZoneEntry>,
    /// `models/<model>`.
    pub models: OrderedMap<ModelId, ModelEntry>,
    /// `endpoints/<endpoint>`.
    pub endpoints: OrderedMap<EndpointId, EndpointEntry>,
    /// `stores/<store>`.
    pub stores: OrderedMap<StoreId, StoreEntry>,
    /// `workspaces/<workspace>`.
    pub workspaces: OrderedMap<WorkspaceId, WorkspaceEntry>,
    /// `access/<team>`.
    pub access: OrderedMap<TeamId, TeamEntry>,
    /// `teams/<team>/callers/<name>`, by team and name.
    pub callers: OrderedMap<(TeamId, String), CallerToken>,
    /// `teams/<team>/serving/<model>`, by team and model.
    pub serving: OrderedMap<(TeamId, ModelId), Serving>,
    /// Index from caller token to team and expiry, derived from `callers`.
    pub callers_by_token: OrderedMap<TokenHash, (TeamId, Option<u64>)>,
    /// Index from team token to team, derived from `access`.
    pub teams_by_token: OrderedMap<TokenHash, TeamId>,
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
    /// Rebuilds both token indexes from `callers` and `access`.
    pub fn with_index(mut self) -> Self {
        self.callers_by_token = self
            .callers
            .iter()
            .map(|((team, _), caller)| (caller.token, (team.clone(), caller.expires)))
            .collect();
        self.teams_by_token =
            self.access.iter().map(|(team, entry)| (entry.token, team.clone())).collect();
        self
    }

    /// Returns the caller of a bearer token; `None` if the token is unknown or expired at
    /// `unix_now` seconds.
    pub fn authenticate(&self, token: &str, unix_now: u64) -> Option<Caller> {
        let (team, expires) = self.callers_by_token.get(&TokenHash::of(token))?;
        if expires.is_some_and(|end| end <= unix_now) {
            return None;
        }
        let access = self.access.get(team)?;
        Some(Caller { team: team.clone(), workspace: access.workspace.clone() })
    }

    /// Returns whether a zone is in service; an unlisted zone is not.
    pub fn is_zone_in_service(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|entry| entry.state == ZoneState::In)
    }
}
