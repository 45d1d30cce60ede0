use super::caller_token;
use cassiagw_surfaces::{
    engine::SseDecoder,
    http::{HttpClient, HttpLimits, HttpRequest},
};
use http_body_util::BodyExt;
use hyper::{
    Method,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Timeout of any response; far longer than a healthy run takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Response of an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Tokens of a streamed completion.
    pub tokens: Vec<String>,
    /// Whether the response was complete: the end marker of a stream or a JSON response arrived.
    pub is_whole: bool,
    /// Last JSON document of the response, or the text of the client's error.
    pub document: Value,
}

impl Answer {
    /// Error code; empty if there is none.
    pub fn code(&self) -> &str {
        self.document["error"]["code"].as_str().unwrap_or_default()
    }

    /// Whether the response states that the request did not run; `None` if it does not say.
    pub fn not_run(&self) -> Option<bool> {
        self.document["error"]["not_run"].as_bool()
    }
}

/// HTTP client of a caller or an operator.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
}

impl Default for Client {
    fn default() -> Self {
        let limits = HttpLimits { response_timeout: ANSWER_TIMEOUT, ..HttpLimits::default() };
        Self { http: HttpClient::new(limits) }
    }
}

impl Client {
    /// Sends a request with a bearer token and reads a JSON response.
    pub async fn send(&self, address: SocketAddr, token: &str, req: HttpRequest) -> Answer {
        let value = HeaderValue::from_str(&format!("Bearer {token}")).expect("plain text");
        match self.http.call(address, req.with_header(AUTHORIZATION, value)).await {
            Ok(answer) => Answer {
                status: answer.status.as_u16(),
                document: answer.json().unwrap_or_default(),
                is_whole: true,
                ..Answer::default()
            },
            Err(error) => Answer { document: json!(error.to_string()), ..Answer::default() },
        }
    }

    /// Requests a streamed completion as a workspace's caller and reads it to its end.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        workspace: &str,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Answer {
        let document = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let token = HeaderValue::from_str(&format!("Bearer {}", caller_token(workspace)));
        let req = HttpRequest::new_json("/v1/completions", &document)
            .with_header(AUTHORIZATION, token.expect("plain text"));
        let mut answer = Answer::default();
        let Ok(response) = self.http.open(entry, req).await else { return answer };
        answer.status = response.status().as_u16();
        let mut body = response.into_body();
        let mut decoder = SseDecoder::default();
        let mut received = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.into_data().unwrap_or_default();
            received.extend_from_slice(&data);
            let events = decoder.feed(&data).expect("events are readable");
            events.iter().for_each(|event| read_event(event, &mut answer));
        }
        if answer.status != 200 {
            answer.document = serde_json::from_slice(&received).unwrap_or_default();
        }
        answer
    }

    /// Calls a plain service as a workspace's caller, with an optional idempotency key.
    pub async fn order(
        &self,
        entry: SocketAddr,
        workspace: &str,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Answer {
        let mut req = HttpRequest::new(Method::POST, path).with_body(body.to_string());
        if let Some(key) = key {
            let name = HeaderName::from_static("idempotency-key");
            req = req.with_header(name, HeaderValue::from_str(key).expect("plain text"));
        }
        self.send(entry, &caller_token(workspace), req).await
    }
}

fn read_event(event: &str, answer: &mut Answer) {
    if event == "[DONE]" {
        answer.is_whole = true;
        return;
    }
    answer.document = serde_json::from_str(event).unwrap_or_default();
    let text = answer.document["choices"][0]["text"].as_str().unwrap_or_default();
    answer.tokens.extend(text.split_whitespace().map(str::to_owned));
}
