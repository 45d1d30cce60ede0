use super::{held_key::HeldKey, load_slots::LoadSlots, writer_lease::WriterLease};
use crate::{config::EndpointConfig, context::Context};
use cassiagw_core::{
    ids::RegionId,
    membership::View,
    orders::{Desired, EngineOrder, EngineState, OrderConfig, OrderOutcome, OrderPolicy, Step},
    settings::EndpointEntry,
};
use cassiagw_platform::{
    engine::{EngineClient, EngineError},
    http::HttpClient,
    kv::{KvClient, KvLimits},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{select, sync::watch, time::sleep};

/// First part of every key of the deployment.
const KEY_PREFIX: &str = "/cassiagw";
/// Longest time to read an engine's state back.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Longest random addition to a wait, in permille of it.
const JITTER_PERMILLE: u32 = 200;

/// Only writer of orders to one engine.
pub struct OrderTask {
    cx: Arc<Context>,
    cfg: EndpointConfig,
    times: OrderConfig,
    kv: KvClient,
    engine: EngineClient,
    views: watch::Receiver<Arc<View>>,
}

/// What the settings say of the endpoint now.
#[derive(PartialEq)]
struct Wanted {
    region: RegionId,
    checks_fencing: bool,
    desired: Desired,
}

impl OrderTask {
    /// Makes the writer of orders to the engine of an endpoint.
    pub fn new(cx: Arc<Context>, cfg: EndpointConfig, times: OrderConfig) -> Self {
        let kv = KvClient::with_members(&cx.cfg.platform.kv, KvLimits::default());
        let engine = EngineClient::new(HttpClient::default(), cfg.upstream);
        let views = cx.control.subscribe();
        Self { cx, cfg, times, kv, engine, views }
    }

    /// Keeps the engine as the settings want it, for as long as the future is polled.
    pub async fn run(mut self) {
        loop {
            match self.wanted() {
                Some(wanted) => self.serve(wanted).await,
                None => self.changed().await,
            }
        }
    }

    /// Keeps the engine as wanted until the region or the kind of fencing changes.
    async fn serve(&mut self, first: Wanted) {
        let mut writer = Writer::new(self, &first);
        loop {
            match self.wanted() {
                Some(wanted) if !wanted.differs_in_kind(&first) => {
                    let pause = writer.advance(&wanted.desired).await;
                    select! {
                        () = sleep(pause) => {}
                        () = self.changed() => {}
                    }
                }
                Some(_) => return,
                None => self.changed().await,
            }
        }
    }

    /// What the settings want; none while this daemon is not sure of them, or is leaving.
    fn wanted(&self) -> Option<Wanted> {
        let view = self.cx.view();
        if !view.is_current || self.cx.is_draining() {
            return None;
        }
        let EndpointEntry { zone, model, checks_fencing, .. } =
            view.tree.endpoints.get(&self.cfg.id)?;
        Some(Wanted {
            region: view.tree.zones.get(zone)?.region.clone(),
            checks_fencing: *checks_fencing,
            desired: Desired::of(&view.tree, model)?,
        })
    }

    async fn changed(&mut self) {
        if self.views.changed().await.is_err() {
            // The control part has ended, and the daemon with it.
            std::future::pending().await
        }
    }
}

impl Wanted {
    fn differs_in_kind(&self, other: &Self) -> bool {
        self.region != other.region || self.checks_fencing != other.checks_fencing
    }
}

/// Carries out the steps that the policy decides.
struct Writer {
    endpoint: String,
    times: OrderConfig,
    engine: EngineClient,
    lease: WriterLease,
    slots: LoadSlots,
    policy: OrderPolicy,
    tenure: Option<HeldKey>,
    slot: Option<HeldKey>,
}

impl Writer {
    fn new(task: &OrderTask, wanted: &Wanted) -> Self {
        let times = task.times.clone().with_checks_fencing(wanted.checks_fencing);
        let id = &task.cfg.id;
        // A place outlasts one load and its order's time.
        let slot_ttl = times.order_timeout * 2;
        let slots = task.cfg.load_slots;
        Self {
            endpoint: id.to_string(),
            engine: task.engine.clone(),
            lease: WriterLease::new(task.kv.clone(), KEY_PREFIX, id, times.lease),
            slots: LoadSlots::new(task.kv.clone(), KEY_PREFIX, &wanted.region, slots, slot_ttl),
            policy: OrderPolicy::new(Instant::now(), times.clone()),
            tenure: None,
            slot: None,
            times,
        }
    }

    /// Does the next step and says how long to wait after it.
    async fn advance(&mut self, desired: &Desired) -> Duration {
        self.renew().await;
        match self.policy.step(Instant::now(), desired) {
            Step::Wait(until) => return self.wait_until(until),
            Step::ReadState => {
                let state = self.engine.order_state(READ_LIMIT).await.ok();
                self.policy.on_state(Instant::now(), state);
            }
            Step::TakeTenure => self.take_tenure().await,
            Step::ReturnTenure => self.return_tenure().await,
            Step::TakeSlot => self.take_slot().await,
            Step::ReturnSlot => self.return_slot().await,
            Step::Give(order) => self.give(order).await,
        }
        Duration::ZERO
    }

    /// Time to sleep, cut short where the lease must be renewed.
    fn wait_until(&self, until: Instant) -> Duration {
        let wait = until.saturating_duration_since(Instant::now());
        let jitter = wait * (rand::random::<u32>() % JITTER_PERMILLE) / 1_000;
        match self.tenure {
            Some(_) => (wait + jitter).min(self.times.lease / 4),
            None => wait + jitter,
        }
    }

    /// Renews the lease once a third of it has passed.
    async fn renew(&mut self) {
        let ttl = self.times.lease;
        let Some(tenure) = &mut self.tenure else { return };
        if tenure.until.saturating_duration_since(Instant::now()) > ttl * 2 / 3 {
            return;
        }
        match tenure.renew(ttl).await {
            Ok(true) => self.policy.on_renewed(tenure.until),
            Ok(false) => {
                self.tenure = None;
                self.policy.on_tenure_lost();
            }
            Err(error) => self.warn("lease_not_renewed", &error.to_string()),
        }
    }

    async fn take_tenure(&mut self) {
        self.tenure = None;
        match self.lease.take().await {
            Ok(Some((held, before))) => {
                self.policy.on_tenure(Instant::now(), held.revision, held.until, before);
                self.tenure = Some(held);
            }
            Ok(None) => self.policy.on_tenure_refused(Instant::now()),
            Err(error) => {
                self.warn("lease_not_taken", &error.to_string());
                self.policy.on_tenure_refused(Instant::now());
            }
        }
    }

    async fn return_tenure(&mut self) {
        if let Some(held) = self.tenure.take()
            && let Err(error) = self.lease.finish(held).await
        {
            self.warn("lease_not_returned", &error.to_string());
        }
        self.policy.on_tenure_lost();
    }

    async fn take_slot(&mut self) {
        self.return_held_slot().await;
        self.slot = match self.slots.take().await {
            Ok(slot) => slot,
            Err(error) => {
                self.warn("slot_not_taken", &error.to_string());
                None
            }
        };
        let until = self.slot.as_ref().map(|slot| slot.until);
        self.policy.on_slot(Instant::now(), until);
    }

    async fn return_slot(&mut self) {
        self.return_held_slot().await;
        self.policy.on_slot_returned(Instant::now());
    }

    async fn return_held_slot(&mut self) {
        if let Some(held) = self.slot.take()
            && let Err(error) = held.release(Vec::new()).await
        {
            self.warn("slot_not_returned", &error.to_string());
        }
    }

    async fn give(&mut self, order: EngineOrder) {
        let sent_at = Instant::now();
        let outcome = self.engine.order(&order, self.times.order_timeout).await;
        let outcome = outcome_of(outcome);
        log::info!(
            event = "order_given", endpoint = self.endpoint, fence = order.fence,
            action:? = order.action, outcome:? = outcome; ""
        );
        self.policy.on_order(Instant::now(), sent_at, outcome);
    }

    fn warn(&self, event: &str, error: &str) {
        log::warn!(event = event, endpoint = self.endpoint, error = error; "");
    }
}

/// Only an answer that denies the order, or a request never sent, proves it not carried out.
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
