use super::{CacheMoves, moves::lock};
use cassiagw_core::cache::CacheEventKind;
use std::{sync::Weak, time::Duration};
use tokio::time::{Instant, interval};

/// Position up to which the engine's cache events were read.
#[derive(Default)]
pub(super) struct EventCursor {
    next: u64,
    read_at: Option<Instant>,
}

/// Reads the engine's cache events and number of pieces periodically until [`CacheMoves`] is
/// dropped.
pub(super) async fn follow_events(moves: Weak<CacheMoves>, period: Duration) {
    let mut ticks = interval(period);
    loop {
        ticks.tick().await;
        let Some(moves) = moves.upgrade() else { return };
        moves.read_events(Duration::ZERO).await;
        if let Ok(load) = moves.engine.load(moves.cfg.request_timeout).await {
            moves.prefill_gate.on_pieces(usize::try_from(load.pieces).unwrap_or(usize::MAX));
        }
    }
}

impl CacheMoves {
    /// Reads and applies the engine's new cache events unless they were read within `max_age`.
    pub(super) async fn read_events(&self, max_age: Duration) {
        let mut cursor = self.events.lock().await;
        if cursor.read_at.is_some_and(|at| at.elapsed() < max_age) {
            return;
        }
        let read = self.engine.cache_events(cursor.next, self.cfg.request_timeout).await;
        cursor.read_at = Some(Instant::now());
        let Ok(events) = read else { return };
        let mut engine_index = lock(&self.engine_index);
        events.boot.iter().for_each(|boot| engine_index.on_boot(*boot));
        // Positions restart at a new boot; the next read starts from its first event.
        if events.next < cursor.next {
            engine_index.clear();
            *cursor = EventCursor::default();
            return;
        }
        engine_index.on_events(&events.events);
        if events.events.iter().any(|event| event.kind == CacheEventKind::Removed) {
            self.prefill_gate.on_eviction();
        }
        cursor.next = events.next;
    }
}
