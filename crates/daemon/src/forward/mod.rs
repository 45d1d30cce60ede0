//! The forwarding role: a reverse proxy that forwards HTTP requests to the endpoints of services.
//!
//! The decision logic is in `cassiagw_core::forwarding`; this module adds sockets, timers and
//! tasks.

mod admin;
mod answer;
mod attempt;
mod boot_clock;
mod buffered_answer;
mod call;
mod cold_check;
mod confirm_view;
mod connection_pool;
mod crash_check;
mod cut_evidence;
mod dispatch;
mod end_check;
mod follow_caches;
mod follow_store;
mod forward_state;
mod forwarder;
mod handle;
mod learn_quarantine;
mod log_lines;
mod membership;
mod metrics;
mod notices;
mod orders;
mod peers;
mod placement;
mod quarantine;
mod queues;
mod ready;
mod relay;
mod request_log;
mod request_record;
mod rollout_leader;
mod rollout_log;
mod run;
mod serve;
mod settings_file;
mod stream_origins;
mod upstream_response;
mod version_announcements;
mod version_evidence;
mod work_reports;

pub use self::{
    forwarder::Forwarder, log_lines::init_logging, run::ForwardDaemon, settings_file::SettingsFile,
};
