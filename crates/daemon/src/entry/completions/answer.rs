use super::run::Part;
use crate::entry::http::{ApiError, Body, ErrorCode, StreamCut, full_body};
use bytes::Bytes;
use cassiagw_rpc::Ran;
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
pub async fn whole_answer(
    id: &str,
    model: &str,
    first: Part,
    mut parts: mpsc::Receiver<Part>,
) -> Result<Response<Body>, ApiError> {
    let mut text = Vec::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            Part::Tokens(tokens) => text.extend(tokens),
            Part::Failed(error) => return Err(error),
            Part::Finished { reason, prompt_tokens, computed_tokens } => {
                let document = json!({
                    "id": id,
                    "object": "text_completion",
                    "model": model,
                    "choices": [{"index": 0, "text": text.concat(), "finish_reason": reason}],
                    "usage": usage(prompt_tokens, computed_tokens, text.len()),
                });
                return Ok(with_type(full_body(document.to_string()), "application/json"));
            }
        }
        next = parts.recv().await;
    }
    Err(cut())
}

/// Streams the parts as server-sent events, one for each token.
///
/// A complete response ends with `[DONE]`. A failed one ends with an error event, after which the
/// body is aborted.
pub fn streamed_answer(
    id: &str,
    model: &str,
    first: Part,
    parts: mpsc::Receiver<Part>,
) -> Response<Body> {
    let (id, model) = (id.to_owned(), model.to_owned());
    let parts = stream::iter([first]).chain(receiver_stream(parts));
    let mut produced = 0;
    let mut is_whole = false;
    let events = parts
        .map(Some)
        .chain(stream::once(end_of_parts()))
        .map(move |part| match part {
            Some(Part::Tokens(tokens)) => {
                produced += tokens.len();
                vec![Ok(token_events(&id, &model, &tokens))]
            }
            Some(Part::Finished { reason, prompt_tokens, computed_tokens }) => {
                is_whole = true;
                let usage = usage(prompt_tokens, computed_tokens, produced);
                vec![Ok(end_event(&id, &model, &reason, &usage))]
            }
            Some(Part::Failed(error)) => vec![Ok(event(&error.document()))],
            None if is_whole => Vec::new(),
            None => vec![Err(StreamCut)],
        })
        .flat_map(stream::iter)
        .map(|text| text.map(|text| Frame::data(Bytes::from(text))));
    with_type(BodyExt::boxed(StreamBody::new(events)), "text/event-stream")
}

/// Marks the end of the parts after the connection had a chance to flush: aborting the body
/// discards unsent data, which would include the error event.
async fn end_of_parts() -> Option<Part> {
    yield_now().await;
    None
}

fn receiver_stream(parts: mpsc::Receiver<Part>) -> impl Stream<Item = Part> + Send {
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

fn usage(prompt_tokens: u32, computed_tokens: u32, produced: usize) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": produced,
        "prompt_tokens_details": {"cached_tokens": prompt_tokens.saturating_sub(computed_tokens)},
    })
}

fn with_type(body: Body, content_type: &'static str) -> Response<Body> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn cut() -> ApiError {
    ApiError::new(
        StatusCode::BAD_GATEWAY,
        ErrorCode::EndpointFailed,
        "the response ended before its final part",
    )
    .with_ran(Ran::Unknown)
}
