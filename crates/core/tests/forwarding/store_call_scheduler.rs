//! Scheduling of the store calls that keep many daemons' views up to date within the rate limit.

use cassiagw_core::forwarding::{
    StoreCall::{self, *},
    StoreCallScheduler,
    StoreOutcome::{self, *},
    WatchPace,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

#[test]
fn keys_are_not_read_again_without_need() {
    struct Case {
        name: &'static str,
        outcomes: &'static [StoreOutcome],
        next: StoreCall,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "start", outcomes: &[], next: ReadAllStale },
        Case { name: "read", outcomes: &[Answered], next: CatchUp },
        Case { name: "caught up", outcomes: &[Answered, Answered], next: Watch },
        Case { name: "stale read refused", outcomes: &[RateLimited, Failed], next: ReadAllStale },
        Case { name: "too stale", outcomes: &[Answered, HistoryGone], next: ReadAll },
        Case { name: "read again in full", outcomes: &[Answered, HistoryGone, Answered], next: Watch },
        Case { name: "catch-up refused", outcomes: &[Answered, RateLimited, Failed], next: CatchUp },
        Case { name: "watch refused for the rate", outcomes: &[Answered, Answered, RateLimited, RateLimited], next: Watch },
        Case { name: "watch not answered", outcomes: &[Answered, Answered, Failed], next: ReadAll },
        Case { name: "history gone", outcomes: &[Answered, Answered, HistoryGone], next: ReadAll },
    ];
    for Case { name, outcomes, next } in cases {
        let mut scheduler = StoreCallScheduler::default();
        for outcome in outcomes {
            let _ = scheduler.on_outcome(*outcome, 4, WatchPace::Prompt, 0.5);
        }
        assert_eq!(scheduler.next(), next, "{name}");
    }
}

/// Simulated daemons that start at once, each writing its own entry, and the store's limits.
struct Fleet {
    daemons: usize,
    reads_per_s: u32,
    /// Number of reads that one full read costs.
    pages: u32,
}

/// Simulates the fleet and returns when the last daemon has seen all entries; `None` after 60 s.
fn simulate(fleet: &Fleet) -> Option<Duration> {
    const LIMIT: Duration = Duration::from_secs(60);
    let mut rng = StdRng::seed_from_u64(fleet.daemons as u64);
    let mut queue = BinaryHeap::new();
    let mut schedulers = vec![StoreCallScheduler::default(); fleet.daemons];
    let mut known = vec![0; fleet.daemons];
    // Every daemon registers at once; entries are numbered in the order of their writes.
    let entries = fleet.daemons;
    (0..fleet.daemons).for_each(|daemon| queue.push(Reverse((Duration::ZERO, daemon))));
    let (mut second, mut used) = (0, 0);
    while let Some(Reverse((now, daemon))) = queue.pop() {
        if now > LIMIT {
            return None;
        }
        if now.as_secs() != second {
            (second, used) = (now.as_secs(), 0);
        }
        let call = schedulers[daemon].next();
        let reads = match call {
            ReadAllStale => 0,
            ReadAll => fleet.pages,
            CatchUp | Watch => 1,
        };
        let is_rate_limited = used + reads > fleet.reads_per_s;
        used += if is_rate_limited { 1 } else { reads };
        // All entries are written within the first second; a watch returns without waiting.
        let written = (entries as f64 * now.as_secs_f64().min(1.0)) as usize;
        let outcome = if is_rate_limited { RateLimited } else { Answered };
        if outcome == Answered && call != ReadAllStale {
            known[daemon] = written;
        }
        if known.iter().all(|known| *known == entries) {
            return Some(now);
        }
        let pause = schedulers[daemon].on_outcome(
            outcome,
            fleet.daemons,
            WatchPace::Prompt,
            rng.random_range(0.0..1.0),
        );
        let next = now + pause.max(Duration::from_millis(1));
        queue.push(Reverse((next, daemon)));
    }
    None
}

/// 300 daemons that start at once and register wake each other and exhaust the store's read rate.
/// They must not read all keys again after each rate-limited call.
#[test]
fn a_fleet_that_starts_at_once_is_in_sync_within_seconds() {
    let fleets = [
        Fleet { daemons: 4, reads_per_s: 400, pages: 1 },
        Fleet { daemons: 30, reads_per_s: 2_000, pages: 1 },
        Fleet { daemons: 300, reads_per_s: 2_000, pages: 7 },
        Fleet { daemons: 580, reads_per_s: 2_000, pages: 25 },
    ];
    for fleet in fleets {
        let time = simulate(&fleet);
        let size = fleet.daemons;
        assert!(time.is_some_and(|time| time < Duration::from_secs(6)), "{size}: {time:?}");
    }
}
