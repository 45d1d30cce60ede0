//! Decoding of completion streams that are complete, truncated, malformed or split at any byte.
//!
//! Guards against taking a truncated stream for a finished completion.

mod common;

use cassiagw_core::ids::WorkspaceId;
use cassiagw_surfaces::{
    engine::{CompletionSpec, EngineClient, EngineError, EngineEvent, SseDecoder, Usage},
    http::HttpClient,
};
use common::serve;
use proptest::{collection::vec, prelude::*};
use std::time::Duration;

/// Timeout of the response head, far above the time that the local server takes.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Case {
    name: &'static str,
    /// Response with placeholders, which [`http_response`] expands.
    response: &'static str,
    /// Expected number of tokens before the outcome.
    tokens: usize,
    outcome: fn(&Result<EngineEvent, EngineError>) -> bool,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const TOKEN: &str = r#"data: {"choices":[{"text":" a","finish_reason":null}]}"#;
const END: &str = concat!(
    r#"data: {"choices":[{"text":"","finish_reason":"length"}],"usage":{"prompt_tokens":9,"#,
    r#""completion_tokens":1,"prompt_tokens_details":{"cached_tokens":4}}}"#,
);
const USAGE: Usage = Usage { prompt_tokens: 9, cached_tokens: 4, completion_tokens: 1 };

fn is_cut(outcome: &Result<EngineEvent, EngineError>) -> bool {
    matches!(outcome, Err(EngineError::Cut(_)))
}

fn is_malformed(outcome: &Result<EngineEvent, EngineError>) -> bool {
    matches!(outcome, Err(EngineError::Malformed(_)))
}

fn is_complete(outcome: &Result<EngineEvent, EngineError>) -> bool {
    outcome == &Ok(EngineEvent::End { reason: "length".into(), usage: USAGE })
}

const CASES: &[Case] = &[
    Case {
        name: "complete",
        response: "{TOKEN}{END}{DONE}{CLOSE}",
        tokens: 1,
        outcome: is_complete,
    },
    Case {
        name: "end event without [DONE]",
        response: "{TOKEN}{END}",
        tokens: 1,
        outcome: is_complete,
    },
    Case { name: "truncated", response: "{TOKEN}{TOKEN}", tokens: 2, outcome: is_cut },
    Case {
        name: "closed without an end event",
        response: "{TOKEN}{CLOSE}",
        tokens: 1,
        outcome: is_cut,
    },
    Case {
        name: "[DONE] without an end event",
        response: "{TOKEN}{DONE}{CLOSE}",
        tokens: 1,
        outcome: is_cut,
    },
    Case { name: "empty", response: "{CLOSE}", tokens: 0, outcome: is_cut },
    Case { name: "invalid JSON", response: "{TOKEN}{BAD}{END}", tokens: 1, outcome: is_malformed },
    Case {
        name: "aborted",
        response: "{TOKEN}{ABORT}{DONE}{CLOSE}",
        tokens: 1,
        outcome: |outcome| outcome == &Err(EngineError::Aborted),
    },
    Case {
        name: "refused",
        response: "{REFUSED}",
        tokens: 0,
        outcome: |outcome| matches!(outcome, Err(EngineError::Refused { status: 404, .. })),
    },
];

/// Expands the placeholders of a case into an HTTP response, with each event as one chunk.
fn http_response(response: &str) -> String {
    if response == "{REFUSED}" {
        return "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".into();
    }
    let chunk = |event: &str| format!("{:x}\r\n{event}\n\n\r\n", event.len() + 2);
    let abort = r#"data: {"choices":[{"text":"","finish_reason":"abort"}]}"#;
    let body = response
        .replace("{TOKEN}", &chunk(TOKEN))
        .replace("{END}", &chunk(END))
        .replace("{DONE}", &chunk("data: [DONE]"))
        .replace("{BAD}", &chunk("data: {\"choices\":"))
        .replace("{ABORT}", &chunk(abort))
        .replace("{CLOSE}", "0\r\n\r\n");
    format!("{HEAD}{body}")
}

/// Reads a completion answered with `response`; returns the number of tokens and the outcome.
async fn read(response: &str) -> (usize, Result<EngineEvent, EngineError>) {
    let bytes: &'static str = http_response(response).leak();
    let client = EngineClient::new(HttpClient::default(), serve(bytes, true).await);
    let spec = CompletionSpec {
        request_id: "a".into(),
        model: "m".into(),
        version: None,
        adapter: None,
        cache_salt: WorkspaceId::from("w"),
        prompt: "x".into(),
        max_tokens: 1,
        priority: 0,
        cache_keys: Vec::new(),
        stream: true,
    };
    let mut stream = match client.start(&spec, TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => return (0, Err(error)),
    };
    let mut tokens = 0;
    loop {
        match stream.next().await {
            Ok(Some(EngineEvent::Token(_))) => tokens += 1,
            Ok(Some(end)) => return (tokens, Ok(end)),
            Ok(None) => panic!("stream ended without an end event"),
            Err(error) => return (tokens, Err(error)),
        }
    }
}

#[tokio::test]
async fn only_an_end_event_completes_a_stream() {
    for Case { name, response, tokens, outcome } in CASES {
        let seen = read(response).await;
        assert!(outcome(&seen.1), "{name}: {seen:?}");
        assert_eq!(seen.0, *tokens, "{name}");
    }
}

/// Feeds the decoder with the bytes, split at `cuts`, and collects the events.
fn decode(bytes: &[u8], cuts: &[prop::sample::Index]) -> Result<Vec<String>, String> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut decoder = SseDecoder::default();
    let mut start = 0;
    let mut events = Vec::new();
    for end in ends {
        events.extend(decoder.feed(&bytes[start..end])?);
        start = end;
    }
    Ok(events)
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_affect_events(
        events in vec("[^\r\n]{0,20}(\n[^\r\n]{0,20})?", 0..8),
        is_crlf in any::<bool>(),
        has_comments in any::<bool>(),
        cuts in vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let end = if is_crlf { "\r\n" } else { "\n" };
        let comment = if has_comments { format!(": keep-alive{end}") } else { String::new() };
        let text: String = events
            .iter()
            .map(|event| {
                let lines: String =
                    event.split('\n').map(|line| format!("data: {line}{end}")).collect();
                format!("{comment}{lines}{end}")
            })
            .collect();
        prop_assert_eq!(decode(text.as_bytes(), &cuts), Ok(events));
    }

    #[test]
    fn chunk_boundaries_do_not_affect_errors(
        bytes in vec(any::<u8>(), 0..300),
        cuts in vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let unsplit = decode(&bytes, &[]);
        let split = decode(&bytes, &cuts);
        prop_assert_eq!(unsplit.is_ok(), split.is_ok());
    }
}
