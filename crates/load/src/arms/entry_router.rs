use super::RequestResult;
use crate::{
    client::{Caller, CompletionCall, OrderCall},
    fleet::caller_token,
    trace::{Arrival, ArrivalKind},
};
use serde_json::json;
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Sends arrivals to the entries in round-robin order, as the platform's load balancer does.
#[derive(Clone, Debug)]
pub struct EntryRouter {
    caller: Caller,
    entries: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    model: String,
    service: String,
    max_tokens: u32,
}

impl EntryRouter {
    /// Creates a router over the given entries.
    pub fn new(entries: &[SocketAddr], model: &str, service: &str, max_tokens: u32) -> Self {
        Self {
            caller: Caller::default(),
            entries: entries.into(),
            next: Arc::default(),
            model: model.to_owned(),
            service: service.to_owned(),
            max_tokens,
        }
    }

    /// Sends one arrival to the next entry and returns its result.
    pub fn send(&self, arrival: Arrival) -> impl Future<Output = RequestResult> + Send + 'static {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[index % self.entries.len()];
        let router = self.clone();
        async move {
            let token = caller_token(&arrival.workspace);
            match arrival.kind {
                ArrivalKind::Prompt { prompt, is_interactive, .. } => {
                    let priority = if is_interactive { "interactive" } else { "batch" };
                    let call = CompletionCall {
                        token,
                        model: router.model,
                        prompt: prompt.to_string(),
                        max_tokens: router.max_tokens,
                        priority: priority.to_owned(),
                    };
                    RequestResult::Prompt(router.caller.complete(entry, &call).await)
                }
                ArrivalKind::Order { key } => {
                    let call = OrderCall {
                        token,
                        service: router.service,
                        path: "/orders".to_owned(),
                        body: json!({ "order": key }),
                        key: Some(key),
                    };
                    RequestResult::Order(router.caller.order(entry, &call).await)
                }
            }
        }
    }
}
