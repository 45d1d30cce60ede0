use super::Percentiles;
use crate::{
    arms::ArmOutcome,
    client::{CompletionResult, OrderResult},
    smoke::executions_by_key,
    trace::{Arrival, ArrivalKind},
};
use serde_json::Value;
use std::{collections::BTreeSet, time::Duration};

/// Records of the stand-ins and state dumps of the daemons at the end of an arm.
#[derive(Clone, Debug, Default)]
pub struct ArmRecords {
    /// Records of the engine stand-ins.
    pub engines: Vec<Value>,
    /// Records of the plain service stand-ins.
    pub services: Vec<Value>,
    /// Records of the store stand-ins.
    pub stores: Vec<Value>,
    /// State dumps of the endpoint daemons of the engines.
    pub dumps: Vec<Value>,
    /// Run time of the arm; used to compute the link utilization.
    pub duration: Duration,
    /// Number of requests that engines of a zone that was taken out started after the allowed time.
    pub late_zone_work: u64,
}

/// Summary of the results of one arm.
#[derive(Clone, Debug, Default)]
pub struct ArmSummary {
    /// Number of prompts and orders sent.
    pub requests: usize,
    /// Time to first token of interactive prompts with a context that was seen before.
    pub interactive: Percentiles,
    /// Time to first token of all prompts.
    pub all: Percentiles,
    /// Time to the complete response of batch prompts.
    pub batch_total: Percentiles,
    /// Fraction of the prompt tokens that engines computed rather than reused from a cache.
    pub recomputed_share: f64,
    /// Bytes received and sent by all stores.
    pub link_bytes: u64,
    /// Fraction of the time that the links of the stores were busy.
    pub link_busy: f64,
    /// Number of prompts with neither a complete response nor a `not_run` error, and of successful
    /// orders without an execution record.
    pub lost: usize,
    /// Number of prompts rejected with a `not_run` error.
    pub refused: usize,
    /// Number of executions of orders beyond the first of each key.
    pub duplicated: usize,
    /// Number of executed orders whose every response said `not_run`.
    pub false_not_run: usize,
    /// Number of times that a cold engine received more requests than its cold limit.
    pub overload_cold: u64,
    /// Number of requests that engines of a zone that was out started after the allowed time.
    pub late_zone_work: u64,
}

impl ArmSummary {
    /// Computes the summary from the results of the callers and the records of the stand-ins.
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
            requests: outcome.results.len(),
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
    /// Formats the main figures as one human-readable line of key=value pairs.
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

/// Percentiles of the time from the scheduled arrival to the first token, over the selected
/// arrivals.
pub fn first_tokens(outcome: &ArmOutcome, filter: impl Fn(&Arrival) -> bool) -> Percentiles {
    let times = outcome
        .completions()
        .filter(|(arrival, _, _)| filter(arrival))
        .filter_map(|(_, result, send_delay)| Some(result.first_token? + send_delay));
    Percentiles::of(times)
}

fn batch_totals(outcome: &ArmOutcome) -> Percentiles {
    let is_batch = |arrival: &Arrival| {
        matches!(arrival.kind, ArrivalKind::Prompt { is_interactive: false, .. })
    };
    let complete =
        outcome.completions().filter(|(arrival, result, _)| is_batch(arrival) && result.is_whole);
    Percentiles::of(complete.map(|(_, result, send_delay)| result.total + send_delay))
}

fn is_interactive_return(arrival: &Arrival) -> bool {
    matches!(arrival.kind, ArrivalKind::Prompt { is_interactive: true, is_return: true, .. })
}

/// Whether a prompt is lost: it got neither a complete response nor a `not_run` error.
fn is_lost(result: &CompletionResult) -> bool {
    !result.is_whole && result.not_run != Some(true)
}

/// Keys of the orders for which every response said `not_run`.
fn orders_not_run(outcome: &ArmOutcome) -> BTreeSet<&str> {
    let says_not_run = |result: &OrderResult| result.not_run == Some(true);
    let keys = |not_run: bool| -> BTreeSet<&str> {
        outcome
            .orders()
            .filter(|(_, result)| says_not_run(result) == not_run)
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

/// Fraction of the time that the links were busy, averaged over all stores.
fn link_busy(records: &ArmRecords) -> f64 {
    let all_ms = records.duration.as_millis() as u64 * records.stores.len() as u64;
    share(sum(&records.stores, "link_busy_ms"), all_ms)
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Formats a duration as milliseconds with one decimal.
fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1_000.0)
}
