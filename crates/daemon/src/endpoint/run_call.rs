use super::streams::StreamBuffer;
use cassiagw_rpc::{End, HttpAnswer, Ran};
use cassiagw_surfaces::{
    http::{HttpAnswer as PlatformAnswer, HttpError},
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
        Ok(answer) => End::Answer(answer_of(answer)),
        Err(error) => failure_of(&error),
    };
    stream.finish(end);
}

fn answer_of(answer: PlatformAnswer) -> HttpAnswer {
    let content_type = answer.headers.get(CONTENT_TYPE);
    HttpAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: answer.body.to_vec(),
    }
}

fn failure_of(error: &HttpError) -> End {
    let ran = if error.is_not_sent() { Ran::NotRun } else { Ran::Unknown };
    End::Failed { ran, message: error.to_string() }
}
