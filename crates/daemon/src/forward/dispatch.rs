use super::{
    answer::{Body, OwnError, full_body},
    attempt::{self, Opened, Waits, Whole},
    call::Call,
    forwarder::Forward,
    placement::Placed,
    queues::place,
    relay::relay,
    request_log::RequestEnd,
    request_record::{Decision, next_name},
};
use cassiagw_core::{
    forwarding::{Fault, Refusal, RetryDecision, RetryPlan, RouteKind},
    ids::EndpointId,
};
use cassiagw_platform::forwarded_fields;
use hyper::{Response, StatusCode};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Default and minimum value of `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Maximum value of `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Soft timeout for the response head of a retryable request, as a multiple of the target latency.
const PATIENCE: u32 = 2;

/// Attempts of one request and their faults.
pub struct Sendings {
    plan: RetryPlan,
    faults: Vec<String>,
}

impl Sendings {
    fn new(call: &Call) -> Self {
        let route = &call.route;
        let plan = RetryPlan::new(route.kind, route.max_attempts, call.deadline);
        Self { plan, faults: Vec::new() }
    }

    /// Places the request on an endpoint that has not been tried yet.
    pub async fn place(&self, fw: &Arc<Forward>, call: &Arc<Call>) -> Placed {
        place(fw, call, self.plan.tried()).await
    }

    /// Records a failed attempt and decides whether to retry.
    pub fn on_fault(
        &mut self,
        fw: &Forward,
        call: &Call,
        endpoint: EndpointId,
        fault: Fault,
    ) -> RetryDecision {
        self.faults.push(format!("{endpoint}:{}", fault.name()));
        let next = {
            let mut state = fw.state();
            let budget = state.budget(&call.service.name);
            self.plan.on_fault(Instant::now(), endpoint.clone(), fault, budget)
        };
        fw.metrics.count_next(next_name(next));
        call.record.decided(Decision::Failed { endpoint, fault, next });
        next
    }

    /// Time limits for the response head of the current attempt.
    pub fn waits(&self, call: &Call) -> Waits {
        let patience = call.route.target_latency * PATIENCE;
        Waits { until: call.deadline, patience: self.plan.may_run_again().then_some(patience) }
    }

    /// Failed attempts, formatted as `endpoint:fault`.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }
}

/// Sends a call to endpoints, with retries, and returns the response for the caller.
pub async fn dispatch(fw: Arc<Forward>, call: Call) -> Response<Body> {
    let call = Arc::new(call);
    fw.state().budget(&call.service.name).on_request(Instant::now());
    let mut sendings = Sendings::new(&call);
    let mut failed: Option<Whole> = None;
    loop {
        let placement = match sendings.place(&fw, &call).await {
            Placed::At(placement) => placement,
            Placed::Busy(wait) => {
                return give_up(&fw, &call, &sendings, failed, "all endpoints are busy", wait);
            }
            Placed::Nowhere => {
                let wait = DEFAULT_RETRY_AFTER;
                return give_up(&fw, &call, &sendings, failed, "no endpoint takes requests", wait);
            }
        };
        let endpoint = placement.picked.entry.id.clone();
        let waits = sendings.waits(&call);
        let fault = match attempt::open(&fw, &call, placement, None, waits).await {
            Ok(opened) if call.route.kind.is_stream() && opened.status.is_success() => {
                return stream_response(fw, call, sendings, opened);
            }
            Ok(opened) => match opened.collect(call.time_left()).await {
                Ok(whole) if !whole.status.is_server_error() && may_pass_on(whole.status) => {
                    return pass_on(&fw, &call, &sendings, whole);
                }
                Ok(whole) => {
                    failed = Some(whole);
                    fw.state().endpoints.on_fault(Instant::now(), &endpoint, Fault::Failed);
                    Fault::Failed
                }
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        let next = sendings.on_fault(&fw, &call, endpoint, fault);
        if let RetryDecision::Refuse(_) = next {
            return give_up(&fw, &call, &sendings, failed, fault.name(), DEFAULT_RETRY_AFTER);
        }
    }
}

fn stream_response(
    fw: Arc<Forward>,
    call: Arc<Call>,
    sendings: Sendings,
    opened: Opened,
) -> Response<Body> {
    let status = opened.status;
    let mut headers = forwarded_fields(&opened.headers);
    if call.route.kind == RouteKind::ResumableStream {
        // The stream may be resumed on another endpoint, whose events may differ in length.
        headers.remove(hyper::header::CONTENT_LENGTH);
    }
    let mut response = Response::new(relay(fw, call, sendings, opened));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn pass_on(fw: &Forward, call: &Call, sendings: &Sendings, whole: Whole) -> Response<Body> {
    let outcome = if whole.status.is_server_error() { "endpoint_failed" } else { "answered" };
    let end = RequestEnd {
        outcome,
        status: whole.status.as_u16(),
        cause: "whole",
        endpoint: Some(&whole.endpoint),
        faults: sendings.faults(),
    };
    call.record.answered_bytes();
    call.record.end(call, &end);
    let elapsed = call.arrival.elapsed();
    fw.metrics.record_first_byte(call.route.kind, elapsed);
    fw.metrics.record_whole(call.route.kind, elapsed);
    let mut response = Response::new(full_body(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = forwarded_fields(&whole.headers);
    response
}

/// Responds to a request for which no attempt gave a usable response, stating whether the request
/// may have been executed.
fn give_up(
    fw: &Forward,
    call: &Call,
    sendings: &Sendings,
    failed: Option<Whole>,
    cause: &str,
    wait: Duration,
) -> Response<Body> {
    if let Some(whole) = failed.filter(|whole| may_pass_on(whole.status)) {
        return pass_on(fw, call, sendings, whole);
    }
    let refusal = sendings.plan.refusal(Instant::now());
    let error = match refusal {
        Refusal::NotRun => OwnError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_run",
            format!("the request did not run: {cause}"),
        )
        .with_retry_after(wait.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER)),
        Refusal::Unknown => OwnError::new(
            StatusCode::BAD_GATEWAY,
            "outcome_unknown",
            format!("the request may have run: {cause}"),
        ),
        Refusal::TimedOut => OwnError::new(
            StatusCode::GATEWAY_TIMEOUT,
            "timed_out",
            format!("the request may have run: {cause}"),
        ),
    };
    let end = RequestEnd {
        outcome: error.code,
        status: error.status.as_u16(),
        cause,
        endpoint: None,
        faults: sendings.faults(),
    };
    call.record.end(call, &end);
    error.response()
}

/// Whether an endpoint's status may be forwarded to the caller. Some statuses imply that the
/// request was not executed, which is not certain here.
fn may_pass_on(status: StatusCode) -> bool {
    const PROMISES: [StatusCode; 4] = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    !PROMISES.contains(&status)
}
