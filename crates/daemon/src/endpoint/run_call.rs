use super::streams::StreamBuffer;
use cassiagw_rpc::{RunStatus, ServiceResponse, StreamEnd};
use cassiagw_surfaces::{
    http::{HttpError, HttpResponse},
    service::{ServiceCall, ServiceClient},
};
use hyper::header::CONTENT_TYPE;
use std::time::Duration;

/// Makes one call to the plain service and ends the stream with its outcome.
pub async fn run_call(
    client: &ServiceClient,
    call: ServiceCall,
    limit: Duration,
    stream: &StreamBuffer,
) {
    let end = match client.call(call, limit).await {
        Ok(answer) => StreamEnd::Answer(answer_of(answer)),
        Err(error) => failure_of(&error),
    };
    stream.finish(end);
}

fn answer_of(answer: HttpResponse) -> ServiceResponse {
    let content_type = answer.headers.get(CONTENT_TYPE);
    ServiceResponse {
        status: answer.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: answer.body.to_vec(),
    }
}

fn failure_of(error: &HttpError) -> StreamEnd {
    let ran = if error.is_not_sent() { RunStatus::NotRun } else { RunStatus::Unknown };
    StreamEnd::Failed { ran, message: error.to_string() }
}
