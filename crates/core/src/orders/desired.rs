use super::{EngineState, OrderAction};
use crate::{
    ids::{AdapterId, FastSet, ModelId, VersionId},
    settings::Tree,
};
use std::sync::Arc;

/// What should be loaded on an engine, the most needed first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model.
    pub model: ModelId,
    /// Versions that requests name now, or that a team may switch to.
    pub versions: Vec<VersionId>,
    /// Adapters that requests name now, or that a team may switch to.
    pub adapters: Vec<AdapterId>,
}

impl Desired {
    /// Takes the model's default version, what teams serve of it and what they may switch to.
    ///
    /// Versions and adapters that the model does not list are left out.
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

    /// Orders that bring what is missing: adapters before versions.
    pub fn missing<'a>(&'a self, state: &'a EngineState) -> impl Iterator<Item = OrderAction> + 'a {
        let adapters = self.adapters.iter().filter(|name| !state.adapters.contains(name));
        let versions = self.versions.iter().filter(|name| !state.versions.contains(name));
        let adapters = adapters.map(|name| OrderAction::LoadAdapter { adapter: name.clone() });
        adapters.chain(versions.map(|name| OrderAction::LoadVersion {
            model: self.model.clone(),
            version: name.clone(),
        }))
    }

    /// Orders that take away what nobody wants; never the last version.
    pub fn surplus<'a>(&'a self, state: &'a EngineState) -> impl Iterator<Item = OrderAction> + 'a {
        let keeps_one = self.versions.iter().any(|name| state.versions.contains(name));
        let versions =
            state.versions.iter().filter(move |name| keeps_one && !self.versions.contains(*name));
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
