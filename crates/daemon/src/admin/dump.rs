use crate::{
    claims::Claims,
    config::Role,
    context::Context,
    endpoint::{EndpointServer, orders::OrderDump},
};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::watch;

/// What a state dump is made from.
#[derive(Clone)]
pub struct Dump {
    /// The daemon's context.
    pub cx: Arc<Context>,
    /// The endpoint role's state, if the daemon has that role.
    pub endpoint: Option<EndpointServer>,
    /// Claims, if the daemon is an entry.
    pub claims: Option<Claims>,
    /// State of the orders to the engine, if the daemon gives any.
    pub orders: Option<watch::Receiver<OrderDump>>,
}

impl Dump {
    /// The daemon's state as JSON; it holds no token, prompt or answer.
    pub async fn render(&self) -> Value {
        let cx = &self.cx;
        let view = cx.view();
        let role = match cx.cfg.role {
            Role::Entry => "entry",
            Role::Endpoint(_) => "endpoint",
        };
        json!({
            "name": cx.cfg.name,
            "role": role,
            "host": cx.cfg.host,
            "zone": cx.cfg.zone,
            "boot": format!("{:016x}", cx.boot),
            "uptime_ms": cx.started.elapsed().as_millis() as u64,
            "draining": cx.is_draining(),
            "revision": view.tree.revision,
            "current": view.is_current,
            "leaving": view.leaving.iter().collect::<Vec<_>>(),
            "control": cx.control.dump().await,
            "claims": self.claims.as_ref().map(Claims::statuses),
            "endpoint": self.endpoint.as_ref().map(|endpoint| json!({
                "load": endpoint.report(),
                "streams": endpoint.streams().len(),
                "attempts": endpoint.attempts().counts(),
                "cache": endpoint.cache(),
                "orders": self.orders.as_ref().map(|orders| orders.borrow().clone()),
            })),
        })
    }
}
