use super::{
    AdmissionConfig, AdmissionRequest,
    workspace_queue::{QueuedRequest, WorkspaceQueue},
};
use crate::{
    ids::{AttemptId, FastMap, WorkspaceId},
    settings::Priority,
};
use std::time::Instant;

/// Queued requests of all workspaces, scheduled by weighted fair queueing on virtual time.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    workspaces: FastMap<WorkspaceId, WorkspaceQueue>,
    /// Virtual time of the queue: the highest virtual start of a started request.
    virtual_time: u64,
    last_sequence: u64,
    interactive_waiting: usize,
    batch_waiting: usize,
    waiting_tokens: u64,
    /// Prefill tokens of queued interactive requests.
    interactive_prefill: u64,
    /// Interactive requests started in a row while a batch request could have started.
    interactive_streak: u32,
    /// Whether the last started request was an urgent batch request.
    was_urgent: bool,
}

impl FairQueue {
    pub fn waiting(&self) -> usize {
        self.interactive_waiting + self.batch_waiting
    }

    pub fn waiting_of(&self, priority: Priority) -> usize {
        match priority {
            Priority::Interactive => self.interactive_waiting,
            Priority::Batch => self.batch_waiting,
        }
    }

    pub fn waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    pub fn interactive_prefill(&self) -> u64 {
        self.interactive_prefill
    }

    pub fn waiting_in(&self, workspace: &str) -> usize {
        self.workspaces.get(workspace).map_or(0, WorkspaceQueue::waiting)
    }

    /// Number of workspaces in memory: those with queued or running requests, and those whose
    /// virtual start is still ahead of the queue's virtual time.
    pub fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    /// Estimated number of queued requests that start before a new one.
    ///
    /// Counts every other workspace as taking turns with this one, irrespective of weights, and
    /// ignores urgent batch requests.
    pub fn requests_ahead(&self, request: &AdmissionRequest) -> usize {
        let own = self.workspaces.get(&request.workspace);
        let own = own.map_or(0, |queue| queue.queue(request.priority).len());
        let fair_share = |queue: &WorkspaceQueue| queue.queue(request.priority).len().min(own + 1);
        let same_priority: usize = self
            .workspaces
            .iter()
            .filter(|(workspace, _)| **workspace != request.workspace)
            .map(|(_, queue)| fair_share(queue))
            .sum();
        let higher_priority = match request.priority {
            Priority::Interactive => 0,
            Priority::Batch => self.interactive_waiting,
        };
        own + same_priority + higher_priority
    }

