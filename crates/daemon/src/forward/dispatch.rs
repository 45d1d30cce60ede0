use super::{
    answer::{Body, GatewayError, full_body},
    attempt::{self, ResponseTimeouts},
    call::Call,
    forwarder::Forwarder,
    placement::PlaceResult,
    queues::place,
    relay::relay,
    request_log::RequestEnd,
    request_record::{Decision, decision_name},
    stream_origins::resume,
    upstream_response::{CompleteResponse, UpstreamResponse},
};
use crate::caller_memory::HeldAnswer;
use bytes::Bytes;
use cassiagw_core::{
    forwarding::{
        ExecutionState, Fault, PressureEvent, Refusal, RetryDecision, RetryPlan, Shortage,
        pause_retry_after,
    },
    ids::EndpointId,
};
use cassiagw_platform::forwarded_fields;
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, header::CONTENT_LENGTH};
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

/// Default and minimum value of `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Maximum value of `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Value of `Retry-After` while there is no memory for another answer: slow readers lose theirs
/// after about this time.
pub(super) const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Soft timeout for the response head of a retryable request, as a multiple of the target latency.
const SOFT_TIMEOUT_FACTOR: u32 = 2;

/// Attempts of one request and their faults.
pub struct Attempts {
    plan: RetryPlan,
    faults: Vec<String>,
}

impl Attempts {
    fn new(call: &Call) -> Self {
        let route = &call.route;
        let plan = RetryPlan::new(route.kind, route.max_attempts, call.deadline);
        Self { plan, faults: Vec::new() }
    }

    /// Places the request on an endpoint that has not been tried yet.
    pub async fn place(&self, fw: &Arc<Forwarder>, call: &Arc<Call>) -> PlaceResult {
        place(fw, call, self.plan.tried()).await
    }

    /// Records a failed attempt and decides whether to retry.
    pub fn on_fault(
        &mut self,
        fw: &Forwarder,
        call: &Call,
        endpoint: EndpointId,
        fault: Fault,
    ) -> RetryDecision {
        self.faults.push(format!("{endpoint}:{}", fault.name()));
        // Hashes the body, which must not happen under the lock.
        let suspects = call.suspects();
        let next = {
            let mut state = fw.state();
            let may_have_run = fault.execution_state() != ExecutionState::NotRun;
            if may_have_run && state.quarantine.forbids_retry(Instant::now(), &suspects) {
                self.plan.stop();
            }
            let budget = state.budget(&call.service.name);
            self.plan.on_fault(Instant::now(), endpoint.clone(), fault, budget)
        };
        fw.metrics.count_retry_decision(decision_name(next));
        call.record.add_decision(Decision::Failed { endpoint, fault, next });
        next
    }

    /// Time limits for the response to the current attempt.
    pub fn timeouts(&self, call: &Call) -> ResponseTimeouts {
        let soft_timeout = call.route.target_latency * SOFT_TIMEOUT_FACTOR;
        ResponseTimeouts {
            deadline: call.deadline,
            soft_timeout: self.plan.may_run_again().then_some(soft_timeout),
        }
    }

    /// Failed attempts, formatted as `endpoint:fault`.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }
}

