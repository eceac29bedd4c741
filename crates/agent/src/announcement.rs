//! What an upstream announces over HTTP, as JSON.

use {
    crate::announced::Announced,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
    std::fmt,
    sycamorerail_wire::message::UpstreamInfo,
};

const MAX_NAME_CHARS: usize = 128;
const MAX_KINDS: usize = 1024;

/// A field of an announcement that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BadAnnouncement {
    pub(crate) field: &'static str,
    pub(crate) detail: String,
}

impl fmt::Display for BadAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.detail)
    }
}

/// Reads and checks the body of `PUT /v1/upstream`.
pub(crate) fn read(body: &[u8]) -> Result<Announced, BadAnnouncement> {
    let mut fields: Map<String, Value> =
        serde_json::from_slice(body).map_err(|err| bad("body", err.to_string()))?;
    let name: String = take(&mut fields, "name")?;
    let address: String = take(&mut fields, "address")?;
    let slots: u16 = take(&mut fields, "slots")?;
    let max_task_bytes: u64 = take(&mut fields, "max_task_bytes")?;
    let kinds: Vec<String> = take(&mut fields, "kinds")?;
    if let Some((unknown, _)) = fields.iter().next() {
        return Err(bad("body", format!("unknown field {unknown:?}")));
    }
    check(is_name(&name), "name", "1 to 128 printable characters")?;
    check(slots > 0, "slots", "at least 1")?;
    check(max_task_bytes > 0, "max_task_bytes", "at least 1")?;
    check((1..=MAX_KINDS).contains(&kinds.len()), "kinds", "1 to 1024 kinds")?;
    check(kinds.iter().all(|kind| is_kind(kind)), "kinds", "organisation/kind, */kind or *")?;
    let base_url = base_url(&address)?;
    Ok(Announced::new(UpstreamInfo { name, slots, max_task_bytes, kinds }, base_url))
}

fn take<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    field: &'static str,
) -> Result<T, BadAnnouncement> {
    let value = fields.remove(field).ok_or_else(|| bad(field, "missing".to_owned()))?;
    serde_json::from_value(value).map_err(|err| bad(field, err.to_string()))
}

fn check(holds: bool, field: &'static str, expected: &str) -> Result<(), BadAnnouncement> {
    if holds { Ok(()) } else { Err(bad(field, format!("expected {expected}"))) }
}

fn bad(field: &'static str, detail: String) -> BadAnnouncement {
    BadAnnouncement { field, detail }
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_CHARS).contains(&name.chars().count()) && !name.chars().any(char::is_control)
}

fn is_kind(kind: &str) -> bool {
    let mut parts = kind.split('/');
    let complete = |part: Option<&str>| part.is_some_and(|part| !part.is_empty());
    kind == "*" || (complete(parts.next()) && complete(parts.next()) && parts.next().is_none())
}

/// A base URL, or an address and port that stand for one.
fn base_url(address: &str) -> Result<reqwest::Url, BadAnnouncement> {
    let text = match address.contains("://") {
        true => address.to_owned(),
        false => format!("http://{address}"),
    };
    let url = reqwest::Url::parse(&text).map_err(|err| bad("address", err.to_string()))?;
    check(url.scheme() == "http" && url.has_host(), "address", "http://IP:port")?;
    Ok(url)
}
