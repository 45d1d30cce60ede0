//! Rollout of a new version of a service's software: which versions may get requests, how many a
//! version on trial gets, and when the service's traffic moves on or back.
//!
//! [`ServiceRollout`] is one service at one daemon. Whether the new version answers worse than the
//! old ones is decided by the counts that all daemons state.

mod answer_counts;
mod answer_outcome;
mod answer_pool;
mod daemon_statements;
mod exposure;
mod next_step;
mod order_state;
mod own_answers;
mod rollout_evidence;
mod rollout_inputs;
mod rollout_record;
mod rollout_statement;
mod service_rollout;
mod version_comparison;
mod zone_cuts;
mod zone_silence;

pub use self::{
    answer_counts::VersionCounts,
    answer_outcome::{AnswerOrigin, AnswerOutcome},
    rollout_evidence::{RolloutEvidence, RolloutVerdict, RouteEvidence, VersionSummary},
    rollout_inputs::{EndpointCounts, RolloutInputs, RolloutLimits, RolloutReason, RolloutStep},
    rollout_record::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, VersionGate},
    rollout_statement::{HostStatement, RolloutStatement, RouteStatement},
    service_rollout::ServiceRollout,
    zone_silence::ZoneSilence,
};
