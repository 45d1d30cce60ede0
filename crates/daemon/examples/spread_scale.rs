//! Simulates settings and membership replication in a whole fleet in one process and in virtual
//! time, and prints the load on the key-value service and on each daemon.
//!
//! `cargo run --release -p cassiagwd --example spread_scale -- [DAEMONS] [SEED]`

#[path = "../../core/tests/fleet/mod.rs"]
mod fleet;

use cassiagw_core::membership::PeerInfo;
use cassiagw_rpc::SyncRequest;
use fleet::{Fleet, Outage, Shape, Traffic, zone_change};
use std::{
    env,
    time::{Duration, Instant},
};

/// Overhead of a tarpc message in bytes: frame length, context, request ID and tags.
const ENVELOPE_BYTES: u64 = 60;
/// Polling interval while a change propagates.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between changes at a rate of 20,000 per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4_320);
/// Duration of the partition of two regions.
const PARTITION_TIME: Duration = Duration::from_secs(300);
/// Timeout for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);

fn message_overhead(from: &PeerInfo) -> u64 {
    let message = SyncRequest { from: from.clone(), revision: 0, payload: Vec::new() };
    let fields = bincode::serialized_size(&message).expect("sync requests serialize");
    ENVELOPE_BYTES + fields
}

/// Measurement window: the virtual and the real time of its start.
struct Window {
    start: Instant,
    real: Instant,
}

impl Window {
    fn open(fleet: &mut Fleet) -> Self {
        fleet.service.counts = Default::default();
        fleet.daemons.iter_mut().for_each(|daemon| daemon.traffic = Traffic::default());
        Self { start: fleet.now, real: Instant::now() }
    }

    fn print(&self, name: &str, fleet: &Fleet, extra: &str) {
        let time_s = (fleet.now - self.start).as_secs_f64();
        let counts = fleet.service.counts;
        let alive = fleet.daemons.iter().filter(|daemon| daemon.is_alive).collect::<Vec<_>>();
        let mut bytes = alive.iter().map(|d| d.traffic.bytes as f64 / time_s).collect::<Vec<_>>();
        bytes.sort_by(f64::total_cmp);
        let messages = alive.iter().map(|d| d.traffic.messages as f64 / time_s).sum::<f64>();
        let count = alive.len() as f64;
        let cpu_us = self.real.elapsed().as_secs_f64() * 1e6 / time_s / count;
        println!(
            "scenario={name} daemons={count} seconds={time_s:.0} reads_s={:.1} writes_s={:.1} \
             watch_answers_s={:.1} messages_s_daemon={:.1} bytes_s_mean={:.0} bytes_s_p99={:.0} \
             bytes_s_max={:.0} cpu_us_s_daemon={cpu_us:.0} {extra}",
            counts.reads as f64 / time_s,
            counts.writes as f64 / time_s,
            counts.watch_answers as f64 / time_s,
            messages / count,
            bytes.iter().sum::<f64>() / count,
            bytes[(bytes.len() - 1) * 99 / 100],
            bytes[bytes.len() - 1],
        );
    }
}

fn has_converged(fleet: &Fleet) -> bool {
    let head = fleet.service.head();
    fleet.daemons.iter().all(|d| !d.is_alive || d.gossip.tree().revision == head)
}

/// Makes a change and returns the time until all live daemons have it, or about
/// [`STATE_TIMEOUT`] if that is sooner.
fn propagation_time(fleet: &mut Fleet) -> Duration {
    let start = fleet.now;
    while !edit_on_any_daemon(fleet) {
        fleet.run_for(POLL_INTERVAL);
    }
    while !has_converged(fleet) && fleet.now - start < STATE_TIMEOUT {
        fleet.run_for(POLL_INTERVAL);
    }
    fleet.now - start
}

/// Makes a change on the first daemon that accepts it, searching from a daemon that varies with the
/// revision; false if none accepts it.
fn edit_on_any_daemon(fleet: &mut Fleet) -> bool {
    let n = fleet.service.head();
    let first = n as usize * 131 % fleet.daemons.len();
    (first..fleet.daemons.len()).any(|index| fleet.edit(index, zone_change(n)))
}

