use super::{
    OrderDump,
    writer::{SlotConfig, Writer, WriterClients},
};
use crate::{config::EndpointConfig, context::Context};
use cassiagw_core::{
    ids::RegionId,
    membership::View,
    orders::{Desired, OrderConfig},
    settings::EndpointEntry,
};
use cassiagw_surfaces::{
    engine::EngineClient,
    http::HttpClient,
    kv::{KvClient, KvLimits},
};
use std::sync::Arc;
use tokio::{select, sync::watch, time::sleep};

/// Task that sends orders to one engine; a lease ensures that it is the only writer.
pub struct OrderTask {
    cx: Arc<Context>,
    cfg: EndpointConfig,
    order_cfg: OrderConfig,
    clients: WriterClients,
    views: watch::Receiver<Arc<View>>,
    dump: watch::Sender<OrderDump>,
}

/// Desired state of the endpoint by the current settings.
#[derive(PartialEq)]
struct DesiredState {
    region: RegionId,
    checks_fencing: bool,
    desired: Desired,
}

impl OrderTask {
    /// Creates the task with clients for the endpoint's engine and the key-value service.
    pub fn new(cx: Arc<Context>, cfg: EndpointConfig, order_cfg: OrderConfig) -> Self {
        let kv = KvClient::with_members(&cx.cfg.platform.kv, KvLimits::default());
        let engine = EngineClient::new(HttpClient::default(), cfg.upstream);
        let views = cx.control.subscribe();
        let clients = WriterClients { kv, engine, prefix: cx.cfg.prefix() };
        Self { cx, cfg, order_cfg, clients, views, dump: watch::Sender::default() }
    }

    /// Subscribes to the state that is written to dumps.
    pub fn subscribe_dump(&self) -> watch::Receiver<OrderDump> {
        self.dump.subscribe()
    }

    /// Keeps the engine in the desired state for as long as the future is polled.
    pub async fn run(mut self) {
        loop {
            match self.desired_state() {
                Some(desired_state) => self.run_writer(desired_state).await,
                None => self.view_changed().await,
            }
        }
    }

    /// Keeps the engine in the desired state until its region or `checks_fencing` changes.
    async fn run_writer(&mut self, first: DesiredState) {
        let order_cfg = self.order_cfg.clone().with_checks_fencing(first.checks_fencing);
        let slot_cfg = SlotConfig { region: &first.region, count: self.cfg.load_slots };
        let mut writer = Writer::new(&self.cfg.id, order_cfg, self.clients.clone(), slot_cfg);
        loop {
            match self.desired_state() {
                Some(desired_state) if !desired_state.needs_other_writer(&first) => {
                    let pause = writer.run_step(&desired_state.desired).await;
                    self.dump.send_modify(|dump| writer.write_dump(&desired_state.desired, dump));
                    select! {
                        () = sleep(pause) => {}
                        () = self.view_changed() => {}
                    }
                }
                Some(_) => return,
                None => self.view_changed().await,
            }
        }
    }

    /// Returns the desired state; `None` if the settings may be outdated or lack the endpoint, its
    /// zone or its model, or the daemon is draining.
    fn desired_state(&self) -> Option<DesiredState> {
        let view = self.cx.view();
        if !view.is_current || self.cx.is_draining() {
            return None;
        }
        let EndpointEntry { zone, model, checks_fencing, .. } =
            view.tree.endpoints.get(&self.cfg.id)?;
        Some(DesiredState {
            region: view.tree.zones.get(zone)?.region.clone(),
            checks_fencing: *checks_fencing,
            desired: Desired::of(&view.tree, model)?,
        })
    }

    async fn view_changed(&mut self) {
        if self.views.changed().await.is_err() {
            // The control task has ended; the daemon is shutting down.
            std::future::pending().await
        }
    }
}

impl DesiredState {
    fn needs_other_writer(&self, other: &Self) -> bool {
        self.region != other.region || self.checks_fencing != other.checks_fencing
    }
}
