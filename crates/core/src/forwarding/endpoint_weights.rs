//! Weight versions of models, and of the engines that run them.

use super::{EndpointTable, EndpointWork, INITIAL_WEIGHT_VERSION, TargetWeights};
use crate::ids::{EndpointId, ModelId};
use std::time::{Duration, Instant};

impl EndpointTable {
    /// Sets the target weight version of a model; an older version is ignored.
    ///
    /// `is_just_announced` is true if the update was just announced, and false if it may have been
    /// announced before this daemon was following the store.
    pub fn set_target_version(
        &mut self,
        now: Instant,
        model: ModelId,
        version: u64,
        is_just_announced: bool,
    ) {
        match self.targets.get_mut(&model) {
            Some(target) => target.announce(now, version, is_just_announced),
            None if version > INITIAL_WEIGHT_VERSION => {
                self.targets.insert(model, TargetWeights::new(now, version, is_just_announced));
            }
            None => {}
        }
    }

    /// Decides on weight updates that may have been announced long before this daemon learned of
    /// them, as for one that has just started: a version that half of a model's engines run, or run
    /// a newer one, is not recent, and older weights get no more requests.
    pub fn settle_updates(&mut self, now: Instant) {
        for (model, target) in &mut self.targets {
            if !target.has_unknown_times() {
                continue;
            }
            let versions =
                self.endpoints.values().filter_map(|known| known.entry.version_of(model));
            let mut versions: Vec<u64> = versions.collect();
            versions.sort_unstable();
            if let Some(version) = versions.get(versions.len() / 2) {
                target.on_widely_used(now, *version);
            }
        }
    }

    /// Whether cached parts of a weight version may be fetched: versions from the target on, and
    /// for a short time after an update also the previous one, for engines that have not switched
    /// yet.
    pub fn may_fetch(&self, now: Instant, model: &str, version: u64) -> bool {
        self.targets.get(model).is_none_or(|target| target.may_fetch(now, version))
    }

    /// Stops fetches for the previous weight versions at once, for example after the host was
    /// frozen.
    pub fn end_previous_version_fetches(&mut self) {
        self.targets.values_mut().for_each(TargetWeights::end_previous_version_fetches);
    }

    /// Iterates over the models whose weights were updated, for the state dump.
    pub fn target_weights(&self) -> impl Iterator<Item = (&ModelId, &TargetWeights)> {
        self.targets.iter()
    }

    /// Target weight version of a model; `None` before any update is announced.
    pub fn target_version(&self, model: &str) -> Option<u64> {
        self.targets.get(model).map(TargetWeights::version)
    }

    /// Whether an endpoint is not known to run the target weight version of a model.
    pub fn is_outdated(&self, id: &str, model: &str) -> bool {
        let version = self.endpoints.get(id).and_then(|known| known.entry.version_of(model));
        self.target_version(model).is_some_and(|target| version < Some(target))
    }

    /// Load of all daemons at an engine.
    pub fn work_at(&self, now: Instant, id: &EndpointId) -> EndpointWork {
        let own = self.endpoints.get(id).map(|known| &known.work);
        let others = self.peers.total_at(now, id);
        EndpointWork {
            endpoint: id.clone(),
            requests: others.requests + own.map_or(0, |own| own.requests),
            unread_tokens: others.unread_tokens + own.map_or(0, |own| own.unread_tokens),
            memory_tokens: others.memory_tokens + own.map_or(0, |own| own.memory_tokens),
        }
    }

    /// Time by which a request sent to an engine running `version` must have started there; `None`
    /// if the version is not outdated or not known.
    pub fn start_deadline(
        &self,
        model: &str,
        version: Option<u64>,
        old_weights_limit: Duration,
    ) -> Option<Instant> {
        self.targets.get(model)?.start_deadline(version?, old_weights_limit)
    }

    /// Records that an endpoint runs a newer weight version; its cached parts are then void, and it
    /// accepts requests again. Returns whether that was not known.
    pub fn on_weights(&mut self, now: Instant, id: &str, model: &ModelId, version: u64) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else { return false };
        match known.entry.weights.iter_mut().find(|(name, _)| name == model) {
            Some((_, seen)) if version > *seen => {
                *seen = version;
                known.health.end_requested_backoff(now);
                self.part_locations.mark_evicted(&known.entry.id);
                true
            }
            Some(_) => false,
            None => {
                known.entry.weights.push((model.clone(), version));
                true
            }
        }
    }
}
