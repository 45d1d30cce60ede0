use super::{ArmSummary, percentiles::ratio};
use std::{fmt, time::Duration};

/// Results of the three arms on one trace.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Random seed of the trace.
    pub seed: u64,
    /// Baseline with round robin over engines that have only their own cache.
    pub round_robin: ArmSummary,
    /// Baseline with rendezvous hashing on the prompt root, without stores.
    pub sticky: ArmSummary,
    /// Results of cassiagw.
    pub cassiagw: ArmSummary,
    /// Fraction of the prompt tokens that an optimal offline cache of the same total size would
    /// recompute.
    pub recomputed_share_ideal: f64,
    /// p95 time to first token of the prompts sent after an availability zone was taken out, and of
    /// those sent before; `None` if the scenario takes none out.
    pub zone_move: Option<(Duration, Duration)>,
    /// p95 time to first token of the small workspaces with and without a noisy neighbour; `None`
    /// if the scenario has none.
    pub neighbour: Option<(Duration, Duration)>,
}

impl Measurement {
    /// Formats a human-readable line per arm.
    pub fn details(&self) -> String {
        let arms =
            [("naive", &self.round_robin), ("sticky", &self.sticky), ("cassiagw", &self.cassiagw)];
        arms.iter().map(|(name, arm)| arm.line(name)).collect()
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (round_robin, sticky, cassiagw) = (&self.round_robin, &self.sticky, &self.cassiagw);
        write!(f, "scenario={} seed={}", self.scenario, self.seed)?;
        write!(f, " requests={}", cassiagw.requests)?;
        write_ratio(f, "ttft_p50_ratio", cassiagw.interactive.p50, round_robin.interactive.p50)?;
        write_ratio(f, "ttft_p95_ratio", cassiagw.interactive.p95, round_robin.interactive.p95)?;
        write_ratio(f, "ttft_p95_ratio_sticky", cassiagw.interactive.p95, sticky.interactive.p95)?;
        write!(f, " recomputed_share={:.3}", cassiagw.recomputed_share)?;
        write!(f, " recomputed_share_naive={:.3}", round_robin.recomputed_share)?;
        write!(f, " recomputed_share_sticky={:.3}", sticky.recomputed_share)?;
        write!(f, " recomputed_share_ideal={:.3}", self.recomputed_share_ideal)?;
        write!(f, " link_bytes={} link_busy={:.3}", cassiagw.link_bytes, cassiagw.link_busy)?;
        if let Some((during, before)) = self.zone_move {
            write_ratio(f, "zone_move_p95_ratio", during, before)?;
        }
        if let Some((with_neighbour, without_neighbour)) = self.neighbour {
            write_ratio(f, "small_p95_ratio", with_neighbour, without_neighbour)?;
        }
        write!(f, " refused={}", cassiagw.refused)?;
        write!(f, " lost={} duplicated={}", cassiagw.lost, cassiagw.duplicated)?;
        write!(f, " false_not_run={}", cassiagw.false_not_run)?;
        write!(
            f,
            " overload_cold={} late_zone_work={}",
            cassiagw.overload_cold, cassiagw.late_zone_work
        )
    }
}

fn write_ratio(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    numerator: Duration,
    denominator: Duration,
) -> fmt::Result {
    match ratio(numerator, denominator) {
        Some(ratio) => write!(f, " {name}={ratio:.3}"),
        None => write!(f, " {name}=none"),
    }
}