fn count_stale(fleet: &Fleet) -> usize {
    let indices = 0..fleet.daemons.len();
    indices.filter(|i| fleet.daemons[*i].is_alive && !fleet.is_current(*i)).count()
}

/// Makes changes for `time`, at least [`CHANGE_INTERVAL`] apart, and returns the longest propagation
/// time; `between` is called after each change.
fn run_with_changes(
    fleet: &mut Fleet,
    time: Duration,
    mut between: impl FnMut(&mut Fleet),
) -> Duration {
    let end = fleet.now + time;
    let mut longest = Duration::ZERO;
    while fleet.now < end {
        let start = fleet.now;
        longest = longest.max(propagation_time(fleet));
        between(fleet);
        let rest = (start + CHANGE_INTERVAL).saturating_duration_since(fleet.now);
        fleet.run_for(rest);
    }
    longest
}

fn main() {
    let mut args = env::args().skip(1);
    let daemons = args.next().and_then(|text| text.parse().ok()).unwrap_or(580);
    let seed = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let tick = Duration::from_millis(100);
    // 24 zones rather than the required 22, because the simulation needs the same number of zones
    // in each region.
    let shape = Shape { regions: 8, zones_per_region: 3, daemons, tick, seed };
    let mut fleet = Fleet::new(shape);
    fleet.overhead = message_overhead;

    let window = Window::open(&mut fleet);
    fleet.run_for(Duration::from_secs(60));
    window.print("start", &fleet, &format!("idle={}", count_stale(&fleet)));

    let window = Window::open(&mut fleet);
    let longest = run_with_changes(&mut fleet, Duration::from_secs(120), |_| {});
    window.print("steady", &fleet, &format!("in_force_max_s={:.2}", longest.as_secs_f64()));

    let window = Window::open(&mut fleet);
    let mut oldest = 0;
    let longest = run_with_changes(&mut fleet, Duration::from_secs(60), |fleet| {
        for _ in 0..15 {
            fleet.kill(oldest);
            oldest += 1;
            fleet.add_daemon();
            fleet.run_for(Duration::from_millis(200));
        }
    });
    let extra = format!("replaced={oldest} in_force_max_s={:.2}", longest.as_secs_f64());
    window.print("replaced", &fleet, &extra);
    fleet.run_for(Duration::from_secs(60));
    println!("after_replaced idle={}", count_stale(&fleet));

    let window = Window::open(&mut fleet);
    fleet.set_partitioned(6, true);
    fleet.set_partitioned(7, true);
    fleet.run_for(PARTITION_TIME);
    let stopped = count_stale(&fleet);
    let n = fleet.service.head();
    (0..40).for_each(|_| {
        edit_on_any_daemon(&mut fleet);
        fleet.run_for(Duration::from_secs(1));
    });
    window.print("two_regions_cut", &fleet, &format!("idle={stopped}"));
    fleet.set_partitioned(6, false);
    fleet.set_partitioned(7, false);
    let start = fleet.now;
    while (count_stale(&fleet) > 0 || !has_converged(&fleet)) && fleet.now - start < STATE_TIMEOUT {
        fleet.run_for(POLL_INTERVAL);
    }
    let changes = fleet.service.head() - n;
    let time_s = (fleet.now - start).as_secs_f64();
    println!("joined changes={changes} caught_up_s={time_s:.2} idle={}", count_stale(&fleet));

    for (name, outage) in [("outage_refuse", Outage::Refuse), ("outage_hang", Outage::Hang)] {
        fleet.run_for(Duration::from_secs(60));
        let window = Window::open(&mut fleet);
        fleet.set_outage(outage);
        let mut max_stale = 0;
        for _ in 0..480 {
            fleet.run_for(Duration::from_millis(125));
            max_stale = max_stale.max(count_stale(&fleet));
        }
        window.print(name, &fleet, &format!("idle_max={max_stale}"));
        fleet.set_outage(Outage::None);
        let longest = propagation_time(&mut fleet);
        println!("after_{name} in_force_s={:.2}", longest.as_secs_f64());
    }
}
