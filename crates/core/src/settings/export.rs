use super::{Entry, Path, Subtree, Tree};

impl Tree {
    /// Returns one setting; `None` if it is not set.
    pub fn get(&self, path: &Path) -> Option<Entry> {
        Some(match path {
            Path::Zone(zone) => Entry::Zone(self.zones.get(zone)?.clone()),
            Path::Model(model) => Entry::Model(self.models.get(model)?.clone()),
            Path::Endpoint(endpoint) => Entry::Endpoint(self.endpoints.get(endpoint)?.clone()),
            Path::Store(store) => Entry::Store(self.stores.get(store)?.clone()),
            Path::Workspace(workspace) => Entry::Workspace(self.workspaces.get(workspace)?.clone()),
            Path::Access(team) => Entry::Access(self.access.get(team)?.clone()),
            Path::Caller(team, name) => {
                Entry::Caller(self.callers.get(&(team.clone(), name.clone()))?.clone())
            }
            Path::Serving(team, model) => {
                Entry::Serving(self.serving.get(&(team.clone(), model.clone()))?.clone())
            }
        })
    }

    /// Iterates over all settings; referenced settings come before those that refer to them.
    pub fn entries(&self) -> impl Iterator<Item = (Path, Entry)> + '_ {
        let zones =
            self.zones.iter().map(|(id, e)| (Path::Zone(id.clone()), Entry::Zone(e.clone())));
        let models =
            self.models.iter().map(|(id, e)| (Path::Model(id.clone()), Entry::Model(e.clone())));
        let endpoints = self
            .endpoints
            .iter()
            .map(|(id, e)| (Path::Endpoint(id.clone()), Entry::Endpoint(e.clone())));
        let stores =
            self.stores.iter().map(|(id, e)| (Path::Store(id.clone()), Entry::Store(e.clone())));
        let workspaces = self
            .workspaces
            .iter()
            .map(|(id, e)| (Path::Workspace(id.clone()), Entry::Workspace(e.clone())));
        let access =
            self.access.iter().map(|(id, e)| (Path::Access(id.clone()), Entry::Access(e.clone())));
        let callers = self.callers.iter().map(|((team, name), e)| {
            (Path::Caller(team.clone(), name.clone()), Entry::Caller(e.clone()))
        });
        let serving = self.serving.iter().map(|((team, model), e)| {
            (Path::Serving(team.clone(), model.clone()), Entry::Serving(e.clone()))
        });
        zones
            .chain(models)
            .chain(endpoints)
            .chain(stores)
            .chain(workspaces)
            .chain(access)
            .chain(callers)
            .chain(serving)
    }

    /// Iterates over the settings of a subtree in the order of [`Self::entries`].
    pub fn entries_in<'a>(
        &'a self,
        subtree: &'a Subtree,
    ) -> impl Iterator<Item = (Path, Entry)> + 'a {
        self.entries().filter(|(path, _)| subtree.contains(path))
    }
}
