//! Tests of the forwarding role against stand-ins for the store and the replicas.

mod advertised_limit;
mod broken_answers;
mod crashing_part;
mod crashing_request;
mod dedicated_workspaces;
mod drain;
mod endless;
mod hostile;
mod in_force;
mod leaving_endpoints;
mod metrics;
mod odd_entries;
mod peers;
mod requested_pauses;
mod restored_store;
mod resumed_answers;
mod rollout_support;
mod rollouts;
mod rollouts_and_store;
mod stale_refusals;
mod support;
mod sweep;
mod vanished_entries;
mod weights;
