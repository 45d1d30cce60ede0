use super::{EndpointKind, Entry, Fault, Path, Serving, TeamEntry, Tree};
use crate::ids::{ModelId, TeamId, VersionId};
use std::collections::BTreeSet;

impl Tree {
    /// Validates the references from and to the changed settings, given the tree before the change.
    pub(super) fn reference_faults(&self, before: &Tree, changed: &BTreeSet<Path>) -> Vec<Fault> {
        let mut to_check = changed.clone();
        let dependants = changed.iter().filter(|path| self.may_break_others(before, path));
        to_check.extend(dependants.flat_map(|path| self.dependants(path)));
        let faults = to_check.iter().flat_map(|path| self.faults_of(before, path));
        faults.chain(self.repeated_tokens(changed)).collect()
    }

    /// Returns an error for each caller to which the edit assigns a token that another caller in
    /// the same edit has; the token index holds only one of them.
    fn repeated_tokens(&self, changed: &BTreeSet<Path>) -> Vec<Fault> {
        let mut seen = BTreeSet::new();
        let mut is_repeated = |path: &Path| match self.get(path) {
            Some(Entry::Caller(caller)) => !seen.insert(caller.token),
            _ => false,
        };
        changed
            .iter()
            .filter(|path| is_repeated(path))
            .map(|path| Fault::new(path, None, "token is given to two callers"))
            .collect()
    }

    /// Returns whether a change can invalidate a setting that refers to the changed one.
    fn may_break_others(&self, before: &Tree, path: &Path) -> bool {
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
            Path::Access(team) => self.owned_by(team),
            _ => Vec::new(),
        }
    }

    fn owned_by(&self, team: &TeamId) -> Vec<Path> {
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

    fn faults_of(&self, before: &Tree, path: &Path) -> Vec<Fault> {
        let Some(entry) = self.get(path) else { return Vec::new() };
        let messages = match (path, &entry) {
            (_, Entry::Endpoint(endpoint)) => {
                [self.needs_zone(&endpoint.zone), self.needs_model(&endpoint.model)].concat()
            }
            (_, Entry::Store(store)) => self.needs_zone(&store.zone),
            (Path::Access(team), Entry::Access(access)) => self.access_faults(before, team, access),
            (Path::Caller(team, name), Entry::Caller(_)) => self.caller_faults(before, team, name),
            (Path::Serving(team, model), Entry::Serving(serving)) => {
                self.serving_faults(team, model, serving)
            }
            _ => Vec::new(),
        };
        let value = entry.to_value();
        messages.into_iter().map(|message| Fault::new(path, Some(&value), message)).collect()
    }

    fn needs_zone(&self, zone: &str) -> Vec<String> {
        missing(self.zones.contains_key(zone), "zone", format!("zones/{zone}"))
    }

    fn needs_model(&self, model: &str) -> Vec<String> {
        missing(self.models.contains_key(model), "model", format!("models/{model}"))
    }

    fn access_faults(&self, before: &Tree, team: &TeamId, access: &TeamEntry) -> Vec<String> {
        let workspace = &access.workspace;
        let has_workspace = self.workspaces.contains_key(workspace);
        let mut faults = missing(has_workspace, "workspace", format!("workspaces/{workspace}"));
        faults.extend(access.models.iter().flat_map(|model| self.needs_model(model)));
        let models = || access.models.iter().filter_map(|model| self.models.get(model));
        let unknown_adapters =
            access.adapters.iter().filter(|name| !models().any(|m| m.adapters.contains(*name)));
        faults.extend(unknown_adapters.map(|name| format!("no listed model has adapter {name}")));
        let unknown_versions =
            access.versions.iter().filter(|name| !models().any(|m| m.versions.contains(*name)));
        faults.extend(unknown_versions.map(|name| format!("no listed model has version {name}")));
        let was_held = before.by_team_token.get(&access.token).is_some_and(|held| held != team);
        let is_shared = was_held
            || self.by_team_token.get(&access.token) != Some(team)
            || self.by_token.contains_key(&access.token);
        faults.extend(is_shared.then(|| "token is in use elsewhere".to_owned()));
        faults
    }

    fn caller_faults(&self, before: &Tree, team: &TeamId, name: &str) -> Vec<String> {
        let key = (team.clone(), name.to_owned());
        let Some(caller) = self.callers.get(&key) else { return Vec::new() };
        let mut faults =
            missing(self.access.contains_key(team), "its team", format!("access/{team}"));
        let was_own = before.callers.get(&key).is_some_and(|old| old.token == caller.token);
        let is_shared = (!was_own && before.by_token.contains_key(&caller.token))
            || self.by_team_token.contains_key(&caller.token)
            || self.by_token.get(&caller.token).map(|(owner, _)| owner) != Some(team);
        faults.extend(is_shared.then(|| "token is in use elsewhere".to_owned()));
        faults
    }

    fn serving_faults(&self, team: &TeamId, model: &ModelId, serving: &Serving) -> Vec<String> {
        let Some(access) = self.access.get(team) else {
            return missing(false, "its team", format!("access/{team}"));
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
        let plain = (entry.kind == EndpointKind::Service && serving.deadline_ms.is_some())
            .then(|| "a plain service has no deadline_ms".to_owned());
        [version, adapter, plain].into_iter().flatten().collect()
    }
}

fn missing(exists: bool, what: &str, path: String) -> Vec<String> {
    match exists {
        true => Vec::new(),
        false => vec![format!("{what} must exist: {path} is not set")],
    }
}
