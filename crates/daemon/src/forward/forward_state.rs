mod apply_keys;
mod membership;
mod receipts;
mod restored;
mod rollouts;
mod streams;

use self::{
    apply_keys::{KeyChange, KeySource},
    restored::MissingKeys,
    streams::StreamState,
};
pub use self::{
    rollouts::OutdatedRollout,
    streams::{DueAnnouncement, ResumeLearned, StreamVersionsValue},
};
use super::{boot_clock::boot_time, cut_evidence::LivenessChecks, request_record::display_or_none};
use cassiagw_core::{
    forwarding::{
        BootTime, CacheScope, CacheStoreIndex, ChangedKeys, DaemonPositions, DaemonRanks,
        Departures, EndpointTable, EngineView, EntryLapses, ForwardConfig, ForwardParams,
        ForwardSettings, FreezeDetector, KeyView, KeyWriter, MovePlan, PartMoves, PartQuarantine,
        Pick, PickRequest, RecentMembers, RolloutPhase, RolloutReason, Service, SharedRetryBudget,
        ShortAnswers, StorePosition, VersionGate, ViewFreshness, Witness, needs_relays,
        scope_weights,
    },
    ids::{DaemonId, FastMap, FastSet, ModelId, ServiceId, ZoneId},
};
use cassiagw_rpc::WorkReport;
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// JSON value of a daemon's member key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Address for connections from other daemons.
    pub peer: SocketAddr,
    /// Availability zone of the daemon; empty if it runs an earlier version that does not tell.
    #[serde(default)]
    pub zone: ZoneId,
    /// Process that wrote the key, and its lease.
    #[serde(default)]
    pub writer: KeyWriter,
}

/// JSON value of the key that names the holder of the order lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderValue {
    /// Daemon that holds the lease.
    pub daemon: DaemonId,
    /// Random ID of the daemon process.
    pub boot: u64,
    /// Lease that the key is attached to. It tells the writes of one process apart; 0 from a version
    /// that does not tell.
    #[serde(default)]
    pub lease: u64,
}

/// A model for which some engine does not run the newest weights.
pub struct OutdatedModel {
    /// Model that the engines serve.
    pub model: ModelId,
    /// Version of the newest announced weights.
    pub target_version: u64,
    /// All engines of the model that accept requests.
    pub engines: Vec<EngineView>,
}

/// Position in the store that a peer last reported, and when.
#[derive(Clone, Copy, Debug)]
struct PeerPosition {
    position: StorePosition,
    at: Instant,
}

/// State of the connection to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreLink {
    /// No successful response since this time.
    Lost(Instant),
    /// Responding since this time.
    Connected(Instant),
}

/// State of a daemon in the forwarding role, derived from the store and from its own observations.
pub struct ForwardState {
    /// Name under which this daemon registers.
    name: DaemonId,
    /// This process, as writer of its member key.
    own: KeyWriter,
    /// Whether the store showed this daemon's member key when it was last looked at.
    is_registered: bool,
    /// Addresses of other daemons in the settings file.
    seeds: Vec<SocketAddr>,
    zone: ZoneId,
    params: ForwardParams,
    /// Local copy of the keys in the store.
    pub view: KeyView,
    /// Current forwarding settings; version 0 until they are loaded.
    pub settings: Arc<ForwardSettings>,
    /// Endpoints of all services, with their load and health.
    pub endpoints: EndpointTable,
    /// Index of the contents of the cache stores.
    pub cache_index: CacheStoreIndex,
    /// Prompt parts that crash endpoints.
    pub quarantine: PartQuarantine,
    /// Short answers of the endpoints, which may have crashed just after them.
    pub short_answers: ShortAnswers,
    /// The other daemons.
    pub members: FastMap<DaemonId, MemberValue>,
    /// The other daemons among which limits are divided.
    sharing: RecentMembers,
    /// Daemon that holds the lease for orders to engines.
    pub order_holder: Option<DaemonId>,
    /// Connection state of the store.
    pub store_link: StoreLink,
    lapses: EntryLapses,
    departures: Departures,
    /// Keys that were missing when the store came back from a copy; `None` otherwise.
    missing_keys: Option<MissingKeys>,
    freeze_detector: FreezeDetector,
    /// How current the view is.
    freshness: ViewFreshness,
    /// Position in the store at which the newest weights of each model were announced.
    weights_announced_at: FastMap<ModelId, StorePosition>,
    /// Position in the store at which the settings in force were written; `None` if it is not known
    /// which daemons have read them.
    settings_written_at: Option<StorePosition>,
    /// Last reported position in the store of each peer.
    peer_positions: DaemonPositions,
    /// Positions of orders that were written again after the store came back from a copy.
    orders_written_again: FastMap<ServiceId, StorePosition>,
    /// Endpoints that were asked whether they are alive, after an answer was cut.
    pub liveness: LivenessChecks,
    /// Latest step of each rollout that this daemon decided.
    pub rollout_reasons: FastMap<ServiceId, (RolloutPhase, RolloutReason)>,
    /// Position in the store at which each peer last stated what it has seen of a rollout.
    rollout_positions: FastMap<ServiceId, FastMap<DaemonId, PeerPosition>>,
    /// Reports from other availability zones to pass on in the own one, and when they arrived.
    reports_to_relay: Vec<(Instant, WorkReport)>,
    /// Ranks the daemons of the own availability zone.
    zone_ranks: DaemonRanks,
    budgets: FastMap<ServiceId, SharedRetryBudget>,
    /// Versions at which streams began.
    streams: StreamState,
}

