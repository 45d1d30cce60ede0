//! State of rollouts for operators: log lines and JSON, with the evidence behind each step.

use super::forward_state::ForwardState;
use cassiagw_core::forwarding::{RolloutEvidence, RolloutStep, ServiceRollout, VersionSummary};
use serde_json::{Value, json};
use std::{fmt::Write, time::Instant};

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

/// All rollouts as this daemon knows them: the state, the reason for it and its evidence.
pub fn rollouts(state: &ForwardState) -> Value {
    let mut rollouts: Vec<_> = state.endpoints.rollouts.iter().collect();
    rollouts.sort_by_key(|(service, _)| (*service).clone());
    let rollouts = rollouts.into_iter().map(|(service, rollout)| {
        let evidence = rollout.evidence();
        let age = evidence.oldest_statement.map(|age| age.as_millis() as u64);
        let inputs = state.rollout_inputs(Instant::now(), service, 0);
        json!({
            "service": service, "target": evidence.target,
            "phase": evidence.phase.map(|phase| phase.name()),
            "state": evidence.phase.map(|phase| phase.state()),
            "reason": rollout_reason(state, service, rollout),
            "order": evidence.order.map(|order| order.to_string()),
            "order_age_ms": rollout.order_age().as_millis() as u64,
            "verdict": evidence.verdict, "badness": evidence.badness,
            "sent": evidence.sent, "exposed": evidence.exposed,
            "old_in_flight": evidence.old_in_flight, "daemons": evidence.daemons,
            "evidence_age_ms": age, "routes": evidence.routes.iter().map(|route| json!({
                "route": route.route, "old": summary(&route.old), "new": summary(&route.new),
            })).collect::<Vec<_>>(),
            "target_endpoints": { "ready": inputs.target.ready, "warm": inputs.target.warm },
            "old_endpoints": { "ready": inputs.old.ready, "warm": inputs.old.warm },
        })
    });
    json!(rollouts.collect::<Vec<_>>())
}

fn summary(summary: &VersionSummary) -> Value {
    let VersionSummary { answers, failed, slow, p95 } = summary;
    json!({
        "answers": answers, "failed": failed, "slow": slow,
        "p95_ms": p95.map(|p95| p95.as_millis() as u64),
    })
}

/// Why the rollout is in its phase: the reason of the step, if this daemon decided it.
fn rollout_reason(state: &ForwardState, service: &str, rollout: &ServiceRollout) -> &'static str {
    let phase = rollout.record().map(|record| record.phase);
    let decided = state.rollout_reasons.get(service);
    let decided = decided.filter(|(of_phase, _)| Some(*of_phase) == phase);
    decided.map_or("decided by another daemon, see its log", |(_, reason)| reason.name())
}

/// Answers by route as `ROUTE old=ANSWERS/FAILED/SLOW/P95_MS new=...`.
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
    let VersionSummary { answers, failed, slow, p95 } = summary;
    let p95_ms = p95.map_or(0, |p95| p95.as_millis());
    // Writing to a string cannot fail.
    let _ = write!(text, "{answers}/{failed}/{slow}/{p95_ms}");
}
