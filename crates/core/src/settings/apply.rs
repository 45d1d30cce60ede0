use super::{Change, Edit, Entry, Path, Tree};
use crate::ids::{OrderedMap, Revision};
use std::sync::Arc;

impl Tree {
    /// Applies an accepted edit and returns the number of unreadable changes, which are skipped.
    pub fn apply(&mut self, revision: Revision, edit: &Edit) -> usize {
        self.revision = revision;
        edit.changes.iter().filter(|change| !self.apply_change(change)).count()
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        let Ok(path) = Path::parse(&change.path) else { return false };
        match &change.value {
            None => self.remove(&path),
            Some(value) => match Entry::read(&path, value) {
                Ok(entry) => self.put(&path, entry),
                Err(_) => return false,
            },
        }
        true
    }

    /// Sets the value of a setting. An entry whose kind does not match the path is ignored.
    pub fn put(&mut self, path: &Path, entry: Entry) {
        match (path.clone(), entry) {
            (Path::Zone(zone), Entry::Zone(entry)) => drop(self.zones.insert(zone, entry)),
            (Path::Model(model), Entry::Model(entry)) => drop(self.models.insert(model, entry)),
            (Path::Endpoint(endpoint), Entry::Endpoint(mut entry)) => {
                intern(&mut entry.zone, &self.zones);
                intern(&mut entry.model, &self.models);
                self.endpoints.insert(endpoint, entry);
            }
            (Path::Store(store), Entry::Store(entry)) => drop(self.stores.insert(store, entry)),
            (Path::Workspace(workspace), Entry::Workspace(entry)) => {
                self.workspaces.insert(workspace, entry);
            }
            (Path::Access(team), Entry::Access(mut entry)) => {
                intern(&mut entry.workspace, &self.workspaces);
                self.unindex_team_token(&team);
                self.teams_by_token.insert(entry.token, team.clone());
                self.access.insert(team, entry);
            }
            (Path::Caller(team, name), Entry::Caller(caller)) => {
                let key = (team, name);
                self.unindex_caller_token(&key);
                self.callers_by_token.insert(caller.token, (key.0.clone(), caller.expires));
                self.callers.insert(key, caller);
            }
            (Path::Serving(team, model), Entry::Serving(entry)) => {
                self.serving.insert((team, model), entry);
            }
            _ => {}
        }
    }

    /// Removes a setting if it exists.
    pub fn remove(&mut self, path: &Path) {
        match path.clone() {
            Path::Zone(zone) => drop(self.zones.remove(&zone)),
            Path::Model(model) => drop(self.models.remove(&model)),
            Path::Endpoint(endpoint) => drop(self.endpoints.remove(&endpoint)),
            Path::Store(store) => drop(self.stores.remove(&store)),
            Path::Workspace(workspace) => drop(self.workspaces.remove(&workspace)),
            Path::Access(team) => {
                self.unindex_team_token(&team);
                self.access.remove(&team);
            }
            Path::Caller(team, name) => {
                let key = (team, name);
                self.unindex_caller_token(&key);
                self.callers.remove(&key);
            }
            Path::Serving(team, model) => drop(self.serving.remove(&(team, model))),
        }
    }

    fn unindex_team_token(&mut self, team: &Arc<str>) {
        if let Some(entry) = self.access.get(team) {
            self.teams_by_token.remove(&entry.token);
        }
    }

    fn unindex_caller_token(&mut self, key: &(Arc<str>, String)) {
        if let Some(caller) = self.callers.get(key) {
            self.callers_by_token.remove(&caller.token);
        }
    }
}

/// Replaces a name by the equal key of the map, so that each name is allocated only once.
fn intern<V: Clone>(name: &mut Arc<str>, names: &OrderedMap<Arc<str>, V>) {
    if let Some((shared, _)) = names.get_key_value(name) {
        *name = shared.clone();
    }
}