impl ForwardState {
    /// Creates the state before the store has been read.
    pub fn new(cfg: &ForwardConfig, own: KeyWriter, now: Instant) -> Self {
        let mut state = Self {
            name: cfg.name.clone(),
            own,
            is_registered: false,
            seeds: cfg.seeds.iter().copied().filter(|seed| *seed != cfg.peer).collect(),
            zone: cfg.zone.clone(),
            params: ForwardParams::default(),
            view: KeyView::default(),
            settings: Arc::default(),
            endpoints: EndpointTable::new(cfg.zone.clone()),
            cache_index: CacheStoreIndex::default().with_seed(rand::random()),
            quarantine: PartQuarantine::default(),
            short_answers: ShortAnswers::default(),
            members: FastMap::default(),
            sharing: RecentMembers::default(),
            order_holder: None,
            store_link: StoreLink::Lost(now),
            lapses: EntryLapses::new(now),
            departures: Departures::default(),
            missing_keys: None,
            freeze_detector: FreezeDetector::new(now, boot_time()),
            freshness: ViewFreshness::default(),
            weights_announced_at: FastMap::default(),
            settings_written_at: None,
            peer_positions: DaemonPositions::default(),
            rollout_positions: FastMap::default(),
            orders_written_again: FastMap::default(),
            liveness: LivenessChecks::default(),
            rollout_reasons: FastMap::default(),
            reports_to_relay: Vec::new(),
            zone_ranks: DaemonRanks::default(),
            budgets: FastMap::default(),
            streams: StreamState::default(),
        };
        state.set_params(cfg.params.clone());
        state.update_daemons();
        state
    }

    /// Replaces the parameters after a reload of the settings file.
    pub fn set_params(&mut self, params: ForwardParams) {
        self.endpoints.set_cold_bound(params.cold_ratio, params.cold_slack);
        self.endpoints.set_drain(params.drain);
        let had_rollouts = self.params.rollout.is_some();
        self.params = params;
        if !had_rollouts && self.params.rollout.is_some() {
            self.apply_ignored_rollouts(Instant::now());
        }
    }

    /// Whether the settings have been loaded, so that requests can be forwarded.
    pub fn is_loaded(&self) -> bool {
        self.settings.version > 0
    }

    /// Applies changes of the store's keys and returns whether any key changed. `is_relayed` is true
    /// if another daemon told them, false if the store did.
    pub fn apply(&mut self, now: Instant, changes: ChangedKeys, is_relayed: bool) -> bool {
        self.check_for_freeze(now);
        // The members and positions that the changes bring prove nothing of the view before them.
        let was_current = self.is_view_current();
        let applied = self.view.apply(changes);
        let source = if is_relayed { KeySource::Relayed } else { KeySource::Write };
        let change = KeyChange { source, is_recent: was_current };
        match applied.is_new_era {
            true => self.apply_copy(now, &applied.keys, was_current),
            false => applied.keys.iter().for_each(|key| self.apply_key(now, key, change)),
        }
        self.endpoints.settle_updates(now);
        if applied.keys.iter().any(|key| streams::matters(key)) {
            self.update_served_versions(now);
        }
        !applied.keys.is_empty() || applied.is_new_era
    }

    /// Records that the store answered a call that began at `called_at`, and that the view contains the
    /// answer.
    pub fn on_store_answer(&mut self, now: Instant, called_at: BootTime) {
        self.freshness.on_store_answer(called_at);
        self.lapses.on_answer(now);
        if let StoreLink::Lost(since) = self.store_link {
            let lost_ms = now.saturating_duration_since(since).as_millis() as u64;
            log::info!(event = "store_back", lost_ms, as_of:% = self.view.as_of(); "");
            self.store_link = StoreLink::Connected(now);
        }
    }

