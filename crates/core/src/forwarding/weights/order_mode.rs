use super::EngineView;

/// Percentage of the memory of the engines that stay open up to which they carry the load of all
/// without requests waiting for room.
const MAX_FILL_PERCENT: u64 = 50;

/// What becomes of the requests that an engine runs when its weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderMode {
    /// They finish on the old weights, and the engine accepts nothing until the last has ended.
    AfterRuns,
    /// They continue on the new weights, so that the engine is closed only while it loads.
    KeepRuns,
}

impl OrderMode {
    /// Chooses the mode while `closed` of these engines accept no requests.
    ///
    /// Needed when weights change at a peak of load: one long stream keeps an engine closed for
    /// seconds, and the engines that stay open have no room for what arrives. Requests then continue
    /// on the new weights, so that fewer others are refused.
    pub fn choose(engines: &[EngineView], closed: usize) -> Self {
        let held: u64 = engines.iter().map(|engine| engine.memory_tokens).sum();
        let capacity: u64 = engines.iter().map(|engine| engine.capacity_tokens).sum();
        let count = engines.len().max(1) as u64;
        let open = count.saturating_sub(closed as u64);
        let limit = capacity / count * open * MAX_FILL_PERCENT / 100;
        match capacity > 0 && held > limit {
            true => Self::KeepRuns,
            false => Self::AfterRuns,
        }
    }

    /// Value in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::AfterRuns => "after_runs",
            Self::KeepRuns => "keep_runs",
        }
    }
}
