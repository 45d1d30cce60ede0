//! Log lines of rollouts, with the evidence behind each step.

use cassiagw_core::forwarding::{RolloutEvidence, RolloutStep, VersionSummary};
use std::fmt::Write;

/// Logs a step that this daemon decided, and the evidence that it was decided on.
pub fn log_step(service: &str, step: &RolloutStep) {
    let evidence = &step.evidence;
    let record = &step.record;
    let age = evidence.oldest_statement.unwrap_or_default();
    log::info!(
        event = "rollout_step", service, target:% = record.target, order:% = record.order,
        phase = record.phase.name(), reason = step.reason.name(), fence = record.fence,
        verdict:? = evidence.verdict, badness = evidence.badness, sent = evidence.sent,
        exposed = evidence.exposed, old_in_flight = evidence.old_in_flight,
        daemons = evidence.daemons, evidence_age_ms = age.as_millis() as u64,
        routes = route_text(evidence); ""
    );
}

/// Answers by route as `ROUTE old=GOOD/BAD/SLOW/P95_MS new=...`.
fn route_text(evidence: &RolloutEvidence) -> String {
    let mut text = String::new();
    for route in &evidence.routes {
        let separator = if text.is_empty() { "" } else { "; " };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{} old=", route.route);
        write_summary(&mut text, &route.old);
        text.push_str(" new=");
        write_summary(&mut text, &route.new);
    }
    text
}

fn write_summary(text: &mut String, summary: &VersionSummary) {
    let VersionSummary { answers, bad, slow, p95 } = summary;
    let p95_ms = p95.map_or(0, |p95| p95.as_millis());
    // Writing to a string cannot fail.
    let _ = write!(text, "{answers}/{bad}/{slow}/{p95_ms}");
}
