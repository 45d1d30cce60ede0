use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, PickFirst, base64::Base64, serde_as, skip_serializing_none};

/// Response header of etcd; cluster, member and Raft term are always 1.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    #[serde_as(as = "DisplayFromStr")]
    pub cluster_id: u64,
    #[serde_as(as = "DisplayFromStr")]
    pub member_id: u64,
    #[serde_as(as = "DisplayFromStr")]
    pub revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    pub raft_term: u64,
}

impl Header {
    pub fn new(revision: i64) -> Self {
        Self { cluster_id: 1, member_id: 1, revision, raft_term: 1 }
    }
}

/// Key-value pair; fields with the value zero are omitted, as etcd's JSON gateway does.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct KeyValue {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub version: i64,
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// `POST /v3/kv/range`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub limit: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub revision: i64,
    pub keys_only: bool,
    pub count_only: bool,
}

#[serde_as]
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub count: i64,
}

/// `POST /v3/kv/put`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub lease: i64,
    pub prev_kv: bool,
}

#[skip_serializing_none]
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    pub header: Header,
    pub prev_kv: Option<KeyValue>,
}

/// `POST /v3/kv/deleterange`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    pub prev_kv: bool,
}

#[serde_as]
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteRangeResponse {
    pub header: Header,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub deleted: i64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyValue>,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    pub result: CompareResult,
    pub target: CompareTarget,
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub version: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub create_revision: i64,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub mod_revision: i64,
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub lease: i64,
}

#[derive(Clone, Debug, Deserialize)]
pub enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRangeRequest),
    #[serde(rename = "request_txn")]
    Txn(TxnRequest),
}

#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
    #[serde(rename = "response_txn")]
    Txn(TxnResponse),
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// `POST /v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke`, `/v3/lease/timetolive`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl: i64,
    pub keys: bool,
}

#[serde_as]
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseResponse {
    pub header: Header,
    #[serde(rename = "ID", skip_serializing_if = "is_zero")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    #[serde(rename = "TTL", skip_serializing_if = "is_zero")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
    #[serde(rename = "grantedTTL", skip_serializing_if = "is_zero")]
    #[serde_as(as = "DisplayFromStr")]
    pub granted_ttl: i64,
    #[serde_as(as = "Vec<Base64>")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Vec<u8>>,
}

/// `POST /v3/kv/compaction`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct CompactionRequest {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub revision: i64,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchRequest {
    pub create_request: WatchCreateRequest,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub start_revision: i64,
    pub progress_notify: bool,
    pub prev_kv: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventType {
    #[default]
    Put,
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

#[skip_serializing_none]
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    pub kv: KeyValue,
    pub prev_kv: Option<KeyValue>,
}

#[serde_as]
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub cancel_reason: &'static str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// One message of a streamed response.
#[derive(Clone, Debug, Serialize)]
pub struct Streamed<T> {
    pub result: T,
}

fn is_zero(value: &i64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}
