use super::{CongestionWindow, TransferEstimate, WindowConfig, fair_queue::FairQueue};
use crate::ids::{FastMap, WorkspaceId};
use std::time::Instant;

/// ID of a transfer, unique on its link.
pub type TransferId = u64;

/// Share of the congestion window that background transfers may use.
const BACKGROUND_SHARE: f64 = 0.5;

/// Priority class of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferClass {
    /// A request is waiting for the transfer.
    Urgent,
    /// No request is waiting for the transfer, as for exports.
    Background,
}

/// Transfer of one block between an engine and a store, submitted to a [`Link`].
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Workspace that the transfer is accounted to.
    pub workspace: WorkspaceId,
    /// Weight of the workspace in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Priority class.
    pub class: TransferClass,
    /// Length of the block object in bytes.
    pub bytes: u64,
}

/// Outcome of a transfer, by which the congestion window is adjusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferOutcome {
    /// All bytes were transferred.
    Completed,
    /// The link or the store failed.
    Failed,
    /// The transfer was canceled or refused, which says nothing about the link.
    Cancelled,
}

#[derive(Clone, Debug)]
struct TransferState {
    transfer: Transfer,
    /// Start time and the bytes in flight then, its own included; `None` while queued.
    started: Option<(Instant, u64)>,
}

/// Scheduler for the transfers over the link to one store.
///
/// Urgent transfers come first and may use the whole congestion window. Background transfers start
/// only while no urgent one is queued, and leave half of the window free. A transfer may always
/// start if none is in flight, whatever its length.
#[derive(Clone, Debug)]
pub struct Link {
    window: CongestionWindow,
    urgent: FairQueue,
    background: FairQueue,
    transfers: FastMap<TransferId, TransferState>,
    in_flight: u64,
    next_id: TransferId,
}

impl Link {
    /// Creates a link without transfers and with the smallest window.
    pub fn new(cfg: WindowConfig) -> Self {
        Self {
            window: CongestionWindow::new(cfg),
            urgent: FairQueue::default(),
            background: FairQueue::default(),
            transfers: FastMap::default(),
            in_flight: 0,
            next_id: 0,
        }
    }

    /// Queues a transfer; [`Self::start_ready`] returns its ID once it may start.
    pub fn submit(&mut self, transfer: Transfer) -> TransferId {
        let id = self.next_id;
        self.next_id += 1;
        let queue = match transfer.class {
            TransferClass::Urgent => &mut self.urgent,
            TransferClass::Background => &mut self.background,
        };
        queue.push(&transfer.workspace, id, transfer.bytes, transfer.weight);
        self.transfers.insert(id, TransferState { transfer, started: None });
        id
    }

    /// Starts all transfers that fit into the window now and returns their IDs.
    pub fn start_ready(&mut self, now: Instant) -> Vec<TransferId> {
        std::iter::from_fn(|| self.start_next(now)).collect()
    }

    fn start_next(&mut self, now: Instant) -> Option<TransferId> {
        let in_flight = self.in_flight;
        let fits = |limit: f64| move |bytes| in_flight == 0 || (in_flight + bytes) as f64 <= limit;
        let window = self.window.bytes() as f64;
        let id = match self.urgent.is_empty() {
            false => self.urgent.pop_if(fits(window)),
            true => self.background.pop_if(fits(window * BACKGROUND_SHARE)),
        }?;
        let state = self.transfers.get_mut(&id).expect("queued transfers are in the table");
        self.in_flight += state.transfer.bytes;
        state.started = Some((now, self.in_flight));
        Some(id)
    }

    /// Ends a transfer, whether it was started or is still queued; unknown IDs are ignored.
    pub fn finish(&mut self, now: Instant, id: TransferId, outcome: TransferOutcome) {
        let Some(TransferState { transfer, started }) = self.transfers.remove(&id) else { return };
        let Some((start, shared_bytes)) = started else {
            let queue = match transfer.class {
                TransferClass::Urgent => &mut self.urgent,
                TransferClass::Background => &mut self.background,
            };
            return queue.remove(&transfer.workspace, id);
        };
        let shared_bytes = shared_bytes.max(self.in_flight);
        self.in_flight -= transfer.bytes;
        match outcome {
            TransferOutcome::Completed => {
                self.window.on_completed(now, transfer.bytes, now - start, shared_bytes);
            }
            TransferOutcome::Failed => self.window.on_failed(now, now - start),
            TransferOutcome::Cancelled => {}
        }
    }

    /// Estimates the duration of an urgent transfer submitted now.
    pub fn estimate(&self) -> TransferEstimate {
        self.window.estimate(self.in_flight + self.urgent.bytes())
    }

    /// Size of the congestion window in bytes.
    pub fn window_bytes(&self) -> u64 {
        self.window.bytes()
    }

    /// Total length of the started transfers in bytes.
    pub fn in_flight_bytes(&self) -> u64 {
        self.in_flight
    }

    /// Total length of the queued transfers in bytes: (urgent, background).
    pub fn waiting_bytes(&self) -> (u64, u64) {
        (self.urgent.bytes(), self.background.bytes())
    }
}
