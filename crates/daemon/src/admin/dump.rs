use crate::{
    caller_memory::CallerMemory,
    claims::Claims,
    config::Role,
    context::Context,
    endpoint::{EndpointServer, orders::OrderDump},
};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::watch;

/// Sources of the state dump served at `/dump`.
#[derive(Clone)]
pub struct Dump {
    /// Configuration, settings, membership and metrics of the daemon.
    pub cx: Arc<Context>,
    /// State of the endpoint role; `None` on entries.
    pub endpoint: Option<EndpointServer>,
    /// Memory that is held for callers, on entries.
    pub memory: Option<Arc<CallerMemory>>,
    /// Claims of this entry; `None` on endpoint daemons.
    pub claims: Option<Claims>,
    /// Latest state of the orders sent to the engine; `None` if this daemon controls no engine.
    pub orders: Option<watch::Receiver<OrderDump>>,
}

impl Dump {
    /// Renders the daemon's state as JSON, without tokens, prompts or completions.
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
            "caller_memory": self.memory.as_ref().map(|memory| memory.dump()),
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
