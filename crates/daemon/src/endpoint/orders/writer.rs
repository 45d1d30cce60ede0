use super::{OrderDump, held_key::HeldKey, load_slots::LoadSlots, writer_lease::WriterLease};
use cassiagw_core::{
    ids::EndpointId,
    orders::{Desired, EngineOrder, EngineState, OrderConfig, OrderOutcome, OrderPolicy, Step},
};
use cassiagw_surfaces::{
    engine::{EngineClient, EngineError},
    kv::KvClient,
};
use std::time::{Duration, Instant};

/// Timeout for reading the state of an engine.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper limit of the random addition to a wait, in permille of the wait.
const JITTER_PERMILLE: u32 = 200;

/// Clients of the services that a writer uses.
#[derive(Clone)]
pub struct WriterClients {
    /// Key-value service that holds the leases.
    pub kv: KvClient,
    /// Engine that receives the orders.
    pub engine: EngineClient,
    /// Prefix of every key of the deployment.
    pub prefix: String,
}

/// Slots for loading weights that the writer competes for.
pub struct SlotConfig<'a> {
    /// Region whose replicas share the slots.
    pub region: &'a str,
    /// Number of slots of the region.
    pub count: u32,
}

/// Executes the steps that the order policy decides.
pub struct Writer {
    endpoint: EndpointId,
    order_cfg: OrderConfig,
    engine: EngineClient,
    lease: WriterLease,
    slots: LoadSlots,
    policy: OrderPolicy,
    held_lease: Option<HeldKey>,
    held_slot: Option<HeldKey>,
    last_order: Option<String>,
}

impl Writer {
    /// Creates a writer that holds neither the lease nor a slot.
    pub fn new(
        endpoint: &EndpointId,
        order_cfg: OrderConfig,
        clients: WriterClients,
        slot_cfg: SlotConfig<'_>,
    ) -> Self {
        let WriterClients { kv, engine, prefix } = clients;
        let SlotConfig { region, count } = slot_cfg;
        // A slot outlasts one load including the timeout of its order.
        let slot_ttl = order_cfg.order_timeout * 2;
        Self {
            endpoint: endpoint.clone(),
            engine,
            lease: WriterLease::new(kv.clone(), &prefix, endpoint, order_cfg.lease),
            slots: LoadSlots::new(kv, &prefix, region, count, slot_ttl),
            policy: OrderPolicy::new(Instant::now(), order_cfg.clone()),
            held_lease: None,
            held_slot: None,
            last_order: None,
            order_cfg,
        }
    }

    /// Executes the next step and returns how long to wait after it.
    pub async fn run_step(&mut self, desired: &Desired) -> Duration {
        self.renew().await;
        match self.policy.step(Instant::now(), desired) {
            Step::Wait(until) => return self.wait_until(until),
            Step::ReadState => {
                let state = self.engine.order_state(READ_TIMEOUT).await.ok();
                self.policy.on_state_read(Instant::now(), state);
            }
            Step::AcquireLease => self.acquire_lease().await,
            Step::ReleaseLease => self.release_lease().await,
            Step::AcquireSlot => self.acquire_slot().await,
            Step::ReleaseSlot => self.release_slot().await,
            Step::SendOrder(order) => self.send_order(order).await,
        }
        Duration::ZERO
    }

    /// Returns the time to sleep with jitter, limited so that a held lease is renewed in time.
    fn wait_until(&self, until: Instant) -> Duration {
        let wait = until.saturating_duration_since(Instant::now());
        let jitter = wait * (rand::random::<u32>() % JITTER_PERMILLE) / 1_000;
        match self.held_lease {
            Some(_) => (wait + jitter).min(self.order_cfg.lease / 4),
            None => wait + jitter,
        }
    }