    /// Records that a call to the store failed, which may not have answered since `silent_since`.
    pub fn on_store_failure(&mut self, now: Instant, silent_since: Instant) {
        self.lapses.on_failure(silent_since);
        if let StoreLink::Connected(_) = self.store_link {
            log::warn!(event = "store_lost", as_of:% = self.view.as_of(); "");
            self.store_link = StoreLink::Lost(now);
        }
    }

    /// Age of what the store last proved, `None` if it never answered.
    pub fn store_age(&self) -> Option<Duration> {
        self.freshness.store_age(boot_time())
    }

    /// Selects an endpoint for a request.
    pub fn pick(&mut self, now: Instant, req: &PickRequest<'_>) -> Pick {
        self.endpoints.expire(now);
        self.endpoints.pick(now, req)
    }

    /// Time for which requests may start on older weights after newer ones were announced.
    pub fn old_weights_limit(&self) -> Duration {
        self.params.old_weights_limit
    }

    /// Retry budget of a service, with this daemon's share of the slack.
    pub fn budget(&mut self, service: &ServiceId) -> &mut SharedRetryBudget {
        let slack = self.params.retry_slack / self.sharing_count() as f64;
        let params = &self.params;
        let new = || SharedRetryBudget::new(params.retry_ratio, slack, params.retry_window);
        let budget = self.budgets.entry(service.clone()).or_insert_with(new);
        budget.set_slack(slack);
        budget
    }

    /// Whether requests may still use a scope: no newer weights than its own have been announced,
    /// and the settings still name the workspaces that share it.
    pub fn is_scope_current(&self, scope: &CacheScope) -> bool {
        self.has_current_weights(scope) && self.settings.sharing.is_used(scope)
    }

    /// Whether no newer weights than those of a scope are announced.
    pub fn has_current_weights(&self, scope: &CacheScope) -> bool {
        let Some((model, version)) = scope_weights(scope) else { return false };
        self.endpoints.target_version(model).is_none_or(|target_version| version >= target_version)
    }

    fn may_fetch_scope(&self, now: Instant, scope: &CacheScope) -> bool {
        let weights = scope_weights(scope);
        weights.is_some_and(|(model, version)| self.endpoints.may_fetch(now, model, version))
    }

    /// Detects that the host was frozen. Information from before a freeze must not count as
    /// current.
    fn check_for_freeze(&mut self, now: Instant) {
        if self.freeze_detector.was_frozen(now, boot_time()) {
            log::warn!(event = "host_was_frozen", as_of:% = self.view.as_of(); "");
            self.lapses.on_freeze();
            self.peer_positions.clear();
            self.reports_to_relay.clear();
            self.endpoints.end_previous_version_fetches();
        }
    }

    /// Whether the view is current: proved lately by the store or by all other daemons.
    pub fn is_view_current(&self) -> bool {
        self.freshness.is_current(boot_time(), self.view.as_of(), self.witnesses())
    }

    /// Whether the view contains all that the store, or every other daemon, knew at `since`.
    pub fn is_view_complete_since(&self, since: BootTime) -> bool {
        let view = self.view.as_of();
        self.freshness.is_complete_since(boot_time(), since, view, self.witnesses())
    }

    /// Who vouches for the other daemons: each for itself, or in a large fleet one for each other
    /// availability zone.
    fn witnesses(&self) -> impl Iterator<Item = Witness> {
        let has_relays = needs_relays(self.members.len());
        self.members.iter().map(move |(name, member)| {
            match has_relays && member.zone != self.zone {
                true => Witness::Zone(member.zone.clone()),
                false => Witness::Daemon(name.clone()),
            }
        })
    }

    /// Whether the parts of a scope that is not current may be freed at some time: this daemon would
    /// know if newer settings used the scope again.
    pub fn may_free(&self, scope: &CacheScope) -> bool {
        !self.has_current_weights(scope) || self.is_view_current()
    }

    /// Whether every daemon has reported a position that includes what made a scope outdated, the
    /// newest weights of its model or the settings, so that none starts another fetch from it.
    pub fn all_daemons_know_outdated(&self, scope: &CacheScope) -> bool {
        let Some((model, _)) = scope_weights(scope) else { return false };
        let outdated_at = match self.has_current_weights(scope) {
            true => self.settings_written_at.as_ref(),
            false => self.weights_announced_at.get(model),
        };
        let Some(outdated_at) = outdated_at else { return false };
        self.peer_positions.have_reached(*outdated_at, self.members.keys())
    }

