use super::{EndpointKind, Entry, Fault, Path, Serving, TeamEntry, Tree};
use crate::ids::{ModelId, TeamId, VersionId};
use std::collections::BTreeSet;

impl Tree {
    /// Validates the references from and to the changed settings, given the tree before the change.
    pub(super) fn reference_errors(&self, before: &Tree, changed: &BTreeSet<Path>) -> Vec<Fault> {
        let mut to_check = changed.clone();
        let dependants = changed.iter().filter(|path| self.may_invalidate_others(before, path));
        to_check.extend(dependants.flat_map(|path| self.dependants(path)));
        let errors = to_check.iter().flat_map(|path| self.errors_of(before, path));
        errors.chain(self.duplicate_token_errors(changed)).collect()
    }

    /// Returns an error for each changed caller whose token an earlier one of the changed callers
    /// also has. The token index cannot reveal this, because it holds only one caller per token.
    fn duplicate_token_errors(&self, changed: &BTreeSet<Path>) -> Vec<Fault> {
        let mut seen = BTreeSet::new();
        let mut is_duplicate = |path: &Path| match self.get(path) {
            Some(Entry::Caller(caller)) => !seen.insert(caller.token),
            _ => false,
        };
        changed
            .iter()
            .filter(|path| is_duplicate(path))
            .map(|path| Fault::new(path, None, "token is given to more than one caller"))
            .collect()
    }

    /// Returns whether a change can invalidate a setting that refers to the changed one.
    fn may_invalidate_others(&self, before: &Tree, path: &Path) -> bool {
        match path {
            Path::Zone(_) | Path::Workspace(_) => self.get(path).is_none(),
            Path::Model(_) | Path::Access(_) => self.get(path) != before.get(path),
            _ => false,
        }
    }

    /// Returns the settings that refer to a setting.
    fn dependants(&self, path: &Path) -> Vec<Path> {
        match path {
            Path::Zone(zone) => {
                let endpoints = self.endpoints.iter().filter(|(_, entry)| entry.zone == *zone);
                let stores = self.stores.iter().filter(|(_, entry)| entry.zone == *zone);
                endpoints
                    .map(|(id, _)| Path::Endpoint(id.clone()))
                    .chain(stores.map(|(id, _)| Path::Store(id.clone())))
                    .collect()
            }
            Path::Workspace(workspace) => {
                let teams = self.access.iter().filter(|(_, entry)| entry.workspace == *workspace);
                teams.map(|(team, _)| Path::Access(team.clone())).collect()
            }
            Path::Model(model) => {
                let endpoints = self.endpoints.iter().filter(|(_, entry)| entry.model == *model);
                let teams = self.access.iter().filter(|(_, entry)| entry.models.contains(model));
                let serving = self.serving.keys().filter(|(_, served)| served == model);
                endpoints
                    .map(|(id, _)| Path::Endpoint(id.clone()))
                    .chain(teams.map(|(team, _)| Path::Access(team.clone())))
                    .chain(
                        serving.map(|(team, served)| Path::Serving(team.clone(), served.clone())),
                    )
                    .collect()
            }
            Path::Access(team) => self.settings_of(team),
            _ => Vec::new(),
        }
    }

    fn settings_of(&self, team: &TeamId) -> Vec<Path> {
        let callers = self
            .callers
            .iter_from(&(team.clone(), String::new()))
            .take_while(|((owner, _), _)| owner == team)
            .map(|((owner, name), _)| Path::Caller(owner.clone(), name.clone()));
        let serving = self
            .serving
            .iter_from(&(team.clone(), ModelId::from("")))
            .take_while(|((owner, _), _)| owner == team)
            .map(|((owner, model), _)| Path::Serving(owner.clone(), model.clone()));
        callers.chain(serving).collect()
    }