    pub fn push(&mut self, now: Instant, request: AdmissionRequest) {
        let queue = self.workspaces.entry(request.workspace.clone()).or_default();
        if queue.is_idle() {
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        self.last_sequence += 1;
        self.waiting_tokens += request.cost_tokens;
        if request.priority == Priority::Interactive {
            self.interactive_prefill += u64::from(request.prefill_tokens);
        }
        *waiting_counter(
            &mut self.interactive_waiting,
            &mut self.batch_waiting,
            request.priority,
        ) += 1;
        let queued = QueuedRequest { arrived: now, sequence: self.last_sequence, request };
        queue.queue_mut(queued.request.priority).push_back(queued);
    }

    /// Removes a queued request, or returns `None` if it is not queued.
    pub fn remove(&mut self, workspace: &str, id: AttemptId) -> Option<AdmissionRequest> {
        let queue = self.workspaces.get_mut(workspace)?;
        let (priority, index) =
            [Priority::Interactive, Priority::Batch].into_iter().find_map(|priority| {
                let mut requests = queue.queue(priority).iter();
                Some((priority, requests.position(|queued| queued.request.id == id)?))
            })?;
        let request = queue.queue_mut(priority).remove(index)?.request;
        self.on_removed(&request);
        self.evict_idle();
        Some(request)
    }

    /// Removes and returns every request whose deadline has passed, ordered by ID.
    pub fn expire(&mut self, now: Instant) -> Vec<AdmissionRequest> {
        let overdue: Vec<(WorkspaceId, AttemptId)> = self
            .workspaces
            .values()
            .flat_map(|queue| {
                queue.queue(Priority::Interactive).iter().chain(queue.queue(Priority::Batch))
            })
            .filter(|queued| queued.request.deadline <= now)
            .map(|queued| (queued.request.workspace.clone(), queued.request.id))
            .collect();
        let mut expired: Vec<AdmissionRequest> =
            overdue.iter().filter_map(|(workspace, id)| self.remove(workspace, *id)).collect();
        expired.sort_by_key(|request| request.id);
        expired
    }

    /// Removes and returns the request to start next, or `None` if no queued one may start.
    ///
    /// An urgent batch request goes first, but never twice in a row while an interactive request is
    /// queued. Otherwise interactive goes before batch, up to the configured number in a row.
    pub fn pop(
        &mut self,
        now: Instant,
        cfg: &AdmissionConfig,
        constraints: StartConstraints,
    ) -> Option<AdmissionRequest> {
        let batch_may_start = constraints.batch_may_start && self.batch_waiting > 0;
        let urgent = batch_may_start.then(|| self.urgent(now, cfg, constraints)).flatten();
        let interactive = self.fairest(Priority::Interactive);
        let may_start_urgent = !self.was_urgent || interactive.is_none();
        let may_start_interactive =
            !batch_may_start || self.interactive_streak < cfg.max_interactive_streak;
        let (workspace, priority, is_urgent) = match (urgent, interactive) {
            (Some(urgent), _) if may_start_urgent => (urgent, Priority::Batch, true),
            (_, Some(interactive)) if may_start_interactive => {
                (interactive, Priority::Interactive, false)
            }
            _ if batch_may_start => (self.fairest(Priority::Batch)?, Priority::Batch, false),
            _ => return None,
        };
        self.was_urgent = is_urgent;
        match priority {
            Priority::Batch => self.interactive_streak = 0,
            Priority::Interactive => self.interactive_streak += u32::from(batch_may_start),
        }
        self.start(&workspace, priority)
    }

    /// Records the end of a started request of the workspace.
    pub fn on_finished(&mut self, workspace: &str) {
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.evict_idle();
    }

    /// The workspace with the lowest virtual start among those with a request of this priority;
    /// the earlier arrival breaks ties.
    fn fairest(&self, priority: Priority) -> Option<WorkspaceId> {
        self.workspaces
            .iter()
            .filter_map(|(workspace, queue)| {
                Some((workspace, queue, queue.queue(priority).front()?))
            })
            .min_by_key(|(_, queue, front)| (queue.virtual_start, front.sequence))
            .map(|(workspace, ..)| workspace.clone())
    }

    /// The workspace whose oldest batch request is urgent and has the earliest deadline.
    fn urgent(
        &self,
        now: Instant,
        cfg: &AdmissionConfig,
        constraints: StartConstraints,
    ) -> Option<WorkspaceId> {
        let is_urgent = |queued: &QueuedRequest| {
            now.saturating_duration_since(queued.arrived) >= cfg.aging_threshold
                || queued.request.deadline <= constraints.urgent_before
        };
        self.workspaces
            .iter()
            .filter_map(|(workspace, queue)| {
                Some((workspace, queue.queue(Priority::Batch).front()?))
            })
            .filter(|(_, front)| is_urgent(front))
            .min_by_key(|(_, front)| (front.request.deadline, front.sequence))
            .map(|(workspace, _)| workspace.clone())
    }

    fn start(&mut self, workspace: &WorkspaceId, priority: Priority) -> Option<AdmissionRequest> {
        let queue = self.workspaces.get_mut(workspace)?;
        let request = queue.queue_mut(priority).pop_front()?.request;
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.charge(&request);
        self.on_removed(&request);
        Some(request)
    }

    fn on_removed(&mut self, request: &AdmissionRequest) {
        self.waiting_tokens -= request.cost_tokens;
        if request.priority == Priority::Interactive {
            self.interactive_prefill -= u64::from(request.prefill_tokens);
        }
        *waiting_counter(
            &mut self.interactive_waiting,
            &mut self.batch_waiting,
            request.priority,
        ) -= 1;
    }

    /// Drops idle workspaces whose virtual start is not ahead of the queue's virtual time, and all
    /// of them once no request is queued or running.
    fn evict_idle(&mut self) {
        let virtual_time = self.virtual_time;
        let all_idle = self.workspaces.values().all(WorkspaceQueue::is_idle);
        self.workspaces.retain(|_, queue| {
            !queue.is_idle() || (!all_idle && queue.virtual_start > virtual_time)
        });
    }
}

/// Constraints on the next request to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartConstraints {
    /// Whether a slot outside the interactive reserve is free.
    pub batch_may_start: bool,
    /// A batch request with a deadline at or before this instant is urgent.
    pub urgent_before: Instant,
}

fn waiting_counter<'a>(
    interactive: &'a mut usize,
    batch: &'a mut usize,
    priority: Priority,
) -> &'a mut usize {
    match priority {
        Priority::Interactive => interactive,
        Priority::Batch => batch,
    }
}
