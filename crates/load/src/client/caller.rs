use super::{CompletionResult, OrderResult};
use cassiagw_surfaces::{
    engine::SseDecoder,
    http::{HttpClient, HttpLimits, HttpRequest},
};
use http_body_util::BodyExt;
use hyper::{
    Method, Response,
    body::Incoming,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Timeout from the call until the response head of an event stream, or until the end of any other
/// response. The body of a stream has no timeout.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections kept per server.
const IDLE_CONNECTIONS: usize = 256;
/// Header that carries the caller's idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Parameters of a completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Bearer token that authenticates the caller.
    pub token: String,
    /// Name of the requested model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Request priority: `interactive` or `batch`.
    pub priority: String,
}

/// Parameters of a plain service call.
#[derive(Clone, Debug)]
pub struct OrderCall {
    /// Bearer token that authenticates the caller.
    pub token: String,
    /// Name of the plain service.
    pub service: String,
    /// Request path at the service, with a leading slash.
    pub path: String,
    /// Idempotency key; `None` if the call must not be retried.
    pub key: Option<String>,
    /// JSON request body.
    pub body: Value,
}

/// HTTP client of a caller. Clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
}

impl Default for Caller {
    fn default() -> Self {
        let limits = HttpLimits {
            response_timeout: ANSWER_TIMEOUT,
            max_idle_connections: IDLE_CONNECTIONS,
            ..HttpLimits::default()
        };
        Self { http: HttpClient::new(limits) }
    }
}

impl Caller {
    /// Requests a streamed completion from an entry and reads the stream to its end.
    pub async fn complete(&self, entry: SocketAddr, call: &CompletionCall) -> CompletionResult {
        let document = json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "stream": true,
        });
        let req = with_token(HttpRequest::new_json("/v1/completions", &document), &call.token);
        self.stream(entry, req).await
    }

    /// Sends a request whose response is a completion event stream and reads the stream to its end.
    pub async fn stream(&self, address: SocketAddr, req: HttpRequest) -> CompletionResult {
        let started = Instant::now();
        let mut result = CompletionResult::default();
        match self.http.open(address, req).await {
            Ok(response) => read_answer(response, started, &mut result).await,
            Err(error) => result.error = Some(error.to_string()),
        }
        result.total = started.elapsed();
        result
    }

    /// Calls a plain service through an entry.
    pub async fn order(&self, entry: SocketAddr, call: &OrderCall) -> OrderResult {
        let started = Instant::now();
        let path = format!("/v1/services/{}{}", call.service, call.path);
        let mut req = HttpRequest::new(Method::POST, path).with_body(call.body.to_string());
        if let Some(key) = &call.key {
            let value = HeaderValue::from_str(key).expect("keys are plain text");
            req = req.with_header(IDEMPOTENCY_KEY, value);
        }
        let answer = self.http.call(entry, with_token(req, &call.token)).await;
        let total = started.elapsed();
        let Ok(answer) = answer else {
            return OrderResult { total, ..OrderResult::default() };
        };
        let not_run =
            answer.json::<Value>().ok().and_then(|body| body["error"]["not_run"].as_bool());
        OrderResult {
            status: Some(answer.status.as_u16()),
            not_run,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            total,
        }
    }
}

fn with_token(req: HttpRequest, token: &str) -> HttpRequest {
    let value = HeaderValue::from_str(&format!("Bearer {token}")).expect("tokens are plain text");
    req.with_header(AUTHORIZATION, value)
}

async fn read_answer(
    response: Response<Incoming>,
    started: Instant,
    result: &mut CompletionResult,
) {
    let status = response.status();
    result.status = Some(status.as_u16());
    let mut body = response.into_body();
    if !status.is_success() {
        let text = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        read_error(&serde_json::from_slice(&text).unwrap_or_default(), result);
        return;
    }
    let mut decoder = SseDecoder::default();
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        let Ok(events) = decoder.feed(&data) else { return };
        events.iter().for_each(|event| read_event(event, started, result));
    }
}

fn read_event(event: &str, started: Instant, result: &mut CompletionResult) {
    if event == "[DONE]" {
        result.is_whole = result.error.is_none();
        return;
    }
    let event: Value = serde_json::from_str(event).unwrap_or_default();
    if !event["error"].is_null() {
        read_error(&event, result);
    }
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    if !text.is_empty() {
        result.first_token.get_or_insert_with(|| started.elapsed());
        result.text.push_str(text);
    }
    let usage = &event["usage"];
    if let Some(tokens) = usage["prompt_tokens"].as_u64() {
        result.prompt_tokens = tokens;
        result.cached_tokens =
            usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or_default();
    }
}

fn read_error(document: &Value, result: &mut CompletionResult) {
    let error = &document["error"];
    result.error = Some(error["code"].as_str().unwrap_or("unreadable").to_owned());
    result.not_run = error["not_run"].as_bool();
}