    fn errors_of(&self, before: &Tree, path: &Path) -> Vec<Fault> {
        let Some(entry) = self.get(path) else { return Vec::new() };
        let messages = match (path, &entry) {
            (_, Entry::Endpoint(endpoint)) => {
                [self.zone_errors(&endpoint.zone), self.model_errors(&endpoint.model)].concat()
            }
            (_, Entry::Store(store)) => self.zone_errors(&store.zone),
            (Path::Access(team), Entry::Access(access)) => self.access_errors(before, team, access),
            (Path::Caller(team, name), Entry::Caller(_)) => self.caller_errors(before, team, name),
            (Path::Serving(team, model), Entry::Serving(serving)) => {
                self.serving_errors(team, model, serving)
            }
            _ => Vec::new(),
        };
        let value = entry.to_value();
        messages.into_iter().map(|message| Fault::new(path, Some(&value), message)).collect()
    }

    fn zone_errors(&self, zone: &str) -> Vec<String> {
        require(self.zones.contains_key(zone), "zone", format!("zones/{zone}"))
    }

    fn model_errors(&self, model: &str) -> Vec<String> {
        require(self.models.contains_key(model), "model", format!("models/{model}"))
    }

    fn access_errors(&self, before: &Tree, team: &TeamId, access: &TeamEntry) -> Vec<String> {
        let workspace = &access.workspace;
        let has_workspace = self.workspaces.contains_key(workspace);
        let mut errors = require(has_workspace, "workspace", format!("workspaces/{workspace}"));
        errors.extend(access.models.iter().flat_map(|model| self.model_errors(model)));
        let models = || access.models.iter().filter_map(|model| self.models.get(model));
        let unknown_adapters =
            access.adapters.iter().filter(|name| !models().any(|m| m.adapters.contains(*name)));
        errors.extend(unknown_adapters.map(|name| format!("no listed model has adapter {name}")));
        let unknown_versions =
            access.versions.iter().filter(|name| !models().any(|m| m.versions.contains(*name)));
        errors.extend(unknown_versions.map(|name| format!("no listed model has version {name}")));
        let was_taken = before.teams_by_token.get(&access.token).is_some_and(|held| held != team);
        let is_shared = was_taken
            || self.teams_by_token.get(&access.token) != Some(team)
            || self.callers_by_token.contains_key(&access.token);
        errors.extend(is_shared.then(|| "token is in use elsewhere".to_owned()));
        errors
    }

    fn caller_errors(&self, before: &Tree, team: &TeamId, name: &str) -> Vec<String> {
        let key = (team.clone(), name.to_owned());
        let Some(caller) = self.callers.get(&key) else { return Vec::new() };
        let mut errors = require(self.access.contains_key(team), "team", format!("access/{team}"));
        let keeps_token = before.callers.get(&key).is_some_and(|old| old.token == caller.token);
        let is_shared = (!keeps_token && before.callers_by_token.contains_key(&caller.token))
            || self.teams_by_token.contains_key(&caller.token)
            || self.callers_by_token.get(&caller.token).map(|(owner, _)| owner) != Some(team);
        errors.extend(is_shared.then(|| "token is in use elsewhere".to_owned()));
        errors
    }

    fn serving_errors(&self, team: &TeamId, model: &ModelId, serving: &Serving) -> Vec<String> {
        let Some(access) = self.access.get(team) else {
            return require(false, "team", format!("access/{team}"));
        };
        let Some(entry) = self.models.get(model).filter(|_| access.models.contains(model)) else {
            return vec![format!("access/{team} does not allow model {model}")];
        };
        let allows_version = |version: &VersionId| match access.versions.is_empty() {
            true => entry.default_version.as_ref() == Some(version),
            false => access.versions.contains(version),
        };
        let version = serving
            .version
            .as_ref()
            .filter(|version| !entry.versions.contains(*version) || !allows_version(version))
            .map(|version| format!("access/{team} does not allow version {version} of {model}"));
        let adapter = serving
            .adapter
            .as_ref()
            .filter(|name| !entry.adapters.contains(*name) || !access.adapters.contains(*name))
            .map(|name| format!("access/{team} does not allow adapter {name} of {model}"));
        let deadline = (entry.kind == EndpointKind::Service && serving.deadline_ms.is_some())
            .then(|| "a plain service has no deadline_ms".to_owned());
        [version, adapter, deadline].into_iter().flatten().collect()
    }
}

fn require(exists: bool, what: &str, path: String) -> Vec<String> {
    match exists {
        true => Vec::new(),
        false => vec![format!("{what} must exist: {path} is not set")],
    }
}
