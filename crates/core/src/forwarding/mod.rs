//! Forwarding of HTTP requests to the endpoints of services, by host and longest path prefix.
//!
//! This module only makes decisions, without I/O: route and endpoint selection, retries, and the
//! errors returned to callers.

mod advertised_limit;
mod answer_budget;
mod answer_end;
mod boot_notices;
mod cache_relay;
mod cache_sharing;
mod cache_sources;
mod cache_store_index;
mod call_queue;
mod cold_check;
mod cold_rate_limiter;
mod config;
mod daemon_ranks;
mod departures;
mod drain_schedule;
mod endpoint_entry;
mod endpoint_gate;
mod endpoint_health;
mod endpoint_limits;
mod endpoint_load;
mod endpoint_notice;
mod endpoint_notices;
mod endpoint_score;
mod endpoint_table;
mod endpoint_versions;
mod endpoint_weights;
mod entry_lapses;
mod failure;
mod former_boots;
mod framing;
mod held_key;
mod known_endpoint;
mod known_store;
mod load_estimate;
mod log_sampler;
mod memory_budget;
mod order_lease;
mod part_locations;
mod pick;
mod prompt;
mod quarantine;
mod recent_members;
mod report_routes;
mod requested_pause;
mod retry_plan;
mod rollout;
mod route;
mod route_table;
mod settings;
mod shared_rate;
mod shared_retry_budget;
mod store_call_scheduler;
mod store_view;
mod streams;
mod token_bucket;
mod watch_pace;
mod weights;

pub use self::{
    advertised_limit::{AdvertisedLimit, LimitStatement},
    answer_budget::AnswerBudget,
    answer_end::{AnswerEnd, EndVerdict, EndpointIdentity},
    boot_notices::{BootNotices, LeavingStatement},
    cache_relay::{ChangeLog, PartChange, RelayCursor, RelayedStore},
    cache_sharing::{CacheScope, CacheSharing, dedicated_scope, scope_weights},
    cache_sources::{CacheSource, CacheSources},
    cache_store_index::{
        CacheStore, CacheStoreIndex, MAX_FETCH, MovePlan, PartMoves, StoreContent, StoreEvent,
        StoreUpdate, StoredPart,
    },
    call_queue::{CallQueue, Waiter, WaiterId},
    cold_check::ColdCheck,
    cold_rate_limiter::ColdRateLimiter,
    config::{ForwardConfig, ForwardParams, StoreConfig},
    daemon_ranks::DaemonRanks,
    departures::Departures,
    drain_schedule::DrainSchedule,
    endpoint_entry::{EndpointEntry, EndpointPhase},
    endpoint_health::EndpointHealth,
    endpoint_load::{EndpointWork, PeerLoad, PeerLoads, PrefillRateEstimate},
    endpoint_notice::EndpointNotice,
    endpoint_score::{EndpointScore, EngineContext, RequestWork, score_engine, score_plain},
    endpoint_table::EndpointTable,
    entry_lapses::EntryLapses,
    failure::{ExecutionState, Fault},
    former_boots::FormerBoots,
    framing::Framing,
    held_key::{HeldKey, HeldKeyView, KeySight, KeyStep, KeyWriter, register_slot},
    known_endpoint::KnownEndpoint,
    known_store::KnownStore,
    load_estimate::{RecentSends, ServiceEstimate, WorkTime, WorkTimeEstimate, WorkTimeSample},
    log_sampler::{LogSampler, LogSamplerLimits},
    memory_budget::{
        AnswerId, BodyProgress, MemoryBudget, MemoryUser, PressureCounts, PressureEvent,
        PressureLog, Shortage,
    },
    order_lease::{BootTime, LeaseStep, OrderLease},
    part_locations::{PartKey, PartLocation, PartLocations, part_key},
    pick::{LoadReport, Pick, PickInputs, PickRequest, Picked, ServiceLoad},
    prompt::{Prompt, PromptPart},
    quarantine::{
        AgedRun, AnswerNumber, Completion, CrashHistory, CrashedRun, PartCrashes, PartHash,
        PartQuarantine, QUARANTINE_TIME, QuarantineChanges, QuarantineReport, QuarantinedPart,
        RequestHash, RequestIdentity, RunSurvival, ShortAnswers, Survival, SuspectKind,
        TimedQuarantine, part_hash, suspect_parts,
    },
    recent_members::RecentMembers,
    report_routes::{Recipients, ReportCause, ReportRoutes, needs_relays, report_interval},
    requested_pause::{RequestedPause, pause_retry_after},
    retry_plan::{Refusal, RetryDecision, RetryPlan},
    rollout::{
        AnswerOrigin, AnswerOutcome, EndpointCounts, HostStatement, RolloutEvidence, RolloutInputs,
        RolloutLimits, RolloutOrder, RolloutPhase, RolloutReason, RolloutRecord, RolloutState,
        RolloutStatement, RolloutStep, RolloutVerdict, RouteEvidence, RouteStatement,
        ServiceRollout, VersionCounts, VersionGate, VersionSummary, ZoneSilence,
    },
    route::{Route, RouteKind, Target},
    route_table::RouteTable,
    settings::{CallerLimits, ForwardSettings, KeyOwner, ModelEngine, Service},
    shared_rate::SharedRate,
    shared_retry_budget::SharedRetryBudget,
    store_call_scheduler::{StoreCall, StoreCallScheduler, StoreOutcome},
    store_view::{
        AppliedChanges, ChangedKeys, DaemonPositions, FreezeDetector, KeyView, StorePosition,
        ViewFreshness, ViewItem, Witness,
    },
    streams::{
        AnnouncementStep, CompleteEvents, EventBoundary, EventSplitter, EventTooLong,
        ListedVersion, PlacementNumber, ResumeDecision, ResumeInputs, ResumeRefusal,
        ServedVersions, StreamKey, StreamOrigin, StreamOrigins, stream_holders, stream_key,
    },
    token_bucket::TokenBucket,
    watch_pace::{WatchPace, watch_pace},
    weights::{
        EngineView, INITIAL_WEIGHT_VERSION, OrderMode, OrderOutcome, PREVIOUS_WEIGHTS_FETCH_WINDOW,
        TargetWeights, WeightOrder, WeightRollout, WeightStep,
    },
};
