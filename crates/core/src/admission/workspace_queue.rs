use super::AdmissionRequest;
use crate::settings::Priority;
use std::{collections::VecDeque, time::Instant};

/// Virtual time units per token, which keeps the rounding error of dividing by a weight small.
const VIRTUAL_SCALE: u64 = 1_024;

/// Queued requests of one workspace, first in, first out within each priority.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceQueue {
    /// Virtual time at which the workspace's next request is due to start.
    pub virtual_start: u64,
    pub running: u32,
    interactive: VecDeque<QueuedRequest>,
    batch: VecDeque<QueuedRequest>,
}

/// A queued request and its place in the order of arrival.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub request: AdmissionRequest,
    pub arrived: Instant,
    pub sequence: u64,
}

impl WorkspaceQueue {
    pub fn queue(&self, priority: Priority) -> &VecDeque<QueuedRequest> {
        match priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        }
    }

    pub fn queue_mut(&mut self, priority: Priority) -> &mut VecDeque<QueuedRequest> {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }

    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    pub fn is_idle(&self) -> bool {
        self.waiting() == 0 && self.running == 0
    }

    /// Counts a started request as running and advances the virtual start by its cost over its
    /// weight.
    pub fn charge(&mut self, request: &AdmissionRequest) {
        let weight = u64::from(request.weight.max(1));
        let charge = request.cost_tokens.max(1).saturating_mul(VIRTUAL_SCALE) / weight;
        self.virtual_start = self.virtual_start.saturating_add(charge);
        self.running += 1;
    }
}
