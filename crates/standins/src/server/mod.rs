//! Shared parts of stand-ins: HTTP listener, fault injection, rate limits, links and cold start.

mod answer_faults;
mod body;
mod clock;
mod cold_start;
mod fault_cell;
mod handle;
mod link;
mod listener;
mod rate_limit;
mod stand_in;

pub use self::{
    answer_faults::{AnswerFaults, Down},
    body::{Body, Cut, bytes_response, empty, error_json, json, query_param, read_body, stream},
    clock::unix_ms,
    cold_start::{ColdConfig, ColdStart},
    fault_cell::{FaultCell, FaultError},
    handle::{Handle, spawn, spawn_with_admin},
    link::Link,
    rate_limit::{Admission, RateLimit},
    stand_in::StandIn,
};
