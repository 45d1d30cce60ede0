use super::run::ResponsePart;
use crate::entry::http::{ApiError, Body, ErrorCode, IncompleteBody, full_body};
use bytes::Bytes;
use cassiagw_rpc::RunStatus;
use futures::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::json;
use tokio::{sync::mpsc, task::yield_now};

/// Collects all parts into one JSON response.
///
/// # Errors
/// The run failed or ended without its final part.
pub async fn json_response(
    id: &str,
    model: &str,
    first: ResponsePart,
    mut parts: mpsc::Receiver<ResponsePart>,
) -> Result<Response<Body>, ApiError> {
    let mut text = Vec::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            ResponsePart::Tokens(tokens) => text.extend(tokens),
            ResponsePart::Failed(error) => return Err(error),
            ResponsePart::Finished { reason, prompt_tokens, computed_tokens } => {
                let document = json!({
                    "id": id,
                    "object": "text_completion",
                    "model": model,
                    "choices": [{"index": 0, "text": text.concat(), "finish_reason": reason}],
                    "usage": usage(prompt_tokens, computed_tokens, text.len()),
                });
                return Ok(with_content_type(full_body(document.to_string()), "application/json"));
            }
        }
        next = parts.recv().await;
    }
    Err(incomplete_response())
}

/// Streams the parts as server-sent events, one for each token.
///
/// A complete response ends with `[DONE]`. A failed one ends with an error event, after which the
/// body is aborted.
pub fn event_stream_response(
    id: &str,
    model: &str,
    first: ResponsePart,
    parts: mpsc::Receiver<ResponsePart>,
) -> Response<Body> {
    let (id, model) = (id.to_owned(), model.to_owned());
    let parts = stream::iter([first]).chain(receiver_stream(parts));
    let mut completion_tokens = 0;
    let mut is_complete = false;
    let events = parts
        .map(Some)
        .chain(stream::once(end_of_parts()))
        .map(move |part| match part {
            Some(ResponsePart::Tokens(tokens)) => {
                completion_tokens += tokens.len();
                vec![Ok(token_events(&id, &model, &tokens))]
            }
            Some(ResponsePart::Finished { reason, prompt_tokens, computed_tokens }) => {
                is_complete = true;
                let usage = usage(prompt_tokens, computed_tokens, completion_tokens);
                vec![Ok(end_event(&id, &model, &reason, &usage))]
            }
            Some(ResponsePart::Failed(error)) => vec![Ok(event(&error.document()))],
            None if is_complete => Vec::new(),
            None => vec![Err(IncompleteBody)],
        })
        .flat_map(stream::iter)
        .map(|text| text.map(|text| Frame::data(Bytes::from(text))));
    with_content_type(BodyExt::boxed(StreamBody::new(events)), "text/event-stream")
}

/// Marks the end of the parts after the connection had a chance to flush: aborting the body
/// discards unsent data, which would include the error event.
async fn end_of_parts() -> Option<ResponsePart> {
    yield_now().await;
    None
}

fn receiver_stream(parts: mpsc::Receiver<ResponsePart>) -> impl Stream<Item = ResponsePart> + Send {
    stream::unfold(parts, |mut parts| async move { Some((parts.recv().await?, parts)) })
}

fn token_events(id: &str, model: &str, tokens: &[String]) -> String {
    let token_event = |token: &String| {
        event(
            &json!({
                "id": id,
                "object": "text_completion",
                "model": model,
                "choices": [{"index": 0, "text": token, "finish_reason": null}],
            })
            .to_string(),
        )
    };
    tokens.iter().map(token_event).collect()
}

fn end_event(id: &str, model: &str, reason: &str, usage: &serde_json::Value) -> String {
    let last = json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{"index": 0, "text": "", "finish_reason": reason}],
        "usage": usage,
    });
    event(&last.to_string()) + &event("[DONE]")
}

fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn usage(prompt_tokens: u32, computed_tokens: u32, completion_tokens: usize) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "prompt_tokens_details": {"cached_tokens": prompt_tokens.saturating_sub(computed_tokens)},
    })
}

fn with_content_type(body: Body, content_type: &'static str) -> Response<Body> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn incomplete_response() -> ApiError {
    ApiError::new(
        StatusCode::BAD_GATEWAY,
        ErrorCode::EndpointFailed,
        "the response ended before its final part",
    )
    .with_ran(RunStatus::Unknown)
}
