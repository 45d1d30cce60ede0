//! The speed of endpoints, from their answers.

use super::{
    super::{EndpointEntry, EndpointTable, KnownEndpoint},
    WorkTime, WorkTimeSample,
};
use std::time::Instant;

impl EndpointTable {
    /// Records how long work takes at the boot of an entry, in percent of the usual time. Returns
    /// whether the figure is used: an absurd one, or one of a former boot, is not.
    pub fn on_work_time(&mut self, now: Instant, entry: &EndpointEntry, percent: f64) -> bool {
        let known = self.endpoints.get_mut(&entry.id).filter(|known| known.is_same_boot(entry));
        let Some((known, sample)) = known.zip(WorkTime::from_percent(percent)) else {
            return false;
        };
        known.work_time.add_sample(now, sample);
        true
    }

    /// What an endpoint last said of the time that work takes there; `None` if that is too old.
    pub fn work_time(&self, now: Instant, id: &str) -> Option<WorkTimeSample> {
        self.endpoints.get(id)?.work_time.sample(now)
    }

    /// Number of endpoints whose work times are known.
    pub fn known_work_times(&self, now: Instant) -> usize {
        let is_known = |known: &&KnownEndpoint| known.work_time.sample(now).is_some();
        self.endpoints.values().filter(is_known).count()
    }
}
