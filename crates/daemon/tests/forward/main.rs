//! Tests of the forwarding role against stand-ins for the store and the replicas.

mod advertised_limit;
mod broken_answers;
mod cold_endpoints;
mod common_crash;
mod crashing_part;
mod crashing_request;
mod dedicated_workspaces;
mod drain;
mod endless;
mod hostile;
mod in_force;
mod leaving_endpoints;
mod membership;
mod metrics;
mod odd_entries;
mod peers;
mod refused_bodies;
mod requested_pauses;
mod restored_store;
mod resumed_answers;
mod stale_refusals;
mod support;
mod sweep;
mod vanished_entries;
mod weights;
mod work_times;