/// Sends a call to endpoints, with retries, and returns the response for the caller.
pub async fn dispatch(fw: Arc<Forwarder>, call: Arc<Call>) -> Response<Body> {
    fw.state().budget(&call.service.name).on_request(Instant::now());
    let is_idle = fw.state().quarantine.is_idle();
    if !is_idle {
        // Hashes the body before the quarantine is asked under the lock.
        call.whole();
    }
    let mut attempts = Attempts::new(&call);
    if call.is_resume()
        && let Err(refusal) = resume(&fw, &call).await
    {
        let error = not_run(refusal.cause()).with_retry_after(DEFAULT_RETRY_AFTER);
        return end_with_error(&call, &error, refusal.cause(), &[]);
    }
    if let Err(shortage) = fw.caller_memory.admit_answer(call.workspace()) {
        return refuse_answer(&fw, &call, shortage);
    }
    let mut failed_response: Option<CompleteResponse> = None;
    loop {
        let placement = match attempts.place(&fw, &call).await {
            PlaceResult::Placed(placement) => placement,
            PlaceResult::Busy(retry_after) => {
                return respond_failure(
                    &fw,
                    &call,
                    &attempts,
                    failed_response,
                    "all endpoints are busy",
                    retry_after.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER),
                );
            }
            PlaceResult::Paused(wait) => {
                call.record.add_decision(Decision::EndpointsPaused { wait });
                let retry_after = pause_retry_after(wait, call.time_left(), call.id_hash());
                return respond_failure(
                    &fw,
                    &call,
                    &attempts,
                    failed_response,
                    "all endpoints asked for a pause",
                    retry_after.max(DEFAULT_RETRY_AFTER),
                );
            }
            PlaceResult::KeptAway(kept) => {
                let cause =
                    format!("endpoints crashed under its {} {}", kept.kind.name(), kept.name);
                let retry_after = kept.left.max(DEFAULT_RETRY_AFTER);
                return respond_failure(
                    &fw,
                    &call,
                    &attempts,
                    failed_response,
                    &cause,
                    retry_after,
                );
            }
            PlaceResult::NoEndpoint => {
                let retry_after = DEFAULT_RETRY_AFTER;
                return respond_failure(
                    &fw,
                    &call,
                    &attempts,
                    failed_response,
                    "no endpoint takes requests",
                    retry_after,
                );
            }
        };
        let endpoint = placement.picked.entry.id.clone();
        let timeouts = attempts.timeouts(&call);
        let fault = match attempt::start(&fw, &call, placement, None, timeouts).await {
            Ok(upstream) if is_relayed(&call, &upstream) => {
                return stream_response(fw, call, attempts, upstream);
            }
            Ok(upstream) => match upstream.collect(timeouts).await {
                Ok(complete)
                    if !complete.status.is_server_error()
                        && may_forward_status(complete.status) =>
                {
                    return forward_response(&fw, &call, &attempts, complete);
                }
                Ok(complete) => {
                    failed_response = Some(complete);
                    fw.state().endpoints.on_fault(Instant::now(), &endpoint, Fault::Failed);
                    Fault::Failed
                }
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        let next = attempts.on_fault(&fw, &call, endpoint, fault);
        if let RetryDecision::Refuse(_) = next {
            return respond_failure(
                &fw,
                &call,
                &attempts,
                failed_response,
                fault.name(),
                DEFAULT_RETRY_AFTER,
            );
        }
    }
}

/// Whether a response is passed on as it arrives: a successful stream, if a break can be shown to
/// the caller.
fn is_relayed(call: &Call, upstream: &UpstreamResponse) -> bool {
    call.takes_chunks && call.route.kind.is_stream() && upstream.status.is_success()
}

fn stream_response(
    fw: Arc<Forwarder>,
    call: Arc<Call>,
    attempts: Attempts,
    upstream: UpstreamResponse,
) -> Response<Body> {
    let status = upstream.status;
    let mut headers = forwarded_fields(&upstream.headers);
    // The end is checked once the last byte has been passed on, and must not be reached by length
    // before. A resumed stream may have another length, too.
    headers.remove(CONTENT_LENGTH);
    let mut response = Response::new(relay(fw, call, attempts, upstream));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn forward_response(
    fw: &Forwarder,
    call: &Call,
    attempts: &Attempts,
    complete: CompleteResponse,
) -> Response<Body> {
    let outcome = if complete.status.is_server_error() { "endpoint_failed" } else { "answered" };
    let end = RequestEnd {
        outcome,
        status: complete.status.as_u16(),
        cause: "whole",
        endpoint: Some(&complete.endpoint),
        framing: Some(complete.framing),
        faults: attempts.faults(),
    };
    call.record.on_response_bytes();
    call.record.end(call, &end);
    let elapsed = call.arrival.elapsed();
    fw.metrics.record_first_byte(call.route.kind, elapsed);
    fw.metrics.record_duration(call.route.kind, elapsed);
    let mut headers = forwarded_fields(&complete.headers);
    if call.method != Method::HEAD {
        // Written anew: the endpoint's may be wrong beside chunks.
        headers.remove(CONTENT_LENGTH);
    }
    let body = held_body(fw, call, complete.body);
    let mut response = Response::new(body);
    *response.status_mut() = complete.status;
    *response.headers_mut() = headers;
    response
}

/// Body of a complete answer, which is counted until the caller has read it.
fn held_body(fw: &Forwarder, call: &Call, content: Bytes) -> Body {
    let workspace = call.workspace_id();
    match HeldAnswer::new(&fw.caller_memory, &call.connection, workspace, content) {
        Ok(held) => held.boxed_unsync(),
        Err(small) => full_body(small),
    }
}

/// Refuses a request for whose answer there is no memory.
fn refuse_answer(fw: &Forwarder, call: &Call, shortage: Shortage) -> Response<Body> {
    fw.caller_memory.record(PressureEvent::AnswerRefused);
    let cause = format!("answers that are not read take up the memory of the {}", shortage.name());
    let error = not_run(&cause).with_retry_after(MEMORY_RETRY_AFTER);
    end_with_error(call, &error, &cause, &[])
}

/// Responds to a request for which no attempt gave a usable response, stating whether the request
/// may have been executed.
fn respond_failure(
    fw: &Forwarder,
    call: &Call,
    attempts: &Attempts,
    failed_response: Option<CompleteResponse>,
    cause: &str,
    retry_after: Duration,
) -> Response<Body> {
    if let Some(complete) = failed_response.filter(|complete| may_forward_status(complete.status)) {
        return forward_response(fw, call, attempts, complete);
    }
    let refusal = attempts.plan.refusal(Instant::now());
    let error = match refusal {
        Refusal::NotRun => not_run(cause).with_retry_after(retry_after),
        Refusal::Unknown => outcome_unknown(cause),
        Refusal::TimedOut => GatewayError::new(
            StatusCode::GATEWAY_TIMEOUT,
            "timed_out",
            format!("the request may have run: {cause}"),
        ),
    };
    end_with_error(call, &error, cause, attempts.faults())
}

/// Responds to a request that a stopping daemon cannot answer otherwise before its end.
pub fn respond_stopping(call: &Call) -> Response<Body> {
    let cause = "the daemon stops";
    let error = match call.is_sent.load(Ordering::Relaxed) {
        true => outcome_unknown(cause),
        false => not_run(cause).with_retry_after(DEFAULT_RETRY_AFTER),
    };
    end_with_error(call, &error, cause, &[])
}

fn not_run(cause: &str) -> GatewayError {
    let message = format!("the request did not run: {cause}");
    GatewayError::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", message)
}

fn outcome_unknown(cause: &str) -> GatewayError {
    let message = format!("the request may have run: {cause}");
    GatewayError::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message)
}

fn end_with_error(
    call: &Call,
    error: &GatewayError,
    cause: &str,
    faults: &[String],
) -> Response<Body> {
    let end = RequestEnd {
        outcome: error.code,
        status: error.status.as_u16(),
        cause,
        endpoint: None,
        framing: None,
        faults,
    };
    call.record.end(call, &end);
    error.response()
}

/// Whether an endpoint's status may be forwarded to the caller. Some statuses imply that the
/// request was not executed, which is not certain here.
fn may_forward_status(status: StatusCode) -> bool {
    const NOT_EXECUTED_STATUSES: [StatusCode; 4] = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    !NOT_EXECUTED_STATUSES.contains(&status)
}
