use super::{
    AdmissionConfig, Ticket,
    workspace_queue::{Waiting, WorkspaceQueue},
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
    clock: u64,
    arrivals: u64,
    interactive_waiting: usize,
    batch_waiting: usize,
    waiting_tokens: u64,
    /// Prefill tokens of queued interactive requests.
    interactive_prefill: u64,
    /// Interactive requests started in a row while a batch request could have started.
    passes: u32,
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
    pub fn ahead_of(&self, ticket: &Ticket) -> usize {
        let own = self.workspaces.get(&ticket.workspace);
        let own = own.map_or(0, |queue| queue.queue(ticket.priority).len());
        let fair_share = |queue: &WorkspaceQueue| queue.queue(ticket.priority).len().min(own + 1);
        let same_priority: usize = self
            .workspaces
            .iter()
            .filter(|(workspace, _)| **workspace != ticket.workspace)
            .map(|(_, queue)| fair_share(queue))
            .sum();
        let above = match ticket.priority {
            Priority::Interactive => 0,
            Priority::Batch => self.interactive_waiting,
        };
        own + same_priority + above
    }

    pub fn push(&mut self, now: Instant, ticket: Ticket) {
        let queue = self.workspaces.entry(ticket.workspace.clone()).or_default();
        if queue.is_idle() {
            queue.virtual_start = queue.virtual_start.max(self.clock);
        }
        self.arrivals += 1;
        self.waiting_tokens += ticket.cost_tokens;
        if ticket.priority == Priority::Interactive {
            self.interactive_prefill += u64::from(ticket.prefill_tokens);
        }
        *count(&mut self.interactive_waiting, &mut self.batch_waiting, ticket.priority) += 1;
        let waiting = Waiting { arrived: now, number: self.arrivals, ticket };
        queue.queue_mut(waiting.ticket.priority).push_back(waiting);
    }

    /// Removes a queued request, or returns `None` if it is not queued.
    pub fn remove(&mut self, workspace: &str, id: AttemptId) -> Option<Ticket> {
        let queue = self.workspaces.get_mut(workspace)?;
        let (priority, index) =
            [Priority::Interactive, Priority::Batch].into_iter().find_map(|priority| {
                let mut waiting = queue.queue(priority).iter();
                Some((priority, waiting.position(|waiting| waiting.ticket.id == id)?))
            })?;
        let ticket = queue.queue_mut(priority).remove(index)?.ticket;
        self.on_taken(&ticket);
        self.forget_idle();
        Some(ticket)
    }

    /// Removes and returns every request whose deadline has passed, ordered by id.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let overdue: Vec<(WorkspaceId, AttemptId)> = self
            .workspaces
            .values()
            .flat_map(|queue| {
                queue.queue(Priority::Interactive).iter().chain(queue.queue(Priority::Batch))
            })
            .filter(|waiting| waiting.ticket.deadline <= now)
            .map(|waiting| (waiting.ticket.workspace.clone(), waiting.ticket.id))
            .collect();
        let mut expired: Vec<Ticket> =
            overdue.iter().filter_map(|(workspace, id)| self.remove(workspace, *id)).collect();
        expired.sort_by_key(|ticket| ticket.id);
        expired
    }

    /// Removes and returns the request to start next, or `None` if no queued one may start.
    ///
    /// An urgent batch request goes first, but never twice in a row while an interactive request is
    /// queued. Otherwise interactive goes before batch, up to the configured number in a row.
    pub fn pop(&mut self, now: Instant, cfg: &AdmissionConfig, turn: Turn) -> Option<Ticket> {
        let batch_may_start = turn.batch_may_start && self.batch_waiting > 0;
        let urgent = batch_may_start.then(|| self.urgent(now, cfg, turn)).flatten();
        let interactive = self.fairest(Priority::Interactive);
        let is_urgent_turn = !self.was_urgent || interactive.is_none();
        let is_interactive_turn = !batch_may_start || self.passes < cfg.max_passes;
        let (workspace, priority, is_urgent) = match (urgent, interactive) {
            (Some(urgent), _) if is_urgent_turn => (urgent, Priority::Batch, true),
            (_, Some(interactive)) if is_interactive_turn => {
                (interactive, Priority::Interactive, false)
            }
            _ if batch_may_start => (self.fairest(Priority::Batch)?, Priority::Batch, false),
            _ => return None,
        };
        self.was_urgent = is_urgent;
        match priority {
            Priority::Batch => self.passes = 0,
            Priority::Interactive => self.passes += u32::from(batch_may_start),
        }
        self.start(&workspace, priority)
    }

    /// Records the end of a started request of the workspace.
    pub fn on_finished(&mut self, workspace: &str) {
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.running = queue.running.saturating_sub(1);
        }
        self.forget_idle();
    }

    /// The workspace with the lowest virtual start among those with a request of this priority;
    /// the earlier arrival breaks ties.
    fn fairest(&self, priority: Priority) -> Option<WorkspaceId> {
        self.workspaces
            .iter()
            .filter_map(|(workspace, queue)| {
                Some((workspace, queue, queue.queue(priority).front()?))
            })
            .min_by_key(|(_, queue, front)| (queue.virtual_start, front.number))
            .map(|(workspace, ..)| workspace.clone())
    }

    /// The workspace whose oldest batch request is urgent and has the earliest deadline.
    fn urgent(&self, now: Instant, cfg: &AdmissionConfig, turn: Turn) -> Option<WorkspaceId> {
        let is_urgent = |waiting: &Waiting| {
            now.saturating_duration_since(waiting.arrived) >= cfg.ageing
                || waiting.ticket.deadline <= turn.urgent_before
        };
        self.workspaces
            .iter()
            .filter_map(|(workspace, queue)| {
                Some((workspace, queue.queue(Priority::Batch).front()?))
            })
            .filter(|(_, front)| is_urgent(front))
            .min_by_key(|(_, front)| (front.ticket.deadline, front.number))
            .map(|(workspace, _)| workspace.clone())
    }

    fn start(&mut self, workspace: &WorkspaceId, priority: Priority) -> Option<Ticket> {
        let queue = self.workspaces.get_mut(workspace)?;
        let ticket = queue.queue_mut(priority).pop_front()?.ticket;
        self.clock = self.clock.max(queue.virtual_start);
        queue.charge(&ticket);
        self.on_taken(&ticket);
        Some(ticket)
    }

    fn on_taken(&mut self, ticket: &Ticket) {
        self.waiting_tokens -= ticket.cost_tokens;
        if ticket.priority == Priority::Interactive {
            self.interactive_prefill -= u64::from(ticket.prefill_tokens);
        }
        *count(&mut self.interactive_waiting, &mut self.batch_waiting, ticket.priority) -= 1;
    }

    /// Drops idle workspaces whose virtual start is not ahead of the queue's virtual time, and all
    /// of them once no request is queued or running.
    fn forget_idle(&mut self) {
        let clock = self.clock;
        let all_idle = self.workspaces.values().all(WorkspaceQueue::is_idle);
        self.workspaces
            .retain(|_, queue| !queue.is_idle() || (!all_idle && queue.virtual_start > clock));
    }
}

/// Constraints on the next request to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// Whether a slot outside the interactive reserve is free.
    pub batch_may_start: bool,
    /// A batch request with a deadline at or before this instant is urgent.
    pub urgent_before: Instant,
}

fn count<'a>(
    interactive: &'a mut usize,
    batch: &'a mut usize,
    priority: Priority,
) -> &'a mut usize {
    match priority {
        Priority::Interactive => interactive,
        Priority::Batch => batch,
    }
}