    /// Renews the lease once a third of its time has passed.
    async fn renew(&mut self) {
        let ttl = self.order_cfg.lease;
        let Some(held_lease) = &mut self.held_lease else { return };
        if held_lease.until.saturating_duration_since(Instant::now()) > ttl * 2 / 3 {
            return;
        }
        match held_lease.renew(ttl).await {
            Ok(true) => self.policy.on_lease_renewed(held_lease.until),
            Ok(false) => {
                self.held_lease = None;
                self.policy.on_lease_lost();
            }
            Err(error) => self.warn("lease_not_renewed", &error.to_string()),
        }
    }

    async fn acquire_lease(&mut self) {
        self.held_lease = None;
        match self.lease.acquire().await {
            Ok(Some((held, before))) => {
                self.policy.on_lease_acquired(Instant::now(), held.revision, held.until, before);
                self.held_lease = Some(held);
            }
            Ok(None) => self.policy.on_lease_denied(Instant::now()),
            Err(error) => {
                self.warn("lease_not_taken", &error.to_string());
                self.policy.on_lease_denied(Instant::now());
            }
        }
    }

    async fn release_lease(&mut self) {
        if let Some(held) = self.held_lease.take()
            && let Err(error) = self.lease.release(held).await
        {
            self.warn("lease_not_returned", &error.to_string());
        }
        self.policy.on_lease_lost();
    }

    async fn acquire_slot(&mut self) {
        self.release_held_slot().await;
        self.held_slot = match self.slots.acquire().await {
            Ok(slot) => slot,
            Err(error) => {
                self.warn("slot_not_taken", &error.to_string());
                None
            }
        };
        let until = self.held_slot.as_ref().map(|slot| slot.until);
        self.policy.on_slot_result(Instant::now(), until);
    }

    async fn release_slot(&mut self) {
        self.release_held_slot().await;
        self.policy.on_slot_released(Instant::now());
    }

    async fn release_held_slot(&mut self) {
        if let Some(held) = self.held_slot.take()
            && let Err(error) = held.release(Vec::new()).await
        {
            self.warn("slot_not_returned", &error.to_string());
        }
    }

    async fn send_order(&mut self, order: EngineOrder) {
        let sent_at = Instant::now();
        let outcome = self.engine.order(&order, self.order_cfg.order_timeout).await;
        let outcome = outcome_of(outcome);
        log::info!(
            event = "order_given", endpoint:% = self.endpoint, fence = order.fence,
            action:? = order.action, outcome:? = outcome; ""
        );
        self.last_order = Some(format!("{:?}: {outcome:?}", order.action));
        self.policy.on_order_outcome(Instant::now(), sent_at, outcome);
    }

    /// Updates a dump with the current state.
    pub fn write_dump(&self, desired: &Desired, dump: &mut OrderDump) {
        let before = std::mem::take(dump);
        *dump = OrderDump {
            fence: self.held_lease.as_ref().map(|held| held.revision),
            has_slot: self.held_slot.is_some(),
            wanted_versions: desired.versions.clone(),
            wanted_adapters: desired.adapters.clone(),
            last_order: self.last_order.clone(),
            ..before
        }
        .with_engine_state(self.policy.engine_state());
    }

    fn warn(&self, event: &str, error: &str) {
        log::warn!(event = event, endpoint:% = self.endpoint, error = error; "");
    }
}

/// Only a response that rejects the order, or a request that was never sent, proves that the order
/// was not executed.
fn outcome_of(outcome: Result<EngineState, EngineError>) -> OrderOutcome {
    match outcome {
        Ok(state) => OrderOutcome::CarriedOut(state),
        Err(EngineError::OldFence) => OrderOutcome::OldFence,
        Err(EngineError::Refused { status: 507, .. }) => OrderOutcome::NoRoom,
        Err(EngineError::Refused { status: 400..=499, .. }) => OrderOutcome::Refused,
        Err(EngineError::Http(error)) if error.is_not_sent() => OrderOutcome::Refused,
        Err(_) => OrderOutcome::Unknown,
    }
}
