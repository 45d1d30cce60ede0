use super::Percentiles;
use crate::{
    arms::ArmOutcome,
    drive::{CompletionResult, OrderResult},
    smoke::executions_by_key,
    trace::{Arrival, ArrivalKind},
};
use serde_json::Value;
use std::{collections::BTreeSet, time::Duration};

/// Records of the stand-ins after an arm.
#[derive(Clone, Debug, Default)]
pub struct ArmRecords {
    /// Records of each engine.
    pub engines: Vec<Value>,
    /// Records of each plain service.
    pub services: Vec<Value>,
    /// Records of each store host.
    pub stores: Vec<Value>,
    /// State dumps of the engines' daemons.
    pub dumps: Vec<Value>,
    /// Time over which the arm ran.
    pub ran_for: Duration,
    /// New work that engines of an availability zone started after it should have had none.
    pub late_zone_work: u64,
}

/// What one arm comes to.
#[derive(Clone, Debug, Default)]
pub struct ArmSummary {
    /// Requests, orders included.
    pub requests: usize,
    /// Times to the first token of returning prompts for which a person waits.
    pub interactive: Percentiles,
    /// Times to the first token of all prompts.
    pub all: Percentiles,
    /// Times to whole answers of long summaries.
    pub batch_total: Percentiles,
    /// Share of the prompt tokens that engines computed.
    pub recomputed_share: f64,
    /// Bytes over the stores' links.
    pub link_bytes: u64,
    /// Share of the time that the stores' links were busy.
    pub link_busy: f64,
    /// Requests without a whole answer or a truthful error, and answered orders without a record.
    pub lost: usize,
    /// Prompts that were refused with a truthful error.
    pub refused: usize,
    /// Executions of an order beyond its first.
    pub duplicated: usize,
    /// Orders said not to have run that did.
    pub false_not_run: usize,
    /// Times that a cold engine got more than it bears.
    pub overload_cold: u64,
    /// New work in an availability zone that was out.
    pub late_zone_work: u64,
}

impl ArmSummary {
    /// Sums up what callers saw and what the stand-ins recorded.
    pub fn new(outcome: &ArmOutcome, records: &ArmRecords) -> Self {
        let executions = executions_by_key(&records.services);
        let computed = sum(&records.engines, "computed_tokens");
        let reused = sum(&records.engines, "reused_tokens");
        let not_run = orders_not_run(outcome);
        let lost_orders = outcome
            .orders()
            .filter(|(_, result)| result.is_answered())
            .filter(|(arrival, _)| {
                order_key(arrival).is_some_and(|key| !executions.contains_key(key))
            })
            .count();
        let lost_prompts = outcome.completions().filter(|(_, result, _)| is_lost(result)).count();
        Self {
            requests: outcome.seen.len(),
            interactive: first_tokens(outcome, is_interactive_return),
            all: first_tokens(outcome, |_| true),
            batch_total: batch_totals(outcome),
            recomputed_share: share(computed, computed + reused),
            link_bytes: sum(&records.stores, "bytes_in") + sum(&records.stores, "bytes_out"),
            link_busy: link_busy(records),
            lost: lost_prompts + lost_orders,
            refused: outcome
                .completions()
                .filter(|(_, result, _)| result.not_run == Some(true))
                .count(),
            duplicated: executions.values().map(|count| count - 1).sum(),
            false_not_run: not_run.iter().filter(|key| executions.contains_key(**key)).count(),
            overload_cold: sum(&records.engines, "overload_cold"),
            late_zone_work: records.late_zone_work,
        }
    }
}

impl ArmSummary {
    /// One line of key=value pairs for a person.
    pub fn line(&self, name: &str) -> String {
        format!(
            "arm={name} prompts={} refused={} lost={} ttft_p50_ms={} ttft_p95_ms={} \
             all_p95_ms={} batch_p95_ms={} recomputed_share={:.3} link_busy={:.3} duplicated={}\n",
            self.all.count,
            self.refused,
            self.lost,
            millis(self.interactive.p50),
            millis(self.interactive.p95),
            millis(self.all.p95),
            millis(self.batch_total.p95),
            self.recomputed_share,
            self.link_busy,
            self.duplicated,
        )
    }
}

/// Percentiles of the time from an arrival's moment to its first token.
pub fn first_tokens(outcome: &ArmOutcome, wanted: impl Fn(&Arrival) -> bool) -> Percentiles {
    let times = outcome
        .completions()
        .filter(|(arrival, _, _)| wanted(arrival))
        .filter_map(|(_, result, late)| Some(result.first_token? + late));
    Percentiles::of(times)
}

fn batch_totals(outcome: &ArmOutcome) -> Percentiles {
    let is_batch = |arrival: &Arrival| {
        matches!(arrival.kind, ArrivalKind::Prompt { is_interactive: false, .. })
    };
    let whole =
        outcome.completions().filter(|(arrival, result, _)| is_batch(arrival) && result.is_whole);
    Percentiles::of(whole.map(|(_, result, late)| result.total + late))
}

fn is_interactive_return(arrival: &Arrival) -> bool {
    matches!(arrival.kind, ArrivalKind::Prompt { is_interactive: true, is_return: true, .. })
}

/// A prompt is lost if it got neither a whole answer nor an error that says it did not run.
fn is_lost(result: &CompletionResult) -> bool {
    !result.is_whole && result.not_run != Some(true)
}

/// Keys of which every answer said that the order did not run.
fn orders_not_run(outcome: &ArmOutcome) -> BTreeSet<&str> {
    let says_not_run = |result: &OrderResult| result.not_run == Some(true);
    let keys = |wanted: bool| -> BTreeSet<&str> {
        outcome
            .orders()
            .filter(|(_, result)| says_not_run(result) == wanted)
            .filter_map(|(arrival, _)| order_key(arrival))
            .collect()
    };
    keys(true).difference(&keys(false)).copied().collect()
}

fn order_key(arrival: &Arrival) -> Option<&str> {
    match &arrival.kind {
        ArrivalKind::Order { key } => Some(key),
        ArrivalKind::Prompt { .. } => None,
    }
}

fn sum(records: &[Value], field: &str) -> u64 {
    records.iter().filter_map(|record| record[field].as_u64()).sum()
}

/// Share of the time that the stores' links were busy, over all stores.
fn link_busy(records: &ArmRecords) -> f64 {
    let all_ms = records.ran_for.as_millis() as u64 * records.stores.len() as u64;
    share(sum(&records.stores, "link_busy_ms"), all_ms)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Duration as milliseconds with one digit behind the point.
fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1_000.0)
}
