use super::TransferId;
use crate::ids::{FastMap, WorkspaceId};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct QueuedTransfer {
    id: TransferId,
    bytes: u64,
    weight: u32,
}

/// Queued transfers of one workspace. The queue is kept after its last transfer until the virtual
/// time has caught up, so that a workspace gains nothing by submitting one transfer at a time.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    transfers: VecDeque<QueuedTransfer>,
    /// Virtual start time of the next transfer.
    next_start: f64,
}

/// Transfer queue with start-time fair queueing: workspaces share the link in bytes, in proportion
/// to their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    queues: FastMap<WorkspaceId, WorkspaceQueue>,
    virtual_time: f64,
    bytes: u64,
    count: usize,
}

impl FairQueue {
    pub fn push(&mut self, workspace: &WorkspaceId, id: TransferId, bytes: u64, weight: u32) {
        let queue = self.queues.entry(workspace.clone()).or_default();
        queue.next_start = queue.next_start.max(self.virtual_time);
        queue.transfers.push_back(QueuedTransfer { id, bytes, weight: weight.max(1) });
        self.bytes += bytes;
        self.count += 1;
    }

    /// Removes and returns the next transfer if `fits` accepts its length.
    pub fn pop_if(&mut self, fits: impl Fn(u64) -> bool) -> Option<TransferId> {
        let queued = self.queues.iter_mut().filter(|(_, queue)| !queue.transfers.is_empty());
        let (_, queue) = queued.min_by(|a, b| {
            // Ties are broken by name, because the iteration order depends on the hasher's seed.
            a.1.next_start.total_cmp(&b.1.next_start).then_with(|| a.0.cmp(b.0))
        })?;
        let next = *queue.transfers.front().filter(|next| fits(next.bytes))?;
        queue.transfers.pop_front();
        self.virtual_time = queue.next_start;
        queue.next_start += next.bytes as f64 / f64::from(next.weight);
        self.on_removed(next.bytes);
        Some(next.id)
    }

    pub fn remove(&mut self, workspace: &WorkspaceId, id: TransferId) {
        let Some(queue) = self.queues.get_mut(workspace) else { return };
        let position = queue.transfers.iter().position(|queued| queued.id == id);
        if let Some(removed) = position.and_then(|index| queue.transfers.remove(index)) {
            self.on_removed(removed.bytes);
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn on_removed(&mut self, bytes: u64) {
        self.bytes -= bytes;
        self.count -= 1;
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.transfers.is_empty() || queue.next_start > virtual_time);
        if self.count == 0 {
            self.queues.clear();
            self.virtual_time = 0.0;
        }
    }
}
