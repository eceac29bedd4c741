//! Parser for the JSON body of an upstream's announcement.

use {
    crate::announced_upstream::AnnouncedUpstream,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
    std::fmt,
    sycamorerail_wire::message::UpstreamInfo,
};

const MAX_NAME_CHARS: usize = 128;
const MAX_KINDS: usize = 1024;

/// A missing or invalid field of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidAnnouncement {
    pub(crate) field: &'static str,
    pub(crate) detail: String,
}

impl fmt::Display for InvalidAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.detail)
    }
}

/// Parses and validates the body of `PUT /v1/upstream`.
pub(crate) fn parse(body: &[u8]) -> Result<AnnouncedUpstream, InvalidAnnouncement> {
    let mut fields: Map<String, Value> =
        serde_json::from_slice(body).map_err(|err| invalid("body", err.to_string()))?;
    let name: String = take_field(&mut fields, "name")?;
    let address: String = take_field(&mut fields, "address")?;
    let slots: u16 = take_field(&mut fields, "slots")?;
    let max_task_bytes: u64 = take_field(&mut fields, "max_task_bytes")?;
    let kinds: Vec<String> = take_field(&mut fields, "kinds")?;
    if let Some((unknown, _)) = fields.iter().next() {
        return Err(invalid("body", format!("unknown field {unknown:?}")));
    }
    require(is_name(&name), "name", "1 to 128 printable characters")?;
    require(slots > 0, "slots", "at least 1")?;
    require(max_task_bytes > 0, "max_task_bytes", "at least 1")?;
    require((1..=MAX_KINDS).contains(&kinds.len()), "kinds", "1 to 1024 kinds")?;
    require(kinds.iter().all(|kind| is_kind(kind)), "kinds", "organisation/kind, */kind or *")?;
    let base_url = base_url(&address)?;
    Ok(AnnouncedUpstream::new(UpstreamInfo { name, slots, max_task_bytes, kinds }, base_url))
}

fn take_field<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    field: &'static str,
) -> Result<T, InvalidAnnouncement> {
    let value = fields.remove(field).ok_or_else(|| invalid(field, "missing".to_owned()))?;
    serde_json::from_value(value).map_err(|err| invalid(field, err.to_string()))
}

fn require(holds: bool, field: &'static str, expected: &str) -> Result<(), InvalidAnnouncement> {
    if holds { Ok(()) } else { Err(invalid(field, format!("expected {expected}"))) }
}

fn invalid(field: &'static str, detail: String) -> InvalidAnnouncement {
    InvalidAnnouncement { field, detail }
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_CHARS).contains(&name.chars().count()) && !name.chars().any(char::is_control)
}

fn is_kind(kind: &str) -> bool {
    let mut parts = kind.split('/');
    let complete = |part: Option<&str>| part.is_some_and(|part| !part.is_empty());
    kind == "*" || (complete(parts.next()) && complete(parts.next()) && parts.next().is_none())
}

/// Parses the base URL; an address without a scheme stands for an `http` URL.
fn base_url(address: &str) -> Result<reqwest::Url, InvalidAnnouncement> {
    let text = match address.contains("://") {
        true => address.to_owned(),
        false => format!("http://{address}"),
    };
    let url = reqwest::Url::parse(&text).map_err(|err| invalid("address", err.to_string()))?;
    require(url.scheme() == "http" && url.has_host(), "address", "http://IP:port")?;
    Ok(url)
}
