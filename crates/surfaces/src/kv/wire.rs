//! Messages of the etcd v3 JSON gateway in the JSON mapping of Protocol Buffers: 64-bit integers
//! are decimal strings, bytes are Base64, and fields with their default value are omitted.

use cassiagw_core::ledger::{Compare, KvPair, KvRange, Op, OpReply, RangeReply, Txn, TxnReply};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::{DisplayFromStr, base64::Base64, serde_as};

/// Bytes in the JSON encoding of the gateway, which is Base64.
#[serde_as]
#[derive(Serialize)]
#[serde(transparent)]
struct Bytes<'a>(#[serde_as(as = "Base64")] &'a [u8]);

fn bytes(content: impl AsRef<[u8]>) -> Value {
    serde_json::to_value(Bytes(content.as_ref())).expect("Base64 text serializes to JSON")
}

pub fn range_request(range: &KvRange) -> Value {
    json!({
        "key": bytes(&range.key),
        "range_end": bytes(range.end.as_deref().unwrap_or_default()),
        "limit": range.limit.unwrap_or(0).to_string(),
    })
}

pub fn txn_request(txn: &Txn) -> Value {
    json!({
        "compare": txn.compare.iter().map(compare).collect::<Vec<_>>(),
        "success": txn.success.iter().map(op).collect::<Vec<_>>(),
        "failure": txn.failure.iter().map(op).collect::<Vec<_>>(),
    })
}

pub fn watch_request(range: &KvRange, start_revision: u64) -> Value {
    json!({ "create_request": {
        "key": bytes(&range.key),
        "range_end": bytes(range.end.as_deref().unwrap_or_default()),
        "start_revision": start_revision.to_string(),
    }})
}

fn compare(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => {
            json!({"key": bytes(key), "target": "VERSION", "result": "EQUAL", "version": "0"})
        }
        Compare::Present(key) => {
            json!({"key": bytes(key), "target": "VERSION", "result": "GREATER", "version": "0"})
        }
        Compare::ModifiedAt(key, revision) => json!({
            "key": bytes(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
    }
}

fn op(op: &Op) -> Value {
    match op {
        Op::Put { key, value, lease } => json!({ "request_put": {
            "key": bytes(key),
            "value": bytes(value),
            "lease": lease.unwrap_or(0).to_string(),
        }}),
        Op::Range(range) => json!({ "request_range": range_request(range) }),
        Op::Delete(range) => json!({ "request_delete_range": range_request(range) }),
    }
}

#[serde_as]
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

#[serde_as]
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct Pair {
    #[serde_as(as = "Base64")]
    key: Vec<u8>,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    mod_revision: u64,
}

impl From<Pair> for KvPair {
    fn from(pair: Pair) -> Self {
        let key = String::from_utf8_lossy(&pair.key).into_owned();
        Self { key, value: pair.value, mod_revision: pair.mod_revision }
    }
}

#[serde_as]
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    header: Header,
    kvs: Vec<Pair>,
    #[serde_as(as = "DisplayFromStr")]
    count: u64,
}

impl From<RangeResponse> for RangeReply {
    fn from(response: RangeResponse) -> Self {
        Self {
            revision: response.header.revision,
            pairs: response.kvs.into_iter().map(KvPair::from).collect(),
            count: response.count,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<OpResponse>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct OpResponse {
    #[serde(alias = "responseRange")]
    response_range: Option<RangeResponse>,
}

impl From<TxnResponse> for TxnReply {
    fn from(response: TxnResponse) -> Self {
        let reply = |op: OpResponse| match op.response_range {
            Some(range) => OpReply::Range(range.into()),
            None => OpReply::Done,
        };
        Self {
            succeeded: response.succeeded,
            revision: response.header.revision,
            replies: response.responses.into_iter().map(reply).collect(),
        }
    }
}

#[serde_as]
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live in seconds; 0 in a reply to a keepalive if the lease no longer exists.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl_s: i64,
}

/// One JSON document of a streamed response.
#[derive(Deserialize)]
pub struct StreamResult<T> {
    pub result: T,
}

#[serde_as]
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    pub header: Header,
    pub canceled: bool,
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: u64,
    pub events: Vec<EventMessage>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub struct EventMessage {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: Pair,
}
