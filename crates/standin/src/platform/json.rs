//! Bodies of the JSON form of etcd's version 3 API. Fields with their default
//! are left out of answers, as the original does; unknown ones are refused.

use {
    super::store::{
        Compare, Event, Item, KeyRange, Operation, OperationAnswer, Relation, Target, Txn,
        TxnAnswer,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
};

/// A 64-bit integer, written as a string, read as a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Int(pub u64);

impl Int {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(u64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// Bytes, as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Base64(pub Vec<u8>);

impl Base64 {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RangeRequest {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
}

impl RangeRequest {
    pub(super) fn range(&self) -> KeyRange {
        KeyRange { key: self.key.0.clone(), end: self.range_end.0.clone() }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct PutRequest {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct DeleteRequest {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) enum OperationRequest {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRequest),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum TargetName {
    #[default]
    Version,
    Create,
    Mod,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum ResultName {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct CompareRequest {
    pub key: Base64,
    pub target: TargetName,
    pub result: ResultName,
    pub version: Int,
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TxnRequest {
    pub compare: Vec<CompareRequest>,
    pub success: Vec<OperationRequest>,
    pub failure: Vec<OperationRequest>,
}

impl From<TxnRequest> for Txn {
    fn from(request: TxnRequest) -> Self {
        let operations =
            |steps: Vec<OperationRequest>| steps.into_iter().map(Operation::from).collect();
        Self {
            compare: request.compare.into_iter().map(Compare::from).collect(),
            success: operations(request.success),
            failure: operations(request.failure),
        }
    }
}

impl From<OperationRequest> for Operation {
    fn from(request: OperationRequest) -> Self {
        match request {
            OperationRequest::Put(put) => {
                Self::Put { key: put.key.0, value: put.value.0, lease: put.lease.0 }
            }
            OperationRequest::Delete(delete) => {
                Self::Delete(KeyRange { key: delete.key.0, end: delete.range_end.0 })
            }
            OperationRequest::Range(range) => Self::Range(range.range()),
        }
    }
}

impl From<CompareRequest> for Compare {
    fn from(request: CompareRequest) -> Self {
        let target = match request.target {
            TargetName::Version => Target::Version(request.version.0),
            TargetName::Create => Target::Create(request.create_revision.0),
            TargetName::Mod => Target::Mod(request.mod_revision.0),
        };
        let relation = match request.result {
            ResultName::Equal => Relation::Equal,
            ResultName::Greater => Relation::Greater,
            ResultName::Less => Relation::Less,
            ResultName::NotEqual => Relation::NotEqual,
        };
        Self { key: request.key.0, target, relation }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub ttl_s: Int,
    // A lease number of the caller's choice is not offered: only 0 is taken.
    #[serde(rename = "ID")]
    pub id: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub id: Int,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct WatchCreate {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

#[derive(Debug, Serialize)]
pub(super) struct Header {
    pub revision: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct Kv {
    pub key: Base64,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    pub mod_revision: Int,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

impl From<Item> for Kv {
    fn from(item: Item) -> Self {
        Self {
            key: Base64(item.key),
            create_revision: Int(item.create_revision),
            mod_revision: Int(item.mod_revision),
            version: Int(item.version),
            value: Base64(item.value),
            lease: Int(item.lease),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct RangeResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<Kv>,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub count: Int,
}

impl RangeResponse {
    pub(super) fn new(revision: u64, items: Vec<Item>) -> Self {
        let kvs: Vec<Kv> = items.into_iter().map(Kv::from).collect();
        let count = Int(kvs.len() as u64);
        Self { header: Header { revision: Int(revision) }, kvs, count }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct PutResponse {
    pub header: Header,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub deleted: Int,
}

#[derive(Debug, Serialize)]
pub(super) enum OperationResponse {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<OperationResponse>,
}

impl From<TxnAnswer> for TxnResponse {
    fn from(answer: TxnAnswer) -> Self {
        let revision = answer.revision;
        let header = || Header { revision: Int(revision) };
        let response = |step: OperationAnswer| match step {
            OperationAnswer::Put => OperationResponse::Put(PutResponse { header: header() }),
            OperationAnswer::Delete(deleted) => OperationResponse::Delete(DeleteResponse {
                header: header(),
                deleted: Int(deleted as u64),
            }),
            OperationAnswer::Range(items) => {
                OperationResponse::Range(RangeResponse::new(revision, items))
            }
        };
        let responses = answer.answers.into_iter().map(response).collect();
        Self { header: header(), succeeded: answer.succeeded, responses }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseResponse {
    pub header: Header,
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl_s: Int,
}

/// One item of a streamed answer.
#[derive(Debug, Serialize)]
pub(super) struct Streamed<T> {
    pub result: T,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub compact_revision: Int,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

impl WatchResponse {
    pub(super) fn new(revision: u64) -> Self {
        Self {
            header: Header { revision: Int(revision) },
            created: false,
            canceled: false,
            compact_revision: Int(0),
            events: Vec::new(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    pub kv: Kv,
}

impl From<Event> for WatchEvent {
    fn from(event: Event) -> Self {
        if let Some(item) = event.item {
            return Self { kind: None, kv: Kv::from(item) };
        }
        let kv = Kv {
            key: Base64(event.key),
            create_revision: Int(0),
            mod_revision: Int(event.revision),
            version: Int(0),
            value: Base64::default(),
            lease: Int(0),
        };
        Self { kind: Some("DELETE"), kv }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct ErrorResponse<'a> {
    pub code: u32,
    pub message: &'a str,
}
