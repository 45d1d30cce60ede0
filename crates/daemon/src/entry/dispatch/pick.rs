use super::EndpointPool;
use cassiagw_core::{
    ids::{EndpointId, FastSet},
    membership::View,
    routing::{RouteDecision, RouteRequest},
    settings::EndpointEntry,
};
use std::{sync::Arc, time::Duration};

/// Picks an endpoint of a plain service by its expected wait; none if none takes work.
pub fn pick_endpoint(
    view: &Arc<View>,
    pool: &EndpointPool,
    service: &str,
    excluded: &FastSet<EndpointId>,
) -> Option<(EndpointId, EndpointEntry)> {
    let tried: Vec<EndpointId> = excluded.iter().cloned().collect();
    let req = RouteRequest {
        model: service,
        time_left: Duration::MAX,
        tried: &tried,
        ..RouteRequest::default()
    };
    match pool.routing().choose(view, &req) {
        RouteDecision::Send(choice) => {
            let entry = view.tree.endpoints.get(&choice.endpoint)?.clone();
            Some((choice.endpoint, entry))
        }
        RouteDecision::Refuse(_) => None,
    }
}
