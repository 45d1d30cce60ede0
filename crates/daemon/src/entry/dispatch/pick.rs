use super::EndpointPool;
use cassiagw_core::{
    ids::{EndpointId, FastSet},
    membership::View,
    routing::{RouteDecision, RouteRefusal, RouteRequest},
    settings::EndpointEntry,
};
use std::{sync::Arc, time::Duration};

/// Selects an endpoint of a plain service by expected wait; skips the endpoints in `excluded`.
///
/// # Errors
/// The reason why no endpoint accepts a request now.
pub fn pick_endpoint(
    view: &Arc<View>,
    pool: &EndpointPool,
    service: &str,
    excluded: &FastSet<EndpointId>,
) -> Result<(EndpointId, EndpointEntry), RouteRefusal> {
    let tried: Vec<EndpointId> = excluded.iter().cloned().collect();
    let req = RouteRequest {
        model: service,
        time_left: Duration::MAX,
        tried: &tried,
        ..RouteRequest::default()
    };
    match pool.routing().choose(view, &req) {
        RouteDecision::Send(choice) => {
            let entry = view.tree.endpoints.get(&choice.endpoint).cloned();
            entry.map(|entry| (choice.endpoint, entry)).ok_or(RouteRefusal::NoEndpoint)
        }
        RouteDecision::Refuse(refusal) => Err(refusal),
    }
}
