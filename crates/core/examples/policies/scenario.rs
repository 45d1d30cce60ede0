use cassiagw_core::settings::Priority;
use std::time::Duration;

/// Decode time of an ordinary request.
pub const DECODE: Duration = Duration::from_millis(500);

/// Routing and admission policy of a run.
#[derive(Clone, Copy, PartialEq)]
pub enum Policy {
    /// The routing and admission of this crate with default settings.
    Cassiagw,
    /// First come, first served without slow start; entries route by rendezvous hashing.
    Plain,
    /// As `Plain`, but each entry limits itself to one request on a cold endpoint.
    RampPerEntry,
    /// As `Cassiagw`, but batch requests start only when no interactive request is queued.
    StrictPriority,
    /// As `Cassiagw`, but no slots are reserved for interactive requests.
    NoReserve,
}

impl Policy {
    /// Whether requests go through [`cassiagw_core::routing`] and fair queueing.
    pub fn is_fair(self) -> bool {
        matches!(self, Self::Cassiagw | Self::StrictPriority | Self::NoReserve)
    }
}
pub struct Scenario {
    pub name: &'static str,
    pub endpoints: usize,
    pub entries: usize,
    /// Duration of the arrivals in seconds.
    pub seconds: u64,
    pub flows: Vec<Flow>,
    /// Changes during the run, each with its time in seconds.
    pub changes: Vec<(u64, Change)>,
}

#[derive(Clone, Copy)]
pub enum Change {
    /// The endpoint restarts unannounced, with an empty cache.
    Cold(usize),
    ZoneOut(usize),
    /// The zone returns, with its endpoints restarted.
    ZoneIn(usize),
}

/// Poisson arrivals of requests of one workspace and priority.
#[derive(Clone, Copy)]
pub struct Flow {
    pub workspace: &'static str,
    pub priority: Priority,
    pub per_s: f64,
    /// Number of distinct prompts.
    pub prompts: u64,
    pub decode: Duration,
    /// Time from arrival to deadline.
    pub time_left: Duration,
}
pub fn scenarios() -> Vec<Scenario> {
    let guide = Flow {
        workspace: "guide",
        priority: Priority::Interactive,
        per_s: 10.0,
        prompts: 30,
        decode: DECODE,
        time_left: Duration::from_secs(20),
    };
    let summary = Flow {
        workspace: "summary",
        priority: Priority::Batch,
        per_s: 1.5,
        prompts: 10,
        decode: Duration::from_secs(6),
        time_left: Duration::from_secs(60),
    };
    let big = Flow { workspace: "big", per_s: 40.0, ..guide };
    let small = Flow { workspace: "small", per_s: 2.0, ..guide };
    let fleet = Flow { workspace: "all", per_s: 60.0, prompts: 300, ..guide };
    let one = |name, flows| Scenario {
        name,
        endpoints: 1,
        entries: 1,
        seconds: 120,
        flows,
        changes: Vec::new(),
    };
    // The changes at 43 s and 100 s affect no endpoint. They begin new phases of the measurement, so
    // that the 3 s after the zone went out and the 20 s after its return are reported apart.
    let zone_move = vec![
        (40, Change::ZoneOut(0)),
        (43, Change::ZoneOut(0)),
        (80, Change::ZoneIn(0)),
        (100, Change::ZoneOut(9)),
    ];
    let busy = Flow { per_s: 200.0, ..fleet };
    let urgent_summary = Flow { per_s: 0.6, time_left: Duration::from_secs(15), ..summary };
    let many_guides = Flow { per_s: 24.0, ..guide };
    vec![
        one("priority", vec![guide, summary]),
        one("deadline", vec![many_guides, urgent_summary]),
        one("big_neighbour", vec![small, big]),
        one("small_alone", vec![small]),
        Scenario {
            name: "zone_move",
            endpoints: 12,
            entries: 4,
            seconds: 120,
            flows: vec![fleet],
            changes: zone_move.clone(),
        },
        Scenario {
            name: "zone_move_busy",
            endpoints: 12,
            entries: 4,
            seconds: 120,
            flows: vec![busy],
            changes: zone_move,
        },
        Scenario {
            name: "cold_50_entries",
            endpoints: 12,
            entries: 50,
            seconds: 60,
            flows: vec![fleet],
            changes: vec![(20, Change::ZoneOut(0)), (22, Change::ZoneIn(0))],
        },
        Scenario {
            name: "cold_unannounced",
            endpoints: 12,
            entries: 50,
            seconds: 60,
            flows: vec![fleet],
            changes: vec![(20, Change::Cold(0))],
        },
    ]
}
