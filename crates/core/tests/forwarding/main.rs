//! Tests of the forwarding decisions: routes, retries, endpoint selection, the key view and weight
//! rollouts.

mod call_queue;
mod cold_rate;
mod endpoint_table;
mod event_splitter;
mod freeze_watch;
mod holder;
mod kept_parts;
mod key_view;
mod line_budget;
mod retry_plan;
mod routes;
mod shared_retry_budget;
mod store_pace;
mod support;
mod weight_rollout;