    /// Applies the report of another daemon. Returns whether this daemon should report soon in turn.
    pub fn on_work_report(&mut self, now: Instant, report: WorkReport) -> bool {
        let at = now.checked_sub(report.age).unwrap_or(now);
        self.freshness.on_position(report.position);
        self.peer_positions.on_report(at, report.from.clone(), report.position);
        let has_rollout_news = self.on_rollout_statements(now, &report);
        self.endpoints.on_peer_work(now, at, report.from.clone(), report.work);
        self.endpoints.on_peer_part_locations(report.places);
        for statement in &report.limits {
            if self.endpoints.on_peer_limit(now, report.age, statement) {
                log::info!(
                    event = "endpoint_limit", endpoint:% = statement.endpoint,
                    per_s:% = display_or_none(statement.per_s), from:% = report.from; ""
                );
            }
        }
        for statement in &report.leaving {
            if self.endpoints.on_peer_leaving(now, report.age, statement) {
                log::info!(event = "endpoint_leaving", endpoint:% = statement.endpoint, from:% = report.from; "");
            }
        }
        let has_quarantine_news = self.quarantine.on_report(now, report.age, report.quarantine);
        has_quarantine_news || has_rollout_news
    }

    /// Applies a report that its daemon sent here itself, and keeps it for the own availability
    /// zone if it comes from another one in a large fleet.
    ///
    /// Returns whether this daemon should report soon in turn.
    pub fn on_direct_work_report(&mut self, now: Instant, report: WorkReport) -> bool {
        let is_near = self.members.get(&report.from).is_none_or(|from| from.zone == self.zone);
        if needs_relays(self.members.len()) && !is_near {
            self.reports_to_relay.push((now, report.clone()));
        }
        self.on_work_report(now, report)
    }

    /// Whether there are reports to pass on in the own availability zone.
    pub fn has_reports_to_relay(&self) -> bool {
        !self.reports_to_relay.is_empty()
    }

    /// Drains the reports to pass on in the own availability zone.
    pub fn take_reports_to_relay(&mut self, now: Instant) -> Vec<WorkReport> {
        self.check_for_freeze(now);
        let held = std::mem::take(&mut self.reports_to_relay);
        let with_age = |(since, report): (Instant, WorkReport)| {
            let age = report.age + now.saturating_duration_since(since);
            WorkReport { age, ..report }
        };
        held.into_iter().map(with_age).collect()
    }

    /// Decides from where the shared parts of a prompt are fetched and where they are saved.
    ///
    /// Parts of outdated weights are not saved, and after a short window not fetched either,
    /// because they are then freed. Nothing is moved while this daemon may have missed an
    /// announcement of newer weights.
    pub fn part_moves(&mut self, now: Instant, plan: &MovePlan<'_>) -> PartMoves {
        self.check_for_freeze(now);
        if !self.is_view_current() || !self.may_fetch_scope(now, plan.scope) {
            return PartMoves::default();
        }
        let is_current = self.is_scope_current(plan.scope);
        let moves = self.cache_index.moves(now, plan);
        match is_current {
            true => moves,
            false => PartMoves { targets: Vec::new(), ..moves },
        }
    }

    /// Models for which some engine does not run the newest weights.
    pub fn outdated_models(&self, now: Instant) -> Vec<OutdatedModel> {
        let services = self.settings.services.values().filter_map(engine_models);
        let models: FastSet<&ModelId> = services.flatten().collect();
        models
            .into_iter()
            .filter_map(|model| {
                let target_version = self.endpoints.target_version(model)?;
                let engines = self.engines_of(now, model);
                let is_behind = engines.iter().any(|engine| engine.version < target_version);
                is_behind.then(|| OutdatedModel { model: model.clone(), target_version, engines })
            })
            .collect()
    }

    fn engines_of(&self, now: Instant, model: &ModelId) -> Vec<EngineView> {
        let ready = self.endpoints.entries().filter(|entry| {
            !self.endpoints.is_leaving(&entry.id)
                && self.endpoints.version_gate(entry) != VersionGate::Closed
        });
        let engines = ready.filter_map(|entry| {
            let work = self.endpoints.work_at(now, &entry.id);
            let service = self.settings.services.get(&entry.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            Some(EngineView {
                id: entry.id.clone(),
                started_unix_ms: entry.started_unix_ms,
                version: entry.version_of(model)?,
                requests: work.requests,
                memory_tokens: work.memory_tokens,
                capacity_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            })
        });
        engines.collect()
    }
}

fn engine_models(service: &Service) -> Option<&Vec<ModelId>> {
    service.engine.as_ref().map(|engine| &engine.models)
}
