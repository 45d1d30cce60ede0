use super::{EngineState, OrderAction};
use crate::{
    ids::{AdapterId, FastSet, ModelId, VersionId},
    settings::Tree,
};
use std::sync::Arc;

/// Versions and adapters that should be loaded on an engine, in descending order of importance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model that the engine serves.
    pub model: ModelId,
    /// Weight versions: the model's default and those that teams serve or may switch to.
    pub versions: Vec<VersionId>,
    /// Adapters that teams serve or may switch to.
    pub adapters: Vec<AdapterId>,
}

impl Desired {
    /// Collects the model's default version, the versions and adapters that teams serve, and those
    /// that they may switch to, in this order.
    ///
    /// Versions and adapters that the model does not list are left out. `None` if the settings do
    /// not contain the model.
    pub fn of(tree: &Tree, model: &ModelId) -> Option<Self> {
        let entry = tree.models.get(model)?;
        let serving = || {
            let all = tree.serving.iter().filter(|((_, served), _)| served == model);
            all.map(|(_, serving)| serving)
        };
        let access = || tree.access.values().filter(|access| access.models.contains(model));
        let versions = entry
            .default_version
            .iter()
            .chain(serving().filter_map(|serving| serving.version.as_ref()))
            .chain(access().flat_map(|access| &access.versions))
            .filter(|version| entry.versions.contains(*version));
        let adapters = serving()
            .filter_map(|serving| serving.adapter.as_ref())
            .chain(access().flat_map(|access| &access.adapters))
            .filter(|adapter| entry.adapters.contains(*adapter));
        Some(Self {
            model: model.clone(),
            versions: distinct(versions),
            adapters: distinct(adapters),
        })
    }

    /// Returns the load orders for what is desired but not loaded, adapters before versions.
    pub fn missing<'a>(&'a self, state: &'a EngineState) -> impl Iterator<Item = OrderAction> + 'a {
        let adapters = self.adapters.iter().filter(|name| !state.adapters.contains(name));
        let versions = self.versions.iter().filter(|name| !state.versions.contains(name));
        let adapters = adapters.map(|name| OrderAction::LoadAdapter { adapter: name.clone() });
        adapters.chain(versions.map(|name| OrderAction::LoadVersion {
            model: self.model.clone(),
            version: name.clone(),
        }))
    }

    /// Returns the unload orders for what is loaded but not desired.
    ///
    /// Versions are only unloaded while a desired one is loaded, so the engine always keeps one.
    pub fn surplus<'a>(&'a self, state: &'a EngineState) -> impl Iterator<Item = OrderAction> + 'a {
        let has_desired_version = self.versions.iter().any(|name| state.versions.contains(name));
        let versions = state
            .versions
            .iter()
            .filter(move |name| has_desired_version && !self.versions.contains(*name));
        let adapters = state.adapters.iter().filter(|name| !self.adapters.contains(*name));
        let versions = versions.map(|name| OrderAction::UnloadVersion {
            model: self.model.clone(),
            version: name.clone(),
        });
        versions.chain(adapters.map(|name| OrderAction::UnloadAdapter { adapter: name.clone() }))
    }
}

fn distinct<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
    let mut seen = FastSet::default();
    names.filter(|name| seen.insert(Arc::clone(name))).cloned().collect()
}
