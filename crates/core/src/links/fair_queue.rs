use super::TransferId;
use crate::ids::{FastMap, WorkspaceId};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: TransferId,
    bytes: u64,
    weight: u32,
}

/// Queued transfers of one workspace. The lane is kept after its last transfer until the virtual
/// time has caught up, so that a workspace gains nothing by submitting one transfer at a time.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    /// Virtual start time of the next transfer.
    start: f64,
}

/// Transfer queue with start-time fair queueing: workspaces share the link in bytes, in proportion
/// to their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    lanes: FastMap<WorkspaceId, Lane>,
    virtual_time: f64,
    bytes: u64,
    count: usize,
}

impl FairQueue {
    pub fn push(&mut self, workspace: &WorkspaceId, id: TransferId, bytes: u64, weight: u32) {
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.start = lane.start.max(self.virtual_time);
        lane.waiting.push_back(Waiting { id, bytes, weight: weight.max(1) });
        self.bytes += bytes;
        self.count += 1;
    }

    /// Removes and returns the next transfer if `fits` accepts its length.
    pub fn pop_if(&mut self, fits: impl Fn(u64) -> bool) -> Option<TransferId> {
        let waiting = self.lanes.iter_mut().filter(|(_, lane)| !lane.waiting.is_empty());
        let (_, lane) = waiting.min_by(|a, b| {
            // Ties are broken by name, because the iteration order depends on the hasher's seed.
            a.1.start.total_cmp(&b.1.start).then_with(|| a.0.cmp(b.0))
        })?;
        let next = *lane.waiting.front().filter(|next| fits(next.bytes))?;
        lane.waiting.pop_front();
        self.virtual_time = lane.start;
        lane.start += next.bytes as f64 / f64::from(next.weight);
        self.forget(next.bytes);
        Some(next.id)
    }

    pub fn remove(&mut self, workspace: &WorkspaceId, id: TransferId) {
        let Some(lane) = self.lanes.get_mut(workspace) else { return };
        let position = lane.waiting.iter().position(|waiting| waiting.id == id);
        if let Some(removed) = position.and_then(|index| lane.waiting.remove(index)) {
            self.forget(removed.bytes);
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn forget(&mut self, bytes: u64) {
        self.bytes -= bytes;
        self.count -= 1;
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.start > virtual_time);
        if self.count == 0 {
            self.lanes.clear();
            self.virtual_time = 0.0;
        }
    }
}
