use super::{EngineState, OrderAction};
use crate::{
    ids::{AdapterId, ModelId, VersionId},
    settings::Tree,
};
use std::collections::BTreeSet;

/// What should be loaded on an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Model.
    pub model: ModelId,
    /// Versions that requests may name.
    pub versions: BTreeSet<VersionId>,
    /// Adapters that requests may name.
    pub adapters: BTreeSet<AdapterId>,
}

impl Desired {
    /// Takes the model's default version and all that teams serve of it from the settings.
    ///
    /// Versions and adapters that the model does not list are left out.
    pub fn of(tree: &Tree, model: &ModelId) -> Option<Self> {
        let entry = tree.models.get(model)?;
        let serving = tree.serving.iter().filter(|((_, served), _)| served == model);
        let (versions, adapters): (Vec<_>, Vec<_>) =
            serving.map(|(_, serving)| (serving.version.clone(), serving.adapter.clone())).unzip();
        Some(Self {
            model: model.clone(),
            versions: versions
                .into_iter()
                .chain([entry.default_version.clone()])
                .flatten()
                .filter(|version| entry.versions.contains(version))
                .collect(),
            adapters: adapters
                .into_iter()
                .flatten()
                .filter(|adapter| entry.adapters.contains(adapter))
                .collect(),
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
