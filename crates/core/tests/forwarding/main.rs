//! Tests of the forwarding decisions: routes, retries, endpoint selection, the key view and weight
//! rollouts.

mod advertised_limit;
mod answer_budget;
mod answer_end;
mod cache_relay;
mod cache_sources;
mod cache_store_index;
mod call_queue;
mod cold_rate_limiter;
mod departures;
mod endpoint_table;
mod entry_lapses;
mod event_splitter;
mod freeze_detector;
mod key_view;
mod log_sampler;
mod order_lease;
mod quarantine;
mod quarantine_fleet;
mod report_routes;
mod retry_plan;
mod routes;
mod shared_retry_budget;
mod store_call_scheduler;
mod support;
mod weight_rollout;
