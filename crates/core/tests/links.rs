//! Link scheduling: congestion window, priority classes and fair sharing.

use cassiagw_core::links::{
    Link, Transfer, TransferClass, TransferId, TransferOutcome, WindowConfig,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const BLOCK: u64 = 100_000;

fn link(max_blocks: u64) -> Link {
    let max_bytes = max_blocks * BLOCK;
    Link::new(WindowConfig { min_bytes: BLOCK, max_bytes, initial_bytes_per_s: 1e8 })
}

fn transfer(workspace: &str, class: TransferClass) -> Transfer {
    Transfer { workspace: workspace.into(), weight: 1, class, bytes: BLOCK }
}

#[test]
fn urgent_fetches_go_before_exports() {
    let now = Instant::now();
    let mut link = link(8);
    let running = link.submit(transfer("a", TransferClass::Background));
    assert_eq!(link.start_ready(now), [running]);
    let export = link.submit(transfer("a", TransferClass::Background));
    let fetch = link.submit(transfer("a", TransferClass::Urgent));
    link.finish(now + Duration::from_millis(1), running, TransferOutcome::Completed);
    assert_eq!(link.start_ready(now)[0], fetch);
    link.finish(now + Duration::from_millis(2), fetch, TransferOutcome::Completed);
    assert_eq!(link.start_ready(now), [export]);
    let again = link.submit(transfer("a", TransferClass::Urgent));
    link.finish(now, again, TransferOutcome::Cancelled);
    assert_eq!(
        link.waiting_bytes(),
        (0, 0),
        "a transfer canceled before its start must leave the queue"
    );
}

#[test]
fn workspaces_share_the_link_by_weight_whatever_they_queue() {
    let now = Instant::now();
    let mut link = link(1);
    (0..100).for_each(|_| _ = link.submit(transfer("large", TransferClass::Urgent)));
    let one_by_one = |link: &mut Link| {
        link.submit(Transfer { weight: 2, ..transfer("small", TransferClass::Urgent) })
    };
    let mut small = one_by_one(&mut link);
    let mut served = (0, 0);
    for _ in 0..30 {
        let started = link.start_ready(now);
        assert_eq!(started.len(), 1);
        link.finish(now + Duration::from_millis(1), started[0], TransferOutcome::Completed);
        if started[0] == small {
            small = one_by_one(&mut link);
            served.0 += 1;
        } else {
            served.1 += 1;
        }
    }
    assert!((18..=22).contains(&served.0), "{served:?}");
}

/// Simulates a link of the given rate, shared equally by the transfers in flight, and returns the
/// largest number of bytes in flight.
fn run(link: &mut Link, now: &mut Instant, bytes_per_s: f64, rounds: usize) -> u64 {
    let mut live: BTreeMap<TransferId, f64> = BTreeMap::new();
    let mut max_in_flight = 0;
    for _ in 0..rounds {
        while link.waiting_bytes().0 < 20 * BLOCK {
            link.submit(transfer("a", TransferClass::Urgent));
        }
        live.extend(link.start_ready(*now).into_iter().map(|id| (id, BLOCK as f64)));
        max_in_flight = max_in_flight.max(link.in_flight_bytes());
        let least_left = live.values().copied().fold(f64::MAX, f64::min);
        *now += Duration::from_secs_f64(least_left * live.len() as f64 / bytes_per_s);
        live.values_mut().for_each(|left| *left -= least_left);
        let ended: Vec<_> = live.extract_if(.., |_, left| *left < 1.0).collect();
        ended.into_iter().for_each(|(id, _)| link.finish(*now, id, TransferOutcome::Completed));
    }
    live.into_keys().for_each(|id| link.finish(*now, id, TransferOutcome::Completed));
    max_in_flight
}

#[test]
fn window_follows_the_delay_and_the_estimate_follows_the_rate() {
    let mut now = Instant::now();
    let mut link = link(1_000);
    let max_in_flight = run(&mut link, &mut now, 1e7, 400);
    assert!(
        max_in_flight <= 8 * BLOCK,
        "window not limited by delay: {max_in_flight} bytes in flight"
    );
    run(&mut link, &mut now, 1e6, 400);
    let slowed = link.estimate();
    assert!((0.5e6..2e6).contains(&slowed.bytes_per_s), "{slowed:?}");
    let before = link.window_bytes();
    let mut failing = link.clone();
    let ids: Vec<_> = failing.start_ready(now);
    ids.into_iter()
        .for_each(|id| failing.finish(now + Duration::from_secs(60), id, TransferOutcome::Failed));
    assert!(failing.window_bytes() < before, "failures must shrink the window of {before} bytes");
}
