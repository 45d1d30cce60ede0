//! Helpers shared by the stand-in tests.

use base64::{Engine, prelude::BASE64_STANDARD};
use cassiagw_surfaces::http::{HttpClient, HttpRequest, HttpResponse};
use serde_json::Value;
use std::net::SocketAddr;

/// Posts a JSON document after base64-encoding it with [`encode_base64`]; panics if the call fails.
pub async fn post(address: SocketAddr, path: &str, document: Value) -> HttpResponse {
    HttpClient::default()
        .call(address, HttpRequest::new_json(path, &encode_base64(document)))
        .await
        .unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Replaces each string that starts with `@` by the base64 encoding of the rest.
pub fn encode_base64(document: Value) -> Value {
    match document {
        Value::String(text) => match text.strip_prefix('@') {
            Some(plain) => Value::String(BASE64_STANDARD.encode(plain)),
            None => Value::String(text),
        },
        Value::Array(items) => items.into_iter().map(encode_base64).collect(),
        Value::Object(members) => {
            Value::Object(members.into_iter().map(|(name, v)| (name, encode_base64(v))).collect())
        }
        other => other,
    }
}
