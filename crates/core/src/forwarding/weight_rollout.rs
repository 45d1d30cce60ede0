use crate::ids::{EndpointId, FastMap, ModelId};
use std::time::{Duration, Instant};

/// Reciprocal of the largest fraction of a model's engines that load weights at once.
const BATCH_DIVISOR: usize = 3;
/// Interval between two state reads of an engine that is carrying out an order.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an engine that is carrying out an order no longer counts towards the batch.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before an engine that refused an order is read and ordered again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Last known state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Endpoint of the engine.
    pub id: EndpointId,
    /// Process start in Unix milliseconds, to detect a restart in place.
    pub started_unix_ms: Option<u64>,
    /// Weight version that the engine runs.
    pub version: u64,
}

/// Order to an engine to load another weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// Endpoint of the engine.
    pub engine: EndpointId,
    /// Model whose weights are replaced.
    pub model: ModelId,
    /// Version to load.
    pub version: u64,
    /// Number of orders the engine must have accepted so far; it refuses the order otherwise, so
    /// that a delayed order has no effect.
    pub expected: Option<u64>,
}

/// Next action for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightStep {
    /// Read the engine's state.
    Read(EndpointId),
    /// Send an order.
    Order(WeightOrder),
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine already runs the requested version.
    Holds,
    /// Another order is in progress or was accepted first.
    Conflict,
    /// The engine has seen a newer fencing token.
    OldFence,
    /// The engine cannot carry out the order now.
    Refused,
    /// The order may have been accepted, or may still be carried out.
    Unknown,
}

#[derive(Clone, Debug)]
struct Progress {
    started_unix_ms: Option<u64>,
    /// Number of accepted orders; `None` if not read since the last order.
    accepted: Option<u64>,
    /// When the order in progress was sent.
    ordered: Option<Instant>,
    next: Instant,
}

/// Rolling update of a model's engines to the target weight version; a limited fraction loads at
/// once, so that the others keep serving.
#[derive(Clone, Debug, Default)]
pub struct WeightRollout {
    engines: FastMap<EndpointId, Progress>,
}

impl WeightRollout {
    /// Returns the actions due now for engines that do not run `target_version` yet.
    pub fn step(
        &mut self,
        now: Instant,
        model: &ModelId,
        target_version: u64,
        engines: &[EngineView],
    ) -> Vec<WeightStep> {
        self.engines.retain(|id, _| engines.iter().any(|engine| engine.id == *id));
        let batch = engines.len().div_ceil(BATCH_DIVISOR);
        let outdated: Vec<&EngineView> =
            engines.iter().filter(|engine| engine.version < target_version).collect();
        for engine in engines.iter().filter(|engine| engine.version >= target_version) {
            self.engines.remove(&engine.id);
        }
        let mut steps = Vec::new();
        for engine in &outdated {
            self.read_if_due(now, engine, &mut steps);
        }
        let mut running = self.engines.values().filter(|known| known.is_running(now)).count();
        for engine in outdated {
            let Some(known) = self.engines.get_mut(&engine.id) else { continue };
            if running >= batch || known.is_running(now) || now < known.next {
                continue;
            }
            let Some(accepted) = known.accepted.take() else { continue };
            known.ordered = Some(now);
            known.next = now + READ_INTERVAL;
            running += 1;
            steps.push(WeightStep::Order(WeightOrder {
                engine: engine.id.clone(),
                model: model.clone(),
                version: target_version,
                expected: Some(accepted),
            }));
        }
        steps
    }

    /// Records an engine's reported state: whether an order is in progress, and how many orders it
    /// has accepted so far.
    pub fn on_read(&mut self, now: Instant, engine: &EndpointId, is_busy: bool, accepted: u64) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        if is_busy {
            known.ordered.get_or_insert(now);
            known.next = now + READ_INTERVAL;
            return;
        }
        let is_settled = known.ordered.is_none_or(|at| now >= at + RETRY_PAUSE);
        if is_settled {
            known.ordered = None;
            known.accepted = Some(accepted);
            known.next = now;
        }
    }

    /// Records the result of an order.
    pub fn on_outcome(&mut self, now: Instant, engine: &EndpointId, outcome: OrderOutcome) {
        let Some(known) = self.engines.get_mut(engine) else { return };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Holds | OrderOutcome::Conflict => known.ordered = None,
            OrderOutcome::OldFence | OrderOutcome::Refused => {
                known.ordered = None;
                known.next = now + RETRY_PAUSE;
            }
        }
    }

    /// Engines that are loading weights.
    pub fn running(&self, now: Instant) -> impl Iterator<Item = &EndpointId> {
        self.engines.iter().filter(move |(_, known)| known.is_running(now)).map(|(id, _)| id)
    }

    fn read_if_due(&mut self, now: Instant, engine: &EngineView, steps: &mut Vec<WeightStep>) {
        let new = || Progress {
            started_unix_ms: engine.started_unix_ms,
            accepted: None,
            ordered: None,
            next: now,
        };
        let known = self.engines.entry(engine.id.clone()).or_insert_with(new);
        if known.started_unix_ms != engine.started_unix_ms {
            *known = new();
        }
        if known.accepted.is_none() && now >= known.next {
            known.next = now + READ_INTERVAL;
            steps.push(WeightStep::Read(engine.id.clone()));
        }
    }
}

impl Progress {
    fn is_running(&self, now: Instant) -> bool {
        self.ordered.is_some_and(|at| now < at + ORDER_TIMEOUT)
    }
}
