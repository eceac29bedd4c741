//! Bodies of the JSON form of etcd's version 3 API, of which a part is used.
//!
//! Keys and values are base64, 64-bit integers are strings, and fields with
//! their default are left out of answers.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
};

/// A 64-bit integer, written as a string and read as a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub u64);

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

/// Text, carried as base64 of its UTF-8 bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Text(pub String);

impl Serialize for Text {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(encoded).map_err(D::Error::custom)?;
        String::from_utf8(bytes).map(Self).map_err(D::Error::custom)
    }
}

/// The first key beyond a range, as base64; it need not be text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End(Vec<u8>);

impl Serialize for End {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl End {
    /// The end of the range of all keys with this prefix: its last byte raised
    /// by one, and `\0`, which means all keys, where there is none to raise.
    pub(crate) fn of(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        let Some(last) = end.last_mut() else { return Self(vec![0]) };
        // No byte of UTF-8 is 0xff.
        *last += 1;
        Self(end)
    }
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub key: Text,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<End>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default)]
    pub revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Kv {
    pub key: Text,
    pub value: Text,
    pub create_revision: Int,
    pub mod_revision: Int,
    pub lease: Int,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    // Absent inside of transactions' answers.
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<Kv>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub target: Target,
    pub result: &'static str,
    pub key: Text,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Target {
    Create,
    Mod,
}

impl Compare {
    pub(crate) fn absent(key: &str) -> Self {
        Self {
            target: Target::Create,
            result: "EQUAL",
            key: Text(key.to_owned()),
            create_revision: Some(Int(0)),
            mod_revision: None,
        }
    }

    pub(crate) fn modified(key: &str, revision: u64) -> Self {
        Self {
            target: Target::Mod,
            result: "EQUAL",
            key: Text(key.to_owned()),
            create_revision: None,
            mod_revision: Some(Int(revision)),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub key: Text,
    pub value: Text,
    pub lease: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct DeleteRequest {
    pub key: Text,
}

#[derive(Debug, Serialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct OperationResponse {
    #[serde(default, alias = "responseRange")]
    pub response_range: Option<RangeResponse>,
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub ttl_s: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub id: Int,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Int,
    // Left out of a keep-alive's answer when the lease is gone.
    #[serde(rename = "TTL", default)]
    pub ttl_s: Int,
}

/// One item of a streamed answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Streamed<T> {
    pub result: T,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub key: Text,
    pub range_end: End,
    pub start_revision: Int,
    pub progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    pub compact_revision: Int,
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub kind: WatchEventKind,
    pub kv: Kv,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum WatchEventKind {
    #[default]
    Put,
    Delete,
}
