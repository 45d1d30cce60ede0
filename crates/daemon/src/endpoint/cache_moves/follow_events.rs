use super::{CacheMoves, moves::lock};
use std::{sync::Weak, time::Duration};
use tokio::time::interval;

/// Reads the engine's cache events for as long as the moves live.
pub(super) async fn follow_events(moves: Weak<CacheMoves>, period: Duration) {
    let mut ticks = interval(period);
    let mut next = 0;
    loop {
        ticks.tick().await;
        let Some(moves) = moves.upgrade() else { return };
        let Ok(events) = moves.engine.cache_events(next, moves.cfg.small_limit).await else {
            continue;
        };
        let mut picture = lock(&moves.picture);
        events.boot.iter().for_each(|boot| picture.on_boot(*boot));
        // Positions start over with a new boot, whose first events are then read again.
        if events.next < next {
            picture.clear();
            next = 0;
            continue;
        }
        picture.on_events(&events.events);
        next = events.next;
    }
}
