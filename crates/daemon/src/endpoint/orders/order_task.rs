use super::{
    OrderDump,
    writer::{Places, Writer, WriterClients},
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
    times: OrderConfig,
    clients: WriterClients,
    views: watch::Receiver<Arc<View>>,
    dump: watch::Sender<OrderDump>,
}

/// Desired state of the endpoint by the current settings.
#[derive(PartialEq)]
struct Wanted {
    region: RegionId,
    checks_fencing: bool,
    desired: Desired,
}

impl OrderTask {
    /// Creates the task with clients for the endpoint's engine and the key-value service.
    pub fn new(cx: Arc<Context>, cfg: EndpointConfig, times: OrderConfig) -> Self {
        let kv = KvClient::with_members(&cx.cfg.platform.kv, KvLimits::default());
        let engine = EngineClient::new(HttpClient::default(), cfg.upstream);
        let views = cx.control.subscribe();
        let clients = WriterClients { kv, engine, prefix: cx.cfg.prefix() };
        Self { cx, cfg, times, clients, views, dump: watch::Sender::default() }
    }

    /// Subscribes to the state that is written to dumps.
    pub fn dumps(&self) -> watch::Receiver<OrderDump> {
        self.dump.subscribe()
    }

    /// Keeps the engine in the desired state for as long as the future is polled.
    pub async fn run(mut self) {
        loop {
            match self.wanted() {
                Some(wanted) => self.serve(wanted).await,
                None => self.changed().await,
            }
        }
    }

    /// Keeps the engine in the desired state until its region or `checks_fencing` changes.
    async fn serve(&mut self, first: Wanted) {
        let times = self.times.clone().with_checks_fencing(first.checks_fencing);
        let places = Places { region: &first.region, count: self.cfg.load_slots };
        let mut writer = Writer::new(&self.cfg.id, times, self.clients.clone(), places);
        loop {
            match self.wanted() {
                Some(wanted) if !wanted.differs_in_kind(&first) => {
                    let pause = writer.advance(&wanted.desired).await;
                    self.dump.send_modify(|dump| writer.write_dump(&wanted.desired, dump));
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

    /// Returns the desired state; `None` if the settings may be outdated or lack the endpoint, or
    /// the daemon is draining.
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
            // The control task has ended; the daemon is shutting down.
            std::future::pending().await
        }
    }
}

impl Wanted {
    fn differs_in_kind(&self, other: &Self) -> bool {
        self.region != other.region || self.checks_fencing != other.checks_fencing
    }
}
