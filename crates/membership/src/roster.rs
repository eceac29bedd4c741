//! A plain roster of entries: each keeps its address in the platform under a
//! lease, for whoever has to dial it. Nothing but dialling depends on it.

use {
    crate::lease_key::hold_key,
    std::{collections::BTreeSet, net::SocketAddr},
    sycamorerail_platform::{KeyValue, Mirror, Platform, backoff::jittered},
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::EntryAddress,
    tokio::time::sleep,
};

/// Prefix of the entries' addresses.
const PREFIX: &str = "sycamorerail/roster/";
/// A lease lasts so many of the platform's shortest ones: entries that lost
/// theirs in an outage write anew, and one that died goes in a few seconds.
const SHORTEST_LEASES: u32 = 3;
/// Pause between polls beside the watch.
const POLL_MS: u32 = 3_000;
/// First and longest pause between two readings of an agent that is linked to no entry.
///
/// After a loss of power everywhere the three entries that an agent was told of may be
/// the last to come back: the first link was made 300 ms after entries and agents were
/// up, while callers' requests waited.
const SEARCH_PAUSE_MS: (u64, u64) = (100, 1_500);

/// What an entry knows of the entries in the platform's roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The entries, this one among them.
    pub entries: Vec<EntryAddress>,
    /// Whether the roster was read in this process. Otherwise, a missing address tells nothing.
    pub is_read: bool,
}

/// Keeps an entry's address and data centre in the roster, and tells of all entries there.
pub fn announce(
    platform: &Platform,
    own: EntryAddress,
    shortest_lease_ms: u32,
    on_change: impl Fn(Roster) + Send + 'static,
) {
    let lease_ms = shortest_lease_ms * SHORTEST_LEASES;
    let key = format!("{PREFIX}{}", own.address);
    let value = format!("{} {}", own.address, own.data_centre);
    let keeper = platform.clone();
    tokio::spawn(async move { hold_key(&keeper, &key, &value, lease_ms).await });
    let mirror = Mirror::start(platform.clone(), PREFIX, POLL_MS);
    tokio::spawn(async move {
        let mut changed = mirror.subscribe();
        let mut reader = RosterReader::default();
        loop {
            changed.borrow_and_update();
            // Before the list: what is read in between must not count as listed.
            let is_read = mirror.synced();
            let mut entries = reader.entries(&mirror.list(PREFIX));
            if !entries.contains(&own) {
                entries.push(own.clone());
            }
            on_change(Roster { entries, is_read });
            if changed.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Reads the roster for an agent as long as it has no entry.
pub async fn search_on(
    platform: Platform,
    is_alone: impl Fn() -> bool,
    on_found: impl Fn(Vec<SocketAddr>),
) {
    let mut reader = RosterReader::default();
    let mut pause_ms = SEARCH_PAUSE_MS.0;
    loop {
        sleep(jittered(pause_ms)).await;
        if !is_alone() {
            // Nothing to read: it knows entries to dial first, should it lose its links.
            pause_ms = SEARCH_PAUSE_MS.1;
            continue;
        }
        pause_ms = (pause_ms * 2).min(SEARCH_PAUSE_MS.1);
        match platform.range(PREFIX).await {
            Ok(range) => on_found(reader.addresses(&range.items)),
            Err(error) => event!(Info, "roster_unread", error = error),
        }
    }
}

/// Reads entries' addresses. An item that holds none was written by somebody else: it
/// is left out, logged once and counted, and the others hold.
#[derive(Debug, Default)]
pub struct RosterReader {
    /// Keys and revisions of such items that the last reading met.
    refused: BTreeSet<(String, u64)>,
}

impl RosterReader {
    /// Addresses in the items of the roster.
    pub fn addresses(&mut self, items: &[KeyValue]) -> Vec<SocketAddr> {
        self.entries(items).into_iter().map(|entry| entry.address).collect()
    }

    /// Entries in the items of the roster.
    pub fn entries(&mut self, items: &[KeyValue]) -> Vec<EntryAddress> {
        let mut entries = Vec::with_capacity(items.len());
        let mut refused = BTreeSet::new();
        for item in items {
            match read_entry(&item.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    self.tell_refused(item, &error);
                    refused.insert((item.key.clone(), item.modified));
                }
            }
        }
        self.refused = refused;
        entries
    }

    fn tell_refused(&self, item: &KeyValue, error: &str) {
        if self.refused.contains(&(item.key.clone(), item.modified)) {
            return;
        }
        metrics::counter!("sycamorerail_roster_refused_total").increment(1);
        event!(
            Warn,
            "roster_entry_refused",
            key = item.key,
            revision = item.modified,
            error = error
        );
    }
}

/// Reads an address, and the name of a data centre if one follows.
fn read_entry(value: &str) -> Result<EntryAddress, String> {
    let (address, data_centre) = value.split_once(' ').unwrap_or((value, ""));
    let address: SocketAddr = address.parse().map_err(|error| format!("address: {error}"))?;
    // Connections to it fail, and each takes the turn of an entry that answers.
    if address.port() == 0 {
        return Err("port: 0 names no entry".to_owned());
    }
    Ok(EntryAddress { address, data_centre: data_centre.to_owned() })
}
