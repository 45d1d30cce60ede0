use super::{PaceConfig, PaceWindow, TransferEstimate, fair_queue::FairQueue};
use crate::ids::{FastMap, WorkspaceId};
use std::time::Instant;

/// Name of a transfer on its link.
pub type TransferId = u64;

/// Share of the window that background transfers may fill.
const BACKGROUND_SHARE: f64 = 0.5;

/// How soon a transfer is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferClass {
    /// A request waits for it.
    Urgent,
    /// Nobody waits for it.
    Background,
}

/// A block to move over a link.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Workspace that it is for.
    pub workspace: WorkspaceId,
    /// Share of the link relative to other workspaces.
    pub weight: u32,
    /// How soon it is wanted.
    pub class: TransferClass,
    /// Length of the block object.
    pub bytes: u64,
}

/// How a transfer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferEnd {
    /// All bytes passed.
    Whole,
    /// The link or the store failed.
    Failed,
    /// It was given up or refused, which tells nothing of the link.
    GivenUp,
}

#[derive(Clone, Debug)]
struct Live {
    transfer: Transfer,
    started: Option<(Instant, u64)>,
}

/// Transfers over the link to one store.
///
/// Urgent ones go first and may fill the window; background ones start only while nothing urgent
/// waits and leave half of the window free. One transfer may always run.
#[derive(Clone, Debug)]
pub struct Link {
    window: PaceWindow,
    urgent: FairQueue,
    background: FairQueue,
    live: FastMap<TransferId, Live>,
    in_flight: u64,
    next_id: TransferId,
}

impl Link {
    /// Makes an idle link.
    pub fn new(cfg: PaceConfig) -> Self {
        Self {
            window: PaceWindow::new(cfg),
            urgent: FairQueue::default(),
            background: FairQueue::default(),
            live: FastMap::default(),
            in_flight: 0,
            next_id: 0,
        }
    }

    /// Adds a transfer to those that wait.
    pub fn submit(&mut self, transfer: Transfer) -> TransferId {
        let id = self.next_id;
        self.next_id += 1;
        let queue = match transfer.class {
            TransferClass::Urgent => &mut self.urgent,
            TransferClass::Background => &mut self.background,
        };
        queue.push(&transfer.workspace, id, transfer.bytes, transfer.weight);
        self.live.insert(id, Live { transfer, started: None });
        id
    }

    /// Starts every transfer that fits the window now.
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
        let live = self.live.get_mut(&id).expect("a queued transfer is live");
        self.in_flight += live.transfer.bytes;
        live.started = Some((now, self.in_flight));
        Some(id)
    }

    /// Takes in the end of a transfer, started or not.
    pub fn finish(&mut self, now: Instant, id: TransferId, end: TransferEnd) {
        let Some(Live { transfer, started }) = self.live.remove(&id) else { return };
        let Some((start, shared_bytes)) = started else {
            let queue = match transfer.class {
                TransferClass::Urgent => &mut self.urgent,
                TransferClass::Background => &mut self.background,
            };
            return queue.remove(&transfer.workspace, id);
        };
        let shared_bytes = shared_bytes.max(self.in_flight);
        self.in_flight -= transfer.bytes;
        match end {
            TransferEnd::Whole => {
                self.window.on_done(now, transfer.bytes, now - start, shared_bytes);
            }
            TransferEnd::Failed => self.window.on_failed(now, now - start),
            TransferEnd::GivenUp => {}
        }
    }

    /// Estimates an urgent transfer submitted now.
    pub fn estimate(&self) -> TransferEstimate {
        self.window.estimate(self.in_flight + self.urgent.bytes())
    }

    /// Bytes that may be in flight.
    pub fn window_bytes(&self) -> u64 {
        self.window.bytes()
    }

    /// Bytes in flight.
    pub fn in_flight_bytes(&self) -> u64 {
        self.in_flight
    }

    /// Bytes that wait: urgent, background.
    pub fn waiting_bytes(&self) -> (u64, u64) {
        (self.urgent.bytes(), self.background.bytes())
    }
}
