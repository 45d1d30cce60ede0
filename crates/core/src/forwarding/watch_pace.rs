use super::DaemonRanks;

/// Largest fleet in which every daemon watches promptly.
const MAX_ALL_PROMPT: usize = 12;
/// Hash that ranks the daemons of an availability zone as watchers.
const WATCH_RANK_KEY: u64 = 0x77;

/// How promptly a daemon asks the platform's store for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchPace {
    /// As soon as a change may have come.
    Prompt,
    /// The same, and changes are announced to the other daemons of the availability zone.
    PromptForZone,
    /// Once in a while, since another daemon of the availability zone announces changes.
    Relaxed,
}

/// Selects how promptly a daemon watches: in a large fleet, one in each availability zone does so
/// promptly, or every change would cost a call of each daemon. `zone_ranks` ranks the daemons of
/// the own zone.
pub fn watch_pace(daemons: usize, zone_ranks: &DaemonRanks) -> WatchPace {
    match zone_ranks.own_rank(WATCH_RANK_KEY) {
        _ if daemons <= MAX_ALL_PROMPT => WatchPace::Prompt,
        0 => WatchPace::PromptForZone,
        _ => WatchPace::Relaxed,
    }
}
