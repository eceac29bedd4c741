//! The records' values, as JSON.

use {
    serde::{
        Deserialize, Deserializer, Serialize,
        de::{DeserializeOwned, Error},
    },
    std::net::SocketAddr,
    sycamorerail_wire::message::AgentIdentity,
};

/// An entry that serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name from the settings.
    pub name: String,
    /// Data centre from the settings.
    pub data_centre: String,
    /// Address for its peers and agents.
    #[serde(deserialize_with = "address")]
    pub inner_address: SocketAddr,
    /// Address for callers and operators.
    pub http_address: SocketAddr,
}

/// An incarnation of an entry that may place work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRecord {
    /// Address for its peers.
    pub inner_address: SocketAddr,
    /// Platform revision up to which it has taken note of retired agents: it
    /// uses none that were retired at or before it.
    pub seen: u64,
}

/// An agent that was registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Who it is.
    #[serde(flatten)]
    pub agent: AgentIdentity,
    /// When it was registered, by the registering entry's clock.
    pub registered_unix_ms: u64,
    /// No entry uses it any more; the record stays until nothing it may have
    /// started can be asked for.
    #[serde(default)]
    pub retired: bool,
}

/// A fenced incarnation of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// When it was fenced, by the fencing entry's clock.
    pub fenced_unix_ms: u64,
    /// The roster is not whole for it: an agent that it may still have used
    /// was deleted. Nothing can be concluded from silence any more.
    #[serde(default)]
    pub silent: bool,
}

/// An operator's word on a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// It gets no new work; else it was taken back.
    pub evacuated: bool,
    /// Identity of the call that said so.
    pub change_id: String,
    /// Operator.
    pub changed_by: String,
    /// When, by the clock of the entry that wrote it.
    pub changed_unix_ms: u64,
}

/// Reads an address that can be dialled: with port 0 it names no entry.
fn address<'de, D: Deserializer<'de>>(field: D) -> Result<SocketAddr, D::Error> {
    let address = SocketAddr::deserialize(field)?;
    if address.port() == 0 { Err(Error::custom("port 0")) } else { Ok(address) }
}

/// Writes a record's value.
#[must_use]
pub fn to_json(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("records are plain structs with text keys")
}

/// Reads a record's value; `None` if it is none of that kind.
#[must_use]
pub fn from_json<R: DeserializeOwned>(value: &str) -> Option<R> {
    serde_json::from_str(value).ok()
}
